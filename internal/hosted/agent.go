package hosted

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/boottime"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Upstream is the upstream beside the agent.
type Upstream interface {
	Start(ctx context.Context, s runner.StartRun, token uint64) (answer runner.StartAnswer, clock int64)
	Stop(ctx context.Context, s runner.StopRun, token uint64) (taken bool, clock int64, err error)
	ListRuns(ctx context.Context, id runner.UpstreamID, p runner.ListRequest, token uint64, wait time.Duration) (runner.RunList, error)
}

// AgentOptions configure an agent.
type AgentOptions struct {
	Process ProcessInfo
	Runner  runner.Settings
	Store   platform.Feed
	// Seeds are addresses of links that may lead to an entry.
	Seeds    []string
	Upstream Upstream
	// Token is higher than that of earlier agent processes on this host.
	Token uint64
	Log   *slog.Logger
}

// Agent runs tasks on the upstream beside it. Its methods are safe for
// concurrent use.
type Agent struct {
	options AgentOptions
	log     *slog.Logger
	started time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	core  *runner.Runner
	links map[runner.EntryID]*link
	// dials are the addresses that are being dialled, with the hosts' names
	// where they are known.
	dials  map[string]context.CancelFunc
	byHost map[string]string
	// starting are the orders to start that are under way.
	starting map[wire.LeasedAttempt]*startCall
	// wake has an element when the upstream may have to be asked for its runs.
	wake    chan struct{}
	listing *dependency
	memory  *memory
	// holdFailures counts the questions in a row that failed.
	holdFailures atomic.Uint32
}

// link is an open link to an entry.
type link struct {
	stream   *transport.Stream
	answered time.Duration
}

// startCall is an order to start that is under way.
type startCall struct {
	ctx    context.Context
	giveUp context.CancelFunc
}

// StartAgent starts an agent.
func StartAgent(o AgentOptions) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		options: o, log: o.Log, ctx: ctx, cancel: cancel,
		// A start well above zero: an echo of 0 is older than any limit.
		started:  boottime.Now() - time.Hour,
		core:     runner.New(o.Runner),
		links:    map[runner.EntryID]*link{},
		dials:    map[string]context.CancelFunc{},
		byHost:   map[string]string{},
		starting: map[wire.LeasedAttempt]*startCall{},
		wake:     make(chan struct{}, 1),
		memory:   newMemory(o.Store, o.Process.Host, o.Log),
		listing:  newDependency("upstream", o.Log),
	}
	a.core.SetToken(o.Token)
	for _, seed := range o.Seeds {
		a.dial(seed)
	}
	a.run(func() { follow(ctx, o.Store, hostsTable, hostsWait, o.Log, a.hostsChanged) })
	a.run(func() { a.memory.run(ctx, a.recall) })
	a.run(a.tick)
	a.run(a.holdLoop)
	return a
}

func (a *Agent) run(f func()) {
	a.tasks.Add(1)
	go func() {
		defer a.tasks.Done()
		f()
	}()
}

func (a *Agent) now() time.Duration { return boottime.Now() - a.started }

// do calls f with the core and then carries out the effects.
func (a *Agent) do(f func(now time.Duration, core *runner.Runner)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	f(now, a.core)
	for _, effect := range a.core.TakeEffects() {
		a.perform(now, effect)
	}
}

func (a *Agent) perform(now time.Duration, effect runner.Effect) {
	switch m := effect.(type) {
	case runner.StartRun:
		token := a.core.Token()
		call := &startCall{}
		call.ctx, call.giveUp = context.WithTimeout(a.ctx, a.options.Runner.CommandTimeout)
		a.starting[m.Attempt] = call
		a.run(func() { a.start(call, m, token) })
		a.wakeUp()
	case runner.StopRun:
		if call := a.starting[m.Attempt]; call != nil {
			call.giveUp()
		}
		token := a.core.Token()
		a.run(func() { a.stop(m, token) })
		a.wakeUp()
	case runner.Report:
		a.report(now, m)
	case runner.Decision:
		a.decided(m)
	case runner.ReadyChanged:
		a.log.Info("readiness changed", "ready", m.Ready)
		a.beat(now)
	case runner.Restored:
		a.log.Info("upstream recalled", "instance", m.ID, "born", m.StartMS, "draining", m.Draining)
	case runner.UpstreamRestarted:
		a.log.Warn("upstream has a new life", "old", m.Old.ID, "old_born", m.Old.StartMS, "new", m.New.ID, "new_born", m.New.StartMS)
	}
}

