package configstore

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

// interposed is a table before whose next commit something else happens.
type interposed struct {
	*standin.Memory
	before func()
}

func (t *interposed) Commit(ctx context.Context, tx platform.Transaction) ([]uint64, error) {
	if f := t.before; f != nil {
		t.before = nil
		f()
	}
	return t.Memory.Commit(ctx, tx)
}

func evacuationTable(t *testing.T) (*interposed, *Store) {
	t.Helper()
	table := &interposed{Memory: standin.NewMemory()}
	s := New(table)
	applyDataCentres(t, s, 0)
	return table, s
}

// applyDataCentres applies a configuration with the data centres east and west.
func applyDataCentres(t *testing.T, s *Store, base uint64) {
	t.Helper()
	c := config.Default()
	c.DataCentres["east"], c.DataCentres["west"] = config.DataCentre{}, config.DataCentre{}
	c.Limits.MaxTasks = int(base) + 1
	content, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(t.Context(), Proposal{ChangeID: NewChangeID(), BaseVersion: base, Author: "ann", Content: content}); err != nil {
		t.Fatal(err)
	}
}

func change(dataCentre string, undo bool) EvacuationProposal {
	return EvacuationProposal{ChangeID: NewChangeID(), DataCentre: dataCentre, Undo: undo, Author: "ann", Host: "h"}
}

// Guards against a change that overwrites another operator's change of the same data
// centre, and against one that is refused because of a change of another data centre or of
// the configuration.
func TestOperatorsRaceOverEvacuations(t *testing.T) {
	table, s := evacuationTable(t)
	table.before = func() {
		if _, err := s.Evacuate(t.Context(), change("west", false)); err != nil {
			t.Error(err)
		}
		applyDataCentres(t, s, 1)
	}
	if r, err := s.Evacuate(t.Context(), change("east", false)); err != nil || len(r.Left) != 1 {
		t.Errorf("beside a change of another data centre: %+v, %v", r, err)
	}
	table.before = func() {
		for _, undo := range []bool{true, false} {
			if _, err := s.Evacuate(t.Context(), change("east", undo)); err != nil {
				t.Error(err)
			}
		}
	}
	if _, err := s.Evacuate(t.Context(), change("east", true)); !errorx.IsOfType(err, fault.LostRace) {
		t.Errorf("withdrawal of a request that was made again meanwhile: %v", err)
	}
	if records, err := s.EvacuationHistory(t.Context(), 10); err != nil || len(records) != 4 || records[0].Action != ActionEvacuate {
		t.Errorf("history %+v, %v", records, err)
	}
}

// Guards against a lost answer that makes a change twice, and a request made again that
// passes for the earlier one.
func TestLostAnswerAndRepeatedRequest(t *testing.T) {
	table, s := evacuationTable(t)
	table.SetFaults(standin.Faults{LoseAnswers: 1})
	first, err := s.Evacuate(t.Context(), change("east", false))
	if err != nil || first.Unchanged || first.Audit.DataCentre != "east" || first.Version == 0 {
		t.Fatalf("with a lost answer: %+v, %v", first, err)
	}
	state, err := s.Evacuations(t.Context())
	if err != nil || state.Version != first.Version {
		t.Fatalf("state %+v, %v, want version %d", state, err, first.Version)
	}
	old, _ := state.Request("east")
	for _, undo := range []bool{true, false} {
		if _, err := s.Evacuate(t.Context(), change("east", undo)); err != nil {
			t.Fatal(err)
		}
	}
	state, _ = s.Evacuations(t.Context())
	if again, ok := state.Request("east"); !ok || again.RowVersion <= old.RowVersion || state.Version <= first.Version {
		t.Errorf("request %+v after %+v", again, old)
	}
}

// Guards against a request for a mistyped data centre that is accepted, one that can no
// longer be withdrawn after its data centre left the configuration, and a request that is
// forgotten because its row or that of the configuration cannot be read.
func TestBadEvacuations(t *testing.T) {
	table, s := evacuationTable(t)
	for _, undo := range []bool{false, true} {
		if _, err := s.Evacuate(t.Context(), change("eats", undo)); !errorx.IsOfType(err, fault.UnknownDataCentre) {
			t.Errorf("unknown data centre, undo %t: %v", undo, err)
		}
	}
	if _, err := New(standin.NewMemory()).Evacuate(t.Context(), change("east", false)); !errorx.IsOfType(err, fault.NoVersion) {
		t.Errorf("without a configuration: %v", err)
	}
	if _, err := s.Evacuate(t.Context(), change("east", false)); err != nil {
		t.Fatal(err)
	}
	applyNext(t, s, 1) // a configuration without east
	if r, err := s.Evacuate(t.Context(), change("east", true)); err != nil || r.Unchanged {
		t.Errorf("withdrawal for a data centre that left the configuration: %+v, %v", r, err)
	}
	write := platform.Transaction{Writes: []platform.Write{{Key: EvacuationKey("west"), Value: []byte("{")}, {Key: HeadKey, Value: []byte("{")}}}
	if _, err := table.Memory.Commit(t.Context(), write); err != nil {
		t.Fatal(err)
	}
	state, _, err := NewFollower(table).PollEvacuations(t.Context())
	if !errorx.IsOfType(err, fault.BadResponse) || state == nil {
		t.Fatalf("with a head row that cannot be read: %+v, %v", state, err)
	}
	if r, ok := state.Request("west"); !ok || r.Problem == nil || len(state.Update(0).Changes) != 1 {
		t.Errorf("request in a row that cannot be read: %+v", r)
	}
}
