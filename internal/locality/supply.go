package locality

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which what was observed loses half of its weight. It spans
	// several runs of most tasks, so that a hot spot shows within a second.
	halfLife = 500 * time.Millisecond
	// shareHalfLife is the same for the share of near tasks. A few off-rack tasks after a
	// burst must not pass for a hot spot: with 500 ms they sent the next ones off as well.
	shareHalfLife = 3 * time.Second
	// waitPrior is the weight, in tasks, of the assumption that waits are as predicted.
	waitPrior = 8
	// sharePrior is the weight, in tasks, of the assumption that all tasks run on their rack.
	sharePrior = 4
	// factorPrior is the weight, in runs, of the configured factor of off-rack runs.
	factorPrior = 10
	// factorWindow is the number of runs over which the run times are averaged.
	factorWindow = 200
	// maxLoad bounds the load for which the price is computed, which has no bound near 1.
	maxLoad = 0.97
	// forgetAfter is the time after which a rack is forgotten that no task has named. What was
	// learned has no weight left by then.
	forgetAfter = 20 * shareHalfLife
	// maxRacks bounds the racks about which something is learned at a time.
	maxRacks = 1024
	// maxFactor bounds the learned factor of off-rack runs.
	maxFactor = 10
)

// Supply is what is learned about the capacity of the racks that tasks have named. The zero
// value knows none.
type Supply struct {
	racks map[Key]*rack
	// keys holds the keys of racks, in the order of their first mention.
	keys []Key
}

// Key identifies a rack with upstreams of a service.
type Key struct{ Service, Rack string }

type rack struct {
	at time.Duration
	// near and far are the decayed numbers of tasks that went to the rack and elsewhere.
	near, far float64
	// run is the decayed sum of the run times expected of these tasks on the rack.
	run float64
	// waits is the decayed number of tasks that have waited at upstreams of the rack, excess
	// the decayed sum of how much longer they waited than predicted; holds and holdExcess
	// are the same for held tasks.
	waits, excess, holds, holdExcess float64
	// released is the decayed capacity that runs on the rack have released, in thousandths
	// of a core.
	released float64
	// load is the averaged share of the capacity off the rack in use.
	load float64
	// nearLoad is the same for the rack.
	nearLoad   float64
	observed   bool
	observedAt time.Duration
	last       RackReport
}

// RackReport is the state of a rack, and of the service's upstreams off it.
type RackReport struct {
	// CapacityCPU is the capacity of the rack's usable upstreams, UsedCPU the part in use and
	// QueuedCPU the size of the tasks that wait there, in thousandths of a core.
	CapacityCPU, UsedCPU, QueuedCPU int
	// OtherCPU and OtherUsedCPU are the capacity of the usable upstreams off the rack and the
	// part in use.
	OtherCPU, OtherUsedCPU int
}

// Add adds an upstream of the service with its capacity and what is free of it, less what was
// sent to it in excess.
func (r *RackReport) Add(onRack bool, capacity, free int) {
	used := capacity - max(free, 0)
	if !onRack {
		r.OtherCPU += capacity
		r.OtherUsedCPU += used
		return
	}
	r.CapacityCPU += capacity
	r.UsedCPU += used
	r.QueuedCPU += max(-free, 0)
}

func (s *Supply) rack(key Key) *rack {
	r := s.racks[key]
	if r == nil {
		if s.racks == nil {
			s.racks = map[Key]*rack{}
		}
		r = &rack{}
		if len(s.keys) >= maxRacks {
			return r
		}
		s.racks[key] = r
		s.keys = append(s.keys, key)
	}
	return r
}

// Keys returns the known racks. The caller must not change the slice.
func (s *Supply) Keys() []Key { return s.keys }

// Available reports whether the last report of a rack showed capacity, or there was none.
func (s *Supply) Available(key Key) bool {
	r := s.rack(key)
	return !r.observed || r.last.CapacityCPU > 0
}

// Forget drops the racks that no task has named for a while. Callers may name any rack.
func (s *Supply) Forget(now time.Duration) {
	s.keys = slices.DeleteFunc(s.keys, func(key Key) bool {
		r := s.racks[key]
		if now-r.at < forgetAfter {
			return false
		}
		delete(s.racks, key)
		return true
	})
}

// decay returns the weight that is left of observations after a time.
func decay(d time.Duration) float64 { return math.Exp2(-float64(max(d, 0)) / float64(halfLife)) }

func (r *rack) advance(now time.Duration) {
	w := decay(now - r.at)
	share := math.Pow(w, halfLife.Seconds()/shareHalfLife.Seconds())
	r.near *= share
	r.far *= share
	r.run *= share
	r.released *= w
	r.waits *= w
	r.excess *= w
	r.holds *= w
	r.holdExcess *= w
	r.at = max(r.at, now)
}

// Observe handles a report about a rack.
func (s *Supply) Observe(now time.Duration, key Key, report RackReport) {
	r := s.rack(key)
	load := float64(report.OtherUsedCPU) / float64(max(report.OtherCPU, 1))
	nearLoad := float64(report.UsedCPU) / float64(max(report.CapacityCPU, 1))
	if !r.observed {
		r.load, r.nearLoad = load, nearLoad
	}
	w := decay(now - r.observedAt)
	r.load = w*r.load + (1-w)*load
	r.nearLoad = w*r.nearLoad + (1-w)*nearLoad
	r.observed, r.observedAt, r.last = true, max(r.observedAt, now), report
}

// Placed counts a task that prefers the rack. onRack is the run time expected there.
func (s *Supply) Placed(now time.Duration, key Key, near bool, onRack time.Duration) {
	r := s.rack(key)
	r.advance(now)
	r.run += float64(onRack)
	if near {
		r.near++
	} else {
		r.far++
	}
}

