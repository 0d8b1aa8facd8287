package agent

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

func writeAgentRow(t *testing.T, table platform.Table, value string) {
	t.Helper()
	write := platform.Write{Key: owner.AgentKeyPrefix + "w1", Value: []byte(value)}
	if _, err := table.Commit(t.Context(), platform.Transaction{Writes: []platform.Write{write}}); err != nil {
		t.Fatal(err)
	}
}

func readAgentRow(t *testing.T, table platform.Table) owner.AgentRow {
	t.Helper()
	row, err := table.Get(t.Context(), owner.AgentKeyPrefix+"w1")
	if err != nil {
		t.Fatal(err)
	}
	return owner.DecodeAgentRow(row.Key, row.Value)
}

// Guards against an agent that ends and marks the row of its successor on the host as left:
// entries would delete that row, and no takeover would ask the successor for its records.
func TestEndingAgentLeavesTheRowOfItsSuccessor(t *testing.T) {
	table := standin.NewMemory()
	a := newTestAgent(slog.New(slog.DiscardHandler))
	a.opts.Table = table
	if !a.register() {
		t.Fatal("the agent did not register")
	}
	successor, err := json.Marshal(owner.AgentRow{Host: "w1", Incarnation: "i2", Replaced: true})
	if err != nil {
		t.Fatal(err)
	}
	writeAgentRow(t, table, string(successor))
	a.markLeft(t.Context())
	if row := readAgentRow(t, table); row.Left || row.Incarnation != "i2" {
		t.Errorf("row of the successor: %+v", row)
	}
}

// Guards against an agent that does not repair its row when it renews it, or that hides with
// it that an earlier process may have run on the host.
func TestAgentReplacesAnMalformedRow(t *testing.T) {
	for _, value := range []string{"", "null", "{}", "{", "[]", `{"host":"w2","incarnation":"i1"}`, `{"replaced":-1}`, strings.Repeat("[", 20_000)} {
		table := standin.NewMemory()
		a := newTestAgent(slog.New(slog.DiscardHandler))
		a.opts.Table = table
		writeAgentRow(t, table, value)
		if !a.register() {
			t.Fatalf("row %.20q: the agent did not register", value)
		}
		if row := readAgentRow(t, table); row.Incarnation != "i1" || !row.Replaced || row.Left {
			t.Errorf("row %.20q is replaced by %+v", value, row)
		}
		writeAgentRow(t, table, value)
		a.markLeft(t.Context())
		if row := readAgentRow(t, table); row.Left {
			t.Errorf("row %.20q, perhaps that of a successor, is marked as left: %+v", value, row)
		}
	}
}
