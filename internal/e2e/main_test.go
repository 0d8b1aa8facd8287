// Package e2e tests the whole system as separate processes on loopback.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/load"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/rig"
)

func TestMain(m *testing.M) {
	rig.Main()
	os.Exit(m.Run())
}

// start starts a system that ends with the test. The test fails if a process
// has reported a data race, a panic or a violated invariant.
func start(t *testing.T, change func(o *rig.Options)) *rig.Rig {
	t.Helper()
	o := rig.DefaultOptions()
	o.Agents, o.Slots = 3, 8
	if change != nil {
		change(&o)
	}
	r, err := rig.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, line := range r.FailureLogLines() {
			t.Error(line)
		}
		r.Close()
	})
	return r
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) problem() owner.ProblemBody {
	var p owner.ProblemBody
	_ = json.Unmarshal(a.body, &p)
	return p
}

var client = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func send(method, url, key, body string, headers ...string) answer {
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Damasklb-Caller", "tester")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, raw, err}
}

func submit(url, key, body string) answer { return send(http.MethodPost, url+"/v1/jobs", key, body) }

// jobOf returns a job of n tasks that sleep.
func jobOf(n int, sleep, deadline time.Duration) string {
	tasks := ""
	for i := range n {
		if i > 0 {
			tasks += ","
		}
		tasks += fmt.Sprintf(`{"payload":{"sleep_ms":%d,"n":%d}}`, sleep.Milliseconds(), i)
	}
	return fmt.Sprintf(`{"class":"echo","deadline_ms":%d,"tasks":[%s]}`, deadline.Milliseconds(), tasks)
}

// background runs a load and returns its report and jobs when it is called.
func background(t *testing.T, o load.Options) func() (*load.Report, []load.JobResult) {
	t.Helper()
	var jobs []load.JobResult
	collected := make(chan load.JobResult, 1<<16)
	o.OnJobDone = func(j load.JobResult) { collected <- j }
	done := make(chan *load.Report, 1)
	go func() {
		report, err := load.Run(t.Context(), o)
		if err != nil {
			t.Error(err)
			report = &load.Report{}
		}
		done <- report
	}()
	return func() (*load.Report, []load.JobResult) {
		report := <-done
		close(collected)
		for j := range collected {
			jobs = append(jobs, j)
		}
		t.Logf("requests %d statuses %v problems %v errors %v moves %d p50 %.0f p99 %.0f ms", report.Requests,
			report.Statuses, report.Problems, report.Errors, report.Moves, report.ResponseMS.P50, report.ResponseMS.P99)
		return report, jobs
	}
}

func loadOf(r *rig.Rig, rate float64, duration time.Duration) load.Options {
	return load.Options{
		URLs: r.URLs(), Class: "echo", Caller: "load", Rate: rate, Duration: duration, Tasks: 2, Copies: 1,
		Sleep: load.Sleep{Fixed: 50 * time.Millisecond}, Deadline: 5 * time.Second, KeyPrefix: "load", Seed: 1,
	}
}

// checkSafe checks that no task has started twice, no answer was wrong, and no
// task has started of a job that was answered with not_run only.
func checkSafe(t *testing.T, r *rig.Rig, report *load.Report, jobs []load.JobResult) {
	t.Helper()
	starts := r.StartCounts()
	if double := rig.DuplicateStarts(starts); len(double) > 0 {
		t.Errorf("%d tasks started twice, as %s", len(double), double[0])
	}
	if len(report.Wrong) > 0 {
		t.Errorf("wrong answers: %v", report.Wrong)
	}
	for _, key := range slices.Sorted(maps.Keys(jobsByID(jobs))) {
		j := jobsByID(jobs)[key]
		if lie := load.FalseNotRun(j, starts); lie {
			t.Errorf("job %s was answered with not_run, but a task has started", j.Key)
		}
	}
}

func jobsByID(jobs []load.JobResult) map[string]load.JobResult {
	byID := make(map[string]load.JobResult, len(jobs))
	for _, j := range jobs {
		byID[j.ID] = j
	}
	return byID
}
