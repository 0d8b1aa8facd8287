package brokerapi

import (
	"time"

	"github.com/damasklb/damasklb/internal/agentlink"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/wire"
)

// Effect is an action that the entry's I/O layer has to carry out.
type Effect any

// Send sends a message to an agent.
type Send struct {
	Agent   agentlink.ID
	Message wire.Message
}

// QueryEvacuations asks for the evacuation requests in the store.
type QueryEvacuations struct{}

// Answer gives a request its final answer.
type Answer struct {
	Waiter  Waiter
	Job     string
	Outcome Outcome
}

// Decision is a decision for the log.
type Decision struct {
	Job   string
	Index int
	Run   uint64
	// Queue is set for decisions about a queue and for refusals.
	Queue  string
	Agent  string
	Action string
	Reason string
	// Wait is the predicted time until the start, ReportAge the age of the agent's
	// report that it was predicted from. Withdrawals set Wait to the time since the
	// assignment or the start, refusals to the retry delay.
	Wait, ReportAge time.Duration
	FreeCPU         int
	// Timeout is set for jobs that are submitted late; Wait is then how long the caller had
	// waited before.
	Timeout time.Duration
	// Tasks is the number of the job's tasks, AtOnce the number of those that would
	// have started without a wait. Only refusals set them.
	Tasks, AtOnce int
	// Headroom and Share are what a decision under scarcity rests on (scarcity.Verdict).
	Headroom, Share float64
	// Runs is the number of runs under a crash, Crashes that of the crashes under a task
	// or job.
	Runs, Crashes int
	// Version is the store's version of the evacuation request that the decision follows.
	Version uint64
	// Previous is the run before the one that is assigned, nil for the first.
	Previous *PreviousRun
	// Rack is set for the placement or hold of a task that prefers a rack.
	Rack *locality.Placement
}

// PreviousRun is what an entry believes of the last run of a task as it assigns the next.
type PreviousRun struct {
	Run                     uint64
	Agent, AgentIncarnation string
	// State and Reason say how the run ended: as its agent has reported, or as the entry
	// has concluded.
	State, Reason string
	// Age is the time since that report or conclusion.
	Age time.Duration
}

// OutcomeKind is the way in which a request ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	// Completed: all tasks have ended with success.
	Completed OutcomeKind = iota + 1
	// Failed: a task has failed as often as its queue allows.
	Failed
	// Refused: nothing of the job has run, and nothing will unless it is submitted
	// again.
	Refused
	// Unknown: the job was given up, and its tasks may have run.
	Unknown
)

func (k OutcomeKind) String() string {
	switch k {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	}
	return "none"
}

// Outcome is the final answer to a request.
type Outcome struct {
	Kind       OutcomeKind
	Reason     string
	RetryAfter time.Duration
}

// State is a job's state for its caller.
type State uint8

// States of a job.
const (
	StateQueued State = iota + 1
	StateRunning
	StateCompleted
	StateFailed
)
