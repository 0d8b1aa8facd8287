package main

import "time"

// longClass is the class of long tasks.
const longClass = "batch"

// scenario is a load with a measured window from windowStart to windowEnd. Jobs
// arrive until arrivalsEnd.
type scenario struct {
	name                   string
	loads                  []jobStream
	arrivalsEnd            time.Duration
	windowStart, windowEnd time.Duration
	// The first machine fails each task that it starts from brokenAt until
	// repairedAt; 0 means that it never breaks or is never repaired.
	brokenAt, repairedAt time.Duration
	// cancelAt is the time at which half of the jobs that have arrived within
	// cancelWindow before are cancelled at once; 0 means never.
	cancelAt time.Duration
	// retries is the number of times that a refused job is submitted again, each
	// time after the delay that the refusal gave, with its full deadline.
	retries int
	// machines is the number of workers.
	machines int
}

func (s scenario) slots() int { return s.machines * machineSlots }

// cancelWindow is the time before cancelAt in which the jobs have arrived that are
// cancelled.
const cancelWindow = 2 * time.Second

func (s scenario) cancels(j *job) bool {
	if s.cancelAt == 0 || j.arrival >= s.cancelAt || j.arrival < s.cancelAt-cancelWindow {
		return false
	}
	return j.id[7]%2 == 0
}

func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

func equalCallers(int) float64 { return 1 }

// oneGreedy makes the first caller offer 20 times as much as each other one.
func oneGreedy(i int) float64 {
	if i == 0 {
		return 20
	}
	return 1
}

// demandPeak raises the load to ten times its value within one second, for 15 s.
func demandPeak(at time.Duration) float64 {
	const low, high = 0.2, 2.0
	const up, down, ramp = 15 * time.Second, 30 * time.Second, time.Second
	switch {
	case at < up || at >= down+ramp:
		return low
	case at < up+ramp:
		return low + (high-low)*float64(at-up)/float64(ramp)
	case at < down:
		return high
	}
	return high - (high-low)*float64(at-down)/float64(ramp)
}

// fluctuatingDemand alternates between 2 s of high and 4 s of low demand.
func fluctuatingDemand(at time.Duration) float64 {
	if at%(6*time.Second) < 2*time.Second {
		return 1.2
	}
	return 0.2
}

func newStream(classes []workClass, sizes []sizeRange, rate func(time.Duration) float64) jobStream {
	return jobStream{classes: classes, sizes: sizes, rate: rate, callerShare: equalCallers}
}

var (
	shortWork = mixed[:3]
	longWork  = mixed[3:]
)

const (
	warmUp       = 10 * time.Second
	measuredSpan = 60 * time.Second
	loadEnd      = measuredSpan + warmUp
)

// scenarios returns all scenarios. Those that set no number of workers get the
// number of section 1.6.
func scenarios() []scenario {
	all := baseScenarios()
	for i := range all {
		if all[i].machines == 0 {
			all[i].machines = machineCount
		}
	}
	return all
}

func baseScenarios() []scenario {
	long := newStream(longWork, singles, constant(1))
	long.prefix = "long-"
	same := newStream(longWork, singles, constant(1))
	greedy := jobStream{classes: mixed, sizes: singles, rate: constant(5.4), callerShare: oneGreedy}
	return []scenario{
		{name: "steady-70", loads: []jobStream{newStream(mixed, singles, constant(0.7))}, arrivalsEnd: loadEnd, windowStart: warmUp, windowEnd: loadEnd},
		{name: "jobs-70", loads: []jobStream{newStream(mixed, jobMix, constant(0.7))}, arrivalsEnd: loadEnd, windowStart: warmUp, windowEnd: loadEnd},
		{name: "swing", loads: []jobStream{newStream(mixed, jobMix, fluctuatingDemand)}, arrivalsEnd: loadEnd, windowStart: warmUp, windowEnd: loadEnd},
		{name: "crest", loads: []jobStream{newStream(mixed, jobMix, demandPeak)}, arrivalsEnd: 45 * time.Second,
			windowStart: 16 * time.Second, windowEnd: 30 * time.Second},
		{name: "crest-retry", loads: []jobStream{newStream(mixed, jobMix, demandPeak)}, arrivalsEnd: 45 * time.Second,
			windowStart: 16 * time.Second, windowEnd: 30 * time.Second, retries: 3},
		{name: "short-alone", loads: []jobStream{newStream(shortWork, singles, constant(0.4))}, arrivalsEnd: loadEnd, windowStart: warmUp, windowEnd: loadEnd},
		{name: "short-and-long", loads: []jobStream{newStream(shortWork, singles, constant(0.4)), long}, arrivalsEnd: loadEnd,
			windowStart: warmUp, windowEnd: loadEnd},
		{name: "long-of-same", loads: []jobStream{newStream(shortWork, singles, constant(0.4)), same}, arrivalsEnd: loadEnd,
			windowStart: warmUp, windowEnd: loadEnd},
		{name: "greedy", loads: []jobStream{greedy}, arrivalsEnd: loadEnd, windowStart: warmUp, windowEnd: loadEnd},
		{name: "broken", loads: []jobStream{newStream(mixed, singles, constant(0.7))}, arrivalsEnd: loadEnd,
			brokenAt: warmUp, windowStart: warmUp + time.Second, windowEnd: loadEnd},
		{name: "large", loads: []jobStream{newStream(mixed, jobMix, constant(0.7))}, arrivalsEnd: 15 * time.Second,
			windowStart: 5 * time.Second, windowEnd: 15 * time.Second, machines: 1000},
		{name: "cancel", loads: []jobStream{newStream(mixed, jobMix, constant(1.5))}, arrivalsEnd: 30 * time.Second,
			windowStart: warmUp, windowEnd: 30 * time.Second, cancelAt: 20 * time.Second},
	}
}
