package runner

import (
	"math"
	"time"
)

// Health detects upstreams that are slow, fail or make no progress. Run times vary
// by half around the expected ones and some are seven times as long, so single runs
// are weak evidence: the logarithms of their ratios are averaged, within bounds, over
// some twenty runs.
const (
	// healthDecay is the factor on the weight of earlier runs when a run ends. With
	// it about the last twenty runs count, which a busy upstream ends in about a
	// second.
	healthDecay = 0.95
	// healthPrior is the weight, in runs, of the assumption that the upstream is
	// as fast as expected.
	healthPrior = 5
	// healthHalfLife is the time without ended runs in which evidence loses half of
	// its weight, so that an upstream without work is tried again.
	healthHalfLife = 3 * time.Second
	// maxRatio bounds the run time of one run relative to the expected one.
	maxRatio = 8.0
	// overdueFactor is the multiple of its expected run time from which a run counts
	// before it has ended.
	overdueFactor = 2.5
	// minHealthyRatio and maxHealthyRatio bound the deviation of recent run times from the
	// upstream's speed that is attributed to random variation.
	minHealthyRatio, maxHealthyRatio = 0.65, 1.5
	// speedDecay is the factor on the weight of earlier runs in the upstream's speed when a
	// run ends. With it about the last 200 runs count, so that chance moves the speed by a few
	// percent only. speedPrior is the weight, in runs, of the assumption that the upstream is
	// as fast as expected.
	speedDecay = 0.995
	speedPrior = 8
	// runLogSpread is the standard deviation of the logarithm of run time over expected run
	// time, and speedSignificance the multiple of its standard error from which the speed
	// counts.
	runLogSpread      = 0.5
	speedSignificance = 3
	// healthySlowness is the slowness of a healthy upstream, in hundredths.
	healthySlowness = 100
	// stuckFactor and minStuckTime define a run without progress: it has taken
	// stuckFactor times its expected run time, and at least minStuckTime.
	stuckFactor  = 8
	minStuckTime = 400 * time.Millisecond
	// stuckJobs is the number of jobs with such runs from which the upstream is stuck,
	// if no run has ended meanwhile. The tasks of one job are long together and count
	// once.
	stuckJobs = 2
	// probeInterval is the time between two tasks for a suspected upstream.
	probeInterval = time.Second
	// probeCapacity is the free capacity, in thousandths of a core, that a suspected
	// upstream reports: enough for one task.
	probeCapacity = 10_000
	// maxProbeRatio is the largest ratio of run time to expected run time of a run
	// that ends a suspicion.
	maxProbeRatio = 3.0
	// brokenPercent is the percentage of failed runs above which the upstream is
	// suspected.
	brokenPercent = 35
	// Overdue runs of overdueJobs jobs, and no run ended for overdueWithoutEnd, show a
	// stuck upstream sooner.
	overdueJobs       = 3
	overdueWithoutEnd = 250 * time.Millisecond
	// maxCountedJobs is the number of jobs whose runs are counted separately. It is
	// far larger than the number of runs that healthDecay lets count.
	maxCountedJobs = 128
	// unresponsiveAfter is the time without a list from which the upstream is
	// unresponsive. Lists come every 60 ms, so several are missing by then.
	unresponsiveAfter = 250 * time.Millisecond
	// failurePrior is the weight, in runs, of the assumption that runs do not fail.
	failurePrior = 3
)

// health is the evidence of recent runs about the upstream.
type health struct {
	// weight is the decayed number of runs that ended done, logSum the decayed sum
	// of the logarithms of their run times relative to the expected ones.
	weight, logSum float64
	// speedWeight and speedLogSum are the same over a longer time. They show the speed of the
	// type of host, which does not change.
	speedWeight, speedLogSum float64
	// runs and failed are the decayed numbers of runs that ended done or failed.
	runs, failed float64
	lastEndAt    time.Duration
	// runsByJob holds the number of ended runs of each of the last maxCountedJobs
	// jobs, which recentJobs lists.
	runsByJob  map[string]int
	recentJobs []string

	// suspect is set while runs make no progress or fail. The upstream then gets one
	// task at a time, at intervals, until one succeeds: if the suspicion ended with
	// the decay of the evidence, the whole load would reach the upstream again.
	suspect      bool
	suspectSince time.Duration
	// unresponsive is set if the suspicion was raised because commands got no answer.
	// The next list ends it.
	unresponsive bool
	nextProbeAt  time.Duration
}

