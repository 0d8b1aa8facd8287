package configstore

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

func applyNext(t *testing.T, s *Store, base uint64) []byte {
	t.Helper()
	c := config.Default()
	c.Limits.MaxTasks = int(base) + 1
	content, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(context.Background(), Proposal{ChangeID: NewChangeID(), BaseVersion: base, Author: "ann", Content: content}); err != nil {
		t.Fatal(err)
	}
	return content
}

// Guards against polls that read the version row without need, and against a
// process that starts during an outage and cannot get a version from its peers.
func TestFollowerPollsAndStartsInOutage(t *testing.T) {
	ctx := context.Background()
	table := standin.NewMemory()
	s := New(table)
	f := NewFollower(table)
	if changed, err := f.Poll(ctx); changed || err != nil {
		t.Errorf("poll of an empty table: %v, %v", changed, err)
	}
	applyNext(t, s, 0)
	content := applyNext(t, s, 1)
	if changed, err := f.Poll(ctx); !changed || err != nil || f.Version() != 2 {
		t.Errorf("poll: %v, %v, version %d", changed, err, f.Version())
	}
	before := table.Counts().Reads
	if changed, _ := f.Poll(ctx); changed || table.Counts().Reads != before+1 {
		t.Errorf("poll without a new version took %d reads", table.Counts().Reads-before)
	}
	table.SetFaults(standin.Faults{Down: true})
	late := NewFollower(table)
	if _, err := late.Poll(ctx); !errorx.IsOfType(err, fault.Unavailable) {
		t.Errorf("poll during an outage: %v", err)
	}
	if changed, err := late.UpdateIfNewer(2, content); !changed || err != nil {
		t.Errorf("offer by a peer: %v, %v", changed, err)
	}
	if changed, _ := late.UpdateIfNewer(1, content); changed || late.Version() != 2 {
		t.Error("the follower stepped back")
	}
	if _, err := late.UpdateIfNewer(3, []byte(`{}`)); !errorx.IsOfType(err, fault.BadConfig) || late.Version() != 2 {
		t.Errorf("offer of an invalid configuration: %v, version %d", err, late.Version())
	}
}

// Guards against a retry under a used change id that silently drops a change.
func TestChangeIDReused(t *testing.T) {
	s := New(standin.NewMemory())
	p := Proposal{ChangeID: "x", Author: "ann"}
	p.Content, _ = config.Default().Encode()
	first, err := s.Apply(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := s.Apply(context.Background(), p); err != nil || again.Version != first.Version {
		t.Errorf("retry: %+v, %v", again, err)
	}
	other := config.Default()
	other.Limits.MaxTasks = 1
	p.Content, _ = other.Encode()
	if _, err := s.Apply(context.Background(), p); !errorx.IsOfType(err, fault.ChangeIDReused) {
		t.Errorf("another change under the same id: %v", err)
	}
}
