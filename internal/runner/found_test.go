package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a run that outlives its report as ended without operators hearing of it.
func TestRunListedAfterItsEndIsReported(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.Started(begin, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted})
	lapsed := begin + 2*time.Second
	r.ListFailed(lapsed)
	r.TakeEffects()
	list := RunList{RequestedAt: lapsed + time.Millisecond, ClockMS: 2500, StartMS: incarnation.StartMS, Running: []wire.LeasedAttempt{attemptOf("j1", 1)}}
	for range 2 {
		r.ListReceived(lapsed+2*time.Millisecond, list)
		list.RequestedAt += time.Millisecond
	}
	found := effects[RunFound](r)
	if len(found) != 1 || found[0].Reason != "lease-lapsed" {
		t.Errorf("reports %v, want one of a run that was given up as lease-lapsed", found)
	}
}
