package clientlimit

import (
	"slices"
	"time"
)

// room returns the memory that unfinished requests may still take.
func (a *Account) room() int64 {
	return min(a.share(unfinishedShare)-a.unfinished-a.large, a.settings.Bytes-a.Held())
}

// excess returns the memory that has to be released for what is held and waited for, beyond what is
// about to be released.
func (a *Account) excess() int64 {
	return a.wanted - a.room() - a.leaving
}

// makeRoom aborts unfinished requests until enough memory will be released.
func (a *Account) makeRoom(now time.Duration) {
	for a.excess() > 0 {
		v := a.victim(now)
		if v == nil {
			return
		}
		a.abort(v, ReasonMemory)
	}
}

// victim returns the unfinished request that gives way, or nil if there is none: the one that has
// kept the most memory for the longest time without progress, and a small one only if all are.
func (a *Account) victim(now time.Duration) *connection {
	var worst *connection
	var worstCost float64
	for _, c := range a.connections {
		if c.phase != head && c.phase != body || c.aborted || c.held+c.wants == 0 {
			continue
		}
		cost := float64(c.held) * (now - c.progress).Seconds()
		if worst == nil || c.givesWayBefore(worst, cost, worstCost) {
			worst, worstCost = c, cost
		}
	}
	return worst
}

func (c *connection) givesWayBefore(o *connection, cost, otherCost float64) bool {
	if small, otherSmall := c.held <= smallBody, o.held <= smallBody; small != otherSmall {
		return otherSmall
	}
	if cost != otherCost {
		return cost > otherCost
	}
	if c.held != o.held {
		return c.held > o.held
	}
	return c.id < o.id
}

// abort refuses an unfinished request. Its memory counts until it is released.
func (a *Account) abort(c *connection, reason string) {
	if c.aborted {
		return
	}
	if c.phase == head {
		a.close(c, reason)
		return
	}
	c.aborted = true
	a.leaving += c.held
	a.stopWaiting(c)
	a.effects = append(a.effects, Abort{ID: c.id, Reason: reason})
}

func (a *Account) stopWaiting(c *connection) {
	if c.wants == 0 {
		return
	}
	a.wanted -= c.wants
	c.wants = 0
	a.waiting = slices.DeleteFunc(a.waiting, func(o *connection) bool { return o == c })
}

// grant gives memory that has become free to the requests that wait, in their order.
func (a *Account) grant() {
	for len(a.waiting) > 0 && a.room() >= a.waiting[0].wants {
		c := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.grow(c, c.wants)
		a.wanted -= c.wants
		c.wants = 0
		a.effects = append(a.effects, Grant{ID: c.id})
	}
}

// Timeouts are the times after which connections are closed.
type Timeouts struct{ Head, Body, Idle time.Duration }

// Expire closes the connections that are over their time. silent reports whether no byte of a
// connection waits to be read; bytes may wait for long if the process was paused.
func (a *Account) Expire(now time.Duration, t Timeouts, silent func(ID) bool) {
	for _, c := range a.connections {
		if c.aborted || !c.overdue(now-c.since, t) || c.wants == 0 && !silent(c.id) {
			continue
		}
		switch c.phase {
		case idle:
			a.close(c, ReasonIdle)
		case head:
			a.close(c, ReasonHeadTimeout)
		default:
			a.abort(c, ReasonBodyTimeout)
		}
	}
}

func (c *connection) overdue(age time.Duration, t Timeouts) bool {
	switch c.phase {
	case idle:
		return age > t.Idle
	case head:
		return age > t.Head
	case body:
		return age > t.Body
	}
	return false
}
