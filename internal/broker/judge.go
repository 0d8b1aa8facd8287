package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/reasons"
)

// The functions of this file decide and change nothing, so explanations use them as well.

const (
	reasonLeaving    = "entry-leaving"
	reasonOverload   = "overload"
	reasonNoUpstream = "no-upstream"
	reasonScarcity   = "scarcity"
	reasonOutOfTouch = "entry-out-of-touch"
	// The reasons for holding a job.
	reasonResuming       = "process-resumed"
	reasonAgentsExpected = "agents-expected"
	reasonNoAgentCanTake = "no-agent-can-take-it"
)

// refusal returns the outcome that a verdict stands for.
func (b *Broker) refusal(v explain.Verdict) Outcome {
	o := Outcome{Kind: Refused, Reason: v.Reason, RetryAfter: v.RetryAfter}
	if !v.Exact {
		o.RetryAfter = b.jitter(v.RetryAfter)
	}
	return o
}

// judge decides about a job at its arrival. placements is its plan, which is not made while
// the entry drains or is suspended.
func (b *Broker) judge(now time.Duration, j *job, placements []planned) explain.Verdict {
	if b.draining {
		return explain.Verdict{Action: explain.Refuse, Reason: reasonLeaving, RetryAfter: minRetryAfter, Exact: true}
	}
	if b.held(now, j) {
		return explain.HoldFor(reasonResuming)
	}
	v := explain.Verdict{Action: explain.Place, Limit: time.Duration(maxWaitShare * float64(j.slack()))}
	for _, p := range placements {
		if p.agent == nil && !p.hold {
			return b.judgeWithoutAgent(now, j)
		}
		v.Wait = max(v.Wait, p.wait)
		if p.wait == 0 && !p.hold {
			v.AtOnce++
		}
	}
	if s, refused := b.judgeScarcity(now, j); refused && v.AtOnce < len(placements) {
		s.AtOnce = v.AtOnce
		return s
	}
	switch {
	case v.Wait <= v.Limit:
		return v
	case now < b.agentsExpectedUntil:
		v.Action, v.Reason = explain.Hold, reasonAgentsExpected
		return v
	}
	v.Action, v.Reason, v.RetryAfter = explain.Refuse, reasonOverload, minRetryAfter+v.Wait
	if !j.verified {
		v.Action = explain.Verify
	}
	return v
}

// judgeWithoutAgent decides about a job that no agent can take now. If an agent is likely
// to become usable, the job is retained until its start limit, otherwise refused.
func (b *Broker) judgeWithoutAgent(now time.Duration, j *job) explain.Verdict {
	if b.HasAgent(now) && b.poison.Caution(now, j.sub.Queue.Name) == poison.Quarantined {
		return explain.RefuseFor(reasonQuarantine, quarantineRetryAfter)
	}
	for _, t := range j.tasks {
		if b.exceedsAll(now, t) {
			return explain.RefuseFor(reasons.TooLarge, tooLargeRetryAfter)
		}
		if b.onlyEvacuated(now, t) {
			return explain.RefuseFor(reasons.Evacuated, evacuatedRetryAfter)
		}
	}
	if now > startupGrace && now-b.lastPresentAt > agentReturnTimeout {
		return explain.RefuseFor(reasonNoUpstream, minRetryAfter)
	}
	return explain.HoldFor(reasonNoAgentCanTake)
}

// judgeTask decides about a retained task, or one whose attempt has ended. a is the agent
// that it would get, or nil, and wait the predicted wait there.
func (b *Broker) judgeTask(now time.Duration, t *task, a *agent, wait time.Duration) explain.Verdict {
	switch {
	case a == nil && b.exceedsAll(now, t):
		// The capacity of the upstreams may grow again.
		return explain.RefuseFor(reasons.TooLarge, tooLargeRetryAfter)
	case a == nil && b.onlyEvacuated(now, t):
		return explain.RefuseFor(reasons.Evacuated, evacuatedRetryAfter)
	case a == nil:
		return explain.HoldFor(reasonNoAgentCanTake)
	case wait > 0 && now < b.agentsExpectedUntil:
		return explain.Verdict{Action: explain.Hold, Reason: reasonAgentsExpected, Wait: wait}
	case b.tooLate(now, t, wait):
		v := explain.RefuseFor(reasonOverload, minRetryAfter+t.job.startLimit())
		v.Wait, v.Limit = wait, t.job.startLimit()
		return v
	}
	return explain.Verdict{Action: explain.Place, Wait: wait}
}
