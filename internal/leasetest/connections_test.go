package leasetest

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// process is the part that entries and agents have in common: an incarnation, pauses,
// and inputs that wait while the process is paused.
type process struct {
	incarnation int
	startedAt   time.Duration
	paused      bool
	// off is whether the host has no power: the process is paused until its next restart.
	off           bool
	pendingInputs []pendingInput
	// backlog holds the inputs of connections that a resumed process has not reached yet.
	backlog map[*conn][]func()
	// slow is the last period in which the process is slow, nil if there was none.
	slow *slowness
}

// receive handles an input now, or when the process resumes.
func (p *process) receive(f func()) { p.receiveFrom(nil, f) }

// receiveFrom does the same for an input of a connection.
func (p *process) receiveFrom(c *conn, f func()) {
	if c == nil {
		p.receiveKeyed(nil, nil, f)
		return
	}
	p.receiveKeyed(c, c, f)
}

// receiveKeyed does the same. Inputs with the same key are handled in order.
func (p *process) receiveKeyed(key any, c *conn, f func()) {
	if d := p.slow.delay(key); d > 0 {
		incarnation := p.incarnation
		p.slow.w.after(d, func() {
			if p.incarnation == incarnation {
				p.handle(c, f)
			}
		})
		return
	}
	p.handle(c, f)
}

// handle handles an input unless the process is paused.
func (p *process) handle(c *conn, f func()) {
	if p.paused {
		p.pendingInputs = append(p.pendingInputs, pendingInput{from: c, handle: f})
		return
	}
	if waiting, ok := p.backlog[c]; ok && c != nil {
		p.backlog[c] = append(waiting, f)
		return
	}
	f()
}

// pendingInput is an input that arrived during a pause. Inputs of one connection are
// handled in order, those of different connections in any order, as by the goroutines
// of a process.
type pendingInput struct {
	from   *conn
	handle func()
}

// backlogTime bounds the time in which a resumed process handles the inputs that have
// waited.
const backlogTime = 80 * time.Millisecond

func (p *process) resume(w *world) {
	if p.off {
		return
	}
	p.paused = false
	waiting := p.pendingInputs
	p.pendingInputs = nil
	p.backlog = map[*conn][]func(){}
	incarnation := p.incarnation
	for _, in := range waiting {
		c := in.from
		if c == nil {
			in.handle()
			continue
		}
		if _, known := p.backlog[c]; !known {
			w.after(w.between(step, backlogTime), func() {
				if p.incarnation == incarnation {
					p.handleBacklog(c)
				}
			})
		}
		p.backlog[c] = append(p.backlog[c], in.handle)
	}
}

func (p *process) handleBacklog(c *conn) {
	if p.paused {
		for _, handle := range p.backlog[c] {
			p.pendingInputs = append(p.pendingInputs, pendingInput{from: c, handle: handle})
		}
		delete(p.backlog, c)
		return
	}
	for len(p.backlog[c]) > 0 {
		handle := p.backlog[c][0]
		p.backlog[c] = p.backlog[c][1:]
		handle()
	}
	delete(p.backlog, c)
}

// conn is a connection between an agent and an entry. Frames arrive in order.
type conn struct {
	a                *agent
	e                *entry
	agentIncarnation int
	entryIncarnation int
	closed           bool
	// silent connections deliver nothing. Others deliver at delayedUntil or later.
	silent       bool
	delayedUntil time.Duration
	lastToEntry  time.Duration
	lastToAgent  time.Duration
	lastReceived time.Duration
	// lastHeartbeat is when the agent last sent a heartbeat.
	lastHeartbeat time.Duration
	// helloAt is when the entry received the agent's Hello and sent its own; opened is
	// whether a heartbeat has followed.
	helloAt time.Duration
	opened  bool
	// answered is whether the agent has received the entry's Hello.
	answered bool
}

func (c *conn) delay(last *time.Duration) time.Duration {
	w := c.a.w
	at := max(w.now+w.between(step, 4*step), c.delayedUntil, *last)
	if w.now < c.e.cutUntil {
		at = max(at, c.e.cutUntil+w.between(step, healTime))
	}
	*last = at
	return at - w.now
}

// sendToEntry sends a message to the entry.
func (c *conn) sendToEntry(m wire.Message) {
	if c.silent || c.closed {
		return
	}
	e := c.e
	c.a.w.after(c.delay(&c.lastToEntry), func() {
		if c.closed || e.incarnation != c.entryIncarnation {
			return
		}
		e.receiveFrom(c, func() { e.handleMessage(c, m) })
	})
}

func (c *conn) sendToAgent(m wire.Message) {
	if c.silent || c.closed {
		return
	}
	a := c.a
	c.e.w.after(c.delay(&c.lastToAgent), func() {
		if c.closed || a.incarnation != c.agentIncarnation {
			return
		}
		a.receiveFrom(c, func() { a.handleMessage(c, m) })
	})
}
