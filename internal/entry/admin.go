package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// peerInfo is what a linked process has told about itself.
type peerInfo struct {
	hello wire.Hello
	heard time.Duration
}

// unreachableAfter is the silence after which status calls an entry unreachable.
const unreachableAfter = 3 * time.Second

// adminTimeout bounds the core's part of an operator's request.
const adminTimeout = 2 * time.Second

func (e *Entry) adminRoutes(r *mux.Router) {
	r.Handle(status.StatusPath, e.operators(config.RoleViewer, e.getStatus)).Methods(http.MethodGet)
	r.Handle(status.ConfigPath, e.operators(config.RoleOperator, e.postConfig)).Methods(http.MethodPost)
	r.Handle(status.DrainPath, e.operators(config.RoleOperator, e.postDrain)).Methods(http.MethodPost)
}

// operators lets operators of a role through; in dev mode, everybody.
func (e *Entry) operators(role config.OperatorRole, next http.HandlerFunc) http.Handler {
	if e.opts.Dev {
		return next
	}
	return e.auth.RequireOperator(role, e.refuseRequest)(next)
}

// notePeer keeps what a process has told of its versions.
func (e *Entry) notePeer(now time.Duration, l *transport.Link, m wire.Message) {
	p := e.peers[l.Peer.ID]
	if p == nil || p.hello.Incarnation != l.Peer.Incarnation {
		p = &peerInfo{hello: l.Peer}
		e.peers[l.Peer.ID] = p
	}
	p.heard = now
	switch m := m.(type) {
	case *wire.Ping:
		p.hello.MapVersion, p.hello.ConfigVersion = m.MapVersion, m.ConfigVersion
	case *wire.Pong:
		p.hello.MapVersion, p.hello.ConfigVersion = m.MapVersion, m.ConfigVersion
	default:
		return
	}
	e.shareConfig(l, p.hello.ConfigVersion)
}

func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request) {
	done := make(chan status.Report, 1)
	e.post(func(now time.Duration) { done <- e.report(now) })
	select {
	case report := <-done:
		writeJSON(w, http.StatusOK, report)
	case <-time.After(adminTimeout):
		http.Error(w, "the entry is too busy", http.StatusServiceUnavailable)
	case <-e.stopped:
		http.Error(w, "the entry has stopped", http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(code)
	// A failed write means that the operator has gone.
	_ = json.NewEncoder(w).Encode(v)
}

// report tells the installation as this entry sees it.
func (e *Entry) report(now time.Duration) status.Report {
	r := status.Report{Entry: e.opts.ID, ConfigVersion: e.configVersion.Load(), MapVersion: e.mapVersion.Load()}
	m := e.core.Map()
	if m == nil {
		m = &membership.Map{}
	}
	for _, member := range m.Members {
		r.Entries = append(r.Entries, e.reportEntry(now, member))
	}
	e.reportAgents(now, &r)
	for p, state := range m.Partitions {
		part := status.Partition{Number: p, Owner: state.Owner, Epoch: state.Epoch, State: status.PartitionServing}
		switch {
		case state.Owner == "":
			part.State = status.PartitionUnowned
		case state.Owner == e.opts.ID && !e.core.Serving(wire.Partition(p)):
			part.State = status.PartitionRecovering
		}
		r.Partitions = append(r.Partitions, part)
	}
	return r
}

func (e *Entry) reportEntry(now time.Duration, member membership.Member) status.Entry {
	s := status.Entry{
		ID: member.ID, Incarnation: member.ID, DataCentre: member.DataCentre,
		Addresses: []string{member.HTTPAddress, member.LinkAddress}, State: status.Serving,
	}
	if member.ID == e.opts.ID {
		s.ConfigVersion, s.MapVersion = e.configVersion.Load(), e.mapVersion.Load()
		s.Waiting, s.Running = e.core.TaskCounts()
		s.State = e.ownState()
		return s
	}
	p := e.peers[member.ID]
	if p == nil || e.links[member.ID] == nil {
		s.State = status.Unreachable
		return s
	}
	s.ConfigVersion, s.MapVersion = p.hello.ConfigVersion, p.hello.MapVersion
	s.LastMessageAgeMS = (now - p.heard).Milliseconds()
	switch {
	case now-p.heard > unreachableAfter:
		s.State = status.Unreachable
	case s.ConfigVersion == 0:
		s.State = status.Unconfigured
	}
	return s
}

func (e *Entry) ownState() status.ProcessState {
	switch {
	case e.leaving.Load():
		return status.Draining
	case e.configVersion.Load() == 0:
		return status.Unconfigured
	case !e.ready.Load():
		return status.NoAuthority
	}
	return status.Serving
}

func (e *Entry) reportAgents(now time.Duration, r *status.Report) {
	for _, a := range e.core.Agents(now) {
		s := status.Agent{Host: a.Host, Incarnation: a.Incarnation, DataCentre: a.DataCentre, State: status.Serving}
		if p := e.peers[a.Host]; p != nil && p.hello.Incarnation == a.Incarnation {
			s.ConfigVersion = p.hello.ConfigVersion
			s.LastMessageAgeMS = (now - p.heard).Milliseconds()
		}
		switch {
		case !a.Up:
			s.State = status.Unreachable
		case s.ConfigVersion == 0:
			s.State = status.Unconfigured
		}
		r.Agents = append(r.Agents, s)
		for _, u := range a.Upstreams {
			state := status.UpstreamServing
			if u.InQuietHours {
				state = status.UpstreamInQuietHours
			}
			r.Upstreams = append(r.Upstreams, status.Upstream{
				Host: a.Host, Service: u.ID.Service, Site: u.Site, DataCentre: a.DataCentre, Classes: u.Classes,
				Slots: u.Slots, Running: u.Running, State: state,
			})
		}
	}
	sort.Slice(r.Agents, func(i, j int) bool { return r.Agents[i].Host < r.Agents[j].Host })
}

func (e *Entry) postDrain(w http.ResponseWriter, r *http.Request) {
	var req status.DrainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil || req.Host == "" {
		http.Error(w, `the body must be {"host": "NAME"}`, http.StatusBadRequest)
		return
	}
	done := make(chan *status.DrainResponse, 1)
	e.post(func(now time.Duration) { done <- e.drain(now, req.Host) })
	select {
	case answer := <-done:
		if answer == nil {
			http.Error(w, "no linked entry or agent has this name", http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	case <-e.stopped:
		http.Error(w, "the entry has stopped", http.StatusServiceUnavailable)
	}
}

// drain asks an entry, by id or host, or an agent, by host, to leave.
func (e *Entry) drain(now time.Duration, host string) *status.DrainResponse {
	if host == e.opts.ID || host == e.opts.Host && e.core.Map() != nil {
		e.requestLeave()
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
	answer := &status.DrainResponse{Host: host, Role: role, State: status.Draining}
	for _, a := range e.core.Agents(now) {
		for _, u := range a.Upstreams {
			if a.Host == id {
				answer.Running += u.Running
			}
		}
	}
	return answer
}

// requestLeave tells the process that it should stop gracefully.
func (e *Entry) requestLeave() {
	e.leaveOnce.Do(func() { close(e.leaveAsked) })
}

// LeaveAsked is closed when an operator has asked the entry to leave.
func (e *Entry) DrainRequested() <-chan struct{} { return e.leaveAsked }
