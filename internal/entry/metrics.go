package entry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/damasklb/damasklb/internal/owner"
)

var requestDuration = metrics.NewHistogram("damasklb_request_seconds")

func requestsTotal(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_requests_total{outcome="` + outcome + `"}`)
}

func tableErrors(operation string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_table_errors_total{operation="` + operation + `"}`)
}

// coreMetrics holds the core's values for the metrics page.
type coreMetrics struct {
	owner.Counters
	waiting, running int
	evacuated        int
	evacuationAge    time.Duration
}

// writeMetrics writes the process's metrics and the core's totals.
func (e *Entry) writeMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
	values := make(chan coreMetrics, 1)
	e.post(func(now time.Duration) {
		m := coreMetrics{Counters: e.core.Counters()}
		known := e.core.KnownEvacuations()
		m.evacuated, m.evacuationAge = len(known.Requests()), known.Age(now)
		m.waiting, m.running = e.core.TaskCounts()
		values <- m
	})
	select {
	case m := <-values:
		e.writeCoreMetrics(w, m)
	case <-e.stopped:
	}
}

func (e *Entry) writeCoreMetrics(w io.Writer, m coreMetrics) {
	set := metrics.NewSet()
	for name, total := range map[string]uint64{
		"damasklb_jobs_accepted_total":   m.Accepted,
		"damasklb_jobs_complete_total":   m.Complete,
		"damasklb_jobs_failed_total":     m.Failed,
		"damasklb_jobs_refused_total":    m.Refused,
		"damasklb_outcome_unknown_total": m.OutcomeUnknown,
		"damasklb_starts_sent_total":     m.Starts,
		"damasklb_not_started_total":     m.NotStarted,
		"damasklb_wants_sent_total":      m.Wants,
		"damasklb_takeovers_total":       m.Takeovers,
	} {
		set.NewCounter(name).Set(total)
	}
	ready := 0.0
	if e.Ready() {
		ready = 1
	}
	for name, value := range map[string]float64{
		"damasklb_ready":                  ready,
		"damasklb_upstreams":              float64(e.UpstreamCount()),
		"damasklb_tasks_waiting":          float64(m.waiting),
		"damasklb_tasks_running":          float64(m.running),
		"damasklb_config_version":         float64(e.configVersion.Load()),
		"damasklb_map_version":            float64(e.mapVersion.Load()),
		"damasklb_takeover_seconds":       m.TakeoverTime.Seconds(),
		"damasklb_evacuations":            float64(m.evacuated),
		"damasklb_evacuation_age_seconds": m.evacuationAge.Seconds(),
	} {
		set.NewGauge(name, nil).Set(value)
	}
	set.WritePrometheus(w)
}
