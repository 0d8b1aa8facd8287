package entry

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/malformed"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

// malformedRows are values that another writer may leave in a row.
var malformedRows = []string{
	"", "null", "[]", "{", `"x"`, `{"renewal":-1}`, `{"renewal":1e30}`, `{"renewal":"7"}`, `{"link_address":7}`,
	strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 20_000),
}

// observeRows reads the row of e2 as an entry does, and reports whether its detector takes
// e2 for stopped.
func observeRows(t *testing.T, table platform.Table, reads int, before func(read int)) bool {
	t.Helper()
	d := membership.NewDetector()
	d.SetMembers(0, []string{"e2"})
	invalid := malformed.New(slog.New(slog.DiscardHandler))
	for read := range reads {
		before(read)
		now := membership.RemoveAfter + time.Duration(read)*time.Second
		row, err := table.Get(t.Context(), membership.EntryKeyPrefix+"e2")
		check(t, err)
		d.RowRead(now, "e2", renewalOf(invalid, row), true)
		if len(d.Stopped(now)) > 0 {
			return true
		}
	}
	return false
}

func writeRow(t *testing.T, table platform.Table, key, value string) {
	t.Helper()
	_, err := table.Commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value)}}})
	check(t, err)
}

// Guards against a stopped entry that stays in the map for ever, with the keys of its
// partitions, because its row is malformed; and against the removal of one that still renews.
func TestMalformedEntryRowShowsByItsVersionWhetherItIsRenewed(t *testing.T) {
	for _, value := range malformedRows {
		table := standin.NewMemory()
		key := membership.EntryKeyPrefix + "e2"
		writeRow(t, table, key, value)
		if !observeRows(t, table, 5, func(int) {}) {
			t.Errorf("row %.30q: the stopped entry is not found", value)
		}
		renewed := func(read int) {
			sound, err := json.Marshal(entryRow{Member: membership.Member{ID: "e2"}, Renewal: uint64(read)})
			check(t, err)
			writeRow(t, table, key, string(sound))
			writeRow(t, table, key, value)
		}
		if observeRows(t, table, 5, renewed) {
			t.Errorf("row %.30q: an entry that renews its row passes for stopped", value)
		}
	}
}

// Guards against the same in a running entry: the keys of the stopped one must be served
// by the other.
func TestStoppedEntryWithAnMalformedRowLeavesTheMap(t *testing.T) {
	table := standin.NewMemory()
	content, err := config.Default().Encode()
	check(t, err)
	_, err = configstore.New(table).Apply(t.Context(), configstore.Proposal{
		ChangeID: configstore.NewChangeID(), Author: "test", Host: "test", Reason: "test", Content: content,
	})
	check(t, err)
	keys := t.TempDir()
	ca, err := pki.NewAuthority("test")
	check(t, err)
	check(t, ca.Save(keys))
	var entries []*Entry
	for _, host := range []string{"e1", "e2"} {
		files, err := ca.IssueTo(keys, host, pki.RoleEntry, []string{"127.0.0.1"}, time.Hour)
		check(t, err)
		e := startEntry(t, host, files, table, time.Minute)
		defer e.Kill()
		entries = append(entries, e)
	}
	members := func() int {
		row, err := table.Get(t.Context(), membership.MapKey)
		if err != nil {
			return 0
		}
		m, err := membership.Decode(row.Value)
		check(t, err)
		return len(m.Members)
	}
	waitFor(t, func() bool { return members() == 2 && entries[0].Ready() && entries[1].Ready() })
	writeRow(t, table, owner.AgentKeyPrefix+"odd", strings.Repeat("[", 20_000))
	entries[1].Kill()
	writeRow(t, table, membership.EntryKeyPrefix+"e2", `{"renewal":1e30}`)
	waitFor(t, func() bool { return members() == 1 })
}
