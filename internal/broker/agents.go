package broker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damasklb/damasklb/internal/capacity"
	"github.com/damasklb/damasklb/internal/wire"
)

// agent is the broker's state of an agent and its upstream.
type agent struct {
	id AgentID
	// key is the agent's key in Broker.agents: its host, or for a process that has
	// ended, its host and incarnation.
	key        string
	dataCentre string
	connected  bool
	// introducedAt is when the process's first Hello arrived: the process had started
	// by then.
	introducedAt time.Duration
	// heartbeatAt is when the last heartbeat arrived, echoMS the highest agent clock
	// in a heartbeat so far.
	heartbeatAt time.Duration
	echoMS      uint64
	// confirmedAt is when the agent was last sent a confirmation of its tasks, by an
	// EntryBeat or an Assign.
	confirmedAt time.Duration
	// view is what is known of the upstream's capacity.
	view capacity.View
	// reportAt is when the last report arrived, queriedAt when the agent was last asked
	// for one.
	reportAt, queriedAt time.Duration
	tasks               []*task
	avoidUntil          time.Duration
	// service is the last known service of the upstream, quarantined whether the upstream
	// is for quarantined queues.
	service     string
	quarantined bool
	// capacityCPU and capacityMem are the last known capacity of the upstream.
	capacityCPU, capacityMem int
	// rank orders the agents in the quarantine.
	rank uint64
	// suspects is the number of tasks whose attempt is a trial.
	suspects int
	// evacuated is whether the agent's data centre is being emptied, as this entry knows.
	evacuated bool
	// evacuationsSentAt is when the agent was last told of evacuations on this link; 0
	// means never.
	evacuationsSentAt time.Duration
}

// present reports whether the agent's link and upstream are in order, and its data centre
// is not being emptied.
func (a *agent) present(now time.Duration, s *Settings) bool {
	return a.view.Load.Ready && !a.evacuated && a.inOrder(now, s)
}

// inOrder reports whether the agent's link and upstream are in order.
func (a *agent) inOrder(now time.Duration, s *Settings) bool {
	return a.connected && (a.view.Load.Ready || a.view.Load.Evacuated) && !a.view.Load.Draining && now >= a.avoidUntil &&
		now-a.heartbeatAt <= s.HeartbeatTimeout
}

// usable reports whether the agent may get tasks: it is present and reacts to those that it
// was sent.
func (a *agent) usable(now time.Duration, s *Settings) bool {
	return a.present(now, s) && a.view.Unanswered(now) <= s.ReactionTimeout
}

// Link describes a link from an agent whose first heartbeat has arrived.
type Link struct {
	Agent      AgentID
	DataCentre string
	// HelloSentAt is when the entry's Hello was sent. The agent sends its first
	// heartbeat after it has received that Hello, so its process was alive then.
	HelloSentAt time.Duration
	// HelloReceivedAt is when the agent's Hello arrived.
	HelloReceivedAt time.Duration
	// ClockMS is the agent's clock in the first heartbeat.
	ClockMS uint64
}

// Connected handles a new link from an agent and reports whether it is used. Links
// that were opened while the entry was paused arrive in any order, so a link is
// refused unless it is certainly not older than the one that the broker has:
//   - Of two processes on a host, the one that was alive after the other was known is
//     the later one. No clock of a host decides this.
//   - Of two links of a process, the later one has the later clock.
//
// An agent whose link is refused dials again, and the new link shows the order.
func (b *Broker) Connected(now time.Duration, l Link) bool {
	a := b.agents[l.Agent.Host]
	if a != nil && b.outdated(a, l) {
		b.emit(Decision{Agent: l.Agent.Host, Action: "refuse-link", Reason: "process-order-unknown", ReportAge: now - a.heartbeatAt})
		return false
	}
	if a != nil && a.id != l.Agent {
		// A new process of the agent. It takes no task before it has ended all
		// runs of the earlier one, whose outcomes are lost.
		b.loseTasks(now, a, "agent-restarted", true)
		a = nil
	}
	if a == nil {
		a = &agent{id: l.Agent, key: l.Agent.Host, introducedAt: l.HelloReceivedAt, rank: xxhash.Sum64String(l.Agent.Host)}
		b.agents[a.key] = a
		b.agentList = append(b.agentList, a)
		b.updateQuarantine(now)
	} else if b.runsEnded(now, a) {
		a.assumeStarted()
	}
	a.connected = true
	a.dataCentre = l.DataCentre
	a.evacuated = b.evacuations.Evacuated(a.dataCentre)
	a.evacuationsSentAt = 0
	a.view.Reset()
	if len(a.tasks) > 0 {
		m := &wire.Resume{}
		for _, t := range a.tasks {
			m.Attempts = append(m.Attempts, t.attempt())
		}
		b.send(a, m)
	}
	for _, t := range a.tasks {
		if t.withdrawn {
			b.withdraw(now, t, t.onlyIfWaiting)
		}
	}
	return true
}

