package evacuation

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// sendInterval is the time between two messages about evacuations to an agent. It
	// is a small part of the time within which a data centre has to be evacuated.
	sendInterval = time.Second
	// QueryTimeout bounds the wait for newer evacuation requests after a pause of the
	// process. The store answers within a few milliseconds, unless it is out of reach, and
	// the jobs that wait meanwhile lose a part of their slack.
	QueryTimeout = 60 * time.Millisecond
)

// EntryTracker is the tracker of an entry, which passes its knowledge on to agents and waits for
// a newer state after a pause of its process.
type EntryTracker struct {
	Tracker
	// resumedAt is when the process last resumed after a pause, expectedUntil the time until
	// which it waits for a newer state.
	resumedAt, expectedUntil time.Duration
}

// Resumed notes the end of a pause of the process, in which it has missed changes.
func (t *EntryTracker) Resumed(now time.Duration) {
	t.resumedAt, t.expectedUntil = now, now+QueryTimeout
}

// Awaited reports whether no command may be sent because a newer state is expected after a pause.
func (t *EntryTracker) Awaited(now time.Duration) bool {
	return now < t.expectedUntil && now-t.Age(now) < t.resumedAt
}

// Message returns the message to an agent to which the last one was sent at sentAt, or none if that
// is 0. It returns nil if none is due.
func (t *EntryTracker) Message(now, sentAt time.Duration) *wire.Evacuations {
	if sentAt > 0 && now-sentAt < sendInterval {
		return nil
	}
	return t.View(now)
}
