package membership

import (
	"reflect"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/platform"
)

func members(ids ...string) []Member {
	var ms []Member
	for _, id := range ids {
		ms = append(ms, Member{ID: id})
	}
	return ms
}

// Guards against a change of one member that moves partitions of the others,
// and against a moved partition that keeps its epoch.
func TestNextMovesOnlyTheShareOfTheChangedMember(t *testing.T) {
	m := Next(nil, Change{Add: members("a", "b", "c")})
	n := Next(m, Change{Remove: []string{"b"}})
	for p := range m.Partitions {
		before, after := m.Partitions[p], n.Partitions[p]
		if before.Owner != "b" && !reflect.DeepEqual(after, before) {
			t.Errorf("partition %d moved from %s to %s", p, before.Owner, after.Owner)
		}
		if before.Owner == "b" && after.Epoch != n.Version {
			t.Errorf("partition %d moved without a new epoch", p)
		}
	}
	if Next(n, Change{Remove: []string{"b"}}) != nil {
		t.Error("removal of an absent member made a new version")
	}
}

// Guards against a takeover that trusts witnesses of which one has departed,
// and against a base that survives a time with a single member.
func TestWitnessesIntact(t *testing.T) {
	m := Next(nil, Change{Add: members("a")})
	if m.WitnessesIntact(0) {
		t.Error("a single member has no witness")
	}
	m = Next(m, Change{Add: members("b", "c")})
	if m.WitnessesIntact(0) || !m.NeedsRebase(0) {
		t.Error("jobs of the single member have no witness yet")
	}
	all := func(m *Map) *Map {
		for _, member := range m.Members {
			m = Rebase(m, member.ID, m.Owned(member.ID))
		}
		return m
	}
	m = all(m)
	owner := m.Partitions[0].Owner
	gone := Next(m, Change{Remove: []string{owner}})
	if !gone.WitnessesIntact(0) {
		t.Error("the departure of the base owner must not count")
	}
	next := gone.Partitions[0].Owner
	if Next(gone, Change{Remove: []string{next}, Add: members("d", "e")}).WitnessesIntact(0) {
		t.Error("two departures left the witnesses intact")
	}
	other := "a"
	if owner == "a" {
		other = "b"
	}
	if Next(m, Change{Remove: []string{other}}).WitnessesIntact(0) {
		t.Error("the departure of a witness went unnoticed")
	}
}

// Guards against the removal of a member that is reachable by link, or whose
// row is still renewed.
func TestDetectorNeedsSilenceOnLinkAndRow(t *testing.T) {
	for _, c := range []struct {
		name        string
		heard       bool
		renews      bool
		wantStopped bool
	}{
		{"silent on both", false, false, true},
		{"link works", true, false, false},
		{"row is renewed", false, true, false},
	} {
		d := NewDetector()
		d.SetMembers(0, []string{"x"})
		stopped := false
		for now := time.Duration(0); now <= 5*time.Second; now += 100 * time.Millisecond {
			if c.heard {
				d.MessageReceived(now, "x")
			}
			for _, id := range d.Suspects(now) {
				renewal := uint64(1)
				if c.renews {
					renewal = uint64(now / EntryRenewInterval)
				}
				d.RowRead(now, id, renewal, true)
			}
			stopped = stopped || len(d.Stopped(now)) > 0
		}
		if stopped != c.wantStopped {
			t.Errorf("%s: stopped = %v", c.name, stopped)
		}
	}
}

// Guards against the deletion of a row that is still renewed, or that was seen
// for too short a time.
func TestRowWatch(t *testing.T) {
	w := NewRowWatch()
	row := func(version uint64) []platform.Row { return []platform.Row{{Key: "agent/x", Version: version}} }
	life := 100 * time.Second
	steps := []struct {
		at      time.Duration
		version uint64
		expired int
	}{{0, 1, 0}, {99, 1, 0}, {100, 2, 0}, {199, 2, 0}, {201, 2, 1}}
	for _, s := range steps {
		if got := len(w.Observe(s.at*time.Second, row(s.version), life)); got != s.expired {
			t.Errorf("at %d s: %d rows expired, want %d", s.at, got, s.expired)
		}
	}
}
