package wire

import "cmp"

// The messages of this file serve leased upstreams: upstreams that run tasks in
// the background under a lease, and report their ends in a list. Agents dial
// entries over TCP; each side opens the link with Hello.

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

// PriorityLevels is the number of priorities that Load tells apart. Lower
// priorities than the last share its place.
const PriorityLevels = 4

// PriorityLevel is the place of a priority in Load.
func PriorityLevel(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// Load is what an agent says of its upstream's state.
type Load struct {
	// Ready is whether the upstream may get tasks at all.
	Ready    bool   `cbor:"1,keyasint,omitempty"`
	Draining bool   `cbor:"2,keyasint,omitempty"`
	Service  string `cbor:"3,keyasint,omitempty"`
	// Capacity and free room, in thousandths of a core and in MiB.
	CapacityCPU int `cbor:"4,keyasint,omitempty"`
	CapacityMem int `cbor:"5,keyasint,omitempty"`
	FreeCPU     int `cbor:"6,keyasint,omitempty"`
	FreeMem     int `cbor:"7,keyasint,omitempty"`
	// QueuedWork is the work that waits at the agent by priority, in
	// milliseconds of the whole upstream.
	QueuedWork [PriorityLevels]uint32 `cbor:"8,keyasint,omitempty"`
	// BusyPercent is the share of the upstream that runs of each priority use.
	BusyPercent [PriorityLevels]uint8 `cbor:"14,keyasint,omitempty"`
	// Slowness is the run time relative to the expected one, in hundredths.
	Slowness uint32 `cbor:"9,keyasint,omitempty"`
	// FailurePercent is the recent share of runs that failed.
	FailurePercent uint32 `cbor:"10,keyasint,omitempty"`
	// Seen is the sequence number of the last Assign that Load takes account of.
	LastSeq uint64 `cbor:"11,keyasint,omitempty"`
	// Labels are the upstream's labels.
	Labels []string `cbor:"12,keyasint,omitempty"`
	// Stuck is whether runs have overrun by far and none has ended since.
	Stuck bool `cbor:"13,keyasint,omitempty"`
}

// AgentBeat is sent by an agent at a steady pace. ClockMS is the agent's clock,
// which the entry returns in EntryBeat and Assign.
type AgentBeat struct {
	ClockMS uint64 `cbor:"1,keyasint"`
	Load    Load   `cbor:"2,keyasint"`
}

// EntryBeat answers an AgentBeat. It confirms that the entry still wants all
// that it has assigned, as of the agent's clock EchoMS.
type EntryBeat struct {
	EchoMS uint64 `cbor:"1,keyasint"`
}

// Assign gives an agent a task to run. EchoMS is the newest agent clock that
// the entry has received; an agent refuses an Assign whose echo is too old.
type Assign struct {
	Attempt  LeasedAttempt `cbor:"1,keyasint"`
	Service  string        `cbor:"2,keyasint"`
	Spec     string        `cbor:"3,keyasint,omitempty"`
	CPU      int           `cbor:"4,keyasint,omitempty"`
	MemMB    int           `cbor:"5,keyasint,omitempty"`
	Priority int           `cbor:"6,keyasint,omitempty"`
	// ExpectMS is the run time expected on a sound upstream.
	ExpectedMS uint32 `cbor:"7,keyasint,omitempty"`
	// StartWithinMS is the time after which the task must not start any more;
	// 0 means no limit.
	StartWithinMS uint32 `cbor:"8,keyasint,omitempty"`
	EchoMS        uint64 `cbor:"9,keyasint"`
	Seq           uint64 `cbor:"10,keyasint"`
	// UrgentMS is the time left to start so that the job can still meet its aim.
	// It orders tasks of one priority.
	SlackMS int `cbor:"11,keyasint,omitempty"`
	// OnlyIfRoom makes the agent refuse the task if it would have to wait.
	OnlyIfFits bool `cbor:"12,keyasint,omitempty"`
}

// Withdraw takes an assigned task back. A task that runs is stopped.
type Withdraw struct {
	Attempt LeasedAttempt `cbor:"1,keyasint"`
	// OnlyWaiting leaves a task alone that has left the queue.
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

// Final is whether the attempt has ended for good.
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

// RunReport tells an entry about an attempt.
type RunReport struct {
	Attempt LeasedAttempt `cbor:"1,keyasint"`
	State   RunState      `cbor:"2,keyasint"`
	// Reason tells why an attempt did not start or was cut short.
	Reason string `cbor:"3,keyasint,omitempty"`
	// RanMS is the run time of an attempt that has ended.
	RanMS uint32 `cbor:"4,keyasint,omitempty"`
	Load  Load   `cbor:"5,keyasint"`
}

// Resume asks an agent for the state of attempts after a new link was opened.
// The agent answers with a RunReport for each, and reports an attempt that it
// does not know as not started.
type Resume struct {
	Attempts []LeasedAttempt `cbor:"1,keyasint"`
}