func (a *Agent) decided(m runner.Decision) {
	decisions(m.Action).Inc()
	if m.Action == "start" {
		queueTime.Update(m.Waited.Seconds())
	}
	a.log.Info(m.Action, "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
		"entry", m.Entry.Host, "reason", m.Reason, "free_cpu", m.FreeCPU, "waited_ms", m.Waited.Milliseconds())
}

func (a *Agent) report(now time.Duration, m runner.Report) {
	if m.State.Final() {
		decisions("end-" + m.State.String()).Inc()
		a.log.Info("end", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
			"entry", m.Entry.Host, "state", m.State.String(), "reason", m.Reason, "ran_ms", m.RunTime.Milliseconds())
	}
	l := a.links[m.Entry]
	if l == nil {
		return
	}
	a.send(m.Entry, l, &wire.RunReport{
		Attempt: m.Attempt, State: m.State, Reason: m.Reason,
		RanMS: uint32(m.RunTime / time.Millisecond), Load: a.core.Load(now, m.Entry),
	})
}

func (a *Agent) send(id runner.EntryID, l *link, m wire.Message) {
	if err := l.stream.Send(m); err != nil {
		a.log.Warn("message not sent", "entry", id.Host, "error", err.Error())
	}
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) tick() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var beat time.Duration
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		a.do(func(now time.Duration, core *runner.Runner) {
			core.Tick(now)
			if core.ListDue(now) {
				a.wakeUp()
			}
			if now-beat >= beatEvery {
				beat = now
				a.beat(now)
			}
		})
	}
}

// beat sends a beat on each link and closes those that are silent.
func (a *Agent) beat(now time.Duration) {
	for id, l := range a.links {
		if now-l.answered > linkSilence {
			a.log.Warn("link is silent", "entry", id.Host, "for_ms", (now - l.answered).Milliseconds())
			l.stream.Close()
			continue
		}
		a.send(id, l, &wire.AgentBeat{ClockMS: uint64(now / time.Millisecond), Load: a.core.Load(now, id)})
	}
}

// Announce handles what the upstream says of itself.
func (a *Agent) Announce(u runner.Announcement, clockMS int64) {
	a.do(func(now time.Duration, core *runner.Runner) {
		if core.Announce(now, u) {
			core.HeartbeatClock(now, clockMS)
			a.memory.keep(u)
		} else {
			a.log.Info("old heartbeat ignored", "instance", u.ID, "born", u.StartMS, "seq", u.Seq)
		}
	})
	a.wakeUp()
}

// Depart handles the upstream's goodbye.
func (a *Agent) UpstreamLeaving(id string) {
	a.log.Info("upstream departs", "instance", id)
	a.do(func(now time.Duration, core *runner.Runner) { core.UpstreamLeaving(now, id) })
}

// recall uses what the upstream has said to an earlier process of the agent.
func (a *Agent) recall(said runner.Announcement) {
	a.do(func(now time.Duration, core *runner.Runner) { core.Restore(now, said) })
	a.wakeUp()
}

const (
	// agentFinish is the part of the grace time after which runs are stopped.
	agentFinish = 0.75
)

// Leave refuses new tasks and lets running ones end. Those that take too long
// are stopped.
func (a *Agent) Drain(grace time.Duration) {
	begin := a.now()
	a.do(func(now time.Duration, core *runner.Runner) {
		core.Drain(now)
	})
	a.log.Info("leaving", "grace_ms", grace.Milliseconds())
	last := time.Duration(agentFinish * float64(grace))
	for a.now()-begin < last && a.running() > 0 {
		time.Sleep(leavePoll)
	}
	a.do(func(now time.Duration, core *runner.Runner) { core.StopAll(now, "agent-leaving") })
	for a.now()-begin < last+(grace-last)/2 && a.running() > 0 {
		time.Sleep(leavePoll)
	}
	// The last reports are still on their way.
	time.Sleep(leavePoll)
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Running()
}

// Stop ends the agent.
func (a *Agent) Stop() {
	a.cancel()
	a.tasks.Wait()
}
