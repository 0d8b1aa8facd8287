package leased

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	responseTime = metrics.NewHistogram("damasklb_hosted_response_seconds")
	// coreSilence is the time without a tick of the core, in seconds.
	coreSilence = metrics.NewGauge("damasklb_hosted_core_silence_seconds", nil)
	queueTime   = metrics.NewHistogram("damasklb_hosted_queue_seconds")
	startTime   = metrics.NewHistogram("damasklb_hosted_start_call_seconds")

	// abandonedLinks counts the links that were closed before their first heartbeat.
	abandonedLinks = metrics.NewCounter("damasklb_hosted_links_abandoned_total")

	// The tasks that prefer a rack: those that the entry has held for it and for how long,
	// those placed there or elsewhere, and those that have waited for it in vain.
	rackHeld      = metrics.NewCounter("damasklb_rack_tasks_held_total")
	rackHoldTime  = metrics.NewHistogram("damasklb_rack_hold_seconds")
	rackNear      = metrics.NewCounter("damasklb_rack_tasks_near_total")
	rackFar       = metrics.NewCounter("damasklb_rack_tasks_far_total")
	rackRegretted = metrics.NewCounter("damasklb_rack_tasks_regretted_total")

	// upstreamCrashes counts the upstreams that have ended without a notice, crashedRuns
	// the runs that they had.
	upstreamCrashes = metrics.NewCounter("damasklb_hosted_upstream_crashes_total")
	crashedRuns     = metrics.NewCounter("damasklb_hosted_runs_crashed_total")
	// retractedCrashes counts the crashes of upstreams that have answered again.
	retractedCrashes = metrics.NewCounter("damasklb_hosted_upstream_crashes_retracted_total")

	// runsFound counts the runs that an upstream lists although its agent has reported them
	// as ended, runsBeside those that an agent reports to an entry that has given them up.
	runsFound  = metrics.NewCounter("damasklb_hosted_ended_runs_found_total")
	runsBeside = metrics.NewCounter("damasklb_hosted_given_up_runs_reported_total")

	// preemptedLost is the core time that was discarded by stops for more urgent work,
	// preemptionStopTime the time from the stop to the end of the run.
	preemptedLost      = metrics.NewFloatCounter("damasklb_hosted_preempted_core_seconds_total")
	preemptionStopTime = metrics.NewHistogram("damasklb_hosted_preemption_stop_seconds")
)

// queryLockTime is how long questions of operators have held the entry's lock.
var queryLockTime = metrics.NewHistogram("damasklb_hosted_query_lock_seconds")

func queryCounter(page, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_hosted_queries_total{page="` + page + `",result="` + result + `"}`)
}

// scarcityRefusals counts the jobs of a queue that were refused while capacity was scarce.
func scarcityRefusals(queue string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_scarcity_refusals_total{queue="` + queue + `"}`)
}

func outcomeCounter(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_hosted_answers_total{outcome="` + outcome + `"}`)
}

func decisionCounter(action string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_hosted_decisions_total{what="` + action + `"}`)
}

func typeName(v any) string { return fmt.Sprintf("%T", v) }
