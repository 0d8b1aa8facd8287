package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// startRun assigns a task of entryA and confirms its start.
func startRun(t *testing.T, r *Runner, now time.Duration, job string) {
	t.Helper()
	assign(r, now, entryA, job, nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	r.Started(now, attemptOf(job, 1), StartAnswer{Outcome: StartAccepted})
	r.TakeEffects()
}

func finalReports(r *Runner) []Report {
	var out []Report
	for _, m := range effects[Report](r) {
		if m.State.Final() {
			out = append(out, m)
		}
	}
	return out
}

// Guards against a run that is given up, and started elsewhere, within its lease because its
// upstream refuses connections for a while.
func TestRefusedConnectionDoesNotEndRunsWithinTheirLease(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	if request := r.NextListRequest(begin + 50*time.Millisecond); request.LeaseEndMS == 0 {
		t.Fatal("the lease is not renewed")
	}
	r.ConnectionRefused(begin+60*time.Millisecond, begin+60*time.Millisecond, incarnation)
	if reports := finalReports(r); len(reports) != 0 {
		t.Errorf("the run was reported as ended %v before its lease ends: %v", r.settings.Lease-10*time.Millisecond, reports)
	}
}

// Guards against a run that outlives its entry: each start renews the lease of all runs, that
// of a run whose stop gets no answer included.
func TestStartDoesNotRenewTheLeaseOfAnUnstoppedRun(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.Tick(begin + r.settings.ConfirmationTimeout + time.Millisecond)
	if n := len(effects[StopRun](r)); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	overdue := begin + r.settings.ConfirmationTimeout + r.settings.StopAnswerTimeout + 20*time.Millisecond
	r.Tick(overdue)
	r.ListReceived(overdue, RunList{RequestedAt: overdue - time.Millisecond, ClockMS: 500 + int64((overdue-begin)/time.Millisecond),
		StartMS: incarnation.StartMS, Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	r.TakeEffects()
	if request := r.NextListRequest(overdue); request.LeaseEndMS != 0 {
		t.Fatalf("a list request renews the lease to %d", request.LeaseEndMS)
	}
	r.Connected(overdue, entryB)
	assign(r, overdue, entryB, "j2", nil)
	for _, m := range effects[StartRun](r) {
		t.Errorf("a start renews the lease of the unstopped run to %d, %d ms after its entry's last confirmation",
			m.LeaseEndMS, m.LeaseEndMS-500)
	}
}

// Guards against a run that outlives its entry: an agent that resumes after a pause requests a
// list before its next tick.
func TestLeaseOfASilentEntrysRunIsNotRenewedBeforeTheTick(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	resumed := begin + r.settings.ConfirmationTimeout + r.settings.StopAnswerTimeout + 300*time.Millisecond
	if request := r.NextListRequest(resumed); request.LeaseEndMS != 0 {
		t.Errorf("the lease is renewed to %d ms after the entry's last confirmation", request.LeaseEndMS-500)
	}
}

// Guards against runs of the present incarnation that are given up because a start command for
// the earlier one was refused.
func TestRefusalOfAnEarlierIncarnationsStartEndsNoRun(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	next := UpstreamID{ID: "u2", StartMS: incarnation.StartMS + 1}
	r.Announce(begin+time.Millisecond, Announcement{UpstreamID: next, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.ListReceived(begin+3*time.Millisecond, RunList{RequestedAt: begin + 2*time.Millisecond, ClockMS: 5, StartMS: next.StartMS})
	r.TakeEffects()
	startRun(t, r, begin+4*time.Millisecond, "j2")
	r.Started(begin+5*time.Millisecond, attemptOf("j1", 1), StartAnswer{Outcome: StartRefused, Reason: ReasonOtherIncarnation})
	for _, m := range finalReports(r) {
		if m.Attempt == attemptOf("j2", 1) {
			t.Errorf("the run of the present incarnation was given up: %v %q", m.State, m.Reason)
		}
	}
	if r.UpstreamID() != next {
		t.Errorf("upstream %v, want %v", r.UpstreamID(), next)
	}
}

// Guards against a run that is given up because lists lack it that the upstream made before it
// carried out the start command.
func TestListsRequestedBeforeTheConfirmationDoNotEndTheRun(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	confirmed := begin + 70*time.Millisecond
	r.Started(confirmed, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted})
	r.TakeEffects()
	for i := range time.Duration(maxMissingLists) {
		requested := begin + 17*time.Millisecond + i*listRetry
		r.ListReceived(confirmed+i*time.Millisecond, RunList{RequestedAt: requested, ClockMS: 520, StartMS: incarnation.StartMS})
	}
	if reports := finalReports(r); len(reports) != 0 {
		t.Errorf("the run was given up: %v", reports)
	}
}

// Guards against a run that starts after it was reported as ended: a withdrawal that overtakes
// its Assign has to bar the attempt, also if an ended run of another entry has the same number.
func TestWithdrawalBarsALateAssignAfterAnotherEntrysRun(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.ListReceived(begin+11*time.Millisecond, RunList{RequestedAt: begin + 10*time.Millisecond, ClockMS: 510, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("j1", 1), Kind: EndStopped}}})
	r.Connected(begin+20*time.Millisecond, entryB)
	r.TakeEffects()
	r.Withdraw(begin+30*time.Millisecond, entryB, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	if reports := finalReports(r); len(reports) != 1 {
		t.Fatalf("reports %v, want one of an end", reports)
	}
	assign(r, begin+31*time.Millisecond, entryB, "j1", nil)
	if n := len(effects[StartRun](r)); n != 0 {
		t.Error("the attempt starts after it was reported as ended")
	}
}
