package wire

import "cmp"

// The messages of this file are for leased upstreams: upstreams that run tasks in
// the background under a lease and report the ended ones in a list. Agents dial
// entries over TCP; Hello is the first message on the link in both directions.

// LeasedTask identifies one task of a job on leased upstreams.
type LeasedTask struct {
	Job   string `cbor:"1,keyasint"`
	Index uint16 `cbor:"2,keyasint,omitempty"`
}

// LeasedAttempt is one run of a task. Runs of a task are numbered from 1.
type LeasedAttempt struct {
	Task LeasedTask `cbor:"1,keyasint"`
	Run  uint64     `cbor:"2,keyasint"`
}

// Compare orders attempts by job, task and run.
func (a LeasedAttempt) Compare(b LeasedAttempt) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
}

// PriorityLevels is the number of priorities that Load distinguishes. All lower
// priorities are counted at the last level.
const PriorityLevels = 4

// PriorityLevel returns the index of a priority in the arrays of Load.
func PriorityLevel(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// Load is an agent's report on the state of its upstream.
type Load struct {
	// Ready is set if the upstream may be assigned tasks at all.
	Ready    bool   `cbor:"1,keyasint,omitempty"`
	Draining bool   `cbor:"2,keyasint,omitempty"`
	Service  string `cbor:"3,keyasint,omitempty"`
	// Total and free capacity, in thousandths of a core and in MiB.
	CapacityCPU int `cbor:"4,keyasint,omitempty"`
	CapacityMem int `cbor:"5,keyasint,omitempty"`
	FreeCPU     int `cbor:"6,keyasint,omitempty"`
	FreeMem     int `cbor:"7,keyasint,omitempty"`
	// QueuedWork is the work queued at the agent by priority, in milliseconds of
	// the upstream's total capacity.
	QueuedWork [PriorityLevels]uint32 `cbor:"8,keyasint,omitempty"`
	// BusyPercent is the share of the upstream that runs of each priority use.
	BusyPercent [PriorityLevels]uint8 `cbor:"14,keyasint,omitempty"`
	// Slowness is the run time relative to the expected one, in hundredths.
	Slowness uint32 `cbor:"9,keyasint,omitempty"`
	// FailurePercent is the recent share of runs that failed.
	FailurePercent uint32 `cbor:"10,keyasint,omitempty"`
	// LastSeq is the sequence number of the last Assign that Load reflects.
	LastSeq uint64   `cbor:"11,keyasint,omitempty"`
	Labels  []string `cbor:"12,keyasint,omitempty"`
	// Stuck is set if runs have far exceeded their expected time and none has
	// ended since.
	Stuck bool `cbor:"13,keyasint,omitempty"`
	// StartMS identifies the upstream's incarnation; 0 means unknown.
	StartMS int64 `cbor:"15,keyasint,omitempty"`
	// Trial is the strictest trial among the tasks that wait or run.
	Trial Trial `cbor:"16,keyasint,omitempty"`
	// Evacuated is set if only the evacuation of its data centre keeps the upstream
	// from being ready.
	Evacuated bool `cbor:"17,keyasint,omitempty"`
	// ColdMS is how much longer the upstream stays slow after its start.
	ColdMS uint32 `cbor:"18,keyasint,omitempty"`
	// WaitMS is the predicted wait of a further task of ordinary size by priority, behind
	// what waits now. Entries add what they have sent since.
	WaitMS [PriorityLevels]uint16 `cbor:"19,keyasint,omitempty"`
	// ReleaseRate is the rate at which runs release cores for each priority while the upstream
	// is full, in thousandths of a core per second. 0 means that the agent makes no forecast.
	ReleaseRate [PriorityLevels]uint32 `cbor:"20,keyasint,omitempty"`
	// TaskCPU is the size of the task that WaitMS is for, in thousandths of a core.
	TaskCPU int `cbor:"21,keyasint,omitempty"`
}

// Trial says how a task runs that may have crashed an upstream.
type Trial uint8

// Kinds of trial, the strictest last.
const (
	// TrialNone: the task is no suspect.
	TrialNone Trial = iota
	// TrialBesideOthers: the task may run beside suspects of other jobs.
	TrialBesideOthers
	// TrialApart: the same, but the task is refused if there are such suspects when it
	// arrives.
	TrialApart
	// TrialAlone: no suspect of another job may run on the same upstream, so that
	// another crash shows which one it was.
	TrialAlone
)

// AgentBeat is an agent's periodic heartbeat. ClockMS is the agent's clock, which
// the entry returns in EntryBeat and Assign.
type AgentBeat struct {
	ClockMS uint64 `cbor:"1,keyasint"`
	Load    Load   `cbor:"2,keyasint"`
	// Relaxed is set if the agent needs no answer to each heartbeat, as it has no task of
	// the entry.
	Relaxed bool `cbor:"3,keyasint,omitempty"`
	// Crashes holds the recent crashes of the upstream that were not sent on this link.
	Crashes []UpstreamCrash `cbor:"4,keyasint,omitempty"`
}

// UpstreamCrash is the end of an incarnation of an upstream without a notice, or what seems to
// be one.
type UpstreamCrash struct {
	StartMS int64        `cbor:"1,keyasint"`
	Runs    []CrashedRun `cbor:"2,keyasint,omitempty"`
	// SinceMS is the time since the crash.
	SinceMS uint32 `cbor:"3,keyasint,omitempty"`
	// Retracted is set if the incarnation has answered since, so that its crash does not count.
	Retracted bool `cbor:"4,keyasint,omitempty"`
}

// CrashedRun is a run that the upstream had, or may have had, when it crashed.
type CrashedRun struct {
	Attempt LeasedAttempt `cbor:"1,keyasint"`
	Queue   string        `cbor:"2,keyasint,omitempty"`
	// AgeMS is the time from the start to the crash; 0 means unknown.
	AgeMS uint32 `cbor:"3,keyasint,omitempty"`
}

// EntryBeat answers an AgentBeat. It confirms that, at EchoMS on the agent's
// clock, the entry still wanted all the tasks that it had assigned.
type EntryBeat struct {
	EchoMS uint64 `cbor:"1,keyasint"`
	// ReportNow asks the agent for a heartbeat at once.
	ReportNow bool `cbor:"2,keyasint,omitempty"`
	// Evacuations is what the entry knows of evacuations. It is sent on a new link, after
	// a change and otherwise at intervals.
	Evacuations *Evacuations `cbor:"3,keyasint,omitempty"`
}

// Evacuations holds all data centres in which no task may start, as of a version of the
// store.
type Evacuations struct {
	Version uint64 `cbor:"1,keyasint"`
	// AgeMS is the age of the sender's knowledge that this was the newest state.
	AgeMS    uint32       `cbor:"2,keyasint,omitempty"`
	Requests []Evacuation `cbor:"3,keyasint,omitempty"`
}

// Evacuation is an operator's request to evacuate a data centre. Version is the store's
// version of the request.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint"`
	Version    uint64 `cbor:"2,keyasint"`
}

