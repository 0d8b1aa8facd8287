package broker

import (
	"github.com/damasklb/damasklb/internal/agentlink"
	"github.com/damasklb/damasklb/internal/brokerapi"
)

// The names under which the users of this package know its inputs and outputs.
type (
	Settings         = brokerapi.Settings
	TaskSpec         = brokerapi.TaskSpec
	Submission       = brokerapi.Submission
	Waiter           = brokerapi.Waiter
	AgentID          = agentlink.ID
	Link             = agentlink.Link
	Effect           = brokerapi.Effect
	Send             = brokerapi.Send
	Answer           = brokerapi.Answer
	Decision         = brokerapi.Decision
	PreviousRun      = brokerapi.PreviousRun
	QueryEvacuations = brokerapi.QueryEvacuations
	Outcome          = brokerapi.Outcome
	OutcomeKind      = brokerapi.OutcomeKind
	State            = brokerapi.State
)

const (
	Completed      = brokerapi.Completed
	Failed         = brokerapi.Failed
	Refused        = brokerapi.Refused
	Unknown        = brokerapi.Unknown
	StateQueued    = brokerapi.StateQueued
	StateRunning   = brokerapi.StateRunning
	StateCompleted = brokerapi.StateCompleted
	StateFailed    = brokerapi.StateFailed
	AgentReady     = agentlink.Ready
)

// DefaultSettings returns settings that fit agents whose runs end within a time of the entry's
// last message.
var DefaultSettings = brokerapi.DefaultSettings
