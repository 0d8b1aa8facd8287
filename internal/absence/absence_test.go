package absence

import (
	"testing"
	"time"
)

const (
	limit = 400 * time.Millisecond
	ms    = time.Millisecond
)

// Guards against callers that are taken for waiting although they may have left unnoticed, and
// against callers that are given up although they were heard from shortly before the entry was back.
func TestCallersOfAnAbsentEntryMayHaveLeft(t *testing.T) {
	tracker := New(limit)
	for now := 100 * ms; now <= 2000*ms; now += 100 * ms {
		if tracker.Heard(now) != 0 {
			t.Fatal("absent although agents are heard from")
		}
	}
	if absent := tracker.Heard(3000 * ms); absent != 1000*ms {
		t.Fatalf("absent for %v, want 1s", absent)
	}
	for _, c := range []struct {
		at   time.Duration
		left bool
	}{{100 * ms, true}, {2000 * ms, true}, {2599 * ms, true}, {2600 * ms, false}, {3000 * ms, false}, {3500 * ms, false}} {
		if got := tracker.MayHaveLeft(c.at); got != c.left {
			t.Errorf("heard from at %v: may have left %v, want %v", c.at, got, c.left)
		}
	}
	tracker.Heard(3300 * ms)
	if !tracker.MayHaveLeft(100*ms) || tracker.MayHaveLeft(3100*ms) {
		t.Error("a short silence changes what the absence has shown")
	}
}

// Guards against requests that start a job at once although the close of their connection is on
// its way, and against requests that are held for good.
func TestRequestsAreHeldUpForAsLongAsTheAbsence(t *testing.T) {
	tracker := New(limit)
	if tracker.HeldUp(50 * ms) {
		t.Error("held up without an absence")
	}
	tracker.Begin(100 * ms)
	if tracker.Heard(1100 * ms); !tracker.HeldUp(2100*ms) || tracker.HeldUp(2101*ms) {
		t.Error("want requests held up for as long as the process had heard from no agent")
	}
}

// Guards against an entry that has just started being taken for absent.
func TestStartIsNoAbsence(t *testing.T) {
	tracker := New(limit)
	tracker.Begin(20 * ms)
	if absent := tracker.Heard(20*ms + limit); absent != 0 || tracker.MayHaveLeft(10*ms) {
		t.Errorf("absent for %v", absent)
	}
}
