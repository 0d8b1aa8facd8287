package agent

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/ledger"
)

// Limits of the announce interface.
const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 5 * time.Second
	idleTimeout    = 60 * time.Second
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}

func (a *Agent) serve() {
	defer a.wg.Done()
	// Serve returns an error when the agent stops and closes the server.
	_ = a.server.Serve(a.listener)
}

func (a *Agent) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/announce", a.postAnnounce).Methods(http.MethodPost)
	r.HandleFunc("/v1/leave", a.postLeave).Methods(http.MethodPost)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.getReady)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { a.writeMetrics(w) })
	return r
}

func (a *Agent) getReady(w http.ResponseWriter, _ *http.Request) {
	if a.linkCount.Load() > 0 {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	http.Error(w, "no entry is linked", http.StatusServiceUnavailable)
}

func tableErrors(operation string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_table_errors_total{operation="` + operation + `"}`)
}

func (a *Agent) writeMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
	records := make(chan [2]int, 1)
	a.post(func(ledger.Instant) { records <- [2]int{a.core.Records(), a.core.Running()} })
	select {
	case n := <-records:
		set := metrics.NewSet()
		set.NewGauge("damasklb_agent_records", nil).Set(float64(n[0]))
		set.NewGauge("damasklb_agent_running", nil).Set(float64(n[1]))
		set.NewGauge("damasklb_agent_evacuation_version", nil).Set(float64(a.evacuationVersion.Load()))
		set.WritePrometheus(w)
	case <-a.done:
	}
}

// newUpstreamClient returns the client for calls to upstreams. Connections are
// reused, since each call to the upstream beside the agent would otherwise start
// with a handshake. A call on a broken connection is not retried, because it may
// have reached the upstream. A redirect is not followed, because an upstream may answer so
// after it has run the task.
func newUpstreamClient() *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxSlots,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
