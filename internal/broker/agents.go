package broker

import (
	"iter"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/agentlink"
	"github.com/damasklb/damasklb/internal/wire"
)

// agent is the broker's state of an agent and its upstream.
type agent struct {
	agentlink.Agent
	// key is the agent's key in Broker.agents: its host, or for a process that has
	// ended, its host and incarnation.
	key   string
	tasks taskList
	// quarantined is whether the upstream is for quarantined queues.
	quarantined bool
	// suspects is the number of tasks whose attempt is a trial.
	suspects int
}

func (b *Broker) links() iter.Seq[*agentlink.Agent] {
	return func(yield func(*agentlink.Agent) bool) {
		for _, a := range b.agentList {
			if !yield(&a.Agent) {
				return
			}
		}
	}
}

// Connected handles a new link from an agent and reports whether it is used. Links
// that were opened while the entry was paused arrive in any order, so a link is
// refused unless it is certainly not older than the one that the broker has:
//   - Of two processes on a host, the one that was alive after the other was known is
//     the later one. No clock of a host decides this.
//   - Of two links of a process, the later one has the later clock.
//
// An agent whose link is refused dials again, and the new link shows the order.
func (b *Broker) Connected(now time.Duration, l agentlink.Link) bool {
	b.heard(now)
	a := b.agents[l.Agent.Host]
	if a != nil && a.Outdated(l) {
		b.emit(Decision{Agent: l.Agent.Host, Action: "refuse-link", Reason: "process-order-unknown", ReportAge: now - a.HeartbeatAt})
		return false
	}
	if a != nil && a.ID != l.Agent {
		// A new process of the agent. It takes no task before it has ended all
		// runs of the earlier one, whose outcomes are lost.
		b.loseTasks(now, a, "agent-restarted", true)
		a = nil
	}
	if a == nil {
		a = &agent{Agent: agentlink.Agent{ID: l.Agent, IntroducedAt: l.HelloReceivedAt}, key: l.Agent.Host, tasks: taskList{kind: agentTasks}}
		b.agents[a.key] = a
		b.agentList = append(b.agentList, a)
		b.updateQuarantine(now)
	} else if a.RunsEnded(now, &b.settings.Limits) {
		a.assumeStarted()
	}
	a.Connected = true
	a.DataCentre = l.DataCentre
	a.Evacuated = b.evacuations.Evacuated(a.DataCentre)
	a.EvacuationsSentAt = 0
	a.View.Reset()
	if a.tasks.count > 0 {
		m := &wire.Resume{}
		for t := range a.tasks.all() {
			m.Attempts = append(m.Attempts, t.attempt())
		}
		b.send(a, m)
	}
	for t := range a.tasks.all() {
		if t.withdrawn {
			b.withdraw(now, t, t.onlyIfWaiting)
		}
	}
	return true
}

// Disconnected handles the end of an agent's link.
func (b *Broker) Disconnected(id AgentID) {
	if a := b.agents[id.Host]; a != nil && a.ID == id {
		a.Connected = false
	}
}

// Heartbeat handles an agent's heartbeat and confirms the agent's tasks.
func (b *Broker) Heartbeat(now time.Duration, id AgentID, m wire.AgentBeat) {
	a := b.agents[id.Host]
	if a == nil || a.ID != id {
		return
	}
	b.heard(now)
	if m.Load.Ready && !b.HasAgent(now) {
		b.agentsExpectedUntil = now + agentArrivalWindow
	}
	if a.Heartbeat(now, &m) {
		b.updateQuarantine(now)
	}
	for _, c := range m.Crashes {
		b.CrashReported(now, id.Host, c)
	}
	if a.tasks.count > 0 || !m.Relaxed || now-a.ConfirmedAt >= idleAnswerInterval {
		b.confirm(now, a, &wire.EntryBeat{EchoMS: a.EchoMS})
	}
	if m.Load.Ready || m.Load.Evacuated {
		b.expireRetainedTasks(now, id.Host)
	}
	if m.Load.Ready {
		b.agentReported(now)
	}
	b.reported(now, a)
}

