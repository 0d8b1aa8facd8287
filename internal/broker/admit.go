package broker

import (
	"math"
	"slices"
	"time"
)

// Refusing answers loads above capacity, and crests of a swing: a job whose
// tasks would start too late for the response time that its caller expects is
// refused at once, so that the work in hand stays in time.
const (
	// minRetryAfter is the least time after which a refused caller returns.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller returns.
	maxRetryAfter = 4 * time.Second
	// overhead is the time that a job spends outside its upstreams.
	overhead = 8 * time.Millisecond
	// admitShare is the share of the slack that the predicted wait may take. More
	// urgent work that arrives later lengthens the wait.
	maxWaitShare = 0.3
	// expireFactor is the multiple of the slack after which a job that has not
	// started is given up.
	startLimitFactor = 0.8
)

// kind is what is known of the jobs of a queue.
type queueStats struct {
	runs int
	// logRatio is the mean logarithm of run time over declared run time, logMean
	// that of the run time in milliseconds.
	meanLogRatio, meanLogRunTime float64
}

const (
	// kindMemory is the number of runs over which means are taken.
	statsWindow = 200
	// kindPrior is the number of runs from which the queue's own mean counts.
	minLearnedRuns = 10
	// defaultEstimate is assumed of a task without a declared run time.
	defaultEstimate = 200 * time.Millisecond
)

func (b *Broker) statsOf(queue string) *queueStats {
	k := b.stats[queue]
	if k == nil {
		k = &queueStats{}
		b.stats[queue] = k
	}
	return k
}

// expect returns the run time expected of a task. Declared run times are off by
// as much as run times vary, so both count alike.
func (k *queueStats) expectedRunTime(declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultEstimate
	}
	d := math.Log(float64(declared) / float64(time.Millisecond))
	if k.runs < minLearnedRuns {
		return declared
	}
	ms := math.Exp((d + k.meanLogRatio + k.meanLogRunTime) / 2)
	return time.Duration(ms * float64(time.Millisecond))
}

// learn adds the run time of a task that succeeded on an upstream of the given
// slowness in hundredths.
func (k *queueStats) addRun(ran, declared time.Duration, slowness uint32) {
	if declared <= 0 {
		declared = defaultEstimate
	}
	ms := max(float64(ran)/float64(time.Millisecond), 1) / max(float64(slowness)/100, 0.5)
	k.runs++
	n := float64(min(k.runs, statsWindow))
	k.meanLogRunTime += (math.Log(ms) - k.meanLogRunTime) / n
	k.meanLogRatio += (math.Log(ms*float64(time.Millisecond)/float64(declared)) - k.meanLogRatio) / n
}

// longest is the expected run time of the job's longest task.
func (j *job) longestExpected() time.Duration {
	var most time.Duration
	for _, t := range j.tasks {
		most = max(most, t.expected)
	}
	return most
}

// slack is how long the job's tasks may wait so that it ends in the response
// time that its caller expects.
func (j *job) slack() time.Duration {
	q := j.sub.Queue
	s := time.Duration((q.Stretch-1)*float64(j.longestExpected())) + q.Aim - overhead
	return max(s, 5*time.Millisecond)
}

// startLimit is the time after which a job that has not started is given up.
func (j *job) startLimit() time.Duration {
	return time.Duration(startLimitFactor * float64(j.slack()))
}

// admit decides whether a job is refused at its arrival, and otherwise places its
// tasks.
func (b *Broker) admit(now time.Duration, j *job) (Outcome, bool) {
	if b.draining {
		return b.refuse(j, Outcome{Kind: Refused, Reason: "entry-leaving", RetryAfter: minRetryAfter}, 0), true
	}
	if now < b.suspendedUntil {
		b.retain(j)
		return Outcome{}, false
	}
	placements := b.plan(now, j)
	var worst time.Duration
	atOnce := 0
	for _, p := range placements {
		if p.agent == nil {
			cancelPlan(placements)
			return b.admitWithoutAgent(now, j)
		}
		worst = max(worst, p.wait)
		if p.wait == 0 {
			atOnce++
		}
	}
	if worst > time.Duration(maxWaitShare*float64(j.slack())) {
		cancelPlan(placements)
		if now < b.agentsExpectedUntil {
			b.retain(j)
			return Outcome{}, false
		}
		return b.refuse(j, Outcome{Kind: Refused, Reason: "overload", RetryAfter: b.jitter(minRetryAfter + worst)}, atOnce), true
	}
	for _, p := range placements {
		b.assign(now, p.agent, p.task, p.wait)
	}
	return Outcome{}, false
}

