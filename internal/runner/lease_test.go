package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against runs of a new incarnation that are given up within their lease: a list request
// to the earlier incarnation, for its clock, may have got the longest lease, which also holds for
// runs that start later and are listed with a shorter renewal.
func TestEarlierRenewalHoldsForLaterRuns(t *testing.T) {
	r := newReady(t)
	next := incarnation.StartMS + 1
	r.Announce(begin, Announcement{UpstreamID: UpstreamID{ID: incarnation.ID, StartMS: next}, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.ListReceived(begin+2*time.Millisecond, RunList{RequestedAt: begin + time.Millisecond, ClockMS: 5, StartMS: next})
	assign(r, begin+3*time.Millisecond, entryA, "j1", nil)
	r.Started(begin+4*time.Millisecond, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted})
	r.ListReceived(begin+6*time.Millisecond, RunList{RequestedAt: begin + 5*time.Millisecond, ClockMS: 9, StartMS: next,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	r.TakeEffects()
	r.ListFailed(begin + r.settings.MaxLease)
	if reports := effects[Report](r); len(reports) != 0 {
		t.Fatalf("the run was given up within the longest lease: %v", reports)
	}
	r.ListFailed(begin + 1400*time.Millisecond)
	if got := lastReport(t, r); got.State != wire.RunStopped || got.Reason != "lease-lapsed" {
		t.Errorf("report %v %q", got.State, got.Reason)
	}
}
