package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Names of the metrics that count requests for data centres that the configuration does not
// list, and requests whose row cannot be read. The programs of the hosting platform
// register the same names, so they are looked up when they are needed.
const (
	unknownEvacuations    = "damasklb_evacuation_requests_unknown_total"
	unreadableEvacuations = "damasklb_evacuation_requests_unreadable_total"
)

// evacuationsRead applies the requests that were read from the table.
func (e *Entry) evacuationsRead(requestedAt time.Duration, rows *configstore.Evacuations) {
	e.evacuationRows.Store(rows)
	for _, row := range rows.Ignored {
		e.invalid.Check("evacuation", row.Key, row.Problem)
	}
	e.post(func(now time.Duration) { e.applyEvacuations(now, rows.Update(requestedAt), rows) })
}

// applyView applies what another entry has passed on. sentAfter is a time before which it
// was not sent. Agents pass nothing on: a faulty one must not stop other data centres.
func (e *Entry) applyView(now time.Duration, l *transport.Link, v *wire.Evacuations, sentAfter time.Duration) {
	if v != nil && l.Peer.Role == wire.RoleEntry {
		e.applyEvacuations(now, evacuation.FromView(sentAfter, v), nil)
	}
}

// applyEvacuations applies an update of the requests. A new version is passed on at once to all
// linked processes. rows is what was read from the table, if the update comes from there.
func (e *Entry) applyEvacuations(now time.Duration, u evacuation.Update, rows *configstore.Evacuations) {
	before := e.evacuations.Load()
	changes := e.core.Evacuations(now, u)
	known := e.core.KnownEvacuations()
	e.evacuations.Store(known)
	for _, c := range changes {
		e.logEvacuation(known, c)
	}
	e.warnOfUnreadable(rows)
	e.warnOfEvacuations(known)
	if len(changes) == 0 && before != nil && before.Version() == known.Version() {
		return
	}
	for _, l := range e.links {
		// Ping fails on a closed link, which needs no ping.
		_ = l.Ping()
	}
}

func (e *Entry) logEvacuation(known *evacuation.Tracker, c evacuation.Change) {
	running := 0
	for _, a := range e.core.Agents(e.now()) {
		if a.DataCentre == c.DataCentre {
			running += e.runningAt(a)
		}
	}
	e.opts.Log.Info("evacuation of a data centre", "data_centre", c.DataCentre, "version", known.Version(), "request_version", c.Version,
		"evacuated", !c.Deleted, "running", running)
}

// warnOfUnreadable warns, once for each request, of rows that cannot be read. Another entry may
// have passed the request on before its row was read, so this does not depend on changes.
func (e *Entry) warnOfUnreadable(rows *configstore.Evacuations) {
	if rows == nil {
		return
	}
	for _, r := range rows.Requests {
		if r.Problem == nil || e.warnedUnreadable[r.DataCentre] == r.RowVersion {
			continue
		}
		e.warnedUnreadable[r.DataCentre] = r.RowVersion
		metrics.GetOrCreateCounter(unreadableEvacuations).Inc()
		e.opts.Log.Warn("evacuation request cannot be read; acting on its key", "data_centre", r.DataCentre, "request_version", r.RowVersion, "error", r.Problem)
	}
}

// warnOfEvacuations warns, once for each request, of data centres that the configuration
// does not list, and when no listed one is left. It runs after a change of either.
func (e *Entry) warnOfEvacuations(known *evacuation.Tracker) {
	g := e.gate.Load()
	if g == nil || known == nil {
		return
	}
	for _, r := range known.Requests() {
		if _, listed := g.Config().DataCentres[r.DataCentre]; listed || e.warnedEvacuations[r.DataCentre] == r.Version {
			continue
		}
		e.warnedEvacuations[r.DataCentre] = r.Version
		metrics.GetOrCreateCounter(unknownEvacuations).Inc()
		e.opts.Log.Warn("evacuation request for a data centre that the configuration does not list; no listed data centre is affected",
			"data_centre", r.DataCentre, "request_version", r.Version)
	}
	all := e.allEvacuated(known)
	if all && !e.warnedAllEvacuated {
		e.opts.Log.Warn("all data centres are being evacuated; jobs are refused", "data_centres", len(known.Requests()))
	}
	e.warnedAllEvacuated = all
}

// allEvacuated reports whether no data centre of the configuration is left.
func (e *Entry) allEvacuated(known *evacuation.Tracker) bool {
	g := e.gate.Load()
	if g == nil {
		return false
	}
	for name := range g.Config().DataCentres {
		if !known.Evacuated(name) {
			return false
		}
	}
	return len(g.Config().DataCentres) > 0
}

// runningAt returns the number of tasks that run at an agent: as it last reported, and at
// least those that this entry has sent there and that are open.
func (e *Entry) runningAt(a owner.AgentInfo) int {
	own := 0
	for _, u := range a.Upstreams {
		own += u.Running
	}
	if p := e.peers[a.Host]; a.Up && p != nil && p.hello.Incarnation == a.Incarnation {
		return max(own, int(p.hello.Running))
	}
	return own
}

// reportEvacuations adds the evacuations in force to a report.
func (e *Entry) reportEvacuations(now time.Duration, r *status.Report) {
	known := e.core.KnownEvacuations()
	r.EvacuationVersion = known.Version()
	r.EvacuationAgeMS = known.Age(now).Milliseconds()
	rows := e.evacuationRows.Load()
	for _, request := range known.Requests() {
		s := status.Evacuation{DataCentre: request.DataCentre, KnownForMS: (now - request.Since).Milliseconds()}
		if g := e.gate.Load(); g != nil {
			_, listed := g.Config().DataCentres[request.DataCentre]
			s.Unknown = !listed
		}
		if rows != nil {
			if row, ok := rows.Request(request.DataCentre); ok && row.RowVersion == request.Version && row.Problem == nil {
				s.Since, s.Author, s.Reason = row.Time, row.Author, row.Reason
			}
		}
		for _, a := range e.core.Agents(now) {
			if a.DataCentre == request.DataCentre {
				s.Running += e.runningAt(a)
			}
		}
		r.Evacuations = append(r.Evacuations, s)
	}
}
