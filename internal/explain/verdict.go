package explain

import (
	"time"

	"github.com/damasklb/damasklb/internal/status"
)

// Action is what is to be done with a job or task.
type Action string

// Actions.
const (
	Place Action = "place"
	// Hold: wait for an agent that can take it.
	Hold Action = "hold"
	// Verify: ask agents with old reports for new ones, and refuse the job if there are
	// none.
	Verify Action = "verify"
	Refuse Action = "refuse"
)

// Verdict is a decision about a job or task and what it rests on. The functions of a core
// that return one change nothing, so that explanations use them as well.
type Verdict struct {
	Action Action
	Reason string
	// RetryAfter is the retry delay before a random part is added.
	RetryAfter time.Duration
	// Exact is whether no random part is added.
	Exact bool
	// Wait is the longest predicted wait, Limit the longest for which the job is placed.
	Wait, Limit time.Duration
	// AtOnce is the number of tasks that would start without a wait.
	AtOnce int
	// Headroom and Share are what a refusal under scarcity rests on (scarcity.Verdict).
	Headroom, Share float64
}

// RefuseFor returns the verdict that refuses for a reason.
func RefuseFor(reason string, retryAfter time.Duration) Verdict {
	return Verdict{Action: Refuse, Reason: reason, RetryAfter: retryAfter}
}

// HoldFor returns the verdict that holds for a reason.
func HoldFor(reason string) Verdict { return Verdict{Action: Hold, Reason: reason} }

// Show enters the verdict in an explanation.
func (v Verdict) Show(e *status.Explanation) {
	e.Decision, e.Reason, e.RetryAfterMS = string(v.Action), v.Reason, v.RetryAfter.Milliseconds()
	e.AtOnce, e.WaitMS = v.AtOnce, Milliseconds(v.Wait)
	if v.Limit > 0 {
		e.WaitLimitMS = Milliseconds(v.Limit)
	}
}
