package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a run of a caller that has left whose lease is renewed while its stop has no answer.
func TestLeaseOfAnUnstoppedRunIsNotRenewedWhileItsEntryConfirms(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.Withdraw(begin+10*time.Millisecond, entryA, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	now := begin + 10*time.Millisecond + r.settings.StopAnswerTimeout + time.Millisecond
	r.Confirm(entryA, now)
	if request := r.NextListRequest(now); request.LeaseEndMS != 0 {
		t.Error("the lease is renewed")
	}
	r.TakeEffects()
	assign(r, now, entryA, "j2", func(m *wire.Assign) { m.OnlyIfFits = true })
	if m := lastReport(t, r); m.Reason != "no-room" {
		t.Errorf("%v %q, want no-room", m.State, m.Reason)
	}
}

// Guards against an upstream with a closed listener whose lease is renewed, that gets tasks, that is
// never given up, or that never gets tasks again.
func TestUpstreamWithAClosedListener(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.NextListRequest(begin + 5*time.Millisecond)
	refused := begin + 10*time.Millisecond
	r.ConnectionRefused(refused, refused, incarnation)
	if request := r.NextListRequest(refused); request.LeaseEndMS != 0 {
		t.Error("the lease is renewed")
	}
	if r.Load(refused, entryA).Ready {
		t.Error("the agent is ready")
	}
	for now := refused; now < begin+3*time.Second; now += 20 * time.Millisecond {
		r.Confirm(entryA, now)
		r.Tick(now)
	}
	if reports := finalReports(r); len(reports) != 1 {
		t.Errorf("reports %v, want one", reports)
	}

	r = newReady(t)
	startRun(t, r, begin, "j1")
	r.ConnectionRefused(refused, refused, incarnation)
	r.ListReceived(refused+2*time.Millisecond, RunList{RequestedAt: refused + time.Millisecond, ClockMS: 512, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	if !r.Load(refused+3*time.Millisecond, entryA).Ready {
		t.Error("the agent stays unready after a list")
	}
	if request := r.NextListRequest(refused + 4*time.Millisecond); request.LeaseEndMS == 0 {
		t.Error("the lease is not renewed after a list")
	}
}
