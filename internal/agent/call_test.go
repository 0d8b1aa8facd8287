package agent

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/wire"
)

func testStart() *wire.Start {
	return &wire.Start{Task: wire.TaskID{Job: wire.JobID{1}}, Attempt: 1, Epoch: 1, Upstream: "s", Seq: 1, Class: "c", TaskCount: 1, DeadlineMS: 1000, Payload: []byte("1")}
}

// Guards against a second run of a task because its upstream answered the first one with a
// redirect, which keeps the method and the body.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		var runs atomic.Int64
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				http.Redirect(w, r, "/elsewhere", status)
			}
		}))
		a := newTestAgent(slog.New(slog.DiscardHandler))
		a.client = newUpstreamClient()
		if _, failure := a.postTask(testStart(), upstream.URL); failure == "" || runs.Load() != 1 {
			t.Errorf("status %d: %d requests, failure %q", status, runs.Load(), failure)
		}
		upstream.Close()
	}
}

// Guards against a second call of a task whose first one gave no answer, or one that does
// not say whether it ran: its upstream may still run it.
func TestCallWithoutAnswerIsNotRepeated(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"connection cut": func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				conn.Close()
			}
		},
		"500": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"503": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"cut answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("1"))
		},
		"not JSON": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
	} {
		var runs atomic.Int64
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The first request opens the connection that the task reuses.
			if r.Method == http.MethodPost {
				runs.Add(1)
				answer(w, r)
			}
		}))
		a := newTestAgent(slog.New(slog.DiscardHandler))
		a.client = newUpstreamClient()
		if resp, err := a.client.Get(upstream.URL); err == nil {
			resp.Body.Close()
		}
		a.core.LinkUp(ledger.Instant{}, "e1")
		a.core.Announce(ledger.Instant{}, ledger.Upstream{Service: "s", Site: "x", Classes: []string{"c"}, Address: upstream.URL, Slots: 1})
		for range 2 {
			a.core.Receive(ledger.Instant{}, "e1", testStart())
			for _, effect := range a.core.TakeEffects() {
				if run, ok := effect.(ledger.Run); ok {
					a.call(run.Start, run.Address)
				}
			}
			for len(a.events) > 0 {
				(<-a.events)(ledger.Instant{})
			}
		}
		if runs.Load() != 1 {
			t.Errorf("%s: the upstream got the task %d times", name, runs.Load())
		}
		upstream.Close()
	}
}
