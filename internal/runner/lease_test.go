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

// Guards against waiting for the longest lease although the answer to the start shows the expected
// clock, and against a shorter wait if it does not.
func TestAnswerWithTheExpectedClockBoundsTheLease(t *testing.T) {
	for _, c := range []struct {
		name      string
		clockMS   int64
		confirmed bool
	}{
		{"expected", 510, true}, {"ahead", 530, true}, {"within the tolerance", 507, true},
		{"behind", 506, false}, {"of a new incarnation", 4, false}, {"missing", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReady(t)
			start := begin + 10*time.Millisecond
			assign(r, start, entryA, "j1", nil)
			r.Started(start+time.Millisecond, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted, ClockMS: c.clockMS, SentAt: start})
			r.TakeEffects()
			r.ListFailed(start + r.lapse(r.settings.Lease))
			if n := len(effects[Report](r)); n != 0 {
				t.Fatal("the run was given up within its lease")
			}
			r.ListFailed(start + r.lapse(r.settings.Lease) + time.Millisecond)
			if ended := len(effects[Report](r)) == 1; ended != c.confirmed {
				t.Errorf("given up once the ordinary lease has expired: %v, want %v", ended, c.confirmed)
			}
		})
	}
}
