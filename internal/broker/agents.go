package broker

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// agent is what the broker knows of an agent and its upstream.
type agent struct {
	id AgentID
	// key is the agent's place among the broker's agents: its host, or for a
	// process that has ended, its host and incarnation.
	key        string
	dataCentre string
	connected  bool
	// beatAt is when the last beat arrived, echo the agent's clock in it.
	beatAt time.Duration
	echo   uint64
	// sentAt is when the agent was last sent a confirmation.
	sentAt time.Duration
	load   wire.Load
	seq    uint64
	tasks  []*task
	// unseen are assignments that load does not take account of yet.
	unseen     []unseen
	avoidUntil time.Duration
}

type unseen struct {
	seq      uint64
	cpu, mem int
	workMS   int
}

// usable is whether the agent may get tasks.
func (a *agent) usable(now, silence time.Duration) bool {
	return a.connected && now-a.beatAt <= silence && a.load.Ready && !a.load.Draining && now >= a.avoidUntil
}

// settleSeen drops the assignments that the load takes account of.
func (a *agent) settleSeen() {
	n := 0
	for n < len(a.unseen) && a.unseen[n].seq <= a.load.LastSeq {
		n++
	}
	a.unseen = a.unseen[n:]
}

// Connected handles a new link from an agent.
func (b *Broker) Connected(now time.Duration, id AgentID, dataCentre string) {
	a := b.agents[id.Host]
	if a != nil && a.id != id {
		// A new process of the agent. It takes no task before it has ended all
		// runs of the earlier one, whose outcomes are lost.
		b.lose(now, a, "agent-restarted", true)
		a = nil
	}
	if a == nil {
		a = &agent{id: id, key: id.Host}
		b.agents[a.key] = a
		b.agentList = append(b.agentList, a)
	}
	a.connected = true
	a.dataCentre = dataCentre
	a.unseen = nil
	a.seq = 0
	if len(a.tasks) > 0 {
		m := &wire.Resume{}
		for _, t := range a.tasks {
			m.Attempts = append(m.Attempts, t.attempt())
		}
		b.send(a, m)
	}
	for _, t := range a.tasks {
		if t.withdrawn {
			b.withdraw(now, t, t.onlyWaiting)
		}
	}
}

// Disconnected handles the end of an agent's link.
func (b *Broker) Disconnected(id AgentID) {
	if a := b.agents[id.Host]; a != nil && a.id == id {
		a.connected = false
	}
}

// Beat handles an agent's beat and confirms the agent's tasks.
func (b *Broker) Heartbeat(now time.Duration, id AgentID, m wire.AgentBeat) {
	a := b.agents[id.Host]
	if a == nil || a.id != id {
		return
	}
	if m.Load.Ready && b.UsableAgents(now) == 0 {
		b.gathering = now + gatherTime
	}
	a.beatAt = now
	a.echo = max(a.echo, m.ClockMS)
	a.load = m.Load
	a.settleSeen()
	a.sentAt = now
	b.send(a, &wire.EntryBeat{EchoMS: a.echo})
	if m.Load.Ready {
		b.loseOrphans(now, id.Host)
		b.placeKept(now)
	}
}

// loseSilentAgents gives up on agents that have been unreachable for so long
// that their runs have ended.
func (b *Broker) loseSilentAgents(now time.Duration) {
	for _, a := range slices.Clone(b.agentList) {
		if now-a.beatAt <= b.settings.RunsEndedAfter || now-a.sentAt <= b.settings.RunsEndedAfter {
			continue
		}
		b.lose(now, a, "agent-silent", false)
		if !a.connected {
			b.forget(a)
		}
	}
}

// lose takes all tasks from an agent whose outcomes will never be known. If wait
// is set, the runs may go on for a while.
func (b *Broker) lose(now time.Duration, a *agent, reason string, wait bool) {
	for _, t := range slices.Clone(a.tasks) {
		b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Agent: a.id.Host, Action: "lost", Reason: reason, ReportAge: now - a.beatAt})
		t.job.started = true
		if wait {
			continue
		}
		b.detach(t)
		b.again(now, t)
		b.settle(now, t.job)
	}
	if wait {
		b.orphan(a)
	}
}

// orphan keeps the tasks of an agent process that has ended under a name of
// their own until their runs have ended for certain.
func (b *Broker) orphan(a *agent) {
	a.connected = false
	b.forget(a)
	if len(a.tasks) > 0 {
		a.key = a.id.Host + "/" + a.id.Incarnation
		b.agents[a.key] = a
		b.agentList = append(b.agentList, a)
	}
}

func (b *Broker) forget(a *agent) {
	delete(b.agents, a.key)
	b.agentList = slices.DeleteFunc(b.agentList, func(o *agent) bool { return o == a })
}

// loseOrphans gives up the tasks of earlier agent processes on a host. The
// present one is ready, so it has found that none of their runs is left.
func (b *Broker) loseOrphans(now time.Duration, host string) {
	for _, a := range slices.Clone(b.agentList) {
		if a.id.Host == host && a.key != host {
			b.forget(a)
			b.lose(now, a, "agent-restarted", false)
		}
	}
}

// detach ends a task's tie to its agent.
func (b *Broker) detach(t *task) {
	a := t.agent
	a.tasks = slices.DeleteFunc(a.tasks, func(o *task) bool { return o == t })
	t.agent = nil
	t.started = false
	t.withdrawn = false
}