// logRatio is the bounded logarithm of a run time relative to the expected one.
func logRatio(ran time.Duration, expectedMS uint32) float64 {
	expected := float64(max(expectedMS, 1)) * float64(time.Millisecond)
	ratio := min(max(float64(ran)/expected, 1/maxRatio), maxRatio)
	return math.Log(ratio)
}

// decay returns the factor on the weight of the evidence after the time without an
// ended run.
func (h *health) decay(now time.Duration) float64 {
	if now <= h.lastEndAt {
		return 1
	}
	return math.Exp2(-float64(now-h.lastEndAt) / float64(healthHalfLife))
}

// runWeight counts a run of a job and returns its weight as evidence. The tasks of a
// job are long, or fail, together: the n-th run has an n-th of the weight of the
// first.
func (h *health) runWeight(job string) float64 {
	if h.runsByJob == nil {
		h.runsByJob = map[string]int{}
	}
	if h.runsByJob[job] == 0 {
		if len(h.recentJobs) == maxCountedJobs {
			delete(h.runsByJob, h.recentJobs[0])
			h.recentJobs = h.recentJobs[1:]
		}
		h.recentJobs = append(h.recentJobs, job)
	}
	h.runsByJob[job]++
	return 1 / float64(h.runsByJob[job])
}

func (h *health) addRun(now time.Duration, a *attempt, kind EndKind, ran time.Duration) {
	if kind == EndStopped {
		return
	}
	weight := h.runWeight(a.id.Task.Job)
	remaining := math.Pow(healthDecay, weight) * h.decay(now)
	h.runs = h.runs*remaining + weight
	h.failed *= remaining
	h.weight *= remaining
	h.logSum *= remaining
	h.lastEndAt = now
	if kind == EndFailed {
		h.failed += weight
		if h.failurePercent(now) > brokenPercent {
			h.raiseSuspicion(now)
		}
		return
	}
	if h.suspect && a.startSentAt >= h.suspectSince && float64(ran) < maxProbeRatio*float64(a.assign.ExpectedMS)*float64(time.Millisecond) {
		*h = health{lastEndAt: now, speedWeight: h.speedWeight, speedLogSum: h.speedLogSum}
		return
	}
	h.weight += weight
	h.logSum += weight * logRatio(ran, a.assign.ExpectedMS)
	h.addSpeed(weight, logRatio(ran, a.assign.ExpectedMS))
}

// addSpeed adds a run to the upstream's speed. A run counts as no further from the speed so
// far than a healthy one may be, so that a host that is out of order for a while does not
// change it much.
func (h *health) addSpeed(weight, logRatio float64) {
	mean := h.speedLogSum / (h.speedWeight + speedPrior)
	logRatio = min(max(logRatio, mean+math.Log(minHealthyRatio)), mean+math.Log(maxHealthyRatio))
	f := math.Pow(speedDecay, weight)
	h.speedWeight = h.speedWeight*f + weight
	h.speedLogSum = h.speedLogSum*f + weight*logRatio
}

// speed returns the run time of the upstream's type of host relative to the expected one, or
// 1 while chance may explain the difference.
func (h *health) speed() float64 {
	mean := h.speedLogSum / (h.speedWeight + speedPrior)
	if math.Abs(mean) < speedSignificance*runLogSpread/math.Sqrt(h.speedWeight+speedPrior) {
		return 1
	}
	return math.Exp(mean)
}

func (h *health) failurePercent(now time.Duration) uint32 {
	f := h.decay(now)
	return uint32(100 * h.failed * f / (h.runs*f + failurePrior))
}

