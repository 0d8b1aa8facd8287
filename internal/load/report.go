package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ranges of the histograms: times in microseconds, ratios in thousandths.
const (
	maxMicros  = int64(10 * time.Minute / time.Microsecond)
	ratioScale = 1000
	maxRatio   = 1_000_000 * ratioScale
	digits     = 3
)

// Quantiles are of response times in milliseconds, or of ratios.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Report is what a run has measured. All counts but Jobs are of copies.
type Report struct {
	Jobs     int     `json:"jobs"`
	Requests int     `json:"requests"`
	Seconds  float64 `json:"seconds"`
	// RoundTripMS is the round trip that the ideal contains.
	RoundTripMS float64        `json:"round_trip_ms"`
	Statuses    map[string]int `json:"statuses"`
	Problems    map[string]int `json:"problems"`
	Errors      map[string]int `json:"errors"`
	// NotRun counts the refusals that say that nothing has run.
	NotRun int `json:"not_run"`
	// Wrong counts answers that are incomplete, out of order, not those of the
	// request, or that differ between the copies of a job.
	Wrong map[string]int `json:"wrong"`
	// Moves counts the copies sent to another entry after a refused connection,
	// Retries those sent again after a refusal with not_run.
	Moves   int `json:"moves"`
	Retries int `json:"retries"`
	// ResponseMS and OverIdeal are of answers with status 200. The ideal is the
	// run time of the job's longest task plus one round trip.
	ResponseMS Quantiles `json:"response_ms"`
	OverIdeal  Quantiles `json:"over_ideal"`
}

// Share returns the share of requests that were answered with 200.
func (r *Report) ShareServed() float64 {
	return float64(r.Statuses["200"]) / float64(max(1, r.Requests))
}

type collector struct {
	Report
	times   *hdrhistogram.Histogram
	ratios  *hdrhistogram.Histogram
	elapsed time.Duration
}

func newCollector() *collector {
	return &collector{
		Report: Report{Statuses: map[string]int{}, Problems: map[string]int{}, Errors: map[string]int{}, Wrong: map[string]int{}},
		times:  hdrhistogram.New(1, maxMicros, digits),
		ratios: hdrhistogram.New(1, maxRatio, digits),
	}
}

func (c *collector) addJob(j JobResult, ideal time.Duration) {
	c.Jobs++
	complete := ""
	for _, out := range j.Copies {
		c.addOutcome(out, ideal)
		if out.Status != 200 {
			continue
		}
		if complete != "" && complete != out.digest {
			c.Wrong["the complete answers to two copies differ"]++
		}
		complete = out.digest
	}
}

func (c *collector) addOutcome(out Outcome, ideal time.Duration) {
	c.Requests++
	c.Moves += out.Moves
	c.Retries += out.Retries
	if out.Err != "" {
		c.Errors[out.Err]++
		return
	}
	c.Statuses[strconv.Itoa(out.Status)]++
	if out.Wrong != "" {
		c.Wrong[out.Wrong]++
	}
	if out.NotRun {
		c.NotRun++
	}
	if out.Problem != "" {
		c.Problems[out.Problem]++
	}
	if out.Status == 200 {
		// Values are within the range: answers come within minutes.
		_ = c.times.RecordValue(out.Took.Microseconds())
		_ = c.ratios.RecordValue(int64(ratioScale * float64(out.Took) / float64(max(ideal, 1))))
	}
}

func (c *collector) summary(g *generator) *Report {
	r := c.Report
	r.Seconds = c.elapsed.Seconds()
	r.RoundTripMS = float64(g.rtt) / float64(time.Millisecond)
	r.ResponseMS = quantiles(c.times, float64(time.Millisecond/time.Microsecond))
	r.OverIdeal = quantiles(c.ratios, ratioScale)
	return &r
}

func quantiles(h *hdrhistogram.Histogram, scale float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / scale}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d jobs, %d requests in %.1f s, round trip %.3f ms\n", r.Jobs, r.Requests, r.Seconds, r.RoundTripMS)
	printCounts(w, "status", r.Statuses)
	printCounts(w, "problem", r.Problems)
	printCounts(w, "error", r.Errors)
	printCounts(w, "wrong", r.Wrong)
	fmt.Fprintf(w, "not_run %d, moves %d, retries %d\n", r.NotRun, r.Moves, r.Retries)
	printQuantiles(w, "response ms", r.ResponseMS)
	printQuantiles(w, "over ideal", r.OverIdeal)
}

func printCounts(w io.Writer, name string, counts map[string]int) {
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %s: %d\n", name, key, counts[key])
	}
}

func printQuantiles(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%-12s p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", name, q.P50, q.P90, q.P99, q.P999, q.Max)
}
