// Package agentlink holds what an entry knows of an agent: its process, the link to it and its
// reports, and whether the agent may get tasks. Times are those of the entry's monotonic clock.
// It handles links that become silent or are replaced, and those that arrive out of order after a
// pause of the entry.
package agentlink

import (
	"time"

	"github.com/damasklb/damasklb/internal/capacity"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

// ID identifies one process of an agent.
type ID struct{ Host, Incarnation string }

// Limits are the times after which an agent gets no tasks, or has none left.
type Limits struct {
	// HeartbeatTimeout is the age of an agent's last heartbeat above which the agent
	// gets no tasks.
	HeartbeatTimeout time.Duration
	// ReactionTimeout is the time without a reaction to a sent Assign after which the
	// agent gets no further tasks. Agents react within a few milliseconds.
	ReactionTimeout time.Duration
	// RunsEndedAfter is the time after the last message to an unreachable agent by
	// which its runs have certainly ended: the agent stops them or their lease
	// expires.
	RunsEndedAfter time.Duration
}

// Link describes a link from an agent whose first heartbeat has arrived.
type Link struct {
	Agent      ID
	DataCentre string
	// HelloSentAt is when the entry's Hello was sent. The agent sends its first
	// heartbeat after it has received that Hello, so its process was alive then.
	HelloSentAt time.Duration
	// HelloReceivedAt is when the agent's Hello arrived.
	HelloReceivedAt time.Duration
	// ClockMS is the agent's clock in the first heartbeat.
	ClockMS uint64
}

// Agent is an entry's state of an agent and its upstream.
type Agent struct {
	ID         ID
	DataCentre string
	Connected  bool
	// IntroducedAt is when the process's first Hello arrived: the process had started
	// by then.
	IntroducedAt time.Duration
	// HeartbeatAt is when the last heartbeat arrived, EchoMS the highest agent clock
	// in a heartbeat so far.
	HeartbeatAt time.Duration
	EchoMS      uint64
	// ConfirmedAt is when the agent was last sent a confirmation of its tasks, by an
	// EntryBeat or an Assign.
	ConfirmedAt time.Duration
	// View is what is known of the upstream's capacity.
	View capacity.View
	// ReportAt is when the last report arrived, QueriedAt when the agent was last asked
	// for one.
	ReportAt, QueriedAt time.Duration
	// AvoidUntil is the time until which the agent gets no tasks after a refusal.
	AvoidUntil time.Duration
	// Service is the last known service of the upstream.
	Service string
	// CapacityCPU and CapacityMem are the last known capacity of the upstream.
	CapacityCPU, CapacityMem int
	// Evacuated is whether the agent's data centre is being evacuated, as this entry knows.
	Evacuated bool
	// EvacuationsSentAt is when the agent was last sent the evacuations on this link; 0
	// means never.
	EvacuationsSentAt time.Duration
}

// Outdated reports whether a link may be older than the agent's present one.
func (a *Agent) Outdated(l Link) bool {
	if a.ID != l.Agent {
		return l.HelloSentAt < a.IntroducedAt
	}
	return l.ClockMS < a.EchoMS
}

// Heartbeat notes a heartbeat of the agent. It reports whether the service of the upstream
// has changed.
func (a *Agent) Heartbeat(now time.Duration, m *wire.AgentBeat) (serviceChanged bool) {
	a.HeartbeatAt = now
	a.EchoMS = max(a.EchoMS, m.ClockMS)
	a.View.Report(m.Load)
	if m.Load.CapacityCPU > 0 {
		a.CapacityCPU, a.CapacityMem = m.Load.CapacityCPU, m.Load.CapacityMem
	}
	if m.Load.Service == "" || m.Load.Service == a.Service {
		return false
	}
	a.Service = m.Load.Service
	return true
}

// Present reports whether the agent's link and upstream are in order, and its data centre
// is not being evacuated.
func (a *Agent) Present(now time.Duration, l *Limits) bool {
	return a.View.Load.Ready && !a.Evacuated && a.InOrder(now, l)
}

// InOrder reports whether the agent's link and upstream are in order.
func (a *Agent) InOrder(now time.Duration, l *Limits) bool {
	return a.Connected && (a.View.Load.Ready || a.View.Load.Evacuated) && !a.View.Load.Draining && now >= a.AvoidUntil &&
		now-a.HeartbeatAt <= l.HeartbeatTimeout
}

// Usable reports whether the agent may get tasks: it is present and reacts to those that it
// was sent.
func (a *Agent) Usable(now time.Duration, l *Limits) bool {
	return a.Present(now, l) && a.View.Unanswered(now) <= l.ReactionTimeout
}

// RunsEnded reports whether the agent has been unreachable for so long that all its
// runs have ended.
func (a *Agent) RunsEnded(now time.Duration, l *Limits) bool {
	return now-a.HeartbeatAt > l.RunsEndedAfter && now-a.ConfirmedAt > l.RunsEndedAfter
}

// Ready is the state of an agent that may get tasks.
const Ready = "ready"

// State returns Ready, or the first condition for which the agent gets no tasks.
func (a *Agent) State(now time.Duration, limits *Limits) string {
	switch l := &a.View.Load; {
	case a.Usable(now, limits):
		return Ready
	case !a.Connected:
		return "not-connected"
	case now-a.HeartbeatAt > limits.HeartbeatTimeout:
		return "no-heartbeat"
	case l.Draining:
		return "leaving"
	case a.Evacuated || l.Evacuated:
		return reasons.Evacuated
	case !l.Ready:
		return "not-ready"
	case now < a.AvoidUntil:
		return "has-just-refused"
	}
	return "no-reaction"
}

// Status returns the state of the agent for operators.
func (a *Agent) Status(now time.Duration, limits *Limits) status.HostedAgent {
	l := &a.View.Load
	s := status.HostedAgent{
		Host: a.ID.Host, Incarnation: a.ID.Incarnation, DataCentre: a.DataCentre, Service: a.Service, Labels: l.Labels,
		State: a.State(now, limits), CapacityCPU: l.CapacityCPU, CapacityMem: l.CapacityMem, QueuedWorkMS: l.QueuedWork,
		Slowness: l.Slowness, ColdMS: l.ColdMS, FailurePercent: l.FailurePercent, Stuck: l.Stuck,
		ReportAgeMS: (now - a.ReportAt).Milliseconds(), HeartbeatAgeMS: (now - a.HeartbeatAt).Milliseconds(),
	}
	s.FreeCPU, s.FreeMem, _ = a.View.Free(0)
	return s
}
