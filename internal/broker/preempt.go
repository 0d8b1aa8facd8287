package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

// An agent may stop a run that has just begun for more urgent work (package preemption). The
// entry allows it for each attempt, and places the task again.

// mayYield reports whether the attempt that is being assigned may be stopped for more urgent
// work: the job can still end on time if this run is stopped at the latest time at which agents
// do so, and none of its runs was cut short before. An agent that dies does not report which
// runs it has preempted, so all runs that were cut short count. Nothing is more urgent than
// priority 0.
func (b *Broker) mayYield(now time.Duration, t *task, wait time.Duration) bool {
	s := &b.settings.Preemption
	j := t.job
	if !s.On || j.cutShort || j.sub.Queue.Priority <= 0 || t.trial != wire.TrialNone {
		return false
	}
	expected := time.Duration(float64(t.rack.RunTime(t.expected)) * t.agent.View.Slowdown())
	return now+wait+s.LatestRestart(expected) <= j.arrived+j.slack()
}

// noteCutShort handles the end of an attempt as far as preemption is concerned. The job of a
// preempted attempt counts as one that has run, whatever the agent knows of the start.
func (b *Broker) noteCutShort(now time.Duration, t *task, a *agent, m wire.RunReport) {
	preempted := m.Reason == reasons.Preempted && m.State == wire.RunNotStarted
	if m.State != wire.RunStopped && !preempted {
		return
	}
	j := t.job
	j.started, j.cutShort = true, true
	if m.Reason == reasons.Preempted {
		b.emit(Decision{Job: j.sub.ID, Index: t.index, Run: m.Attempt.Run, Agent: a.ID.Host, Action: "preempted",
			Reason: m.State.String(), Wait: j.arrived + j.slack() - now})
	}
}
