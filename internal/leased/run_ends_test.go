package leased

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// replacedUpstream is an upstream whose first incarnation has ended: list requests for it are
// refused, but their failure is handled only once release is closed.
type replacedUpstream struct {
	release chan struct{}
	present runner.UpstreamID
	// run is set once a run has started.
	run atomic.Pointer[wire.LeasedAttempt]
}

func (u *replacedUpstream) Start(_ context.Context, s runner.StartRun, _ uint64) runner.StartAnswer {
	u.run.Store(&s.Attempt)
	return runner.StartAnswer{Outcome: runner.StartAccepted, ClockMS: 1000}
}

func (u *replacedUpstream) Stop(context.Context, runner.StopRun, uint64) (bool, int64, error) {
	return true, 1000, nil
}

func (u *replacedUpstream) ListRuns(ctx context.Context, id runner.UpstreamID, p runner.ListRequest, _ uint64, wait time.Duration) (runner.RunList, error) {
	out := runner.RunList{Request: p, ClockMS: 1000, StartMS: u.present.StartMS}
	if id != u.present {
		<-u.release
		return out, fault.ConnectionRefused.New("connection refused")
	}
	sleep(ctx, wait)
	if run := u.run.Load(); run != nil {
		out.Running = []wire.LeasedAttempt{*run}
	}
	return out, nil
}

// startWith starts an agent without entries beside an upstream.
func startWith(t *testing.T, u Upstream) *Agent {
	t.Helper()
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: &feed{},
		Upstream: u, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(a.Stop)
	return a
}

// Guards against runs that are given up and started elsewhere because a request to the earlier
// incarnation of their upstream was refused.
func TestRefusedRequestToAnEarlierIncarnationEndsNoRun(t *testing.T) {
	entry := runner.EntryID{Host: "e1", Incarnation: "1"}
	u := &replacedUpstream{release: make(chan struct{}), present: runner.UpstreamID{ID: "u2", StartMS: 2}}
	a := startWith(t, u)
	announce := func(id runner.UpstreamID) {
		a.Announce(runner.Announcement{UpstreamID: id, Service: "s", CPU: 1000, MemMB: 1000, Seq: 1}, 1000)
	}
	state := func() (id runner.UpstreamID, ready bool, running int) {
		a.withCore(func(now time.Duration, core *runner.Runner) {
			id, ready, running = core.UpstreamID(), core.Load(now, entry).Ready, core.Running()
		})
		return id, ready, running
	}
	announce(runner.UpstreamID{ID: "u1", StartMS: 1})
	time.Sleep(20 * time.Millisecond)
	announce(u.present)
	eventually(t, "the agent does not get ready", func() bool { _, ready, _ := state(); return ready })
	a.withCore(func(now time.Duration, core *runner.Runner) {
		core.Connected(now, entry)
		core.Assign(now, entry, wire.Assign{Attempt: wire.LeasedAttempt{Task: wire.LeasedTask{Job: "j1"}, Run: 1}, Service: "s", CPU: 500, MemMB: 1, EchoMS: uint64(now / time.Millisecond)})
	})
	if _, _, running := state(); running != 1 {
		t.Fatalf("%d runs, want 1", running)
	}
	close(u.release)
	time.Sleep(50 * time.Millisecond)
	if id, _, running := state(); id != u.present || running != 1 {
		t.Errorf("upstream %v with %d runs, want %v with 1", id, running, u.present)
	}
}

// slowStarts is an upstream whose answers to the starts of its first incarnation are handled
// only once release is closed.
type slowStarts struct {
	release chan struct{}
	// present is the start time of the incarnation that answers lists.
	present atomic.Int64
	// leaseEnds holds the ends of the lease in starts for the second incarnation.
	leaseEnds chan int64
}

func (u *slowStarts) Start(_ context.Context, s runner.StartRun, _ uint64) runner.StartAnswer {
	if s.Upstream.StartMS == 1 {
		<-u.release
		return runner.StartAnswer{Outcome: runner.StartAccepted, ClockMS: 500_000}
	}
	u.leaseEnds <- s.LeaseEndMS
	return runner.StartAnswer{Outcome: runner.StartAccepted, ClockMS: 1000}
}

func (u *slowStarts) Stop(context.Context, runner.StopRun, uint64) (bool, int64, error) {
	return true, 1000, nil
}

func (u *slowStarts) ListRuns(_ context.Context, _ runner.UpstreamID, p runner.ListRequest, _ uint64, _ time.Duration) (runner.RunList, error) {
	return runner.RunList{Request: p, ClockMS: 1000, StartMS: u.present.Load()}, nil
}

// Guards against a lease that is longer than its agent and the entries assume, because it was
// computed from the clock in a late answer of the earlier incarnation.
func TestClockOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	entry := runner.EntryID{Host: "e1", Incarnation: "1"}
	u := &slowStarts{release: make(chan struct{}), leaseEnds: make(chan int64, 1)}
	a := startWith(t, u)
	announce := func(startMS int64) {
		u.present.Store(startMS)
		a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: startMS}, Service: "s", CPU: 1000, MemMB: 1000, Seq: 1}, 1000)
	}
	assign := func(job string) {
		a.withCore(func(now time.Duration, core *runner.Runner) {
			core.Connected(now, entry)
			core.Assign(now, entry, wire.Assign{Attempt: wire.LeasedAttempt{Task: wire.LeasedTask{Job: job}, Run: 1},
				Service: "s", CPU: 500, MemMB: 1, EchoMS: uint64(now / time.Millisecond)})
		})
	}
	idle := func(what string) {
		eventually(t, what, func() bool {
			ok := false
			a.withCore(func(now time.Duration, core *runner.Runner) { ok = core.Load(now, entry).Ready && core.Running() == 0 })
			return ok
		})
	}
	announce(1)
	idle("the agent does not get ready")
	assign("j1")
	announce(2)
	idle("the start for the earlier incarnation is not given up")
	close(u.release)
	time.Sleep(20 * time.Millisecond)
	assign("j2")
	// Since the clock of 1000 was read, the test has taken less than a second.
	if end := <-u.leaseEnds; end > 3000 {
		t.Errorf("the lease ends at %d on the upstream's clock, which is at 1000", end)
	}
}
