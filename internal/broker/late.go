package broker

import "github.com/damasklb/damasklb/internal/timeouts"

// A job whose caller has waited before is expected to be late, so it may not wait at an agent: it
// starts where capacity is free at once, or is refused and comes back. After a loss of many hosts,
// the jobs that were lost would otherwise make new ones late.

// noteTimeout learns from a job's timeout how long its caller has waited before.
func (b *Broker) noteTimeout(j *job) {
	if !b.settings.LateJobsYield {
		return
	}
	sub := &j.sub
	if j.waited = b.timeouts.Submitted(sub.Queue.Name, sub.Timeout); j.waited > 0 {
		b.emit(Decision{Job: sub.ID, Queue: sub.Queue.Name, Action: "late-submission", Wait: j.waited, Timeout: sub.Timeout})
	}
}

// Timeouts returns what is known of the usual timeouts of each queue.
func (b *Broker) Timeouts() *timeouts.Usual { return &b.timeouts }
