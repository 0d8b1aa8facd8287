package runner

import (
	"math"
	"time"
)

// An upstream is slow for a while after its start, and says for how much longer. It is
// filled only as far as it has warmed up, so that after the return of a whole data centre
// callers do not get its slowest runs first. What it does meanwhile is no evidence about its
// health.
const (
	// coldSlowness is the slowness, in hundredths, that is assumed of a cold upstream before
	// any of its cold runs has ended.
	coldSlowness = 150
	// coldPrior is the weight, in runs, of that assumption.
	coldPrior = 3
)

// coldState describes the warming up of an upstream.
type coldState struct {
	// until is when the upstream will be warm, total the time that warming up takes.
	until, total time.Duration
	// weight and logSum are the evidence of the runs that were started while it was cold:
	// their number and the sum of the logarithms of their run times relative to the
	// expected ones. They are kept for the next time.
	weight, logSum float64
}

// announced handles the time, announced by the upstream, for which it stays cold.
func (c *coldState) announced(now, coldFor time.Duration) {
	if coldFor <= 0 {
		// Runs that started before now were slowed down.
		c.until, c.total = min(c.until, now), 0
		return
	}
	if now >= c.until {
		c.total = 0
	}
	c.until = now + coldFor
	c.total = max(c.total, coldFor)
}

// at reports whether the upstream is cold at a time.
func (c *coldState) at(t time.Duration) bool { return t < c.until }

// warmShare returns how far the upstream has warmed up, from 0 to 1.
func (c *coldState) warmShare(now time.Duration) float64 {
	if !c.at(now) {
		return 1
	}
	return max(0, 1-float64(c.until-now)/float64(c.total))
}

func (c *coldState) addRun(ran time.Duration, expectedMS uint32) {
	c.weight++
	c.logSum += logRatio(ran, expectedMS)
}

// slowness returns the slowness expected of the upstream while it is cold, in hundredths.
func (c *coldState) slowness() uint32 {
	sum := c.logSum + coldPrior*math.Log(coldSlowness/100.0)
	return uint32(100 * math.Exp(sum/(c.weight+coldPrior)))
}

// usableCPU returns the cores that may be used now.
func (r *Runner) usableCPU(now time.Duration) int {
	return int(r.cold.warmShare(now) * float64(r.upstream.CPU))
}
