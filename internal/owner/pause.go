package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// socketBacklogTime is how long after a pause of the process a request is assumed
// to have waited in a socket buffer during the pause.
const socketBacklogTime = time.Second

// recordTick detects pauses of the process by the time between two ticks.
func (c *Core) recordTick(now time.Duration) {
	if c.paused(now) {
		c.pauseStart, c.pauseEnd = c.lastTick, now
	}
	c.lastTick = now
}

func (c *Core) paused(now time.Duration) bool { return now-c.lastTick > c.settings.MaxAge }

// arrival returns the earliest time at which a request that is handled now may
// have reached the host.
func (c *Core) arrival(now time.Duration) time.Duration {
	switch {
	case c.paused(now):
		return c.lastTick
	case c.pauseEnd > 0 && now-c.pauseEnd < socketBacklogTime:
		return c.pauseStart
	}
	return now
}

// stale reports whether a submission may be so old that the job records for it
// have expired.
func (c *Core) stale(now time.Duration, s Submission) bool {
	return now-s.received > c.settings.MaxAge
}

func (c *Core) answerStale(w waiter, id wire.JobID) {
	c.answerUnknown(w, id, "the request was delayed and may be a copy of one that has run", c.settings.TakeoverWait)
}
