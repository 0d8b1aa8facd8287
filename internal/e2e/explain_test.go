package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against explanations that do not agree with what processes do: a job with more tasks
// than slots is explained while it runs and waits, a shape before it is submitted, and bad
// questions name their field. No question starts or loses a task.
func TestExplanationsOfRunningJobs(t *testing.T) {
	r := startSmall(t)
	url := r.URLs()[0]
	ask := func(query string, want int, out any) {
		t.Helper()
		a := send(http.MethodGet, url+status.ExplainPath+query, "", "")
		if err := json.Unmarshal(a.body, out); err != nil || a.status != want {
			t.Fatalf("%s: status %d, body %s, %v %v", query, a.status, a.body, a.err, err)
		}
	}
	var e status.DispatchExplanation
	ask("?class=echo&caller=tester&tasks=2&deadline_ms=5000", http.StatusOK, &e)
	if e.Decision != "accept" || len(e.Candidates) != 1 || !e.Candidates[0].MayWin || e.Slots != 2 {
		t.Errorf("idle: %+v", e)
	}
	if a := send(http.MethodPost, url+"/v1/jobs", "slow", jobBody(4, time.Second, 30*time.Second), "Prefer", "respond-async"); a.status != http.StatusAccepted {
		t.Fatalf("submit: status %d, body %s", a.status, a.body)
	}
	id := wire.NewJobID("tester", "slow").String()
	var job status.DispatchExplanation
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		job = status.DispatchExplanation{}
		ask("?job="+id, http.StatusOK, &job)
		if job.State == "running" && job.Running == 2 && job.Reason == "no-credit" {
			break
		}
	}
	if job.Decision != "wait" || job.Reason != "no-credit" || job.Waiting != 2 || job.Running != 2 || len(job.Tasks) != 4 || len(job.Excluded) != 1 {
		t.Errorf("while it runs: %+v", job)
	}
	ask("?class=echo&caller=tester&tasks=140&deadline_ms=60", http.StatusOK, &e)
	if e.Decision != "refuse" || e.Reason == "" {
		t.Errorf("a job that cannot end in time: %+v", e)
	}
	for query, want := range map[string]struct {
		status int
		field  string
	}{
		"?class=echo":                           {http.StatusBadRequest, "deadline_ms"},
		"?class=echo&deadline_ms=1&cpu=1":       {http.StatusBadRequest, "cpu"},
		"?class=nothing&deadline_ms=1":          {http.StatusNotFound, "class"},
		"?job=12":                               {http.StatusBadRequest, "job"},
		"?job=" + wire.JobID{200}.String():      {http.StatusNotFound, "job"},
		"?job=" + id + "&class=echo":            {http.StatusBadRequest, "job"},
		"?class=echo&deadline_ms=1&tasks=10000": {http.StatusBadRequest, "tasks"},
	} {
		var failure status.Failure
		if ask(query, want.status, &failure); failure.Error.Field != want.field {
			t.Errorf("%s: %+v", query, failure)
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if ask("?job="+id, http.StatusOK, &job); job.State == "ended" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the job does not end: %+v", job)
		}
	}
	starts := r.StartCounts()
	if duplicates := rig.DuplicateStarts(starts); len(duplicates) > 0 || len(starts) != 4 {
		t.Errorf("%d tasks started, more than once: %v", len(starts), duplicates)
	}
}
