package agent

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
)

// Limits of the announce interface.
const (
	maxAnnounceBytes = 64 << 10
	maxHeaderBytes   = 16 << 10
	maxSlots         = 4096
	maxClasses       = 256
	readTimeout      = 5 * time.Second
	idleTimeout      = 60 * time.Second
)

// Announcement is the body of POST /v1/announce. An upstream sends it every second.
type Announcement struct {
	Service string   `json:"service"`
	Site    string   `json:"site"`
	Classes []string `json:"classes"`
	// Address is the URL that tasks are posted to.
	Address string `json:"address"`
	// Slots is the number of tasks that the upstream runs at a time.
	Slots int `json:"slots"`
}

// LeaveRequest is the body of POST /v1/leave. An empty service drains the agent.
type LeaveRequest struct {
	Service string `json:"service"`
}

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

func (a *Agent) postAnnounce(w http.ResponseWriter, r *http.Request) {
	var m Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(&m); err != nil {
		http.Error(w, "the announce is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := m.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !a.registered.Load() {
		http.Error(w, "the agent is not registered in the table yet", http.StatusServiceUnavailable)
		return
	}
	info := ledger.Upstream{Service: m.Service, Site: m.Site, Classes: m.Classes, Address: m.Address, Slots: m.Slots}
	a.post(func(now ledger.Instant) { a.core.Announce(now, info) })
	w.WriteHeader(http.StatusNoContent)
}

func (m *Announcement) validate() error {
	switch {
	case m.Service == "":
		return fault.BadRequest.New("service is missing")
	case m.Site == "":
		return fault.BadRequest.New("site is missing")
	case len(m.Classes) == 0 || len(m.Classes) > maxClasses:
		return fault.BadRequest.New("classes has %d names, allowed are 1 to %d", len(m.Classes), maxClasses)
	case m.Slots < 1 || m.Slots > maxSlots:
		return fault.BadRequest.New("slots is %d, allowed are 1 to %d", m.Slots, maxSlots)
	}
	u, err := url.Parse(m.Address)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fault.BadRequest.New("address %q is not an http URL", m.Address)
	}
	return nil
}

func (a *Agent) postLeave(w http.ResponseWriter, r *http.Request) {
	var m LeaveRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(&m)
	if err != nil && err != io.EOF {
		http.Error(w, "the request is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	if m.Service == "" {
		a.Drain()
	} else {
		a.post(func(ledger.Instant) { a.core.UpstreamLeaving(m.Service) })
	}
	w.WriteHeader(http.StatusAccepted)
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
// have reached the upstream.
func newUpstreamClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxSlots,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}
