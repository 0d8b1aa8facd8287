package runner

import (
	"math"
	"time"
)

// Health answers upstreams that turn slow, fail or stand still. Run times vary
// by half around what is expected of them and some last seven times as long, so
// single runs are weak evidence: ratios count by their logarithm, within bounds,
// over some twenty runs.
const (
	// healthMemory is the weight of the past when a run ends: the last twenty
	// runs count, which a busy upstream ends in about a second.
	healthDecay = 0.95
	// healthPrior is the weight, in runs, of the assumption that the upstream is
	// as fast as expected.
	healthPrior = 5
	// healthHalfLife is the time without ends in which evidence loses half of its
	// weight, so that an upstream without work is tried again.
	healthHalfLife = 3 * time.Second
	// maxRatio bounds the run time of one run relative to the expected one.
	maxRatio = 8.0
	// overrun is the multiple of its expected run time from which a run counts
	// before it has ended.
	overdueFactor = 2.5
	// soundBelow and soundAbove bound the slowness that is taken for chance or for
	// another kind of host, and reported as none.
	minHealthyRatio, maxHealthyRatio = 0.65, 1.5
	// soundSlowness is the slowness of a sound upstream, in hundredths.
	healthySlowness = 100
	// stuckFactor and stuckFloor define a run that stands still: it has taken
	// that many times its expected run time, and at least the floor.
	stuckFactor  = 8
	minStuckTime = 400 * time.Millisecond
	// stuckJobs is the number of jobs with such runs and without an end meanwhile.
	// The tasks of one job are long together and count once.
	stuckJobs = 2
	// probePause is the time between two tasks for an upstream under suspicion.
	probeInterval = time.Second
	// probeRoom is the room in thousandths of a core that such an upstream offers:
	// enough for one task.
	probeCapacity = 10_000
	// soundRatio is the largest ratio of run time to expected run time that ends a
	// suspicion.
	maxProbeRatio = 3.0
	// brokenPercent is the percentage of failed runs that raises a suspicion.
	brokenPercent = 35
	// Overdue runs of overdueJobs jobs and no end for overdueSilence show it sooner.
	overdueJobs       = 3
	overdueWithoutEnd = 250 * time.Millisecond
	// countedJobs is the number of jobs whose runs are told apart, far more than
	// healthMemory looks back.
	maxCountedJobs = 128
	// muteAfter is the time without a list from which the upstream counts as mute.
	// Lists come every 60 ms, so some of them are missing.
	unresponsiveAfter = 250 * time.Millisecond
	// failurePrior is the weight, in runs, of the assumption that runs do not fail.
	failurePrior = 3
)

// health is what recent runs show of the upstream.
type health struct {
	// weight is the decayed number of runs that ended done, logs the decayed sum
	// of the logarithms of their run times relative to the expected ones.
	weight, logSum float64
	// runs and failed are the decayed numbers of runs that ended done or failed.
	runs, failed float64
	lastEndAt    time.Duration
	// counted are the numbers of runs by job that have ended here, of the last
	// countedJobs jobs in recent.
	runsByJob  map[string]int
	recentJobs []string

	// suspect is set while runs stand still or fail. The upstream then gets one
	// task at a time, at intervals, until one succeeds: evidence that merely fades
	// would let a whole load run into it again.
	suspect      bool
	suspectSince time.Duration
	// mute is set where the suspicion rests on orders without an answer. The next list
	// ends it.
	unresponsive bool
	nextProbeAt  time.Duration
}

// logRatio is the bounded logarithm of a run time relative to the expected one.
func logRatio(ran time.Duration, expectMS uint32) float64 {
	expected := float64(max(expectMS, 1)) * float64(time.Millisecond)
	ratio := min(max(float64(ran)/expected, 1/maxRatio), maxRatio)
	return math.Log(ratio)
}

// fade reduces the weight of the evidence by the time without ends.
func (h *health) decay(now time.Duration) float64 {
	if now <= h.lastEndAt {
		return 1
	}
	return math.Exp2(-float64(now-h.lastEndAt) / float64(healthHalfLife))
}

// share is the weight of the next run of a job. The tasks of a job are long, or fail,
// together: the n-th tells an n-th of what the first did.
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

