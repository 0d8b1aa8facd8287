package main

import (
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
	"slices"
)

// result is what one run measures.
type result struct {
	p50, p99, p999 float64
	singleP99      float64
	shortP99       float64
	shortP99MS     float64
	wastedMessages float64
	inTime         float64
	goodput        float64
	// busy is the used share of the capacity, doomed the part of it that went to
	// jobs that would miss their deadline on idle machines, too.
	busy, infeasible      float64
	jain                  float64
	worstShare, bestShare float64
	brokenShare           float64
	retryOK               float64
	refusals              float64
	wants                 float64
}

// columns name and read the measured quantities, in the order of the table.
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

func (r *simulation) result() result {
	window := float64(r.scenario.windowEnd-r.scenario.windowStart) * float64(r.scenario.slots())
	starts := float64(max(1, r.starts))
	out := result{
		p50:            float64(r.responseRatio.ValueAtQuantile(50)) / ratioUnit,
		p99:            float64(r.responseRatio.ValueAtQuantile(99)) / ratioUnit,
		p999:           float64(r.responseRatio.ValueAtQuantile(99.9)) / ratioUnit,
		shortP99:       float64(r.shortRatio.ValueAtQuantile(99)) / ratioUnit,
		shortP99MS:     float64(r.shortTime.ValueAtQuantile(99)) * float64(time.Microsecond) / float64(time.Millisecond),
		wastedMessages: float64(r.messages)/starts - 2,
		inTime:         float64(r.inTime) / float64(max(1, r.measuredJobs)),
		singleP99:      float64(r.singleRatio.ValueAtQuantile(99)) / ratioUnit,
		busy:           float64(r.totalSlotTime) / window,
		infeasible:     float64(r.infeasibleSlotTime) / window,
		goodput:        float64(r.inTimeSlotTime) / window,
		brokenShare:    float64(r.brokenStarts) / float64(max(1, r.measuredStarts)),
		retryOK:        float64(r.retriesAdmitted) / float64(max(1, r.retries)),
		refusals:       float64(r.refusals) / starts,
		wants:          float64(r.wants) / starts,
	}
	out.jain, out.worstShare, out.bestShare = r.fairness()
	return out
}

// fairness returns Jain's index of the callers' slot time and the share of the
// worst and the best caller relative to an equal share.
func (r *simulation) fairness() (jain, worst, best float64) {
	var used []float64
	for _, l := range r.scenario.loads {
		for i := range callerCount {
			used = append(used, float64(r.slotTime[l.prefix+callerNames[i]]))
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
