package dispatch

import (
	"math"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run times are learned per class, and within a class per caller and declared
// run time, so that one caller's false declarations do not affect the others.
const (
	// defaultRunTime is assumed for a class without a configured run time.
	defaultRunTime = 300 * time.Millisecond
	// minLearnedRuns is the number of runs after which a class needs no prior.
	minLearnedRuns = 8
	// priorWeight is the weight of the prior in a bucket, in runs.
	priorWeight = 4
	// runWindow is the number of runs over which means are taken.
	runWindow = 64
	// declaredWeight is the weight of a declared run time against the class's
	// assumed one, on a logarithmic scale. Declarations are off by up to ten
	// times either way.
	declaredWeight = 0.25
	// declaredError is how far off a declaration may be.
	declaredError = 10
)

// Histogram of run times: unit, range, resolution and windows.
const (
	histUnit    = 100 * time.Microsecond
	histMax     = int64(time.Hour / histUnit)
	histDigits  = 1
	histWindows = 4
	histWindow  = 256
	// quantileRefreshRuns is the number of runs between two updates of the
	// quantiles.
	quantileRefreshRuns = 32
)

// class holds the state and statistics of a work class.
type class struct {
	name  string
	index int

	groups []*group
	// readyGroups is the number of groups that have an upstream with credit.
	readyGroups int
	waiting     int
	longWaiting int
	running     int
	// lastEnd is the time at which a task of the class last ended.
	lastEnd time.Duration

	// assumed is the run time that is expected before runs were seen.
	assumed time.Duration
	runs    int
	// clippedMean is the mean run time without the excess of stragglers, mean is
	// the mean slot time of a task with it.
	clippedMean, mean float64
	hist              *hdrhistogram.WindowedHistogram
	p5, median        time.Duration
	p90, p95          time.Duration

	ended, failed float64
	// long lists the running tasks of the class that count against the share of
	// long work, in the order of their starts.
	long list
}

// relearnAfter is the time without a run of a class after which its learned run
// times no longer cause refusals. Refused jobs do not run, so run times that
// were learned in an overload would otherwise never be corrected.
const relearnAfter = time.Second

// stale reports whether the learned run times may be outdated.
func (k *class) stale(now time.Duration) bool {
	return k.running == 0 && now-k.lastEnd >= relearnAfter
}

func (s *Scheduler) class(name string) *class {
	if k, ok := s.classes[name]; ok {
		return k
	}
	k := &class{
		name:  name,
		index: len(s.classes),
		hist:  hdrhistogram.NewWindowed(histWindows, 1, histMax, histDigits),
	}
	k.setAssumed(s.settings.Classes[name].Expected)
	s.classes[name] = k
	s.classList = append(s.classList, k)
	s.linkClass(k)
	return k
}

func (k *class) setAssumed(expected time.Duration) {
	k.assumed = expected
	if expected <= 0 {
		k.assumed = defaultRunTime
	}
}

// active reports whether tasks of the class can start now or run. A class whose
// sites are all in quiet hours is not active and takes no slots from others.
func (k *class) active() bool { return k.readyGroups > 0 || k.running > 0 }

// learned reports whether enough runs were seen to use the quantiles.
func (k *class) learned() bool { return k.runs >= quantileRefreshRuns }

// slotTime returns the slot time that a task of the class takes on average.
func (k *class) slotTime() float64 {
	if k.runs < minLearnedRuns {
		return float64(k.assumed)
	}
	return k.mean
}

// learn adds the run time of a task that succeeded.
func (k *class) learn(runTime time.Duration) {
	k.runs++
	k.mean = updateMean(k.mean, float64(runTime), min(k.runs, 4*runWindow))
	// The range check cannot fail: the value is clamped to the range.
	_ = k.hist.Current.RecordValue(min(max(int64(runTime/histUnit), 1), histMax))
	if k.runs%histWindow == 0 {
		k.hist.Rotate()
	}
	if k.runs%quantileRefreshRuns == 0 {
		k.readQuantiles()
	}
	k.clippedMean = updateMean(k.clippedMean, float64(k.clip(runTime)), min(k.runs, runWindow))
}

// clip limits a run time to the 95th percentile, so that stragglers do not
// distort the expected run time of the other tasks.
func (k *class) clip(runTime time.Duration) time.Duration {
	if k.learned() {
		return min(runTime, k.p95)
	}
	return runTime
}

func (k *class) readQuantiles() {
	h := k.hist.Merge()
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * histUnit }
	k.p5, k.median, k.p90, k.p95 = at(5), at(50), at(90), at(95)
}

func updateMean(mean, x float64, n int) float64 { return mean + (x-mean)/float64(n) }

// bucket holds the run time statistics and the waiting lists of one caller,
// class and range of declared run times.
type bucket struct {
	caller *caller
	class  *class
	lists  [len(jobSizes)]list
	// declared is the declared run time of the task for which the bucket was
	// added, as a sample of the range; 0 if none was declared.
	declared time.Duration
	// factor is the weighted part of the declared run time in the prior of a class
	// with fewer than minLearnedRuns runs.
	factor   float64
	runs     int
	mean     float64
	expected time.Duration
	long     bool
}

// declaredRange returns the number of the range of a declared run time. Ranges
// grow by factors of four from one millisecond; 0 is for tasks without one.
func declaredRange(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return 1 + bits.Len64(uint64(min(d, time.Hour)/time.Millisecond))/2
}

func (s *Scheduler) bucket(c *caller, k *class, declared time.Duration) *bucket {
	for len(c.buckets) <= k.index {
		c.buckets = append(c.buckets, nil)
	}
	r := declaredRange(declared)
	for len(c.buckets[k.index]) <= r {
		c.buckets[k.index] = append(c.buckets[k.index], nil)
	}
	if b := c.buckets[k.index][r]; b != nil {
		return b
	}
	b := &bucket{caller: c, class: k, declared: declared, factor: 1}
	if declared > 0 {
		b.factor = math.Pow(float64(declared), declaredWeight)
	}
	for i := range b.lists {
		b.lists[i] = list{bucket: b, tasks: float64(jobSizes[i].typical), index: -1}
	}
	c.buckets[k.index][r] = b
	b.update(s)
	return b
}

// prior returns the expected run time before the bucket has runs of its own.
func (b *bucket) prior() float64 {
	if b.class.runs >= minLearnedRuns {
		return b.class.clippedMean
	}
	if b.declared == 0 {
		return float64(b.class.assumed)
	}
	return math.Pow(float64(b.class.assumed), 1-declaredWeight) * b.factor
}

// update recomputes the expected run time.
func (b *bucket) update(s *Scheduler) {
	if s.disabled&Learning != 0 {
		b.expected = b.class.assumed
		if b.declared > 0 {
			b.expected = b.declared
		}
	} else {
		n := float64(min(b.runs, runWindow))
		b.expected = time.Duration((b.mean*n + b.prior()*priorWeight) / (n + priorWeight))
	}
	b.long = b.expected > longRunTime
}

func (b *bucket) learn(s *Scheduler, runTime time.Duration) {
	b.class.learn(runTime)
	b.runs++
	b.mean = updateMean(b.mean, float64(b.class.clip(runTime)), min(b.runs, runWindow))
	b.update(s)
}
