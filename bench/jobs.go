package main

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/mathext/prng"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/damasklb/damasklb/internal/wire"
)

// workClass describes the tasks of one class. Their run times have a log-uniform
// distribution from min to max.
type workClass struct {
	name     string
	min, max time.Duration
	deadline time.Duration
	// share is the fraction of all jobs that have this class.
	share float64
}

// mean returns the expected run time without stragglers.
func (c workClass) mean() float64 {
	return float64(c.max-c.min) / math.Log(float64(c.max)/float64(c.min))
}

// mixed is the workload of section 1.1: most tasks last 50 ms to 1 s, a few
// several seconds.
var mixed = []workClass{
	{"stock", 50 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond, 0.40},
	{"price", 100 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond, 0.34},
	{"order", 200 * time.Millisecond, time.Second, 4 * time.Second, 0.24},
	{"batch", 2 * time.Second, 8 * time.Second, 24 * time.Second, 0.02},
}

const (
	// stragglerShare of the tasks run stragglerMin to stragglerMax times longer.
	stragglerShare = 0.005
	stragglerMin   = 10
	stragglerMax   = 30
	// declaredAccurate is the share of jobs that declare the mean run time of their
	// class within 30%, and declaredWrong the share that declare ten times as much
	// or a tenth of it. The others declare nothing.
	declaredAccurate = 0.3
	declaredWrong    = 0.3
	callerCount      = 8
	ownerCount       = 3
)

// sizeRange is a range of job sizes, in tasks, with a log-uniform distribution.
type sizeRange struct {
	min, max int
	share    float64
}

var (
	singles = []sizeRange{{1, 1, 1}}
	jobMix  = []sizeRange{{1, 1, 0.90}, {2, 8, 0.09}, {9, 140, 0.01}}
)

func (k sizeRange) mean() float64 {
	if k.min == k.max {
		return float64(k.min)
	}
	return float64(k.max-k.min) / math.Log(float64(k.max)/float64(k.min))
}

// jobStream describes a random stream of jobs.
type jobStream struct {
	classes []workClass
	sizes   []sizeRange
	// rate is the offered load at a time as a fraction of the capacity.
	rate func(at time.Duration) float64
	// callerShare gives each caller's weight in the choice of a job's caller.
	callerShare func(caller int) float64
	// prefix distinguishes the callers of several streams.
	prefix string
}

// job is a job with the run times that its tasks will have.
type job struct {
	id       wire.JobID
	caller   string
	class    string
	owner    int
	arrival  time.Duration
	deadline time.Duration
	declared time.Duration
	runTimes []time.Duration
	// cancelAt is the time at which the caller cancels; 0 if it does not.
	cancelAt time.Duration

	retries   int
	tasksLeft int
	started   int
	ended     bool
	inTime    bool
	refused   bool
	// slotTime is the time for which its tasks occupied slots within the measured
	// window.
	slotTime time.Duration
}

// idealTime returns the response time if all tasks run at once: the longest run
// time and one round trip.
func (j *job) idealTime(roundTrip time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, runTime := range j.runTimes {
		longest = max(longest, runTime)
	}
	return longest + roundTrip
}

// generator generates the jobs of a stream. The same seed gives the same jobs to
// every policy.
type generator struct {
	rand   *rand.Rand
	expo   distuv.Exponential
	stream jobStream
}

func newGenerator(seed uint64, stream jobStream) *generator {
	src := prng.NewXoshiro256starstar(seed)
	return &generator{rand: rand.New(src), expo: distuv.Exponential{Rate: 1, Src: src}, stream: stream}
}

// meanWork returns the expected slot time of a job.
func (g *generator) meanWork() float64 {
	runTime, shares := 0.0, 0.0
	for _, c := range g.stream.classes {
		runTime += c.share * c.mean()
		shares += c.share
	}
	tasks := 0.0
	for _, k := range g.stream.sizes {
		tasks += k.share * k.mean()
	}
	stretch := 1 + stragglerShare*((stragglerMin+stragglerMax)/2.0-1)
	return runTime / shares * tasks * stretch
}

// jobs returns the jobs that arrive before end, for a capacity in slots. Their
// ids count from first.
func (g *generator) jobs(end time.Duration, slots int, first int) []*job {
	var out []*job
	perSlot := float64(slots) / g.meanWork()
	peak := 0.0
	for t := time.Duration(0); t < end; t += 10 * time.Millisecond {
		peak = max(peak, g.stream.rate(t))
	}
	if peak == 0 {
		return nil
	}
	for at := 0.0; ; {
		at += g.expo.Rand() / (peak * perSlot)
		t := time.Duration(at)
		if t >= end {
			return out
		}
		if g.rand.Float64()*peak <= g.stream.rate(t) {
			out = append(out, g.job(t, first+len(out)))
		}
	}
}

func (g *generator) job(at time.Duration, number int) *job {
	c := pickShare(g.rand, g.stream.classes, func(c workClass) float64 { return c.share })
	k := pickShare(g.rand, g.stream.sizes, func(k sizeRange) float64 { return k.share })
	j := &job{
		class:    c.name,
		owner:    g.rand.IntN(ownerCount),
		arrival:  at,
		deadline: at + c.deadline,
		caller:   g.stream.prefix + callerNames[g.pickCaller()],
	}
	binary.BigEndian.PutUint64(j.id[:], uint64(number)+1)
	n := int(math.Round(logUniform(g.rand, float64(k.min), float64(k.max))))
	for range n {
		j.runTimes = append(j.runTimes, g.runTime(c))
	}
	j.tasksLeft = n
	j.declared = g.declaredTime(c)
	return j
}

var callerNames = [callerCount]string{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}

func (g *generator) pickCaller() int {
	total := 0.0
	for i := range callerCount {
		total += g.stream.callerShare(i)
	}
	x := g.rand.Float64() * total
	for i := range callerCount {
		x -= g.stream.callerShare(i)
		if x < 0 {
			return i
		}
	}
	return callerCount - 1
}

func (g *generator) runTime(c workClass) time.Duration {
	d := logUniform(g.rand, float64(c.min), float64(c.max))
	if g.rand.Float64() < stragglerShare {
		d *= stragglerMin + g.rand.Float64()*(stragglerMax-stragglerMin)
	}
	return time.Duration(d)
}

func (g *generator) declaredTime(c workClass) time.Duration {
	switch x := g.rand.Float64(); {
	case x < declaredAccurate:
		return time.Duration(c.mean() * (0.7 + 0.6*g.rand.Float64()))
	case x < declaredAccurate+declaredWrong/2:
		return time.Duration(c.mean() * 10)
	case x < declaredAccurate+declaredWrong:
		return time.Duration(c.mean() / 10)
	}
	return 0
}

func logUniform(r *rand.Rand, low, high float64) float64 {
	return low * math.Exp(r.Float64()*math.Log(high/low))
}

func pickShare[T any](r *rand.Rand, from []T, share func(T) float64) T {
	total := 0.0
	for _, x := range from {
		total += share(x)
	}
	at := r.Float64() * total
	for _, x := range from {
		at -= share(x)
		if at < 0 {
			return x
		}
	}
	return from[len(from)-1]
}
