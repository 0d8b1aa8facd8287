package leased

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/boottime"
	"github.com/damasklb/damasklb/internal/linkplan"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Upstream calls the upstream on the agent's host.
type Upstream interface {
	Start(ctx context.Context, s runner.StartRun, token uint64) runner.StartAnswer
	Stop(ctx context.Context, s runner.StopRun, token uint64) (accepted bool, clock int64, err error)
	ListRuns(ctx context.Context, id runner.UpstreamID, p runner.ListRequest, token uint64, wait time.Duration) (runner.RunList, error)
}

// AgentOptions configures an agent.
type AgentOptions struct {
	Process ProcessInfo
	Runner  runner.Settings
	Store   platform.Feed
	// Seeds are addresses at which an entry may listen for agents. The agent dials
	// them at its start, before it has read the hosts table.
	Seeds []string
	// Evacuations describes the operators' evacuation requests in the store.
	Evacuations EvacuationOptions
	Upstream    Upstream
	// Token is the fencing token. It must be higher than the tokens of earlier agent
	// processes on this host.
	Token uint64
	Log   *slog.Logger
}

// Agent runs tasks on the upstream of its host. Its methods are safe for
// concurrent use.
type Agent struct {
	options    AgentOptions
	log        *slog.Logger
	clockZero  time.Duration
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	watch      coreWatch

	mu    sync.Mutex // guards the fields below
	core  *runner.Runner
	links map[runner.EntryID]*link
	// dials holds the addresses to which links are maintained, plan the choice of them.
	dials map[string]*dial
	plan  *linkplan.Plan
	// startCalls are the start commands without an answer so far.
	startCalls map[wire.LeasedAttempt]*startCall
	// notify has an element when the agent may have to ask the upstream for its
	// runs.
	notify        chan struct{}
	upstreamDep   *dependency
	announcements *announcementStore
	// listFailures counts the list requests that failed since the last success.
	listFailures atomic.Uint32
	// unreadableList is set while the upstream's lists have rows that cannot be read.
	unreadableList atomic.Bool
	// The rows of other writers among those of entries, of operators and of runs.
	malformedHosts, malformedOperator, malformedRuns *malformedRows
}

// link is an open link to an entry.
type link struct {
	tcp        *transport.TCPLink
	address    string
	lastAnswer time.Duration
	// lastHeartbeat is when the last heartbeat was sent.
	lastHeartbeat time.Duration
}

// startCall is a start command without an answer so far.
type startCall struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// StartAgent creates an agent and starts its goroutines.
func StartAgent(o AgentOptions) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		options: o, log: o.Log, ctx: ctx, cancel: cancel,
		clockZero:         boottime.Now() - agentClockStart,
		core:              runner.New(o.Runner),
		links:             map[runner.EntryID]*link{},
		dials:             map[string]*dial{},
		plan:              linkplan.New(o.Process.Host, o.Process.DataCentre, o.Seeds),
		startCalls:        map[wire.LeasedAttempt]*startCall{},
		notify:            make(chan struct{}, 1),
		announcements:     newAnnouncementStore(o.Store, o.Process.Host, o.Log),
		upstreamDep:       newDependency("upstream", o.Log),
		malformedHosts:    newMalformedRows(hostsTable, o.Log),
		malformedOperator: newMalformedRows(operatorRows, o.Log),
		malformedRuns:     newMalformedRows("runs", o.Log),
	}
	a.core.SetToken(o.Token)
	a.mu.Lock()
	a.applyPlan()
	a.mu.Unlock()
	a.spawn(func() { follow(ctx, o.Store, hostsTable, hostsWait, o.Log, a.hostsChanged) })
	a.spawn(func() { a.announcements.run(ctx, a.restore) })
	a.spawn(a.tick)
	a.spawn(func() { a.watch.run(ctx, a.now, o.Log) })
	a.spawn(a.listLoop)
	return a
}

// agentClockStart is the agent's clock at its start. It is so late that an echoed clock of 0
// is older than any limit.
const agentClockStart = time.Hour

func (a *Agent) spawn(f func()) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		f()
	}()
}

func (a *Agent) now() time.Duration { return boottime.Now() - a.clockZero }

// withCore calls f with the core under the lock and then carries out the effects.
func (a *Agent) withCore(f func(now time.Duration, core *runner.Runner)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	f(now, a.core)
	for _, effect := range a.core.TakeEffects() {
		a.perform(now, effect)
	}
}

