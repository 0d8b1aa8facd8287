package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a run that was given up and goes on because other runs renew the lease while its
// stop has no answer.
func TestLeaseIsNotRenewedForAFoundRunWithoutAStopAnswer(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	now := begin
	running := []wire.LeasedAttempt{attemptOf("j1", 1), attemptOf("found", 1)}
	for range 200 {
		now += 20 * time.Millisecond
		r.Confirm(entryA, now)
		r.Tick(now)
		request := r.NextListRequest(now)
		if now-begin > 200*time.Millisecond && request.LeaseEndMS != 0 {
			t.Fatalf("the lease of a run without an accepted stop is renewed %v after it was found", now-begin)
		}
		r.ListReceived(now, RunList{RequestedAt: now, ClockMS: 500 + int64((now-begin)/time.Millisecond), StartMS: incarnation.StartMS, Running: running})
		r.TakeEffects()
	}
}

// Guards against a run that is given up because the late answer to the start of another entry's
// attempt with its number is taken for its own.
func TestLateAnswerToAnotherEntrysStartEndsNoRun(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	// The list confirms it, the answer is late.
	r.ListReceived(begin+3*time.Millisecond, RunList{RequestedAt: begin + 2*time.Millisecond, ClockMS: 502, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	r.ConnectionRefused(begin+10*time.Millisecond, begin+10*time.Millisecond, incarnation)
	next := UpstreamID{ID: "u2", StartMS: incarnation.StartMS + 1}
	r.Announce(begin+20*time.Millisecond, Announcement{UpstreamID: next, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.ListReceived(begin+22*time.Millisecond, RunList{RequestedAt: begin + 21*time.Millisecond, ClockMS: 5, StartMS: next.StartMS})
	r.Connected(begin+30*time.Millisecond, entryB)
	r.TakeEffects()
	assign(r, begin+1400*time.Millisecond, entryB, "j1", nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Fatalf("%d starts", n)
	}
	r.Started(begin+1401*time.Millisecond, attemptOf("j1", 1), StartAnswer{Outcome: StartRefused, Reason: ReasonOtherIncarnation, SentAt: begin})
	for _, m := range finalReports(r) {
		t.Errorf("B's attempt was reported as %v %q by the answer to A's start", m.State, m.Reason)
	}
	if r.UpstreamID() != next {
		t.Errorf("the present incarnation was given up")
	}
}

// Guards against a finished run whose outcome is lost to another entry's withdrawal.
func TestWithdrawalOfAnotherEntryKeepsTheOutcome(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.Disconnected(entryA)
	r.ListReceived(begin+11*time.Millisecond, RunList{RequestedAt: begin + 10*time.Millisecond, ClockMS: 510, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("j1", 1), Kind: EndDone}}})
	r.Connected(begin+20*time.Millisecond, entryB)
	r.Withdraw(begin+30*time.Millisecond, entryB, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	r.TakeEffects()
	r.Connected(begin+40*time.Millisecond, entryA)
	r.Resume(begin+41*time.Millisecond, entryA, wire.Resume{Attempts: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	if m := lastReport(t, r); m.State != wire.RunDone {
		t.Errorf("state %v %q, want done", m.State, m.Reason)
	}
}

// Guards against entries that are told of free capacity on an upstream that starts nothing.
func TestLoadHasNoFreeCapacityWhileTheLeaseMayNotBeRenewed(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.Withdraw(begin+10*time.Millisecond, entryA, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	now := begin + 100*time.Millisecond
	r.Confirm(entryA, now)
	r.Tick(now)
	r.TakeEffects()
	l := r.Load(now, entryA)
	assign(r, now, entryA, "j2", func(m *wire.Assign) { m.OnlyIfFits = true })
	if m := lastReport(t, r); m.Reason == "no-room" && l.Ready && l.FreeCPU >= 4000 {
		t.Errorf("ready with %d free cores, but refuses a task of 4000 as %q", l.FreeCPU, m.Reason)
	}
}

// Guards against a stop that is taken for accepted, and not repeated, because an earlier
// incarnation has accepted it.
func TestStopAcceptedByAnEarlierIncarnationIsRepeated(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.Withdraw(begin+5*time.Millisecond, entryA, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	// The next incarnation under the same id has carried the start out.
	next := UpstreamID{ID: incarnation.ID, StartMS: incarnation.StartMS + 1}
	r.Stopped(begin+6*time.Millisecond, attemptOf("j1", 1), true)
	r.Announce(begin+10*time.Millisecond, Announcement{UpstreamID: next, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.TakeEffects()
	now := begin + 12*time.Millisecond
	stops := 0
	for range 50 {
		r.ListReceived(now, RunList{RequestedAt: now - time.Millisecond, ClockMS: 5, StartMS: next.StartMS, Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
		r.Confirm(entryA, now)
		r.Tick(now)
		r.NextListRequest(now)
		stops += len(effects[StopRun](r))
		now += 20 * time.Millisecond
	}
	if stops == 0 {
		t.Error("the run that the next incarnation lists is never stopped")
	}
}

// Guards against a refusal that ends a run although a list that was requested later shows it.
func TestRefusalHandledAfterALaterListEndsNoRun(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	// 10: request refused; 20: listener is back, list; 25: list handled; 30: refusal handled.
	r.ListReceived(begin+25*time.Millisecond, RunList{RequestedAt: begin + 20*time.Millisecond, ClockMS: 522, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	r.ConnectionRefused(begin+30*time.Millisecond, begin+10*time.Millisecond, incarnation)
	if reports := finalReports(r); len(reports) != 0 {
		t.Errorf("given up: %v", reports)
	}
	if !r.Load(begin+31*time.Millisecond, entryA).Ready {
		t.Error("not ready although a list that was requested later has arrived")
	}
}
