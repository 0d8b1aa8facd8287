package load

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// answerOf returns the complete answer to a request, or one that change spoils.
func answerOf(r *http.Request, change func(b *owner.CompleteBody)) []byte {
	var request entry.JobRequest
	raw, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(raw, &request)
	id := wire.NewJobID(r.Header.Get("Damasklb-Caller"), r.Header.Get("Idempotency-Key"))
	body := owner.CompleteBody{ID: id.String(), State: owner.StateComplete}
	for i, task := range request.Tasks {
		body.Results = append(body.Results, owner.Result{Index: i, Payload: task.Payload})
	}
	if change != nil {
		change(&body)
	}
	out, _ := json.Marshal(body)
	return out
}

func run(t *testing.T, o Options, h http.HandlerFunc) *Report {
	t.Helper()
	jobs := http.NewServeMux()
	jobs.HandleFunc("POST /v1/jobs", h)
	jobs.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(jobs)
	defer server.Close()
	o.URLs, o.Caller, o.Class, o.KeyPrefix, o.Deadline = []string{server.URL}, "c", "echo", "p", 5*time.Second
	report, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Guards against coordinated omission: a stall of the system must show in the
// response times of all jobs that were due meanwhile, not only in one.
func TestStallCountsForAllJobsDue(t *testing.T) {
	const stall = time.Second
	var once sync.Once
	var end time.Time
	report := run(t, Options{Rate: 50, Duration: 2 * time.Second, Tasks: 1, Copies: 1}, func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { end = time.Now().Add(stall) })
		time.Sleep(time.Until(end))
		_, _ = w.Write(answerOf(r, nil))
	})
	// Half of the jobs are due in the stall, so a quarter wait half of it or more.
	if report.Jobs != 100 || report.Statuses["200"] != 100 || report.ResponseMS.P90 < 700 || report.ResponseMS.Max < 950 {
		t.Errorf("report %+v", report)
	}
}

// Guards against answers of status 200 that are not whole or not right and are
// counted as good.
func TestWrongAnswersAreCounted(t *testing.T) {
	for name, change := range map[string]func(b *owner.CompleteBody){
		"result missing":   func(b *owner.CompleteBody) { b.Results = b.Results[1:] },
		"results swapped":  func(b *owner.CompleteBody) { b.Results[0], b.Results[1] = b.Results[1], b.Results[0] },
		"result repeated":  func(b *owner.CompleteBody) { b.Results[1].Payload = b.Results[0].Payload },
		"id of another":    func(b *owner.CompleteBody) { b.ID = wire.NewJobID("c", "other").String() },
		"not yet complete": func(b *owner.CompleteBody) { b.State = owner.StateRunning },
	} {
		report := run(t, Options{Rate: 100, Duration: 50 * time.Millisecond, Tasks: 2, Copies: 1}, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(answerOf(r, change))
		})
		if wrong := sum(report.Wrong); wrong != report.Requests {
			t.Errorf("%s: %d of %d answers were counted as wrong", name, wrong, report.Requests)
		}
	}
	var n atomic.Int64
	report := run(t, Options{Rate: 100, Duration: 50 * time.Millisecond, Tasks: 1, Copies: 2}, func(w http.ResponseWriter, r *http.Request) {
		// White space differs from answer to answer.
		_, _ = w.Write(answerOf(r, nil))
		for range n.Add(1) {
			_, _ = w.Write([]byte(" "))
		}
	})
	if sum(report.Wrong) != report.Jobs {
		t.Errorf("copies with different answers: %v for %d jobs", report.Wrong, report.Jobs)
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against requests that net/http repeats by itself on a broken connection,
// which would hide a cut.
func TestCutRequestIsNotRepeated(t *testing.T) {
	var received atomic.Int64
	report := run(t, Options{Rate: 100, Duration: 200 * time.Millisecond, Tasks: 1, Copies: 1}, func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(answerOf(r, nil))
	})
	if report.Requests != 20 || received.Load() != 20 || report.Errors[ErrCut] != 10 {
		t.Errorf("%d requests were received %d times, errors %v", report.Requests, received.Load(), report.Errors)
	}
}
