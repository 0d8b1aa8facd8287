package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

func (e *Entry) postDrain(w http.ResponseWriter, r *http.Request) {
	var req status.DrainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil || req.Host == "" {
		http.Error(w, `the body must be {"host": "NAME"}`, http.StatusBadRequest)
		return
	}
	reply := make(chan *status.DrainResponse, 1)
	e.post(func(now time.Duration) { reply <- e.drain(now, req.Host) })
	select {
	case response := <-reply:
		if response == nil {
			http.Error(w, "no linked entry or agent has this name", http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, response)
	case <-e.stopped:
		http.Error(w, "the entry has stopped", http.StatusServiceUnavailable)
	}
}

// drain asks an entry, by id or host, or an agent, by host, to drain. It returns
// nil if there is no link to such a process.
func (e *Entry) drain(now time.Duration, host string) *status.DrainResponse {
	if host == e.opts.ID || host == e.opts.Host && e.core.Map() != nil {
		e.requestDrain()
		_, running := e.core.TaskCounts()
		return &status.DrainResponse{Host: host, Role: "entry", State: status.Draining, Running: running}
	}
	id, role := host, "agent"
	if m := e.core.Map(); m != nil {
		for _, member := range m.Members {
			if member.ID == host || member.Host == host {
				id, role = member.ID, "entry"
			}
		}
	}
	l := e.links[id]
	if l == nil {
		return nil
	}
	e.send(l, &wire.Drain{})
	response := &status.DrainResponse{Host: host, Role: role, State: status.Draining}
	for _, a := range e.core.Agents(now) {
		for _, u := range a.Upstreams {
			if a.Host == id {
				response.Running += u.Running
			}
		}
	}
	return response
}

// requestDrain asks the process to drain and then to end.
func (e *Entry) requestDrain() {
	e.drainOnce.Do(func() { close(e.drainRequested) })
}

// DrainRequested returns a channel that is closed when an operator has asked the entry
// to drain.
func (e *Entry) DrainRequested() <-chan struct{} { return e.drainRequested }
