package protocoltest

import (
	"bytes"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const (
	pongWait    = 250 * time.Millisecond
	busyPing    = 500 * time.Millisecond
	idlePing    = 800 * time.Millisecond
	busySilence = 1500 * time.Millisecond
	idleSilence = 2 * time.Second
	maxDelay    = 4 * time.Second
)

// peer is a process at the end of a link.
type peer interface {
	base() *process
	hello() wire.Hello
	linkUp(l *link, h wire.Hello)
	linkDown(l *link, h wire.Hello)
	receive(l *link, from wire.Hello, m wire.Message)
}

// link is a connection. Messages keep their order in each direction, except long
// ones, which use separate streams. A direction that is silent delivers nothing
// more, and neither end is notified.
type link struct {
	sim    *simulation
	ends   [2]peer
	hellos [2]wire.Hello
	// lastArrival is when the last ordered message of each end arrives at the other.
	lastArrival [2]time.Duration
	silent      [2]bool
	closed      [2]bool
	// lastReceived is when each end received its last message.
	lastReceived [2]time.Duration
	// unansweredPing is when the ping was sent that has no answer yet, or 0; lastPing
	// is when the last ping was sent.
	unansweredPing [2]time.Duration
	lastPing       [2]time.Duration
}

// connect opens a link if both ends can reach each other.
func (sim *simulation) connect(from, to peer) *link {
	a, b := from.base(), to.base()
	if !a.alive() || !b.alive() || !sim.reachable(a.host, b.host) {
		return nil
	}
	l := &link{sim: sim, ends: [2]peer{from, to}, lastReceived: [2]time.Duration{sim.now, sim.now}}
	l.hellos = [2]wire.Hello{from.hello(), to.hello()}
	sim.links = append(sim.links, l)
	for i := range l.ends {
		i := i
		delay := sim.latency(false)
		l.lastArrival[1-i] = sim.now + delay
		sim.after(delay, func() {
			l.ends[i].base().post(func() {
				if !l.closed[i] {
					l.ends[i].linkUp(l, l.hellos[1-i])
				}
			})
		})
	}
	return l
}

// latency returns the random delay of a message: mostly that within a data centre,
// in a few cases a long one.
func (sim *simulation) latency(slow bool) time.Duration {
	switch {
	case slow && sim.faultsActive && sim.chance(0.3):
		return sim.randomBetween(300*time.Millisecond, maxDelay)
	case sim.faultsActive && sim.chance(3):
		return sim.randomBetween(2*time.Millisecond, 300*time.Millisecond)
	}
	return sim.randomBetween(300*time.Microsecond, 2*time.Millisecond)
}

func (l *link) side(p *process) int {
	if l.ends[0].base() == p {
		return 0
	}
	return 1
}

// replacedLinkDelay is the longest time for which a replaced link is still read.
func (sim *simulation) replacedLinkDelay() time.Duration {
	if sim.faultsActive {
		return time.Second
	}
	return time.Millisecond
}

// canBeLong reports whether a message may exceed the size from which it uses a
// separate stream.
func canBeLong(m wire.Message) bool {
	switch m.(type) {
	case *wire.Start, *wire.Result, *wire.Forward, *wire.ForwardReply, *wire.FenceReply, *wire.Witness, *wire.Query, *wire.QueryReply:
		return true
	}
	return false
}

// send sends a message from one end. It is encoded, so that the ends share nothing.
func (l *link) send(from int, m wire.Message) {
	if l.closed[from] {
		return
	}
	frame, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	long := canBeLong(m) && l.sim.faultsActive && l.sim.chance(5)
	l.schedule(from, frame, long)
	if l.sim.faultsActive && l.sim.chance(0.5) {
		l.sim.after(l.sim.randomBetween(0, 2*time.Second), func() { l.schedule(from, frame, true) })
	}
}

// schedule delivers a frame after a random delay. Frames of a silent direction are
// lost.
func (l *link) schedule(from int, frame []byte, long bool) {
	at := l.sim.now + l.sim.latency(true)
	if !long {
		at = max(at, l.lastArrival[from])
		l.lastArrival[from] = at
	}
	l.sim.after(at-l.sim.now, func() { l.deliver(from, frame) })
}

func (l *link) deliver(from int, frame []byte) {
	to := 1 - from
	a, b := l.ends[from].base(), l.ends[to].base()
	if !l.sim.reachable(a.host, b.host) {
		l.silent[from] = true // a stream with a gap delivers nothing more
	}
	if l.silent[from] || l.closed[to] {
		return
	}
	b.post(func() {
		if l.closed[to] {
			return
		}
		l.lastReceived[to] = l.sim.now
		l.unansweredPing[to] = 0
		m, err := wire.Read(bytes.NewReader(frame))
		if err != nil {
			panic(err)
		}
		l.ends[to].receive(l, l.hellos[from], m)
	})
}

// close closes one end and, if the network allows it, notifies the other.
func (l *link) close(side int) {
	if l.closed[side] {
		return
	}
	l.closed[side] = true
	end := l.ends[side]
	end.base().post(func() { end.linkDown(l, l.hellos[1-side]) })
	other := l.ends[1-side].base()
	l.sim.after(l.sim.latency(true), func() {
		if !l.silent[side] && l.sim.reachable(end.base().host, other.host) {
			other.post(func() { l.close(1 - side) })
		}
	})
}

// watch pings over a link without messages and closes it if it stays without.
func (l *link) watch(side int, pingAfter, limit time.Duration, refresh func()) {
	silence := l.sim.now - l.lastReceived[side]
	if silence > limit {
		l.close(side)
		return
	}
	// Entries ping over busy links as well, to confirm the map to each other.
	idle := silence >= pingAfter || limit == busySilence && l.sim.now-l.lastPing[side] >= pingAfter
	if l.unansweredPing[side] == 0 && idle {
		l.unansweredPing[side], l.lastPing[side] = l.sim.now, l.sim.now
		l.send(side, wire.NewPing(uint64(l.sim.now), l.ends[side].hello()))
		refresh()
	}
}

// replaceable reports whether a ping has been unanswered so long that a second
// connection is due.
func (l *link) replaceable(side int) bool {
	return l.closed[side] || l.unansweredPing[side] != 0 && l.sim.now-l.unansweredPing[side] > pongWait
}

// maintain maintains a link from one process to another, as the dialler does.
func (sim *simulation) maintain(from, to peer, dialled map[string]*link) {
	id := to.base().id
	l := dialled[id]
	if l != nil && !l.replaceable(0) {
		return
	}
	next := sim.connect(from, to)
	if next == nil {
		return
	}
	dialled[id] = next
	if l == nil {
		return
	}
	// What the old link has buffered may be read after the new one is up.
	sim.after(sim.randomBetween(0, sim.replacedLinkDelay()), func() { l.close(0) })
}

func (sim *simulation) removeClosedLinks() {
	open := sim.links[:0]
	for _, l := range sim.links {
		closed := l.ends[0].base().dead || l.closed[0]
		if !closed || !l.ends[1].base().dead && !l.closed[1] {
			open = append(open, l)
		}
	}
	sim.links = open
}
