package runner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Effect is something that the agent's shell has to do.
type Effect any

// StartRun orders the upstream to start an attempt. Until is the end of the
// lease on the upstream's clock; an order that is carried out later is refused
// there.
type StartRun struct {
	Upstream   UpstreamID
	Attempt    wire.LeasedAttempt
	Spec       string
	LeaseEndMS int64
}

// StopRun orders the upstream to stop an attempt. If the order to start it is still
// under way, its connection is closed first: a later life of the upstream, which knows
// nothing of the stop, might accept it.
type StopRun struct {
	Upstream UpstreamID
	Attempt  wire.LeasedAttempt
}

// Report tells an entry about an attempt.
type Report struct {
	Entry   EntryID
	Attempt wire.LeasedAttempt
	State   wire.RunState
	Reason  string
	RunTime time.Duration
}

// ReadyChanged says that the upstream may start tasks now, or no longer. Entries are to
// know at once: those that wait for upstreams would otherwise send all jobs to the
// first one.
type ReadyChanged struct{ Ready bool }

// Decided is a decision for the log.
type Decision struct {
	Entry   EntryID
	Attempt wire.LeasedAttempt
	Action  string
	Reason  string
	FreeCPU int
	Waited  time.Duration
}

// StartOutcome is what is known after an order to start.
type StartOutcome uint8

// Outcomes of an order to start.
const (
	StartAccepted StartOutcome = iota + 1
	// StartRefused: the upstream has done nothing and will not.
	StartRefused
	// StartUnanswered: the order may have been carried out, or may be yet.
	StartUnanswered
)

// ReasonFence is the reason of an upstream that has seen a higher fencing
// token.
const ReasonFence = "fence"

// ReasonOtherLife is the reason of an upstream that is not the one meant.
const ReasonOtherIncarnation = "other-life"

// StartAnswer is the upstream's answer to StartRun.
type StartAnswer struct {
	Outcome StartOutcome
	Reason  string
}
