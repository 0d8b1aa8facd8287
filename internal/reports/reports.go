// Package reports holds decisions that wait for new reports of agents. It handles bursts near
// the capacity, in which a decision on reports that are older than the runs they describe would
// refuse jobs for which there is room.
package reports

import (
	"slices"
	"time"
)

// Waiting holds the decisions about jobs that wait for new reports, in the order in which they
// were added. It is not safe for concurrent use.
type Waiting[J any, A comparable] struct {
	list []*decision[J, A]
}

type decision[J any, A comparable] struct {
	job   J
	until time.Duration
	asked []A
}

// Add adds a job that waits for reports of the asked agents, but not beyond a time.
func (w *Waiting[J, A]) Add(job J, until time.Duration, asked []A) {
	w.list = append(w.list, &decision[J, A]{job: job, until: until, asked: asked})
}

// Reported notes a new report of an agent.
func (w *Waiting[J, A]) Reported(agent A) {
	for _, d := range w.list {
		d.asked = slices.DeleteFunc(d.asked, func(o A) bool { return o == agent })
	}
}

// Next removes the first job whose reports are new or overdue, and returns it if there is one.
func (w *Waiting[J, A]) Next(now time.Duration) (job J, ok bool) {
	i := slices.IndexFunc(w.list, func(d *decision[J, A]) bool { return len(d.asked) == 0 || now >= d.until })
	if i < 0 {
		return job, false
	}
	job = w.list[i].job
	w.list = slices.Delete(w.list, i, i+1)
	return job, true
}