// perform carries an effect out. It is called under the lock, so nothing in it may wait for
// another goroutine or for a connection.
func (a *Agent) perform(now time.Duration, effect runner.Effect) {
	switch m := effect.(type) {
	case runner.StartRun:
		token := a.core.Token()
		call := &startCall{}
		call.ctx, call.cancel = context.WithTimeout(a.ctx, a.options.Runner.CommandTimeout)
		a.startCalls[m.Attempt] = call
		a.spawn(func() { a.start(call, m, token) })
		a.notifyListLoop()
	case runner.StopRun:
		if call := a.startCalls[m.Attempt]; call != nil {
			call.cancel()
		}
		token := a.core.Token()
		a.spawn(func() { a.stop(m, token) })
		a.notifyListLoop()
	case runner.Report:
		a.report(now, m)
	case runner.Decision:
		a.logDecision(m)
	case runner.RunFound:
		a.logRunFound(m)
	case runner.Preempted:
		a.logPreempted(m)
	case runner.PreemptedEnded:
		a.logPreemptedEnded(m)
	case runner.ReadyChanged:
		a.log.Info("readiness changed", "ready", m.Ready)
		a.sendHeartbeats(now, true)
	case runner.QueryEvacuations:
		a.spawn(func() { a.queryEvacuations(m) })
	case runner.EvacuationChanged:
		a.log.Warn("evacuation changed", "evacuated", m.Evacuated, "request_version", m.Version,
			"running", m.Running, "returned", m.Returned)
	case runner.Restored:
		a.log.Info("upstream restored from the store", "instance", m.ID, "born", m.StartMS, "draining", m.Draining)
	case runner.UpstreamCrashed:
		a.logCrash(m)
		a.sendHeartbeats(now, true)
		a.announcements.saveCrash(time.Now(), m.Upstream.StartMS, m.Runs)
	case runner.CrashRetracted:
		a.log.Warn("upstream answers again, crash retracted", "instance", m.Upstream.ID, "born", m.Upstream.StartMS)
		retractedCrashes.Inc()
		a.sendHeartbeats(now, true)
		a.announcements.retractCrash(time.Now(), m.Upstream.StartMS)
	case runner.UpstreamRestarted:
		a.log.Warn("upstream restarted", "old", m.Old.ID, "old_born", m.Old.StartMS, "new", m.New.ID, "new_born", m.New.StartMS)
	}
}

// logCrash logs the runs under which an upstream has crashed, as job/task/run@age.
func (a *Agent) logCrash(m runner.UpstreamCrashed) {
	upstreamCrashes.Inc()
	crashedRuns.Add(len(m.Runs))
	runs := make([]string, len(m.Runs))
	for i, run := range m.Runs {
		id := run.Attempt
		runs[i] = fmt.Sprintf("%s/%d/%d@%dms", id.Task.Job, id.Task.Index, id.Run, run.AgeMS)
	}
	a.log.Warn("upstream crashed", "instance", m.Upstream.ID, "born", m.Upstream.StartMS, "runs", runs)
}

func (a *Agent) logDecision(m runner.Decision) {
	decisionCounter(m.Action).Inc()
	if m.Action == "start" {
		queueTime.Update(m.Waited.Seconds())
	}
	fields := []any{"job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
		"entry", m.Entry.Host, "reason", m.Reason, "free_cpu", m.FreeCPU, "waited_ms", m.Waited.Milliseconds()}
	if s := m.Start; s != nil {
		fields = append(fields, "entry_incarnation", m.Entry.Incarnation, "instance", s.Upstream.ID, "born", s.Upstream.StartMS,
			"token", s.Token, "lease_end_ms", s.LeaseEndMS, "confirmation_age_ms", s.ConfirmationAge.Milliseconds())
	}
	a.log.Info(m.Action, fields...)
}

func (a *Agent) report(now time.Duration, m runner.Report) {
	if m.State.Final() {
		decisionCounter("end-" + m.State.String()).Inc()
		a.log.Info("end", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
			"entry", m.Entry.Host, "state", m.State.String(), "reason", m.Reason, "ran_ms", m.RunTime.Milliseconds(),
			"list_age_ms", m.ListAge.Milliseconds(), "lease_age_ms", m.LeaseAge.Milliseconds(), "instance", m.Upstream.ID, "born", m.Upstream.StartMS)
	}
	l := a.links[m.Entry]
	if l == nil {
		return
	}
	a.send(m.Entry, l, &wire.RunReport{
		Attempt: m.Attempt, State: m.State, Reason: m.Reason,
		RanMS: uint32(m.RunTime / time.Millisecond), Load: a.loadFor(m.Entry, l, a.core.Load(now, m.Entry)),
	})
}

func (a *Agent) send(id runner.EntryID, l *link, m wire.Message) {
	if err := l.tcp.Send(m); err != nil {
		a.log.Warn("message not sent", "entry", id.Host, "error", err.Error())
	}
}

func (a *Agent) notifyListLoop() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

func (a *Agent) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastCheck time.Duration
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		a.withCore(func(now time.Duration, core *runner.Runner) {
			core.Tick(now)
			if core.ListDue(now) {
				a.notifyListLoop()
			}
			if now-lastCheck >= heartbeatCheckInterval {
				lastCheck = now
				a.sendHeartbeats(now, false)
				a.closeReleased(now)
			}
		})
		a.watch.ticks.Add(1)
	}
}

