// Package clientlimit decides how much memory and how many connections the clients of a process may
// use, and which of them has to give way when a limit is reached. It has no I/O and no clock.
//
// Requests that have not arrived whole give way to others. A whole request never does: it is either
// refused before it runs, or answered.
package clientlimit

import (
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

// ID identifies a connection.
type ID uint64

// phase is what a connection's client is doing.
type phase uint8

const (
	// idle: no part of a request has arrived.
	idle phase = iota
	// head and body: a request is arriving.
	head
	body
	// whole: the request has arrived, and is not answered yet.
	whole
	// closing: the answer is written and the connection is being closed.
	closing
)

// Verdict is the answer to a client that needs memory.
type Verdict uint8

// Verdicts.
const (
	Granted Verdict = iota
	// Wait: the memory will be granted by a Grant, or the request refused by an Abort.
	Wait
	Refused
)

// Effect is an action that the I/O layer has to carry out.
type Effect any

// Close closes a connection without an answer.
type Close struct {
	ID     ID
	Reason string
}

// Abort ends the reading of a body; the request is then refused.
type Abort struct {
	ID     ID
	Reason string
}

// Grant ends the wait of a request for memory.
type Grant struct{ ID ID }

// Reasons of refusals.
const (
	ReasonMemory      = "client-memory"
	ReasonConnections = "connections"
	ReasonHeadSize    = "head-size"
	ReasonHeadTimeout = "head-timeout"
	ReasonBodyTimeout = "body-timeout"
	ReasonIdle        = "idle"
)

const (
	// smallBody is what an unfinished request may hold without giving way to others, while larger
	// ones can. Ordinary requests are smaller.
	smallBody = 16 << 10
	// smallRequest is the same for whole requests.
	smallRequest = 64 << 10
	// unfinishedShare is the part of the memory that unfinished and large requests may use, so
	// that there is always some for small whole ones.
	unfinishedShare = 0.75
	// largeShare is the part that large whole requests may use. They do not give way, so it leaves
	// some for unfinished ones.
	largeShare = 0.375
	// headCost is the memory that a byte of a head takes, once it is parsed.
	headCost = 3
)

// connection is the state of one connection.
type connection struct {
	id       ID
	listener int
	phase    phase
	// since is when the phase began, progress when the request last grew.
	since, progress time.Duration
	held            int64
	headBytes       int64
	// wants is the memory for which the request waits.
	wants int64
	// aborted is set for a request that has to release its memory.
	aborted bool
	// closed is set for a connection that was closed before its request has released its memory.
	closed bool
	large  bool
}

// Account is the state of all connections. It is not safe for concurrent use.
type Account struct {
	settings Settings
	// limits and open are the limit and the number of connections of each listener.
	limits, open []int
	connections  map[ID]*connection
	// unfinished is what requests that have not arrived whole hold, large and small what whole ones
	// hold, and leaving the part of unfinished that is about to be released.
	unfinished, large, small, leaving int64
	// waiting are the requests that wait for memory, the first one longest, and wanted is what
	// they wait for.
	waiting []*connection
	wanted  int64
	lastID  ID
	effects []Effect
}

// New returns an account without connections. Each listener has a limit of connections.
func New(s Settings, limits ...int) *Account {
	return &Account{settings: s, limits: limits, open: make([]int, len(limits)), connections: map[ID]*connection{}}
}

// TakeEffects returns the effects since the last call.
func (a *Account) TakeEffects() []Effect {
	e := a.effects
	a.effects = nil
	return e
}

// Held returns the memory that requests hold.
func (a *Account) Held() int64 { return a.unfinished + a.large + a.small }

// Connections returns the number of connections.
func (a *Account) Connections() int { return len(a.connections) }

// Accept adds a new connection of a listener. If its limit is reached, another connection is closed,
// or, if all have whole requests, the new one is not accepted. silent reports whether no byte of a
// connection waits to be read.
func (a *Account) Accept(now time.Duration, listener int, silent func(ID) bool) (ID, bool) {
	if a.open[listener] >= a.limits[listener] {
		v := a.oldest(listener, silent)
		if v == nil {
			return 0, false
		}
		a.close(v, ReasonConnections)
	}
	a.lastID++
	a.connections[a.lastID] = &connection{id: a.lastID, listener: listener, since: now, progress: now}
	a.open[listener]++
	return a.lastID, true
}

// oldest returns the connection that is closed for another one: one that is being closed anyway, or
// the one without progress for the longest time of those without a whole request. One on which the
// next request may have arrived stays open.
func (a *Account) oldest(listener int, silent func(ID) bool) *connection {
	var oldest *connection
	for _, c := range a.connections {
		if c.listener != listener || c.phase == whole || c.closed || oldest != nil && !c.closesBefore(oldest) {
			continue
		}
		if c.phase != idle || silent(c.id) {
			oldest = c
		}
	}
	return oldest
}

func (c *connection) closesBefore(o *connection) bool {
	if (c.phase == closing) != (o.phase == closing) {
		return c.phase == closing
	}
	if c.progress != o.progress {
		return c.progress < o.progress
	}
	return c.id < o.id
}

// close closes a connection. What its request holds counts until it is released.
func (a *Account) close(c *connection, reason string) {
	if c.closed {
		return
	}
	c.closed = true
	a.open[c.listener]--
	if !c.aborted {
		c.aborted = true
		a.leaving += c.held
	}
	a.stopWaiting(c)
	a.effects = append(a.effects, Close{ID: c.id, Reason: reason})
}

// Head handles n bytes of a request's head, and reports whether it may go on.
func (a *Account) Head(now time.Duration, id ID, n int) Verdict {
	c := a.connections[id]
	if c == nil || c.aborted {
		return Refused
	}
	if c.phase == idle {
		c.phase, c.since, c.progress = head, now, now
	}
	if c.phase != head {
		return Granted
	}
	c.headBytes += int64(n)
	a.grow(c, headCost*int64(n))
	if a.excess() > 0 {
		a.makeRoom(now)
	}
	if c.aborted {
		return Refused
	}
	return Granted
}

// HeadTooLarge reports whether a request's head is above a limit.
func (a *Account) HeadTooLarge(id ID, limit int64) bool {
	c := a.connections[id]
	return c != nil && c.phase == head && c.headBytes > limit
}

// Begin handles the end of a request's head. hasBody is whether a body follows.
func (a *Account) Begin(now time.Duration, id ID, hasBody bool) {
	c := a.connections[id]
	if c == nil {
		return
	}
	c.phase, c.since, c.progress = body, now, now
	if !hasBody {
		a.finish(c)
	}
}

// Grow asks for n more bytes for the body of a request.
func (a *Account) Grow(now time.Duration, id ID, n int64) Verdict {
	c := a.connections[id]
	if c == nil || c.aborted || c.phase != body {
		return Refused
	}
	if len(a.waiting) == 0 && a.room() >= n {
		c.progress = now
		a.grow(c, n)
		return Granted
	}
	c.wants = n
	a.wanted += n
	a.waiting = append(a.waiting, c)
	a.makeRoom(now)
	if c.aborted {
		return Refused
	}
	return Wait
}

// Waiting returns Wait while a request waits for memory, and Refused once it was aborted.
func (a *Account) Waiting(id ID) Verdict {
	c := a.connections[id]
	switch {
	case c == nil || c.aborted:
		return Refused
	case c.wants > 0:
		return Wait
	}
	return Granted
}

// Finish handles the end of a request's body. It returns Refused if the request was aborted before.
func (a *Account) Finish(id ID) Verdict {
	c := a.connections[id]
	if c == nil || c.aborted {
		return Refused
	}
	if c.phase == body && !a.finish(c) {
		return Refused
	}
	return Granted
}

// finish makes a request whole, unless it is large and there are too many of these.
func (a *Account) finish(c *connection) bool {
	large := c.held > smallRequest
	if large && a.large+c.held > a.share(largeShare) {
		a.abort(c, ReasonMemory)
		return false
	}
	a.unfinished -= c.held
	c.phase, c.large = whole, large
	*a.sum(c) += c.held
	a.grant()
	return true
}

// Hold sets the memory that a whole request takes from now on, until it is answered. A request that
// is refused holds nothing.
func (a *Account) Hold(id ID, n int64) Verdict {
	c := a.connections[id]
	if c == nil || c.phase != whole {
		return Refused
	}
	*a.sum(c) -= c.held
	c.held, c.large = 0, n > smallRequest
	most := a.settings.Bytes - a.Held()
	if c.large {
		most = min(most, a.share(largeShare)-a.large, a.room())
	}
	if n > most {
		a.grant()
		return Refused
	}
	c.held = n
	*a.sum(c) += n
	a.grant()
	return Granted
}

// Detached is memory that a request holds beyond its answer.
type Detached struct {
	bytes int64
	large bool
}

// Detach keeps what a whole request holds until Release, whatever becomes of its connection.
func (a *Account) Detach(id ID) Detached {
	c := a.connections[id]
	if c == nil || c.phase != whole {
		return Detached{}
	}
	d := Detached{bytes: c.held, large: c.large}
	c.held = 0
	return d
}

// Release releases detached memory.
func (a *Account) Release(d Detached) {
	if d.large {
		a.large -= d.bytes
	} else {
		a.small -= d.bytes
	}
	a.grant()
}

// share returns a part of the memory for requests.
func (a *Account) share(part float64) int64 { return int64(part * float64(a.settings.Bytes)) }

// sum returns the sum that a connection's memory is part of.
func (a *Account) sum(c *connection) *int64 {
	switch {
	case c.phase < whole:
		return &a.unfinished
	case c.large:
		return &a.large
	}
	return &a.small
}

// Answered releases the memory of a request, which has its answer or was refused.
func (a *Account) Answered(id ID) {
	if c := a.connections[id]; c != nil {
		a.release(c)
		c.phase = whole
	}
}

// Idle handles the end of an exchange, after which the connection stays open.
func (a *Account) Idle(now time.Duration, id ID) {
	c := a.connections[id]
	if c == nil {
		return
	}
	a.release(c)
	c.phase, c.since, c.progress, c.headBytes, c.aborted = idle, now, now, 0, c.closed
}

// Closing handles a connection whose last answer is written.
func (a *Account) Closing(id ID) {
	if c := a.connections[id]; c != nil {
		a.release(c)
		c.phase = closing
	}
}

// Closed removes a connection.
func (a *Account) Closed(id ID) {
	c := a.connections[id]
	if c == nil {
		return
	}
	delete(a.connections, id)
	if !c.closed {
		a.open[c.listener]--
	}
	a.release(c)
}

func (a *Account) grow(c *connection, n int64) {
	c.held += n
	*a.sum(c) += n
}

func (a *Account) release(c *connection) {
	*a.sum(c) -= c.held
	if c.aborted {
		a.leaving -= c.held
	}
	c.held, c.large = 0, false
	a.stopWaiting(c)
	a.grant()
	invariant.Check(a.unfinished >= 0 && a.large >= 0 && a.small >= 0 && a.leaving >= 0, "clientlimit_sums_are_positive",
		"unfinished", a.unfinished, "large", a.large, "small", a.small, "leaving", a.leaving)
}