// refuse logs a refusal at arrival with what decided it.
func (b *Broker) refuse(j *job, o Outcome, atOnce int) Outcome {
	b.emit(Decided{Job: j.sub.ID, What: "refuse", Reason: o.Reason, Wait: o.RetryAfter, Tasks: len(j.tasks), AtOnce: atOnce})
	return o
}

const (
	// startHope is the time after the start of the process in which agents are
	// expected to connect.
	startupGrace = 1500 * time.Millisecond
	// lostHope is the time without a usable agent after which none is expected
	// soon. Silent links are replaced within it.
	agentReturnTimeout = time.Second
	// gatherTime is the time after the first agent has become usable in which others
	// follow: agents that were away together, as after a restart of all, come back
	// within some 40 ms. Until then a lack of room says nothing about the load.
	agentArrivalWindow = 60 * time.Millisecond
)

// withoutUpstream handles a job that no agent can take now. It waits for one as
// long as its caller's time allows, if one is likely to come back.
func (b *Broker) admitWithoutAgent(now time.Duration, j *job) (Outcome, bool) {
	if now > startupGrace && now-b.lastUsableAt > agentReturnTimeout {
		return b.refuse(j, Outcome{Kind: Refused, Reason: "no-upstream", RetryAfter: b.jitter(minRetryAfter)}, 0), true
	}
	b.retain(j)
	return Outcome{}, false
}

// keep keeps a job's tasks until an agent can take them.
func (b *Broker) retain(j *job) {
	for _, t := range j.tasks {
		b.retainTask(t)
	}
}

func (b *Broker) retainTask(t *task) {
	if !t.unplaced {
		t.unplaced = true
		b.unplaced = append(b.unplaced, t)
	}
}

func (b *Broker) releaseTask(t *task) {
	if t.unplaced {
		t.unplaced = false
		b.unplaced = slices.DeleteFunc(b.unplaced, func(o *task) bool { return o == t })
	}
}

// placeKept places the tasks that are kept, and refuses jobs that have waited
// too long.
func (b *Broker) placeUnplaced(now time.Duration) {
	for _, t := range slices.Clone(b.unplaced) {
		j := t.job
		if !t.unplaced {
			continue
		}
		if !j.started && !j.closing && now > j.arrived+j.startLimit() {
			b.close(now, j, Outcome{Kind: Refused, Reason: "no-upstream", RetryAfter: b.retryAfter(j)})
			continue
		}
		b.place(now, t)
	}
}

// tooLate is whether a job of which nothing has started would start too late
// after a wait. It is asked when the upstreams that seemed to have room turned
// out to have none. A task that was accepted to wait and was taken back for an
// upstream with free room may wait again as long as one that stayed in its queue.
func (b *Broker) tooLate(now time.Duration, t *task, wait time.Duration) bool {
	j := t.job
	if j.started || wait == 0 {
		return false
	}
	for _, other := range j.tasks {
		if other.agent != nil {
			// It may be starting at this moment.
			return false
		}
	}
	limit := time.Duration(maxWaitShare * float64(j.slack()))
	if t.acceptedToWait {
		limit = j.startLimit()
	}
	return now-j.arrived+wait > limit
}

// retryAfter is the time to come back for a job that was given up in a queue.
func (b *Broker) retryAfter(j *job) time.Duration {
	return b.jitter(minRetryAfter + j.startLimit())
}

// jitter spreads the returns of callers over half of the time again.
func (b *Broker) jitter(d time.Duration) time.Duration {
	d += time.Duration(b.random.Int63n(int64(d)/2 + 1))
	return min(d, maxRetryAfter)
}
