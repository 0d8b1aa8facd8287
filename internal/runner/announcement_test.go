package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// newRestored returns a runner of a restarted agent, with a restored announcement of
// the upstream's incarnation that started at 7.
func newRestored(t *testing.T) *Runner {
	t.Helper()
	r := newStrict(t)
	r.SetToken(2)
	r.Connected(begin, entryA)
	r.Restore(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 9})
	r.TakeEffects()
	return r
}

// Guards against an agent that is idle after its restart until the upstream's next
// heartbeat, up to 1.5 s later.
func TestRestoredUpstreamGetsTasksAfterItsList(t *testing.T) {
	r := newRestored(t)
	if r.Load(begin, entryA).Ready {
		t.Fatal("ready before the first list")
	}
	r.ListReceived(begin, RunList{RequestedAt: begin, ClockMS: 500, StartMS: incarnation.StartMS})
	if !r.Load(begin, entryA).Ready {
		t.Fatal("not ready after the list of the restored incarnation")
	}
	assign(r, begin, entryA, "j1", nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
	if !r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1}) {
		t.Error("the upstream's own announcement is taken for an old one")
	}
}

// Guards against starts at an incarnation of the upstream whose capacity is not known,
// and at one that may be leaving without the agent's knowledge.
func TestInvalidRestoredAnnouncementIsNotUsed(t *testing.T) {
	t.Run("another incarnation", func(t *testing.T) {
		r := newRestored(t)
		r.ListReceived(begin, RunList{RequestedAt: begin, ClockMS: 500, StartMS: incarnation.StartMS + 1})
		if r.Load(begin, entryA).Ready {
			t.Error("ready with the capacity of another incarnation")
		}
	})
	t.Run("no heartbeat", func(t *testing.T) {
		r := newRestored(t)
		r.ListReceived(begin, RunList{RequestedAt: begin, ClockMS: 500, StartMS: incarnation.StartMS})
		r.Tick(begin + r.settings.RestoredMaxAge + time.Millisecond)
		if r.Load(begin+r.settings.RestoredMaxAge, entryA).Ready {
			t.Error("ready without a heartbeat for longer than RestoredMaxAge")
		}
	})
	t.Run("draining", func(t *testing.T) {
		r := New(DefaultSettings(1300*time.Millisecond, time.Second))
		r.Restore(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, Draining: true})
		r.ListReceived(begin, RunList{RequestedAt: begin, ClockMS: 500, StartMS: incarnation.StartMS})
		if r.Load(begin, entryA).Ready {
			t.Error("ready with an upstream that leaves")
		}
	})
	t.Run("after a heartbeat", func(t *testing.T) {
		r := newReady(t)
		r.Restore(begin, Announcement{UpstreamID: UpstreamID{ID: "old", StartMS: 1}, Service: "s", CPU: 5})
		if r.UpstreamID() != incarnation {
			t.Error("a restored announcement replaces the upstream's own")
		}
	})
}

// Guards against an attempt that is reported as not started although it may have run: its
// record was replaced by that of another entry's attempt with the same number.
func TestReplacedAttemptMayHaveRun(t *testing.T) {
	r := newReady(t)
	r.Connected(begin, entryB)
	assign(r, begin, entryA, "j1", nil)
	r.ListReceived(begin+time.Second, RunList{RequestedAt: begin + time.Second, ClockMS: 1500, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("j1", 1), Kind: EndDone}}})
	assign(r, begin+time.Second, entryB, "j1", nil)
	r.TakeEffects()
	r.Resume(begin+time.Second, entryA, wire.Resume{Attempts: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	if got := lastReport(t, r); got.Entry != entryA || got.State != wire.RunNotStarted || got.Reason != reasonLive {
		t.Errorf("report while the other entry's attempt is live: %+v", got)
	}
	r.ListReceived(begin+2*time.Second, RunList{RequestedAt: begin + 2*time.Second, ClockMS: 2500, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 2, Attempt: attemptOf("j1", 1), Kind: EndDone}}})
	r.TakeEffects()
	r.Withdraw(begin+2*time.Second, entryA, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	if got := lastReport(t, r); got.Entry != entryA || got.State != wire.RunStopped {
		t.Errorf("report after its end: %+v", got)
	}
}

