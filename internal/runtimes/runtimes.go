// Package runtimes learns the run times of a queue's tasks. It handles queues whose callers declare
// run times that are off by a factor of 1.5, or none.
package runtimes

import (
	"math"
	"time"
)

const (
	// window is the number of runs over which means are taken. Run times vary by 0.5 on the
	// logarithmic scale (standard deviation), so the standard error of a mean is 0.04.
	window = 200
	// minLearned is the number of runs from which the queue's own mean counts. Its standard error
	// is 0.16 by then, below the error of declared run times (ln 1.5, 0.41).
	minLearned = 10
	// defaultEstimate is assumed for a task without a declared run time.
	defaultEstimate = 200 * time.Millisecond
	// minSlowness bounds the slowness by which a run time is divided, in hundredths, so that no
	// report makes it a division by 0.
	minSlowness = 50
)

// Stats holds run time statistics of a queue's tasks. The zero value has learned nothing.
type Stats struct {
	runs int
	// meanLogRatio is the mean logarithm of run time over declared run time,
	// meanLogRunTime that of the run time in milliseconds.
	meanLogRatio, meanLogRunTime float64
}

// Expected returns the run time expected of a task on a healthy upstream. The errors of
// declared run times are as large as the variation of run times, so the declared time and
// the queue's mean have the same weight.
func (s *Stats) Expected(declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultEstimate
	}
	if s.runs < minLearned {
		return declared
	}
	d := math.Log(float64(declared) / float64(time.Millisecond))
	ms := math.Exp((d + s.meanLogRatio + s.meanLogRunTime) / 2)
	return time.Duration(ms * float64(time.Millisecond))
}

// Add adds the run time of a task that succeeded on an upstream with the given slowness in
// hundredths.
func (s *Stats) Add(ran, declared time.Duration, slowness uint32) {
	if declared <= 0 {
		declared = defaultEstimate
	}
	ms := max(float64(ran)/float64(time.Millisecond), 1) / (float64(max(slowness, minSlowness)) / 100)
	s.runs++
	n := float64(min(s.runs, window))
	s.meanLogRunTime += (math.Log(ms) - s.meanLogRunTime) / n
	s.meanLogRatio += (math.Log(ms*float64(time.Millisecond)/float64(declared)) - s.meanLogRatio) / n
}
