package leased

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// malformedListUpstream runs what it is told to, and answers each list request at once, with a row that
// cannot be read.
type malformedListUpstream struct {
	asked atomic.Int64
	runs  atomic.Pointer[wire.LeasedAttempt]
}

func (u *malformedListUpstream) Start(_ context.Context, s runner.StartRun, _ uint64) runner.StartAnswer {
	u.runs.Store(&s.Attempt)
	return runner.StartAnswer{Outcome: runner.StartAccepted, ClockMS: 1000}
}

func (u *malformedListUpstream) Stop(context.Context, runner.StopRun, uint64) (bool, int64, error) {
	return true, 1000, nil
}

func (u *malformedListUpstream) ListRuns(_ context.Context, _ runner.UpstreamID, p runner.ListRequest, _ uint64, _ time.Duration) (runner.RunList, error) {
	u.asked.Add(1)
	l := runner.RunList{Request: p, ClockMS: 1000, StartMS: 7, MalformedRows: []string{"[null]"}}
	if a := u.runs.Load(); a != nil {
		l.Running = []wire.LeasedAttempt{*a}
	}
	return l, nil
}

// Guards against list requests without a pause while an end that cannot be read, and thus never be
// acknowledged, answers each of them at once, and against a log line for each.
func TestUnreadableEndDoesNotCauseListRequestsWithoutPause(t *testing.T) {
	var log logBuffer
	u := &malformedListUpstream{}
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: &feed{},
		Upstream: u, Token: 1, Log: slog.New(slog.NewTextHandler(&log, nil)),
	})
	defer a.Stop()
	entry := runner.EntryID{Host: "e1", Incarnation: "1"}
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	confirm := func() {
		a.withCore(func(now time.Duration, core *runner.Runner) {
			core.Connected(now, entry)
			core.Confirm(entry, now)
		})
	}
	eventually(t, "no task is started", func() bool {
		confirm()
		a.withCore(func(now time.Duration, core *runner.Runner) {
			if core.Load(now, entry).Ready {
				core.Assign(now, entry, wire.Assign{Attempt: wire.LeasedAttempt{Task: wire.LeasedTask{Job: "j1"}, Run: 1}, Service: "s", CPU: 1000, EchoMS: uint64(now / time.Millisecond)})
			}
		})
		return u.runs.Load() != nil
	})
	before := u.asked.Load()
	for range 5 {
		confirm()
		time.Sleep(100 * time.Millisecond)
	}
	if n := u.asked.Load() - before; n < 5 || n > 80 {
		t.Errorf("%d list requests in half a second, want 5 to 80", n)
	}
	if a.running() != 1 || log.count("invalid row") != 1 {
		t.Errorf("%d runs, %d log lines about invalid rows", a.running(), log.count("invalid row"))
	}
}