// Guards against capacity that grows by tasks with a negative size.
func TestNegativeSizeIsRefused(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.CPU = -4000 })
	if got := lastReport(t, r); got.State != wire.RunNotStarted {
		t.Errorf("report %+v", got)
	}
	if l := r.Load(begin, entryA); l.FreeCPU != 10_000 {
		t.Errorf("%d thousandths of a core are free, want 10000", l.FreeCPU)
	}
}

// Guards against a task that waits for more than its upstream has left after its capacity
// has shrunk, and holds up all others.
func TestTaskAboveShrunkCapacityIsReturned(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.CPU = 9000 })
	assign(r, begin, entryA, "j2", func(m *wire.Assign) { m.CPU = 8000 })
	assign(r, begin, entryA, "j3", func(m *wire.Assign) { m.CPU, m.SlackMS = 2000, 50 })
	r.Announce(begin+100*time.Millisecond, Announcement{UpstreamID: incarnation, Service: "s", CPU: 5000, MemMB: 1000, Seq: 2})
	r.TakeEffects()
	r.ListReceived(begin+100*time.Millisecond, RunList{RequestedAt: begin + time.Second, ClockMS: 501, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("j1", 1), Kind: EndDone}}})
	if starts := effects[StartRun](r); len(starts) != 1 || starts[0].Attempt.Task.Job != "j3" {
		t.Errorf("starts %v, want that of j3", starts)
	}
	if a := r.attempts[attemptOf("j2", 1)]; a.state != wire.RunNotStarted || a.reason != "too-large" {
		t.Errorf("j2 is %v %q, want not started", a.state, a.reason)
	}
}

// Guards against starts on a capacity that may have shrunk since: the agent was paused, or its
// upstream's announcements did not arrive for longer than a shrunk capacity may be exceeded.
func TestOldAnnouncementStartsNothing(t *testing.T) {
	r := newReady(t)
	now := begin + r.settings.AnnouncementMaxAge + time.Millisecond
	r.Connected(now, entryA)
	assign(r, now, entryA, "j1", nil)
	if got := lastReport(t, r); got.State != wire.RunNotStarted || got.Reason != "not-ready" {
		t.Errorf("report %v %q, want not ready", got.State, got.Reason)
	}
	if r.Load(now, entryA).Ready {
		t.Error("ready on an old announcement")
	}
	r.Announce(now, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 2})
	assign(r, now, entryA, "j2", nil)
	if got := lastReport(t, r); got.State != wire.RunStarted {
		t.Errorf("after a new announcement: %v %q, want started", got.State, got.Reason)
	}
}

// Guards against an upstream that is filled to the capacity of its earlier incarnation because a
// list of the present one arrives before its announcement.
func TestIncarnationGetsNoTasksBeforeItsAnnouncement(t *testing.T) {
	r := newReady(t)
	next := UpstreamID{ID: incarnation.ID, StartMS: incarnation.StartMS + 1}
	list := func(now time.Duration) {
		r.ListReceived(now+time.Millisecond, RunList{RequestedAt: now, ClockMS: 5, StartMS: next.StartMS})
	}
	list(begin + 10*time.Millisecond)
	if r.Load(begin+12*time.Millisecond, entryA).Ready {
		t.Error("ready with the capacity of the earlier incarnation")
	}
	assign(r, begin+13*time.Millisecond, entryA, "j1", nil)
	if m := lastReport(t, r); m.State != wire.RunNotStarted {
		t.Errorf("%v, want not started", m.State)
	}
	r.Announce(begin+20*time.Millisecond, Announcement{UpstreamID: next, Service: "s", CPU: 4000, MemMB: 1000, Seq: 1})
	list(begin + 21*time.Millisecond)
	if l := r.Load(begin+23*time.Millisecond, entryA); !l.Ready || l.CapacityCPU != 4000 {
		t.Errorf("ready %v with %d thousandths of a core after the announcement, want 4000", l.Ready, l.CapacityCPU)
	}
}
