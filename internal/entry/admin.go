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

// peerInfo is the last state that a linked process reported of itself.
type peerInfo struct {
	hello       wire.Hello
	lastMessage time.Duration
}

// unreachableAfter is the time without a message after which the status report
// states an entry as unreachable.
const unreachableAfter = 3 * time.Second

// adminTimeout bounds the wait for the core in an operator's status request.
const adminTimeout = 2 * time.Second

func (e *Entry) adminRoutes(r *mux.Router) {
	r.Handle(status.StatusPath, e.requireOperator(config.RoleViewer, e.getStatus)).Methods(http.MethodGet)
	r.Handle(status.ExplainPath, e.requireOperator(config.RoleViewer, e.getExplanation)).Methods(http.MethodGet)
	r.Handle(status.ConfigPath, e.requireOperator(config.RoleOperator, e.postConfig)).Methods(http.MethodPost)
	r.Handle(status.DrainPath, e.requireOperator(config.RoleOperator, e.postDrain)).Methods(http.MethodPost)
}

// requireOperator admits only operators that have the role; in dev mode, everybody.
func (e *Entry) requireOperator(role config.OperatorRole, next http.HandlerFunc) http.Handler {
	if e.opts.Dev {
		return next
	}
	return e.auth.RequireOperator(role, e.refuseRequest)(next)
}

// recordPeer records the map and configuration versions that a process has, and
// sends it the configuration if its version is older.
func (e *Entry) recordPeer(now time.Duration, l *transport.Link, m wire.Message) {
	p := e.peers[l.Peer.ID]
	if p == nil || p.hello.Incarnation != l.Peer.Incarnation {
		p = &peerInfo{hello: l.Peer}
		e.peers[l.Peer.ID] = p
	}
	p.lastMessage = now
	switch m := m.(type) {
	case *wire.Ping:
		p.recordVersions(m)
	case *wire.Pong:
		p.recordVersions((*wire.Ping)(m))
	default:
		return
	}
	e.sendConfigIfNewer(l, p.hello.ConfigVersion)
}

func (p *peerInfo) recordVersions(m *wire.Ping) {
	p.hello.MapVersion, p.hello.ConfigVersion = m.MapVersion, m.ConfigVersion
	p.hello.Evacuations, p.hello.EvacuationVersion, p.hello.Running = m.Evacuations, m.EvacuationVersion, m.Running
}

// evacuationVersion returns the version of the evacuation requests that the peer knows.
func (p *peerInfo) evacuationVersion() uint64 {
	if p.hello.Role == wire.RoleEntry && p.hello.Evacuations != nil {
		return p.hello.Evacuations.Version
	}
	return p.hello.EvacuationVersion
}

func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request) {
	reply := make(chan status.Report, 1)
	e.post(func(now time.Duration) { reply <- e.report(now) })
	select {
	case report := <-reply:
		writeJSON(w, http.StatusOK, report)
	case <-time.After(adminTimeout):
		http.Error(w, "the entry is too busy", http.StatusServiceUnavailable)
	case <-e.stopped:
		http.Error(w, "the entry has stopped", http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", jsonContentType)
	w.WriteHeader(code)
	// A failed write means that the operator's client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// report returns the state of the installation as this entry sees it.
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
	e.reportEvacuations(now, &r)
	for p, state := range m.Partitions {
		partition := status.Partition{Number: p, Owner: state.Owner, Epoch: state.Epoch, State: status.PartitionServing}
		switch {
		case state.Owner == "":
			partition.State = status.PartitionUnowned
		case state.Owner == e.opts.ID && !e.core.Serving(wire.Partition(p)):
			partition.State = status.PartitionRecovering
		}
		r.Partitions = append(r.Partitions, partition)
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
		s.EvacuationVersion = e.core.KnownEvacuations().Version()
		s.Waiting, s.Running = e.core.TaskCounts()
		s.State = e.ownState()
		return s
	}
	p := e.peers[member.ID]
	if p == nil || e.links[member.ID] == nil {
		s.State = status.Unreachable
		return s
	}
	s.ConfigVersion, s.MapVersion, s.EvacuationVersion = p.hello.ConfigVersion, p.hello.MapVersion, p.evacuationVersion()
	s.LastMessageAgeMS = (now - p.lastMessage).Milliseconds()
	switch {
	case now-p.lastMessage > unreachableAfter:
		s.State = status.Unreachable
	case s.ConfigVersion == 0:
		s.State = status.Unconfigured
	}
	return s
}

func (e *Entry) ownState() status.ProcessState {
	switch {
	case e.draining.Load():
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
			s.ConfigVersion, s.EvacuationVersion = p.hello.ConfigVersion, p.evacuationVersion()
			s.LastMessageAgeMS = (now - p.lastMessage).Milliseconds()
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
			if u.Evacuated {
				state = status.UpstreamEvacuated
			}
			r.Upstreams = append(r.Upstreams, status.Upstream{
				Host: a.Host, Service: u.ID.Service, Site: u.Site, DataCentre: a.DataCentre, Classes: u.Classes,
				Slots: u.Slots, Running: u.Running, State: state,
			})
		}
	}
	sort.Slice(r.Agents, func(i, j int) bool { return r.Agents[i].Host < r.Agents[j].Host })
}
