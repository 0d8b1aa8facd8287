package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const ms = time.Millisecond

// nextIncarnation announces the upstream's next incarnation to an agent and lists its runs,
// and starts a task on it.
func nextIncarnation(t *testing.T, r *Runner, now time.Duration) (id wire.LeasedAttempt) {
	t.Helper()
	next := UpstreamID{ID: "u2", StartMS: 8}
	r.Announce(now, Announcement{UpstreamID: next, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.ListReceived(now+ms, RunList{RequestedAt: now + ms, ClockMS: 10, StartMS: next.StartMS})
	assign(r, now+2*ms, entryA, "j2", nil)
	id = attemptOf("j2", 1)
	r.Started(now+3*ms, id, StartAnswer{Outcome: StartAccepted})
	if r.attempts[id].phase != phaseRunning {
		t.Fatalf("the task is not started: phase %d", r.attempts[id].phase)
	}
	r.TakeEffects()
	return id
}

// Guards against a confirmed run that is given up because lists that were carried out before
// its start arrive after the start's answer.
func TestListsThatPrecedeASlowStartDoNotEndItsRun(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.Started(begin+60*ms, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted})
	for i, requestedAt := range []time.Duration{16 * ms, 37 * ms, 58 * ms} {
		r.ListReceived(begin+time.Duration(61+i)*ms, RunList{RequestedAt: begin + requestedAt, ClockMS: 520, StartMS: incarnation.StartMS})
	}
	if a := r.attempts[attemptOf("j1", 1)]; a.state.Final() {
		t.Errorf("the run is reported as %v (%s), but goes on", a.state, a.reason)
	}
}

// Guards against runs of the present incarnation that are given up because a start for the
// earlier one was refused by it, or a list request to it refused, and the answer is late.
func TestLateRefusalOfTheEarlierIncarnationKeepsRuns(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	id := nextIncarnation(t, r, begin+5*ms)
	r.Started(begin+12*ms, attemptOf("j1", 1), StartAnswer{Outcome: StartRefused, Reason: ReasonOtherIncarnation})
	if a := r.attempts[id]; a.state.Final() {
		t.Errorf("the run is reported as %v (%s), but goes on", a.state, a.reason)
	}
}

// Guards against leases of the longest duration after an answer of the earlier incarnation,
// whose clock was ahead, has arrived late.
func TestLateAnswerOfTheEarlierIncarnationKeepsTheClock(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	nextIncarnation(t, r, begin+5*ms)
	r.Started(begin+12*ms, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted, ClockMS: 500_000})
	if end := r.NextListRequest(begin + 13*ms).LeaseEndMS; end > 10+700 {
		t.Errorf("the lease is asked for until %d on a clock that shows about 20", end)
	}
}
