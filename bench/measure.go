package main

import (
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
	"slices"
)

// result holds the measured quantities of one run.
type result struct {
	p50, p99, p999 float64
	singleP99      float64
	shortP99       float64
	shortP99MS     float64
	wastedMessages float64
	inTime         float64
	goodput        float64
	// busy is the used share of the capacity. infeasible is the share used by jobs
	// that would miss their deadline on idle machines, too.
	busy, infeasible      float64
	jain                  float64
	worstShare, bestShare float64
	brokenShare           float64
	retryOK               float64
	refusals              float64
	wants                 float64
}

// columns are the names and accessors of the measured quantities, in the order of
// the table.
var columns = []struct {
	name string
	of   func(*result) *float64
}{
	{"p50", func(r *result) *float64 { return &r.p50 }},
	{"p99", func(r *result) *float64 { return &r.p99 }},
	{"p99.9", func(r *result) *float64 { return &r.p999 }},
	{"single_p99", func(r *result) *float64 { return &r.singleP99 }},
	{"short_p99", func(r *result) *float64 { return &r.shortP99 }},
	{"short_p99_ms", func(r *result) *float64 { return &r.shortP99MS }},
	{"waste_msgs", func(r *result) *float64 { return &r.wastedMessages }},
	{"in_time", func(r *result) *float64 { return &r.inTime }},
	{"goodput", func(r *result) *float64 { return &r.goodput }},
	{"busy", func(r *result) *float64 { return &r.busy }},
	{"doomed", func(r *result) *float64 { return &r.infeasible }},
	{"jain", func(r *result) *float64 { return &r.jain }},
	{"worst_share", func(r *result) *float64 { return &r.worstShare }},
	{"best_share", func(r *result) *float64 { return &r.bestShare }},
	{"broken_share", func(r *result) *float64 { return &r.brokenShare }},
	{"retry_ok", func(r *result) *float64 { return &r.retryOK }},
	{"refusals", func(r *result) *float64 { return &r.refusals }},
	{"wants", func(r *result) *float64 { return &r.wants }},
}

func (sim *simulation) result() result {
	window := float64(sim.scenario.windowEnd-sim.scenario.windowStart) * float64(sim.scenario.slots())
	starts := float64(max(1, sim.starts))
	out := result{
		p50:            float64(sim.responseRatio.ValueAtQuantile(50)) / ratioUnit,
		p99:            float64(sim.responseRatio.ValueAtQuantile(99)) / ratioUnit,
		p999:           float64(sim.responseRatio.ValueAtQuantile(99.9)) / ratioUnit,
		shortP99:       float64(sim.shortRatio.ValueAtQuantile(99)) / ratioUnit,
		shortP99MS:     float64(sim.shortTime.ValueAtQuantile(99)) * float64(time.Microsecond) / float64(time.Millisecond),
		wastedMessages: float64(sim.messages)/starts - 2,
		inTime:         float64(sim.inTime) / float64(max(1, sim.measuredJobs)),
		singleP99:      float64(sim.singleRatio.ValueAtQuantile(99)) / ratioUnit,
		busy:           float64(sim.totalSlotTime) / window,
		infeasible:     float64(sim.infeasibleSlotTime) / window,
		goodput:        float64(sim.inTimeSlotTime) / window,
		brokenShare:    float64(sim.brokenStarts) / float64(max(1, sim.measuredStarts)),
		retryOK:        float64(sim.retriesAdmitted) / float64(max(1, sim.retries)),
		refusals:       float64(sim.refusals) / starts,
		wants:          float64(sim.wants) / starts,
	}
	out.jain, out.worstShare, out.bestShare = sim.fairness()
	return out
}

// fairness returns Jain's fairness index of the callers' slot time, and the shares
// of the worst and the best caller relative to an equal share.
func (sim *simulation) fairness() (jain, worst, best float64) {
	var used []float64
	for _, l := range sim.scenario.loads {
		for i := range callerCount {
			used = append(used, float64(sim.slotTime[l.prefix+callerNames[i]]))
		}
	}
	sum := floats.Sum(used)
	squares := floats.Dot(used, used)
	if sum == 0 {
		return 0, 0, 0
	}
	n := float64(len(used))
	return sum * sum / (n * squares), floats.Min(used) / (sum / n), floats.Max(used) / (sum / n)
}

// medians returns the median of each quantity over the seeds.
func medians(rs []result) result {
	var out result
	for _, c := range columns {
		var xs []float64
		for i := range rs {
			xs = append(xs, *c.of(&rs[i]))
		}
		slices.Sort(xs)
		*c.of(&out) = stat.Quantile(0.5, stat.Empirical, xs, nil)
	}
	return out
}