// heard notes a message of an agent.
func (b *Broker) heard(now time.Duration) {
	if absent := b.absence.Heard(now); absent > 0 {
		// The closes that were held up arrive first.
		b.suspendedUntil = max(b.suspendedUntil, now+b.settings.ResumeDelay)
		b.emit(Decision{Action: "out-of-touch", Wait: absent, Tasks: len(b.jobs)})
	}
}

// confirm sends an agent a confirmation of its tasks.
func (b *Broker) confirm(now time.Duration, a *agent, m *wire.EntryBeat) {
	a.ConfirmedAt = now
	b.addEvacuations(now, a, m)
	b.send(a, m)
}

// idleAnswerInterval is the time between two answers to relaxed heartbeats. The agent needs
// them only to notice a silent link.
const idleAnswerInterval = 350 * time.Millisecond

// expireSilentAgents gives up the tasks of agents that have been unreachable for so
// long that their runs have ended.
func (b *Broker) expireSilentAgents(now time.Duration) {
	for _, a := range slices.Clone(b.agentList) {
		if !a.RunsEnded(now, &b.settings.Limits) {
			continue
		}
		b.loseTasks(now, a, "agent-silent", false)
		if !a.Connected {
			b.removeAgent(a)
		}
	}
}

// assumeStarted marks the jobs of the agent's tasks as ones that may have run. Once the
// runs have ended, the agent may have dropped their records and reports them as not
// started.
func (a *agent) assumeStarted() {
	for t := range a.tasks.all() {
		t.job.started, t.job.cutShort = true, true
	}
}

// loseTasks gives up all tasks of an agent, whose outcomes will never be known. If
// wait is set, their runs may continue for a while, so the tasks are placed again
// only later.
func (b *Broker) loseTasks(now time.Duration, a *agent, reason string, wait bool) {
	for _, t := range slices.Collect(a.tasks.all()) {
		b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Agent: a.ID.Host, Action: "lost", Reason: reason, ReportAge: now - a.HeartbeatAt})
		t.job.started, t.job.cutShort = true, true
		if wait {
			continue
		}
		t.notePrevious(now, "lost", reason)
		b.detach(t)
		b.runLost(now, t)
		b.placeAgain(now, t)
		b.resolve(now, t.job)
	}
	if wait {
		b.retainTasks(a)
	}
}

// retainTasks retains the tasks of an agent process that has ended, under a key of
// their own, until their runs have certainly ended.
func (b *Broker) retainTasks(a *agent) {
	a.Connected = false
	b.removeAgent(a)
	if a.tasks.count > 0 {
		a.key = a.ID.Host + "/" + a.ID.Incarnation
		b.agents[a.key] = a
		b.agentList = append(b.agentList, a)
		b.retained[a.ID.Host] = append(b.retained[a.ID.Host], a)
	}
}

func (b *Broker) removeAgent(a *agent) {
	delete(b.agents, a.key)
	same := func(o *agent) bool { return o == a }
	b.agentList = slices.DeleteFunc(b.agentList, same)
	if a.key == a.ID.Host {
		return
	}
	if b.retained[a.ID.Host] = slices.DeleteFunc(b.retained[a.ID.Host], same); len(b.retained[a.ID.Host]) == 0 {
		delete(b.retained, a.ID.Host)
	}
}

// expireRetainedTasks gives up the tasks of earlier agent processes on a host. The
// present one is ready, so it has found that none of their runs is left.
func (b *Broker) expireRetainedTasks(now time.Duration, host string) {
	for _, a := range slices.Clone(b.retained[host]) {
		b.removeAgent(a)
		b.restartedUnder(now, a)
		b.loseTasks(now, a, "agent-restarted", false)
	}
}

// detach removes a task from its agent.
func (b *Broker) detach(t *task) {
	a := t.agent
	a.tasks.remove(t)
	t.agent = nil
	t.job.countPlaced(a, t, -1)
	t.started = false
	t.withdrawn = false
	if t.trial != wire.TrialNone {
		t.trial = wire.TrialNone
		a.suspects--
	}
}
