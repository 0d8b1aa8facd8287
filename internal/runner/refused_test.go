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
	if l := r.Load(refused, entryA); l.Ready || l.FreeCPU != 0 {
		t.Errorf("ready %v with %d free cores", l.Ready, l.FreeCPU)
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

// Guards against runs that are started elsewhere while they go on, because their upstream refuses
// connections, and against waiting for them once their lease has expired.
func TestRefusedConnectionEndsNoRunBeforeItsLease(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	confirmRun(r, begin+10*time.Millisecond, "j1")
	renewed := begin + 100*time.Millisecond
	r.Confirm(entryA, renewed)
	r.NextListRequest(renewed)
	refused := renewed + 20*time.Millisecond
	r.Confirm(entryA, refused)
	r.NextListRequest(refused)
	r.ConnectionRefused(refused+time.Millisecond, refused, incarnation)
	lapsed := renewed + r.lapse(r.settings.Lease)
	for now := refused; now <= lapsed; now += 10 * time.Millisecond {
		r.Confirm(entryA, now)
		r.Tick(now)
		if reports := finalReports(r); len(reports) != 0 {
			t.Fatalf("%v before the renewal: %v", now-renewed, reports)
		}
	}
	r.Tick(lapsed + time.Millisecond)
	if m := lastReport(t, r); m.State != wire.RunStopped || m.Reason != reasonGone {
		t.Errorf("%v %q once the lease has expired, want stopped as %s", m.State, m.Reason, reasonGone)
	}
}

// Guards against an upstream that is of no use until its next announcement, after it has refused
// connections for longer than its lease.
func TestUpstreamIsUsedAgainOnceItAnswers(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	confirmRun(r, begin+10*time.Millisecond, "j1")
	refused := begin + 20*time.Millisecond
	r.ConnectionRefused(refused, refused, incarnation)
	now := begin + time.Second
	r.Confirm(entryA, now)
	r.Tick(now)
	if request := r.NextListRequest(now); !request.Needed || r.Running() != 0 {
		t.Fatalf("%d runs, a list is requested: %v; want none and true", r.Running(), request.Needed)
	}
	r.ListReceived(now+time.Millisecond, RunList{RequestedAt: now, ClockMS: 1500, StartMS: incarnation.StartMS})
	if l := r.Load(now+2*time.Millisecond, entryA); !l.Ready || l.FreeCPU == 0 {
		t.Errorf("ready %v with %d free cores after a list", l.Ready, l.FreeCPU)
	}
}

// Guards against a crash that counts against the runs of an upstream that has only been out of
// reach, and against its next crash being left out.
func TestCrashIsRetractedWhenTheUpstreamAnswers(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	refused := begin + 20*time.Millisecond
	r.ConnectionRefused(refused, refused, incarnation)
	if got := r.TakeCrashes(refused, entryA); len(got) != 1 || len(got[0].Runs) != 1 || got[0].Retracted {
		t.Fatalf("crashes %+v, want one with the run of j1", got)
	}
	now := begin + 300*time.Millisecond
	r.ListReceived(now+time.Millisecond, RunList{RequestedAt: now, ClockMS: 800, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	if got := r.TakeCrashes(now, entryA); len(got) != 1 || !got[0].Retracted || got[0].StartMS != incarnation.StartMS {
		t.Errorf("crashes %+v, want the retraction", got)
	}
	r.Connected(now, entryB)
	if got := r.TakeCrashes(now, entryB); len(got) != 1 || !got[0].Retracted {
		t.Errorf("a later entry gets %+v, want the retraction only", got)
	}
	r.ConnectionRefused(now+10*time.Millisecond, now+10*time.Millisecond, incarnation)
	if got := r.TakeCrashes(now+10*time.Millisecond, entryA); len(got) != 1 || got[0].Retracted {
		t.Errorf("crashes %+v, want the second one", got)
	}
}

// Guards against an upstream that is ignored after a crash because the clock of its host has
// stepped back, and against one that is replaced by an earlier incarnation while it has runs.
func TestEarlierStartTimeIsAcceptedOnceNoRunIsLeft(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	confirmRun(r, begin+10*time.Millisecond, "j1")
	refused := begin + 20*time.Millisecond
	r.ConnectionRefused(refused, refused, incarnation)
	earlier := Announcement{UpstreamID: UpstreamID{ID: "u2", StartMS: incarnation.StartMS - 1}, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1}
	if r.Announce(refused, earlier) {
		t.Error("used while a run may be left")
	}
	now := begin + time.Second
	r.Tick(now)
	if !r.Announce(now, earlier) || r.UpstreamID() != earlier.UpstreamID {
		t.Error("ignored although no run is left")
	}
}

// Guards against a crash that counts for good if the upstream was out of reach for longer than its
// announcement is valid.
func TestCrashIsRetractedAfterALongCut(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	r.ConnectionRefused(begin+20*time.Millisecond, begin+20*time.Millisecond, incarnation)
	now := begin + r.settings.AnnouncementMaxAge + time.Second
	r.Tick(now)
	if r.UpstreamID() != (UpstreamID{}) {
		t.Fatal("the upstream is not given up")
	}
	r.Announce(now, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 9})
	r.TakeEffects()
	confirmRun(r, now+time.Millisecond, "other")
	if got := effects[CrashRetracted](r); len(got) != 1 || got[0].Upstream.StartMS != incarnation.StartMS {
		t.Errorf("retractions %+v, want one", got)
	}
}

// confirmRun handles a list that shows a run.
func confirmRun(r *Runner, now time.Duration, job string) {
	r.ListReceived(now, RunList{RequestedAt: now, ClockMS: 500 + int64((now-begin)/time.Millisecond), StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf(job, 1)}})
}
