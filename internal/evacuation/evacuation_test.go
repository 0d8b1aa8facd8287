package evacuation

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

func at(version uint64, all bool, changes ...Change) Update {
	return Update{All: all, Version: version, AsOf: time.Duration(version) * time.Second, Changes: changes}
}

// Guards against a stale read or a late message that revives a withdrawn request, or hides
// one that is in force.
func TestOlderUpdatesChangeNothing(t *testing.T) {
	var tr Tracker
	tr.Apply(time.Minute, at(5, true, Change{DataCentre: "a", Version: 4}))
	tr.Apply(time.Minute, at(8, false, Change{DataCentre: "a", Version: 8, Deleted: true}, Change{DataCentre: "b", Version: 7}))
	for _, old := range []Update{at(5, true, Change{DataCentre: "a", Version: 4}), at(7, true), at(6, false, Change{DataCentre: "b", Version: 6, Deleted: true})} {
		if changes := tr.Apply(time.Minute, old); len(changes) != 0 {
			t.Errorf("version %d after 8 changes %+v", old.Version, changes)
		}
	}
	if tr.Evacuated("a") || !tr.Evacuated("b") {
		t.Errorf("requests %+v, want b only", tr.Requests())
	}
}

// Guards against a request that was withdrawn and made again between two answers of the
// store, and passes for the earlier one.
func TestRepeatedRequestIsNew(t *testing.T) {
	var tr Tracker
	tr.Apply(10*time.Second, at(5, true, Change{DataCentre: "a", Version: 4}))
	changes := tr.Apply(20*time.Second, at(9, true, Change{DataCentre: "a", Version: 9}))
	if len(changes) != 1 || changes[0].Version != 9 {
		t.Errorf("changes %+v, want the new request", changes)
	}
	if r := tr.Requests(); len(r) != 1 || r[0].Since != 20*time.Second {
		t.Errorf("requests %+v, want one since 20 s", r)
	}
}

// Guards against a request that stays in force for ever because its withdrawal fell into a
// gap of the store's history.
func TestSnapshotEndsMissingRequests(t *testing.T) {
	var tr Tracker
	tr.Apply(time.Minute, at(5, true, Change{DataCentre: "a", Version: 4}, Change{DataCentre: "b", Version: 3}))
	changes := tr.Apply(time.Minute, at(6, true, Change{DataCentre: "b", Version: 3}))
	if len(changes) != 1 || changes[0].DataCentre != "a" || !changes[0].Deleted {
		t.Errorf("changes %+v, want the end of a", changes)
	}
}

// Guards against a message that was delayed on its way and passes for recent knowledge.
func TestDelayedViewIsOld(t *testing.T) {
	var tr Tracker
	// The sender knew its state to be current 2 s before it sent the view.
	tr.Apply(30*time.Second, FromView(10*time.Second, &wire.Evacuations{Version: 3, AgeMS: 2000}))
	if age := tr.Age(30 * time.Second); age != 22*time.Second {
		t.Errorf("age %v, want 22s", age)
	}
}

// Guards against a restarted process that takes a received state for younger than it is, and
// so asks the store too late: the view of a sender that is cut off from the store may be
// older than the process.
func TestViewOlderThanTheProcessIsOld(t *testing.T) {
	var tr Tracker
	tr.Apply(2*time.Second, FromView(time.Second, &wire.Evacuations{Version: 3, AgeMS: 20_000}))
	if age := tr.Age(2 * time.Second); age != 21*time.Second {
		t.Errorf("age %v, want 21s", age)
	}
	tr.Apply(3*time.Second, FromView(time.Second, &wire.Evacuations{Version: 3, AgeMS: 30_000}))
	if age := tr.Age(3 * time.Second); age != 22*time.Second {
		t.Errorf("age %v after an older view, want 22s", age)
	}
}

// Guards against knowledge that is lost on its way from an entry to an agent.
func TestViewHoldsAllRequests(t *testing.T) {
	var entry, agent Tracker
	if entry.View(0) != nil {
		t.Error("a process without knowledge passes on that nothing is evacuated")
	}
	entry.Apply(9*time.Second, at(5, true, Change{DataCentre: "a", Version: 4}, Change{DataCentre: "b", Version: 5}))
	agent.Apply(time.Hour, FromView(time.Hour, entry.View(9*time.Second)))
	if !agent.Evacuated("a") || !agent.Evacuated("b") {
		t.Errorf("requests %+v", agent.Requests())
	}
	if age := agent.Age(time.Hour); age != 4*time.Second {
		t.Errorf("age %v, want 4s", age)
	}
}
