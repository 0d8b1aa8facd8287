package leased

import (
	"context"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/callerconn"
	"github.com/damasklb/damasklb/internal/invariant"
)

// request is a caller's request without an answer so far.
type request struct {
	// ctx ends when the caller is known to have left.
	ctx context.Context
	// answer has room for the only answer.
	answer  chan broker.Outcome
	arrived time.Duration
}

// callerWaits reports whether a caller may still wait for its answer. The core calls it under
// the lock.
func (e *Entry) callerWaits(w broker.Waiter) bool {
	r := e.requests[w]
	return r != nil && callerconn.Open(r.ctx)
}

// deliver hands an answer to its request, which may have stopped waiting for it. A second answer
// to a request is dropped.
func (e *Entry) deliver(m broker.Answer) {
	r := e.requests[m.Waiter]
	if r == nil {
		return
	}
	first := true
	select {
	case r.answer <- m.Outcome:
	default:
		first = false
	}
	invariant.Check(first, "entry_answers_once", "job", m.Job, "reason", m.Outcome.Reason)
}

// Run submits a job and waits for its outcome. It stops waiting when ctx ends or
// the submission's timeout has passed.
func (e *Entry) Run(ctx context.Context, sub broker.Submission) broker.Outcome {
	r := &request{ctx: ctx, answer: make(chan broker.Outcome, 1)}
	var w broker.Waiter
	e.withCore(func(now time.Duration, core *broker.Broker) {
		e.lastWaiter++
		w = e.lastWaiter
		r.arrived = now
		e.requests[w] = r
		core.Submit(now, sub, w)
	})
	defer e.withCore(func(time.Duration, *broker.Broker) { delete(e.requests, w) })
	var timeout <-chan time.Time
	if sub.Timeout > 0 {
		timer := time.NewTimer(sub.Timeout)
		defer timer.Stop()
		timeout = timer.C
	}
	outcome := e.await(ctx, r, timeout, sub.ID, w)
	took := e.now() - r.arrived
	outcomeCounter(outcome.Kind.String()).Inc()
	responseTime.Update(took.Seconds())
	e.log.Info("answer", "job", sub.ID, "queue", sub.Queue.Name, "tasks", len(sub.Tasks), "outcome", outcome.Kind.String(),
		"reason", outcome.Reason, "took_ms", took.Milliseconds(), "patience_ms", sub.Timeout.Milliseconds(),
		"retry_after_ms", outcome.RetryAfter.Milliseconds())
	return outcome
}

func (e *Entry) await(ctx context.Context, r *request, timeout <-chan time.Time, id string, w broker.Waiter) broker.Outcome {
	reason := ""
	select {
	case o := <-r.answer:
		return o
	case <-ctx.Done():
		reason = "caller-left"
	case <-timeout:
		reason = "deadline-passed"
	}
	e.withCore(func(now time.Duration, core *broker.Broker) { core.CallerLeft(now, id, w) })
	// The outcome may have arrived before CallerLeft took effect.
	select {
	case o := <-r.answer:
		return o
	default:
		return broker.Outcome{Kind: broker.Unknown, Reason: reason}
	}
}
