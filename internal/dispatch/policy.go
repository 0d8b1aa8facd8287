// Package dispatch decides which waiting task starts next and on which
// upstream. It does no I/O and has no clock: the caller passes the time, since
// process start on a monotonic clock, and acts on what is returned.
package dispatch

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// UpstreamID names an upstream: the agent's host and the service beside it.
type UpstreamID struct {
	Host    string
	Service string
}

// Task is a task that waits for a slot.
type Task struct {
	ID     wire.TaskID
	Caller string
	Class  string
	// Declared is the run time that the caller expects; 0 if unknown. It may
	// be off by a factor of ten either way.
	Declared time.Duration
	// Deadline is the time at which the job's caller stops waiting.
	Deadline time.Duration
	// TaskCount is the number of tasks in the job.
	TaskCount int
	// Since is the time from which the task's age counts; 0 means the time of
	// Enqueue. An Assignment carries it, so that a task that was not started
	// keeps its place in the queue when the assignment's task is enqueued again.
	Arrival time.Duration
}

// Upstream is what the owner knows of an upstream. Credits is the number of
// tasks that it may be sent now.
type Upstream struct {
	ID         UpstreamID
	DataCentre string
	Site       string
	Classes    []string
	Slots      int
	Credits    int
	// Expires is the time after which the credits must not be used.
	Expires time.Duration
}

// Assignment sends a task to an upstream and spends one of its credits.
type Assignment struct {
	Task     Task
	Upstream UpstreamID
}

// OutcomeKind tells how an assignment ended.
type OutcomeKind uint8

// Outcomes of an assignment.
const (
	// Succeeded and Failed tasks have run.
	Succeeded OutcomeKind = iota + 1
	Failed
	// NotStarted tasks were refused by the agent; the owner enqueues them again.
	NotStarted
	// Lost tasks were sent, and it is not known whether they ran.
	Lost
)

// Outcome reports the end of an assignment.
type Outcome struct {
	Task     wire.TaskID
	Upstream UpstreamID
	Kind     OutcomeKind
	// Ran is the time that the task held its slot.
	RunTime time.Duration
}

// AdmitRequest describes a job that asks to be queued.
type AdmitRequest struct {
	Caller   string
	Class    string
	Tasks    int
	Declared time.Duration
	Deadline time.Duration
}

// Verdict is the result of admission.
type Verdict uint8

// Verdicts of admission.
const (
	Admitted Verdict = iota + 1
	// Overloaded: the predicted wait passes the deadline.
	Overloaded
	// OverQuota: the caller has reached its cap.
	OverQuota
	// NoUpstream: no known upstream serves the class now.
	NoUpstream
	// Impossible: the job cannot end before its deadline even on idle upstreams,
	// or no site may ever serve its class.
	Impossible
)

// Decision is the answer to an AdmitRequest.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which another try is likely to be admitted.
	RetryAfter time.Duration
	// Wait is the predicted time until the last task of the job starts.
	Wait time.Duration
}

// CallerSettings are the quotas of one caller.
type CallerSettings struct {
	// Weight is the caller's share of contended slot time relative to others.
	Weight float64
	// MaxSlots caps the slots that the caller may hold at a time; 0 means no cap.
	MaxSlots int
	// MaxQueued caps the caller's waiting tasks; 0 means the default.
	MaxQueued int
}

// ClassSettings are the limits of one work class.
type ClassSettings struct {
	// Expected is the run time that is assumed until enough runs were seen.
	Expected time.Duration
	// Sites that may serve the class; empty means all.
	Sites []string
}

// Settings are the parts of the configuration that the policy uses.
type Settings struct {
	// DataCentre is where the owner runs.
	DataCentre string
	// Distance is the one-way network latency to a data centre.
	Distance map[string]time.Duration
	Callers  map[string]CallerSettings
	Classes  map[string]ClassSettings
	// Owners is the number of entries that share the upstreams; caps are
	// divided by it.
	Owners int
}

// Policy chooses which waiting task starts on which upstream.
type Policy interface {
	// Admit decides whether a job may be queued. It changes no state but the count
	// of refused work from which RetryAfter is derived.
	Admit(now time.Duration, r AdmitRequest) Decision
	// Enqueue adds a waiting task.
	Enqueue(now time.Duration, t Task)
	// Cancel removes a waiting task. It returns false if the task does not wait.
	Cancel(now time.Duration, id wire.TaskID) bool
	// UpdateUpstream adds an upstream or replaces what is known of it.
	UpdateUpstream(now time.Duration, u Upstream)
	// RemoveUpstream forgets an upstream. Running tasks on it still end by Finished.
	RemoveUpstream(now time.Duration, id UpstreamID)
	// Next takes the best waiting task that some credit can start, and the credit.
	// It is called after each other call until it finds none and, while tasks
	// wait, about every 10 ms, because probes and credits come due with time.
	Next(now time.Duration) (Assignment, bool)
	// Finished ends an assignment.
	Finished(now time.Duration, o Outcome)
	// Configure replaces the settings.
	Configure(now time.Duration, s Settings)
	// Waiting returns the number of waiting tasks that upstream id could serve.
	Waiting(now time.Duration, id UpstreamID) int
}

// Dropper is implemented by a Policy that gives up on waiting tasks which can
// no longer end before their deadline.
type Dropper interface {
	// Drop removes one such task. The owner fails or refuses its job at once.
	Drop(now time.Duration) (Task, bool)
}

// Demander is implemented by a Policy that limits its wants.
type Demander interface {
	// Demand returns the number of waiting tasks that upstream id could serve
	// and that the results of running tasks, which bring credits, will not serve
	// soon. Only these are worth a Want; the owner spreads them over the upstreams.
	Demand(now time.Duration, id UpstreamID) int
}
