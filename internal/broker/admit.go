package broker

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/runtimes"
)

// Admission control handles loads above capacity and demand peaks: a job whose
// tasks would start too late for the response time that its caller expects is
// refused at once, so that the accepted jobs stay on time.
const (
	// minRetryAfter is the shortest retry delay given to a refused caller.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest retry delay given to a refused caller.
	maxRetryAfter = 4 * time.Second
	// overhead is the part of a job's response time that it spends outside its
	// upstreams.
	overhead = 8 * time.Millisecond
	// maxWaitShare is the share of the slack that the predicted wait may take. It is
	// below 1 because more urgent work that arrives later lengthens the wait.
	maxWaitShare = 0.3
	// startLimitFactor is the multiple of the slack after which a job that has not
	// started is refused.
	startLimitFactor = 0.8
)

func (b *Broker) statsOf(queue string) *runtimes.Stats {
	if b.stats[queue] == nil {
		b.stats[queue] = &runtimes.Stats{}
	}
	return b.stats[queue]
}

// slack returns how long the job's tasks may wait so that the job still ends
// within the response time that its caller expects. A job that is late anyway keeps enough to
// start where capacity is free at once.
func (j *job) slack() time.Duration {
	q := j.sub.Queue
	s := time.Duration((q.Stretch-1)*float64(j.longestExpected)) + q.LatencyTarget - overhead - j.waited
	return max(s, 5*time.Millisecond)
}

// timeLeft returns the time within which the job's tasks have to end so that the job still
// ends within the response time that its caller expects.
func (j *job) timeLeft(now time.Duration) time.Duration {
	q := j.sub.Queue
	return j.arrived - j.waited + time.Duration(q.Stretch*float64(j.longestExpected)) + q.LatencyTarget - overhead - now
}

// startLimit returns the time after a job's arrival at which it is refused if it
// has not started.
func (j *job) startLimit() time.Duration {
	return time.Duration(startLimitFactor * float64(j.slack()))
}

// admit decides whether a job is refused at its arrival, and otherwise places its
// tasks or retains them until they can be placed.
func (b *Broker) admit(now time.Duration, j *job) (Outcome, bool) {
	var placements []planned
	if !b.draining && !b.held(now, j) {
		placements = b.plan(now, j)
	}
	v := b.judge(now, j, placements)
	if v.Action != explain.Place {
		cancelPlan(placements)
	}
	if v.Action == explain.Verify {
		if b.verify(now, j) {
			return Outcome{}, false
		}
		v.Action = explain.Refuse
	}
	b.countDecision(now, j, v)
	switch v.Action {
	case explain.Place:
		for _, p := range placements {
			if p.hold {
				b.hold(now, p.task)
				continue
			}
			b.assign(now, p.agent, p.task, p.wait)
		}
		return Outcome{}, false
	case explain.Hold:
		for _, t := range j.tasks {
			b.retainTask(now, t)
		}
		return Outcome{}, false
	}
	return b.refuse(j, b.refusal(v), v), true
}

// refuse logs a refusal at arrival with its cause.
func (b *Broker) refuse(j *job, o Outcome, v explain.Verdict) Outcome {
	b.emit(Decision{Job: j.sub.ID, Action: "refuse", Reason: o.Reason, Wait: o.RetryAfter, Tasks: len(j.tasks), AtOnce: v.AtOnce,
		Queue: j.sub.Queue.Name, Headroom: v.Headroom, Share: v.Share})
	return o
}

const (
	// startupGrace is the time after the start of the process in which agents are
	// expected to connect.
	startupGrace = 1500 * time.Millisecond
	// agentReturnTimeout is the time without a usable agent after which none is
	// expected soon. Silent links are replaced within it.
	agentReturnTimeout = time.Second
	// agentArrivalWindow is the time after the first agent has become usable in
	// which others follow: agents that were unusable together, as after a restart of
	// all, return within some 40 ms. Until then a lack of free capacity says nothing
	// about the load.
	agentArrivalWindow = 60 * time.Millisecond
)

// retainTask adds a task to those that wait for an agent.
func (b *Broker) retainTask(now time.Duration, t *task) {
	if !t.unplaced {
		t.unplaced, t.unplacedAt = true, now
		b.unplaced.add(t)
	}
}

func (b *Broker) releaseTask(t *task) {
	if t.unplaced {
		t.unplaced = false
		b.unplaced.remove(t)
	}
}

// unplacedInterval is the shortest time between two attempts to place the retained tasks as
// heartbeats arrive. Each attempt compares every task with every agent, and after a
// restart of all hosts many of both come at once.
const unplacedInterval = 5 * time.Millisecond

// agentReported places the retained tasks after an agent's heartbeat. Those that are left
// out within unplacedInterval are placed by the next heartbeat or tick.
func (b *Broker) agentReported(now time.Duration) {
	if b.unplaced.count > 0 && now-b.unplacedTriedAt >= unplacedInterval {
		b.placeUnplaced(now)
	}
}

// placeUnplaced places the retained tasks where possible, and refuses jobs that
// have waited too long.
func (b *Broker) placeUnplaced(now time.Duration) {
	b.unplacedTriedAt = now
	redecided := 0
	for _, t := range slices.Collect(b.unplaced.all()) {
		j := t.job
		if !t.unplaced {
			continue
		}
		if !j.closing && b.suspectWithoutUpstream(now, t) {
			continue
		}
		if !j.started && !j.closing && now > j.arrived+j.startLimit() {
			b.close(now, j, Outcome{Kind: Refused, Reason: "no-upstream", RetryAfter: b.retryAfter(j)})
			continue
		}
		if t.rack.Held() && !b.placeHeld(now, t, &redecided) {
			continue
		}
		b.place(now, t)
	}
}

// tooLate reports whether a job of which nothing has started would start too late after the
// wait. It applies to tasks that are placed again, as when an upstream that seemed to have free
// capacity turned out to have none. A task that was accepted to wait and was withdrawn for an
// upstream with free capacity may wait again for as long as one that stayed in its queue.
func (b *Broker) tooLate(now time.Duration, t *task, wait time.Duration) bool {
	j := t.job
	// A task with an agent may be starting at this moment.
	if j.started || wait == 0 || slices.ContainsFunc(j.tasks, func(o *task) bool { return o.agent != nil }) {
		return false
	}
	if t.acceptedToWait {
		return now-j.arrived+wait > j.startLimit()
	}
	return now-j.arrived+wait > time.Duration(maxWaitShare*float64(j.slack()))
}

// retryAfter returns the retry delay for a job that was refused after a wait.
func (b *Broker) retryAfter(j *job) time.Duration {
	return b.jitter(minRetryAfter + j.startLimit())
}

// jitter adds up to half of the delay at random, to spread the retries of callers. The delay is
// shortened first where the sum could exceed maxRetryAfter: long delays would otherwise be equal.
func (b *Broker) jitter(d time.Duration) time.Duration {
	d = min(d, maxRetryAfter*2/3)
	return d + time.Duration(b.random.Int63n(int64(d)/2+1))
}
