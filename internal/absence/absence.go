// Package absence tells which callers may have left without their entry's knowledge. An entry that
// hears from no agent is probably cut off, from its callers as well. The close of a caller's
// connection then arrives long after the entry is back, or never, while the caller submits its job
// to another entry. After such an absence only callers that have been heard from since, or shortly
// before, are known to wait.
//
// The package has no clock. Times are those of the entry's monotonic clock.
package absence

import "time"

// Tracker follows the absences of an entry.
type Tracker struct {
	limit time.Duration
	// heardAt is when an agent was last heard from, or when the process began; 0 means neither.
	heardAt time.Duration
	// from and until are the begin and the end of the last absence.
	from, until time.Duration
}

// New returns a tracker. A time without a message of any agent counts as an absence if it is longer
// than limit.
func New(limit time.Duration) Tracker { return Tracker{limit: limit} }

// Begin notes the begin of the process. One that hears from no agent is absent from then on.
func (t *Tracker) Begin(now time.Duration) {
	if t.heardAt == 0 {
		t.heardAt = now
	}
}

// Heard handles a message of any agent. It returns the length of the absence that ends with it, or 0.
func (t *Tracker) Heard(now time.Duration) time.Duration {
	t.Begin(now)
	before := t.heardAt
	t.heardAt = max(before, now)
	if now-before <= t.limit {
		return 0
	}
	t.from, t.until = before, now
	return now - before
}

// HeldUp reports whether a request that is read now may have been held up by the last absence: what
// was sent meanwhile is retransmitted after pauses that have grown with it.
func (t *Tracker) HeldUp(now time.Duration) bool { return now-t.until <= t.until-t.from }

// MayHaveLeft reports whether a caller who was last heard from at the time at may have left without
// the entry's knowledge.
func (t *Tracker) MayHaveLeft(at time.Duration) bool { return t.until-max(at, t.from) > t.limit }
