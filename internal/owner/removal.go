package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

// RunLimit bounds the time that an agent waits for a run. An upstream whose agent has been
// restarted is taken to have ended its runs by then as well.
const RunLimit = 10 * time.Minute

// removeJob removes an answered job, unless an attempt may still run: a resubmission would
// otherwise start its task again.
func (c *Core) removeJob(now time.Duration, j *job) {
	if c.jobs[j.Job] != j {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state == taskSent && (now-j.tasks[i].sent < RunLimit || !c.agentLost(now, &j.tasks[i])) {
			c.timers.add(now+c.settings.ResubmissionWindow, func(now time.Duration) { c.removeJob(now, j) })
			return
		}
	}
	for i := range j.tasks {
		c.abandonAttempt(now, wire.TaskID{Job: j.Job, Index: uint16(i)}, &j.tasks[i])
	}
	delete(c.jobs, j.Job)
}

// abandonAttempt ends an attempt whose agent is lost. The policy would otherwise count it
// as running for good, and refuse the task if its key is accepted again.
func (c *Core) abandonAttempt(now time.Duration, id wire.TaskID, t *task) {
	if t.state != taskSent {
		return
	}
	if a := c.agents[t.upstream.Host]; a != nil && a.incarnation == t.incarnation {
		delete(a.openAttempts, id)
	}
	c.endAssignment(now, id, t, dispatch.Lost, now-t.sent)
}