// sendHeartbeats sends the heartbeats that are due, or all of them, and closes links that
// are silent.
func (a *Agent) sendHeartbeats(now time.Duration, all bool) {
	load := a.core.Load(now, runner.EntryID{})
	for id, l := range a.links {
		if a.core.LinkSilent(id, now-l.lastAnswer) {
			a.log.Warn("link is silent; closing it", "entry", id.Host, "for_ms", (now - l.lastAnswer).Milliseconds())
			l.tcp.Close()
			continue
		}
		if all || a.heartbeatDue(now, id, l) {
			a.sendHeartbeat(now, id, l, load)
		}
	}
}

func (a *Agent) heartbeatDue(now time.Duration, id runner.EntryID, l *link) bool {
	// Checks are not exactly heartbeatCheckInterval apart.
	return now-l.lastHeartbeat >= a.core.HeartbeatInterval(id)-heartbeatCheckInterval/2
}

func (a *Agent) sendHeartbeat(now time.Duration, id runner.EntryID, l *link, load wire.Load) {
	l.lastHeartbeat = now
	a.send(id, l, &wire.AgentBeat{
		ClockMS: uint64(now / time.Millisecond), Load: a.loadFor(id, l, load), Relaxed: !a.core.HasTasksOf(id),
		Crashes: a.core.TakeCrashes(now, id),
	})
}

// loadFor adapts the upstream's load to an entry. One whose link is no longer wanted gets no
// more tasks.
func (a *Agent) loadFor(id runner.EntryID, l *link, load wire.Load) wire.Load {
	load.LastSeq = a.core.LastSeq(id)
	if d := a.dials[l.address]; d != nil && d.releasing {
		load.Ready = false
	}
	return load
}

// Announce handles a heartbeat of the upstream.
func (a *Agent) Announce(u runner.Announcement, clockMS int64) {
	var stored <-chan struct{}
	shrunk := false
	a.withCore(func(now time.Duration, core *runner.Runner) {
		cpu, memMB := core.Capacity()
		if core.Announce(now, u) {
			shrunk = u.CPU < cpu || u.MemMB < memMB
			core.HeartbeatClock(now, clockMS)
			stored = a.announcements.save(u)
		} else {
			a.log.Info("old heartbeat ignored", "instance", u.ID, "born", u.StartMS, "seq", u.Seq)
		}
	})
	a.notifyListLoop()
	if u.Draining || shrunk {
		a.awaitStored(stored)
	}
}

// UpstreamLeaving handles the upstream's message that it leaves.
func (a *Agent) UpstreamLeaving(id string) {
	a.log.Info("upstream leaves", "instance", id)
	var stored <-chan struct{}
	a.withCore(func(now time.Duration, core *runner.Runner) {
		if left, ok := core.UpstreamLeaving(now, id); ok {
			stored = a.announcements.save(left)
		}
	})
	a.awaitStored(stored)
}

// leaveStoreTimeout bounds the wait until the store has the notice that an upstream
// leaves. The upstream gives up on an acknowledgement after a second.
const leaveStoreTimeout = 300 * time.Millisecond

// awaitStored waits until an announcement is stored, so that a next process of the agent
// does not use an upstream whose notice that it leaves has been acknowledged, or more than
// what is left of its capacity. While the store is out of reach, the notice is acknowledged without it.
func (a *Agent) awaitStored(stored <-chan struct{}) {
	if stored == nil {
		return
	}
	timer := time.NewTimer(leaveStoreTimeout)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
		a.log.Warn("notice of the upstream not stored in time", "after_ms", leaveStoreTimeout.Milliseconds())
	case <-a.ctx.Done():
	}
}

// restore uses the announcement that the upstream sent to an earlier process of
// the agent, and the crashes that this process has seen.
func (a *Agent) restore(stored runner.Announcement, crashes []wire.UpstreamCrash) {
	a.withCore(func(now time.Duration, core *runner.Runner) {
		core.RestoreCrashes(now, crashes)
		core.Restore(now, stored)
	})
	a.notifyListLoop()
}

const (
	// agentDrainShare is the share of the grace time after which the agent stops
	// its runs.
	agentDrainShare = 0.75
)

// Drain prepares the shutdown: it refuses new tasks, waits for running ones to end,
// and stops those that take too long.
func (a *Agent) Drain(grace time.Duration) {
	begin := a.now()
	a.withCore(func(now time.Duration, core *runner.Runner) {
		core.Drain(now)
	})
	a.log.Info("leaving", "grace_ms", grace.Milliseconds())
	finishTime := time.Duration(agentDrainShare * float64(grace))
	for a.now()-begin < finishTime && a.running() > 0 {
		time.Sleep(drainPollInterval)
	}
	a.withCore(func(now time.Duration, core *runner.Runner) { core.StopAll(now, "agent-leaving") })
	for a.now()-begin < finishTime+(grace-finishTime)/2 && a.running() > 0 {
		time.Sleep(drainPollInterval)
	}
	// The links still have to transmit the last reports.
	time.Sleep(drainPollInterval)
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Running()
}

// Stop closes all links and waits for the agent's goroutines.
func (a *Agent) Stop() {
	a.cancel()
	a.goroutines.Wait()
}
