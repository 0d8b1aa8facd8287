package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damasklb/damasklb/internal/rig"
)

// overhead compares tasks sent through an entry with the same tasks sent directly to
// an upstream. The calls alternate, one at a time.
type overhead struct {
	TaskMS int        `json:"task_ms"`
	Calls  int        `json:"calls"`
	P50    comparison `json:"p50"`
	P99    comparison `json:"p99"`
	Failed int        `json:"not_200"`
}

type comparison struct {
	DirectMS     float64 `json:"direct_ms"`
	DispatchedMS float64 `json:"dispatched_ms"`
	Ratio        float64 `json:"ratio"`
}

// taskTimes are the run times measured: zero, and the shortest and the longest usual
// run time.
var taskTimes = []time.Duration{0, 50 * time.Millisecond, time.Second}

// pauseBetweenCalls keeps the load low.
const pauseBetweenCalls = 5 * time.Millisecond

func measureOverhead(r *rig.Rig, s settings) (any, error) {
	var all []overhead
	for _, runTime := range taskTimes {
		calls := s.calls
		if runTime >= time.Second {
			calls = max(1, s.calls/20)
		}
		all = append(all, compareCalls(r, runTime, calls))
	}
	return all, nil
}

const maxMicros = 60_000_000

func compareCalls(r *rig.Rig, runTime time.Duration, calls int) overhead {
	client := &http.Client{Timeout: 30 * time.Second}
	direct, dispatched := hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)
	o := overhead{TaskMS: int(runTime.Milliseconds()), Calls: calls}
	payload := fmt.Sprintf(`{"sleep_ms":%d}`, runTime.Milliseconds())
	body := fmt.Sprintf(`{"class":"echo","deadline_ms":20000,"tasks":[{"payload":%s}]}`, payload)
	for i := range calls {
		upstream := "http://" + r.Upstreams[i%len(r.Upstreams)].Address + "/run"
		o.Failed += timePost(client, direct, upstream, payload, fmt.Sprintf("direct-%d-%d", runTime, i))
		time.Sleep(pauseBetweenCalls)
		entry := r.URLs()[i%len(r.Entries)] + "/v1/jobs"
		o.Failed += timePost(client, dispatched, entry, body, fmt.Sprintf("job-%d-%d", runTime, i))
		time.Sleep(pauseBetweenCalls)
	}
	o.P50, o.P99 = compareQuantiles(direct, dispatched, 50), compareQuantiles(direct, dispatched, 99)
	return o
}

// timePost sends one POST request. It records the response time and returns 0 if the
// status is 200, otherwise it returns 1.
func timePost(client *http.Client, h *hdrhistogram.Histogram, url, body, key string) int {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 1
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Damasklb-Caller", "bench")
	req.Header.Set("Damasklb-Task-Id", key)
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 1
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return 1
	}
	// The value is within the histogram's range: the client's timeout is below it.
	_ = h.RecordValue(time.Since(begin).Microseconds())
	return 0
}

// compareQuantiles returns the response times at a percentile, in milliseconds.
func compareQuantiles(direct, dispatched *hdrhistogram.Histogram, percentile float64) comparison {
	directMS, dispatchedMS := float64(direct.ValueAtQuantile(percentile))/1000, float64(dispatched.ValueAtQuantile(percentile))/1000
	return comparison{DirectMS: directMS, DispatchedMS: dispatchedMS, Ratio: dispatchedMS / max(directMS, 0.001)}
}