// slowness returns the run time relative to the expected one, in hundredths. Overdue
// runs count before they end.
func (r *Runner) slowness(now time.Duration) uint32 {
	f := r.health.decay(now)
	weight, logSum := r.health.weight*f, r.health.logSum*f
	overdueByJob := map[string]int{}
	for _, a := range r.active {
		if !r.countsForHealth(now, a) {
			continue
		}
		age := now - a.startSentAt
		if overdue(age, a.assign.ExpectedMS) {
			overdueByJob[a.id.Task.Job]++
			runWeight := 1 / float64(overdueByJob[a.id.Task.Job])
			weight += runWeight
			logSum += runWeight * logRatio(age, a.assign.ExpectedMS)
		}
	}
	ratio := math.Exp(logSum / (weight + healthPrior))
	speed := r.health.speed()
	if r.settings.NoSpeed {
		speed = 1
	}
	if ratio > minHealthyRatio*speed && ratio < maxHealthyRatio*speed {
		ratio = speed
	}
	return uint32(math.Round(healthySlowness * ratio))
}

// countsForHealth reports whether the age of an attempt is evidence about the
// upstream. A lost start command is no evidence about its speed, unless the upstream
// does not answer at all.
func (r *Runner) countsForHealth(now time.Duration, a *attempt) bool {
	return a.occupies() && !r.cold.at(a.startSentAt) && (a.confirmedAt > 0 || now-r.lease.lastListAt > unresponsiveAfter)
}

// overdue reports whether a run has taken far longer than expected.
func overdue(age time.Duration, expectedMS uint32) bool {
	return float64(age) > overdueFactor*float64(expectedMS)*float64(time.Millisecond)
}

// stuck reports whether runs of several jobs make no progress and no run has ended
// since they became overdue.
func (r *Runner) stuck(now time.Duration) bool {
	stuck, late := map[string]bool{}, map[string]bool{}
	// Without a run, none could end.
	withoutEndSince := now
	for _, a := range r.active {
		if !r.countsForHealth(now, a) {
			continue
		}
		age := now - a.startSentAt
		limit := max(minStuckTime, stuckFactor*time.Duration(a.assign.ExpectedMS)*time.Millisecond)
		if age > limit && r.health.lastEndAt < a.startSentAt+limit {
			stuck[a.id.Task.Job] = true
		}
		if overdue(age, a.assign.ExpectedMS) {
			late[a.id.Task.Job] = true
			withoutEndSince = min(withoutEndSince, a.startSentAt)
		}
	}
	withoutEndSince = max(withoutEndSince, r.health.lastEndAt)
	return len(stuck) >= stuckJobs || (len(late) >= overdueJobs && now-withoutEndSince > overdueWithoutEnd)
}

// raiseSuspicion marks the upstream as suspected, or delays the next probe.
func (h *health) raiseSuspicion(now time.Duration) {
	if !h.suspect {
		h.suspect, h.suspectSince = true, now
	}
	h.nextProbeAt = now + probeInterval
}

// checkStuck raises a suspicion if the upstream is stuck.
func (r *Runner) checkStuck(now time.Duration) {
	if r.stuck(now) || (r.health.suspect && r.Running() > 0) {
		fresh := !r.health.suspect
		r.health.raiseSuspicion(now)
		r.health.unresponsive = r.health.unresponsive || (fresh && now-r.lease.lastListAt > unresponsiveAfter)
	}
}

// listReceived ends a suspicion that was raised only because the upstream was
// unresponsive.
func (h *health) listReceived() {
	if h.unresponsive {
		h.suspect, h.unresponsive = false, false
	}
}

// avoided reports whether the upstream should get no task now, and probing whether it
// may get a single one.
func (r *Runner) avoided(now time.Duration) (avoided, probing bool) {
	if !r.health.suspect {
		return false, false
	}
	if r.Running() > 0 || now < r.health.nextProbeAt {
		return true, false
	}
	return false, true
}
