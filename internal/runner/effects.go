package runner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Effect is an action that the agent's I/O layer has to carry out.
type Effect any

// StartRun commands the upstream to start an attempt. LeaseEndMS is the end of the
// lease on the upstream's clock, or 0 if that clock is unknown; the upstream refuses
// to carry out the command later.
type StartRun struct {
	Upstream   UpstreamID
	Attempt    wire.LeasedAttempt
	Spec       string
	LeaseEndMS int64
	// SentAt identifies the call among those for attempts of the same number.
	SentAt time.Duration
}

// StopRun commands the upstream to stop an attempt. If the start command is still in
// flight, its connection is closed first: a later incarnation of the upstream, which
// has no record of the stop, might accept it.
type StopRun struct {
	Upstream UpstreamID
	Attempt  wire.LeasedAttempt
}

// Report reports the state of an attempt to an entry.
type Report struct {
	Entry   EntryID
	Attempt wire.LeasedAttempt
	State   wire.RunState
	Reason  string
	RunTime time.Duration
	// ListAge and LeaseAge are, for an attempt that has ended, the ages of the last list of
	// runs and of the last renewal of the lease at that time. Upstream is the incarnation
	// that was the present one then.
	ListAge, LeaseAge time.Duration
	Upstream          UpstreamID
}

// RunFound reports a run that the upstream lists although the agent has reported it as ended.
type RunFound struct {
	Attempt wire.LeasedAttempt
	// State and Reason are those that were reported, Age the time since.
	State  wire.RunState
	Reason string
	Age    time.Duration
}

// ReadyChanged reports that the upstream may start tasks now, or no longer. Entries
// have to be notified at once: those that wait for upstreams would otherwise send all
// jobs to the first one.
type ReadyChanged struct{ Ready bool }

// Decision is a decision for the log.
type Decision struct {
	Entry   EntryID
	Attempt wire.LeasedAttempt
	Action  string
	Reason  string
	FreeCPU int
	Waited  time.Duration
	// Start holds what a start rests on; it is nil for other decisions.
	Start *StartBasis
}

// StartBasis is what the start of an attempt rests on.
type StartBasis struct {
	Upstream UpstreamID
	Token    uint64
	// LeaseEndMS is the end of the lease on the upstream's clock.
	LeaseEndMS int64
	// ConfirmationAge is the age of the entry's last confirmation.
	ConfirmationAge time.Duration
}

// StartOutcome is what is known after a start command.
type StartOutcome uint8

// Outcomes of a start command.
const (
	StartAccepted StartOutcome = iota + 1
	// StartRefused: the upstream has done nothing and will not.
	StartRefused
	// StartUnanswered: the command may have been carried out, or may still be.
	StartUnanswered
)

// ReasonFence is the reason of an upstream that has seen a higher fencing
// token.
const ReasonFence = "fence"

// ReasonOtherIncarnation is the reason of an upstream that is not the incarnation
// that the command was meant for.
const ReasonOtherIncarnation = "other-life"

// StartAnswer is the upstream's answer to StartRun.
type StartAnswer struct {
	Outcome StartOutcome
	Reason  string
	// ClockMS is the upstream's clock, or 0 if the answer does not contain it.
	ClockMS int64
	// SentAt is that of the call; 0 if it is not known.
	SentAt time.Duration
}
