// Package brokerapi holds the inputs and outputs of package broker: its settings, the jobs that
// callers submit, and the effects that the I/O layer of an entry carries out.
package brokerapi

import (
	"time"

	"github.com/damasklb/damasklb/internal/agentlink"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/scarcity"
)

// Settings are the broker's limits.
type Settings struct {
	DataCentre string
	// Distance is the assumed one-way latency to another data centre.
	Distance time.Duration
	// FarRackFactor is the factor on the run time of a task outside its preferred
	// rack.
	FarRackFactor float64
	// Limits are those of agents.
	agentlink.Limits
	// AnswerRetention is how long the answer of a job is retained for a copy of its
	// request that arrives late.
	AnswerRetention time.Duration
	// ResumeDelay is the time without new commands after a pause of the process, in
	// which the broker learns which callers have left.
	ResumeDelay time.Duration
	// CallerWaits reports whether a caller may still wait for its answer, as far as is known when
	// it is called; nil means that all do. The broker asks before it starts a task again.
	CallerWaits func(Waiter) bool
	// EvacuateWithin is the time from an operator's request to evacuate a data centre after
	// which no task may start there; 0 means that there are no such requests.
	EvacuateWithin time.Duration
	// Preemption are the limits of stops for more urgent work.
	Preemption preemption.Settings
	// LateJobsYield is whether jobs whose callers have waited before, as their timeouts show,
	// yield to those that can still be on time.
	LateJobsYield bool
	// Locality bounds the wait of tasks for their preferred rack.
	Locality locality.Settings
	// Scarcity are the limits of admission while capacity is scarce.
	Scarcity scarcity.Settings
}

// DefaultSettings returns settings that fit agents whose runs end within
// endedAfter of the entry's last message.
func DefaultSettings(dataCentre string, endedAfter time.Duration) Settings {
	return Settings{
		DataCentre:      dataCentre,
		Distance:        1500 * time.Microsecond,
		FarRackFactor:   1.5,
		Limits:          agentlink.Limits{HeartbeatTimeout: 420 * time.Millisecond, ReactionTimeout: 60 * time.Millisecond, RunsEndedAfter: endedAfter},
		AnswerRetention: 6 * time.Second,
		ResumeDelay:     30 * time.Millisecond,
		LateJobsYield:   true,
		Locality:        locality.Settings{MaxWait: locality.DefaultMaxWait},
		Scarcity:        scarcity.DefaultSettings(),
	}
}