// Assign gives an agent a task to run. EchoMS is the newest agent clock that
// the entry has received; an agent refuses an Assign whose EchoMS is too old.
type Assign struct {
	Attempt  LeasedAttempt `cbor:"1,keyasint"`
	Service  string        `cbor:"2,keyasint"`
	Spec     string        `cbor:"3,keyasint,omitempty"`
	CPU      int           `cbor:"4,keyasint,omitempty"`
	MemMB    int           `cbor:"5,keyasint,omitempty"`
	Priority int           `cbor:"6,keyasint,omitempty"`
	// ExpectedMS is the run time expected on a healthy upstream.
	ExpectedMS uint32 `cbor:"7,keyasint,omitempty"`
	// StartWithinMS is the time from the receipt of the Assign after which the
	// task must not start; 0 means no limit.
	StartWithinMS uint32 `cbor:"8,keyasint,omitempty"`
	EchoMS        uint64 `cbor:"9,keyasint"`
	Seq           uint64 `cbor:"10,keyasint"`
	// SlackMS is the time left until the task has to start for its job to meet
	// the latency target. It orders the tasks of one priority.
	SlackMS int `cbor:"11,keyasint,omitempty"`
	// OnlyIfFits makes the agent refuse the task if it would have to wait.
	OnlyIfFits bool `cbor:"12,keyasint,omitempty"`
	// Queue is the queue of the task's job.
	Queue string `cbor:"13,keyasint,omitempty"`
	// Trial is set for a task under which an upstream has crashed, until it has run for
	// TrialMS.
	Trial   Trial  `cbor:"14,keyasint,omitempty"`
	TrialMS uint32 `cbor:"15,keyasint,omitempty"`
	// MayYield allows the agent to stop the run for more urgent work soon after its start:
	// the job was not preempted before and can still end on time if the task restarts.
	MayYield bool `cbor:"16,keyasint,omitempty"`
}

// Withdraw takes an assigned task back. A task that runs is stopped.
type Withdraw struct {
	Attempt LeasedAttempt `cbor:"1,keyasint"`
	// OnlyIfWaiting limits the withdrawal to a task that is still in the queue.
	OnlyIfWaiting bool `cbor:"2,keyasint,omitempty"`
}

// RunState is the state of an attempt.
type RunState uint8

// States of an attempt. All but RunStarted and RunWaiting are final.
const (
	// RunWaiting: the attempt waits at the agent.
	RunWaiting RunState = iota + 1
	// RunStarted: the upstream runs the task, or may do so.
	RunStarted
	// RunDone: the task ended with success.
	RunDone
	// RunFailed: the task ended with a failure.
	RunFailed
	// RunStopped: the attempt ran and was stopped or cut short; it has ended.
	RunStopped
	// RunNotStarted: the attempt has not started and never will.
	RunNotStarted
)

// Final reports whether the state of the attempt can no longer change.
func (s RunState) Final() bool { return s >= RunDone }

func (s RunState) String() string {
	switch s {
	case RunWaiting:
		return "waiting"
	case RunStarted:
		return "started"
	case RunDone:
		return "done"
	case RunFailed:
		return "failed"
	case RunStopped:
		return "stopped"
	case RunNotStarted:
		return "not-started"
	}
	return "unknown"
}

// RunReport reports the state of an attempt to an entry.
type RunReport struct {
	Attempt LeasedAttempt `cbor:"1,keyasint"`
	State   RunState      `cbor:"2,keyasint"`
	// Reason is why an attempt did not start or was cut short.
	Reason string `cbor:"3,keyasint,omitempty"`
	// RanMS is the run time of an attempt that has ended.
	RanMS uint32 `cbor:"4,keyasint,omitempty"`
	Load  Load   `cbor:"5,keyasint"`
}

// Resume asks an agent for the states of attempts after a new link was opened.
// The agent answers with a RunReport for each, and reports an attempt that it
// has no record of as not started.
type Resume struct {
	Attempts []LeasedAttempt `cbor:"1,keyasint"`
}
