package placement

import (
	"time"

	"github.com/damasklb/damasklb/internal/capacity"
)

const (
	// spreadPenalty is added to the score of a fully used upstream, and a
	// proportional part for a partly used one. It spreads the tasks of entries that
	// see the same free upstreams.
	spreadPenalty = 4 * time.Millisecond
	// SpreadJitter is the upper bound of Candidate.Random. It keeps entries from choosing the
	// same upstream at the same time.
	SpreadJitter = time.Millisecond
	// failurePenalty is added for an upstream on which all runs fail, and a
	// proportional part for one on which some fail. It exceeds the wait at any
	// upstream worth waiting for.
	failurePenalty = 3 * time.Second
	// avoidPenalty is added for the upstream on which the task failed last.
	avoidPenalty = 2 * time.Second
	// toleratedFailurePercent is the percentage of failed runs up to which no
	// penalty is added.
	toleratedFailurePercent = 12
	// stuckPenalty is added for an upstream whose runs make no progress.
	stuckPenalty = 5 * time.Second
)

// Match is a task and its relation to an upstream.
type Match struct {
	Task capacity.Task
	// RunFactor is the factor on the run time of a task off its preferred rack; 0 means none.
	RunFactor float64
	// Travel is the time of the messages to another data centre and back.
	Travel time.Duration
	// Avoid is whether the task failed there last.
	Avoid bool
}

// Candidate returns what speaks for and against the upstream, without the random part and what
// has to do with crashes.
func (m Match) Candidate(v *capacity.View) Candidate {
	c := Candidate{Wait: v.Wait(m.Task), Run: time.Duration(float64(m.Task.Expected) * v.Slowdown()), Travel: m.Travel}
	if m.RunFactor > 0 {
		c.Run = time.Duration(float64(c.Run) * m.RunFactor)
	}
	c.Spread = time.Duration(v.Used(m.Task.Priority) * float64(spreadPenalty))
	if f := v.Load.FailurePercent; f > toleratedFailurePercent {
		c.Failing = failurePenalty * time.Duration(f) / 100
	}
	if m.Avoid {
		c.Avoided = avoidPenalty
	}
	if v.Load.Stuck {
		c.Stuck = stuckPenalty
	}
	return c
}
