package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// notePrevious notes how the task's current attempt has ended, for the log of the next one.
func (t *task) notePrevious(now time.Duration, state, reason string) {
	t.previous = &PreviousRun{Run: t.run, Agent: t.agent.ID.Host, AgentIncarnation: t.agent.ID.Incarnation, State: state, Reason: reason}
	t.previousAt = now
}

// noteRunBeside reports a run that an agent has although the entry has given it up, while the
// entry has assigned the task again.
func (b *Broker) noteRunBeside(now time.Duration, a *agent, m wire.RunReport) {
	j := b.jobs[m.Attempt.Task.Job]
	if m.State != wire.RunStarted || j == nil || int(m.Attempt.Task.Index) >= len(j.tasks) {
		return
	}
	t := j.tasks[m.Attempt.Task.Index]
	if t.agent == nil || !t.started || m.Attempt.Run >= t.run {
		return
	}
	d := Decision{Job: j.sub.ID, Index: t.index, Run: m.Attempt.Run, Agent: a.ID.Host, Action: "run-beside", Reason: t.agent.ID.Host}
	if t.previous != nil {
		p := *t.previous
		p.Age = now - t.previousAt
		d.Previous = &p
	}
	b.emit(d)
}