func (h *health) addRun(now time.Duration, a *attempt, how EndKind, ran time.Duration) {
	if how == EndStopped {
		return
	}
	share := h.runWeight(a.id.Task.Job)
	keep := math.Pow(healthDecay, share) * h.decay(now)
	h.runs = h.runs*keep + share
	h.failed *= keep
	h.weight *= keep
	h.logSum *= keep
	h.lastEndAt = now
	if how == EndFailed {
		h.failed += share
		if h.failurePercent(now) > brokenPercent {
			h.raiseSuspicion(now)
		}
		return
	}
	if h.suspect && a.startSentAt >= h.suspectSince && float64(ran) < maxProbeRatio*float64(a.assign.ExpectedMS)*float64(time.Millisecond) {
		*h = health{lastEndAt: now}
		return
	}
	h.weight += share
	h.logSum += share * logRatio(ran, a.assign.ExpectedMS)
}

func (h *health) failurePercent(now time.Duration) uint32 {
	f := h.decay(now)
	return uint32(100 * h.failed * f / (h.runs*f + failurePrior))
}

// slowness is the run time relative to the expected one, in hundredths. Runs
// that have overrun count before they end.
func (r *Runner) slowness(now time.Duration) uint32 {
	f := r.health.decay(now)
	weight, logs := r.health.weight*f, r.health.logSum*f
	overdueOf := map[string]int{}
	for _, a := range r.active {
		if !r.countsForHealth(now, a) {
			continue
		}
		age := now - a.startSentAt
		if overdue(age, a.assign.ExpectedMS) {
			overdueOf[a.id.Task.Job]++
			share := 1 / float64(overdueOf[a.id.Task.Job])
			weight += share
			logs += share * logRatio(age, a.assign.ExpectedMS)
		}
	}
	slow := math.Exp(logs / (weight + healthPrior))
	if slow > minHealthyRatio && slow < maxHealthyRatio {
		return healthySlowness
	}
	return uint32(100 * slow)
}

// observed is whether the age of an attempt tells something of the upstream. An order
// that was lost tells nothing of its speed, unless the upstream does not answer at all.
func (r *Runner) countsForHealth(now time.Duration, a *attempt) bool {
	return a.occupies() && (a.confirmedAt > 0 || now-r.lease.lastListAt > unresponsiveAfter)
}

// overdue is whether a run has taken far longer than expected.
func overdue(age time.Duration, expectMS uint32) bool {
	return float64(age) > overdueFactor*float64(expectMS)*float64(time.Millisecond)
}

// stuck is whether runs of several jobs stand still and none has ended since they
// were due.
func (r *Runner) stuck(now time.Duration) bool {
	still, late := map[string]bool{}, map[string]bool{}
	for _, a := range r.active {
		if !r.countsForHealth(now, a) {
			continue
		}
		age := now - a.startSentAt
		limit := max(minStuckTime, stuckFactor*time.Duration(a.assign.ExpectedMS)*time.Millisecond)
		if age > limit && r.health.lastEndAt < a.startSentAt+limit {
			still[a.id.Task.Job] = true
		}
		if overdue(age, a.assign.ExpectedMS) {
			late[a.id.Task.Job] = true
		}
	}
	return len(still) >= stuckJobs || (len(late) >= overdueJobs && now-r.health.lastEndAt > overdueWithoutEnd)
}

// doubt raises a suspicion, or puts the next probe off.
func (h *health) raiseSuspicion(now time.Duration) {
	if !h.suspect {
		h.suspect, h.suspectSince = true, now
	}
	h.nextProbeAt = now + probeInterval
}

// watch raises a suspicion when runs stand still.
func (r *Runner) checkStuck(now time.Duration) {
	if r.stuck(now) || (r.health.suspect && r.Running() > 0) {
		fresh := !r.health.suspect
		r.health.raiseSuspicion(now)
		r.health.unresponsive = r.health.unresponsive || (fresh && now-r.lease.lastListAt > unresponsiveAfter)
	}
}

// heard ends a suspicion that rests on silence alone.
func (h *health) listReceived() {
	if h.unresponsive {
		h.suspect, h.unresponsive = false, false
	}
}

// avoided is whether the upstream should get no task now, and probing whether it
// may get one.
func (r *Runner) avoided(now time.Duration) (avoided, probing bool) {
	if !r.health.suspect {
		return false, false
	}
	if r.Running() > 0 || now < r.health.nextProbeAt {
		return true, false
	}
	return false, true
}