// outdated reports whether the link may be older than the agent's present one.
func (b *Broker) outdated(a *agent, l Link) bool {
	if a.id != l.Agent {
		return l.HelloSentAt < a.introducedAt
	}
	return l.ClockMS < a.echoMS
}

// Disconnected handles the end of an agent's link.
func (b *Broker) Disconnected(id AgentID) {
	if a := b.agents[id.Host]; a != nil && a.id == id {
		a.connected = false
	}
}

// Heartbeat handles an agent's heartbeat and confirms the agent's tasks.
func (b *Broker) Heartbeat(now time.Duration, id AgentID, m wire.AgentBeat) {
	a := b.agents[id.Host]
	if a == nil || a.id != id {
		return
	}
	if m.Load.Ready && !b.HasAgent(now) {
		b.agentsExpectedUntil = now + agentArrivalWindow
	}
	a.heartbeatAt = now
	a.echoMS = max(a.echoMS, m.ClockMS)
	a.view.Report(m.Load)
	if m.Load.CapacityCPU > 0 {
		a.capacityCPU, a.capacityMem = m.Load.CapacityCPU, m.Load.CapacityMem
	}
	if m.Load.Service != "" && m.Load.Service != a.service {
		a.service = m.Load.Service
		b.updateQuarantine(now)
	}
	for _, c := range m.Crashes {
		b.CrashReported(now, id.Host, c)
	}
	if len(a.tasks) > 0 || !m.Relaxed || now-a.confirmedAt >= idleAnswerInterval {
		b.confirm(now, a, &wire.EntryBeat{EchoMS: a.echoMS})
	}
	if m.Load.Ready || m.Load.Evacuated {
		b.expireRetainedTasks(now, id.Host)
	}
	if m.Load.Ready {
		b.agentReported(now)
	}
	b.reported(now, a)
}

// confirm sends an agent a confirmation of its tasks.
func (b *Broker) confirm(now time.Duration, a *agent, m *wire.EntryBeat) {
	a.confirmedAt = now
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
		if !b.runsEnded(now, a) {
			continue
		}
		b.loseTasks(now, a, "agent-silent", false)
		if !a.connected {
			b.removeAgent(a)
		}
	}
}

// runsEnded reports whether the agent has been unreachable for so long that all its
// runs have ended.
func (b *Broker) runsEnded(now time.Duration, a *agent) bool {
	return now-a.heartbeatAt > b.settings.RunsEndedAfter && now-a.confirmedAt > b.settings.RunsEndedAfter
}

// assumeStarted marks the jobs of the agent's tasks as ones that may have run. Once the
// runs have ended, the agent may have dropped their records and reports them as not
// started.
func (a *agent) assumeStarted() {
	for _, t := range a.tasks {
		t.job.started, t.job.cutShort = true, true
	}
}

// loseTasks gives up all tasks of an agent, whose outcomes will never be known. If
// wait is set, their runs may continue for a while, so the tasks are placed again
// only later.
func (b *Broker) loseTasks(now time.Duration, a *agent, reason string, wait bool) {
	for _, t := range slices.Clone(a.tasks) {
		b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Agent: a.id.Host, Action: "lost", Reason: reason, ReportAge: now - a.heartbeatAt})
		t.job.started, t.job.cutShort = true, true
		if wait {
			continue
		}
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
	a.connected = false
	b.removeAgent(a)
	if len(a.tasks) > 0 {
		a.key = a.id.Host + "/" + a.id.Incarnation
		b.agents[a.key] = a
		b.agentList = append(b.agentList, a)
		b.retained[a.id.Host] = append(b.retained[a.id.Host], a)
	}
}

func (b *Broker) removeAgent(a *agent) {
	delete(b.agents, a.key)
	same := func(o *agent) bool { return o == a }
	b.agentList = slices.DeleteFunc(b.agentList, same)
	if a.key == a.id.Host {
		return
	}
	if b.retained[a.id.Host] = slices.DeleteFunc(b.retained[a.id.Host], same); len(b.retained[a.id.Host]) == 0 {
		delete(b.retained, a.id.Host)
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
	a.tasks = slices.DeleteFunc(a.tasks, func(o *task) bool { return o == t })
	t.agent = nil
	t.started = false
	t.withdrawn = false
	if t.trial != wire.TrialNone {
		t.trial = wire.TrialNone
		a.suspects--
	}
}
