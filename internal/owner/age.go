package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// wakeTime is how long after a pause a request is taken for one that waited in
// a socket during the pause.
const wakeTime = time.Second

// noteTick notices pauses of the process by the time between two ticks.
func (c *Core) noteTick(now time.Duration) {
	if c.paused(now) {
		c.asleep, c.woken = c.ticked, now
	}
	c.ticked = now
}

func (c *Core) paused(now time.Duration) bool { return now-c.ticked > c.settings.MaxAge }

// arrival returns the earliest time at which a request that is handled now may
// have reached the host.
func (c *Core) arrival(now time.Duration) time.Duration {
	switch {
	case c.paused(now):
		return c.ticked
	case c.woken > 0 && now-c.woken < wakeTime:
		return c.asleep
	}
	return now
}

// stale reports whether a submission may be so old that the records of its job
// have expired.
func (c *Core) stale(now time.Duration, s Submission) bool {
	return now-s.received > c.settings.MaxAge
}

func (c *Core) answerStale(w waiter, id wire.JobID) {
	c.answerUnknown(w, id, "the request was delayed and may be a copy of one that has run", c.settings.TakeoverWait)
}
