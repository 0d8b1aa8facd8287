// Package evacuation tracks which data centres operators are evacuating. No task may
// start in such a data centre until the operator's request is withdrawn.
//
// Entries learn the requests from the platform's store and pass them on to agents. The package
// handles states that arrive late, out of order or not at all. It does no I/O; times are those of
// the process's monotonic clock.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Change is a written or deleted request of an operator.
type Change struct {
	DataCentre string
	// Version is the store's version of the request. A request that was withdrawn
	// and made again has a new one.
	Version uint64
	Deleted bool
}

// Update is what one answer of the store says about the requests.
type Update struct {
	// All is set if Changes holds all requests, not only those that changed.
	All     bool
	Changes []Change
	// Version is the store's version up to which Changes is complete.
	Version uint64
	// AsOf is a time at which the state of that version was current or in the future.
	AsOf time.Duration
}

// Request is a request in force.
type Request struct {
	DataCentre string
	Version    uint64
	// Since is when this process learned of the request.
	Since time.Duration
}

// Tracker holds the requests that a process knows. The zero value knows none, as of
// time zero.
type Tracker struct {
	known    bool
	version  uint64
	asOf     time.Duration
	requests map[string]Request
}

// Known reports whether the tracker has had any information.
func (t *Tracker) Known() bool { return t.known }

// Version returns the version of the state that the tracker holds.
func (t *Tracker) Version() uint64 { return t.version }

// Clone returns a copy that later changes of the tracker do not affect.
func (t *Tracker) Clone() *Tracker {
	c := *t
	c.requests = maps.Clone(t.requests)
	return &c
}

// Age returns the time since the state that the tracker holds was certainly current.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.asOf }

// Evacuated reports whether the data centre is being evacuated.
func (t *Tracker) Evacuated(dataCentre string) bool {
	_, ok := t.requests[dataCentre]
	return ok
}

// Empty reports whether no data centre is being evacuated.
func (t *Tracker) Empty() bool { return len(t.requests) == 0 }

// Requests returns the requests in force, ordered by data centre.
func (t *Tracker) Requests() []Request {
	out := make([]Request, 0, len(t.requests))
	for _, dc := range slices.Sorted(maps.Keys(t.requests)) {
		out = append(out, t.requests[dc])
	}
	return out
}

// Apply handles an update and returns the changes that took effect. An update that
// is older than what the tracker knows changes nothing: a stale read must not revive a
// withdrawn request, nor hide one.
func (t *Tracker) Apply(now time.Duration, u Update) []Change {
	if t.known && u.Version < t.version {
		return nil
	}
	asOf := min(u.AsOf, now)
	if t.known {
		asOf = max(t.asOf, asOf)
	}
	// The first update may be older than the process, so asOf may be negative.
	t.known, t.version, t.asOf = true, u.Version, asOf
	var effective []Change
	named := map[string]bool{}
	for _, c := range u.Changes {
		named[c.DataCentre] = !c.Deleted
		old, had := t.requests[c.DataCentre]
		switch {
		case c.Deleted && had:
			delete(t.requests, c.DataCentre)
			effective = append(effective, c)
		case !c.Deleted && (!had || old.Version != c.Version):
			if t.requests == nil {
				t.requests = map[string]Request{}
			}
			t.requests[c.DataCentre] = Request{DataCentre: c.DataCentre, Version: c.Version, Since: now}
			effective = append(effective, c)
		}
	}
	if !u.All {
		return effective
	}
	for _, dc := range slices.Sorted(maps.Keys(t.requests)) {
		if !named[dc] {
			effective = append(effective, Change{DataCentre: dc, Version: t.requests[dc].Version, Deleted: true})
			delete(t.requests, dc)
		}
	}
	return effective
}

// View returns the message that passes the tracker's knowledge on, or nil if it has
// none.
func (t *Tracker) View(now time.Duration) *wire.Evacuations {
	if !t.known {
		return nil
	}
	v := &wire.Evacuations{Version: t.version, AgeMS: uint32(min(max(t.Age(now), 0), maxAge) / time.Millisecond)}
	for _, r := range t.Requests() {
		v.Requests = append(v.Requests, wire.Evacuation{DataCentre: r.DataCentre, Version: r.Version})
	}
	return v
}

// maxAge bounds the age in a View to what its field can hold.
const maxAge = time.Hour

// FromView returns the update that a View of another process amounts to. sentAfter is a
// time before which the view was not sent, so a view that was delayed on its way does
// not pass for a recent one.
func FromView(sentAfter time.Duration, v *wire.Evacuations) Update {
	u := Update{All: true, Version: v.Version, AsOf: sentAfter - time.Duration(v.AgeMS)*time.Millisecond}
	for _, r := range v.Requests {
		u.Changes = append(u.Changes, Change{DataCentre: r.DataCentre, Version: r.Version})
	}
	return u
}