// Released counts a run on the rack that has ended.
func (s *Supply) Released(now time.Duration, key Key, cpu int) {
	if r := s.racks[key]; r != nil {
		r.advance(now)
		r.released += float64(cpu)
	}
}

// Waited counts the wait of a task at an upstream of the rack, or at the entry if held is
// set, that has ended with a start or without one.
func (s *Supply) Waited(now time.Duration, key Key, held bool, predicted, actual time.Duration) {
	r := s.rack(key)
	r.advance(now)
	n, sum := &r.waits, &r.excess
	if held {
		n, sum = &r.holds, &r.holdExcess
	}
	*n++
	*sum += float64(actual - predicted)
}

// Wait predicts the wait of a task that is sent to an upstream of the rack, from the wait
// predicted there and the time until others of the rack release capacity (Release), to which
// the task then moves. Both vary, so their rates add up. What recent tasks have waited beyond
// their prediction is added.
func (s *Supply) Wait(now time.Duration, key Key, there, release time.Duration) time.Duration {
	r := s.rack(key)
	r.advance(now)
	wait := float64(there)
	if release > 0 {
		wait = 1 / (1/wait + 1/float64(release))
	}
	return time.Duration(wait + max(r.excess/(r.waits+waitPrior), 0))
}

// ShareForAll returns the part of what a task gains on the rack that is a gain for all tasks
// together. The rest is what a later task loses that finds the rack's capacity taken. It is
// the derivative of the rate of tasks on the rack by that of arrivals. In Erlang's loss formula
// for n tasks at a time it is close to the NearShare to the power of sqrt(2(n+1)) (exact
// values at a load of 1: 0.32, 0.34 and 0.35 for n of 8, 32 and 128; by the power: 0.32, 0.33
// and 0.33).
func (s *Supply) ShareForAll(now time.Duration, key Key, cpu int) float64 {
	return math.Pow(s.NearShare(now, key), exponent(s.rack(key).slots(cpu)))
}

// MeanRun returns the mean run time on the rack of the recent tasks for it, 0 if there were none.
func (s *Supply) MeanRun(now time.Duration, key Key) time.Duration {
	r := s.rack(key)
	r.advance(now)
	if r.near+r.far == 0 {
		return 0
	}
	return time.Duration(r.run / (r.near + r.far))
}

// Load returns the averaged share of the rack's capacity in use.
func (s *Supply) Load(key Key) float64 { return s.rack(key).nearLoad }

// slots returns the number of tasks of a size that the rack runs at a time.
func (r *rack) slots(cpu int) float64 {
	return float64(max(r.last.CapacityCPU, cpu)) / float64(max(cpu, 1))
}

func exponent(slots float64) float64 { return math.Sqrt(2 * (slots + 1)) }

// NearShare returns the share of the recent tasks for the rack that ran there.
func (s *Supply) NearShare(now time.Duration, key Key) float64 {
	r := s.rack(key)
	r.advance(now)
	return (r.near + sharePrior) / (r.near + r.far + sharePrior)
}

// Release predicts the time until the rack has released cpu, after what waits there and the
// given capacity that others are held for. It is negative while nothing was released.
func (s *Supply) Release(now time.Duration, key Key, cpu, held int) time.Duration {
	r := s.rack(key)
	r.advance(now)
	// The decayed sum of a constant rate is the rate times halfLife/ln 2.
	rate := r.released * math.Ln2 / float64(halfLife)
	if rate*float64(halfLife) < float64(cpu) {
		return -1
	}
	wait := float64(cpu+held+r.last.QueuedCPU)/rate + max(r.holdExcess/(r.holds+waitPrior), 0)
	return time.Duration(wait)
}

// Price returns the time that other tasks lose per unit of run time in addition, for tasks of
// the given size. It is the derivative of the mean number of waiting tasks by the offered
// work, in a queue for as many tasks as run off the rack at a time, by Sakasegawa's formula
// (waiting tasks = load^sqrt(2(n+1)) / (1-load)).
func (s *Supply) Price(key Key, cpu int) float64 {
	r := s.rack(key)
	n := float64(max(r.last.OtherCPU, cpu)) / float64(max(cpu, 1))
	load := min(r.load, maxLoad)
	if load <= 0 {
		return 0
	}
	e := exponent(n)
	p := math.Pow(load, e)
	return (e*p/load/(1-load) + p/(1-load)/(1-load)) / n
}

// Runs learns how much longer a queue's tasks run off their rack. The zero value has learned
// nothing.
type Runs struct{ near, far logMean }

// logMean is the mean logarithm of run times relative to the expected ones on the rack.
type logMean struct {
	n    int
	mean float64
}

func (m *logMean) add(ratio float64) {
	m.n++
	m.mean += (math.Log(max(ratio, 0.01)) - m.mean) / float64(min(m.n, factorWindow))
}

// Add adds a run. ratio is its run time relative to the one expected on the rack.
func (r *Runs) Add(near bool, ratio float64) {
	if near {
		r.near.add(ratio)
	} else {
		r.far.add(ratio)
	}
}

// Factor returns the factor of off-rack run times, from the configured one and the runs so far.
func (r *Runs) Factor(configured float64) float64 {
	configured = max(configured, 1)
	n := float64(min(r.near.n, r.far.n, factorWindow))
	learned := r.far.mean - r.near.mean
	f := math.Exp((n*learned + factorPrior*math.Log(configured)) / (n + factorPrior))
	return min(max(f, 1), maxFactor)
}
