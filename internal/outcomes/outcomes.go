// Package outcomes retains the outcomes of ended jobs for copies of their requests that arrive
// late, and the numbers of their runs for later submissions. It handles callers that
// submit a job again because its answer was lost.
package outcomes

import (
	"time"

	"github.com/damasklb/damasklb/internal/brokerapi"
)

// Ended is the outcome of a job that has ended, and the highest number of its runs.
type Ended struct {
	Outcome brokerapi.Outcome
	LastRun uint64
	// Started is whether a task of it has started or may have.
	Started bool
}

// Final reports whether later copies of the request get this outcome as well: the job has ended
// for good.
func (a Ended) Final() bool {
	return a.Outcome.Kind == brokerapi.Completed || a.Outcome.Kind == brokerapi.Failed
}

// State returns the state of the job for its caller, and whether it has ended for good.
func (a Ended) State() (brokerapi.State, bool) {
	switch a.Outcome.Kind {
	case brokerapi.Completed:
		return brokerapi.StateCompleted, true
	case brokerapi.Failed:
		return brokerapi.StateFailed, true
	}
	return 0, false
}

// Retained holds the outcomes of a time. It is not safe for concurrent use.
type Retained struct {
	byJob    map[string]Ended
	expiries []expiry
}

type expiry struct {
	job string
	at  time.Duration
}

// Get returns the outcome of a job, if it is retained.
func (r *Retained) Get(job string) (Ended, bool) {
	a, ok := r.byJob[job]
	return a, ok
}

// Add retains an outcome until a time, which does not precede that of earlier ones.
func (r *Retained) Add(job string, a Ended, until time.Duration) {
	if r.byJob == nil {
		r.byJob = map[string]Ended{}
	}
	r.byJob[job] = a
	r.expiries = append(r.expiries, expiry{job: job, at: until})
}

// Expire drops the outcomes that are retained no longer.
func (r *Retained) Expire(now time.Duration) {
	for len(r.expiries) > 0 && now >= r.expiries[0].at {
		delete(r.byJob, r.expiries[0].job)
		r.expiries = r.expiries[1:]
	}
}
