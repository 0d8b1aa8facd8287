package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections, such as those between a side machine and its worker, and can
// cut them.
type relay struct {
	address, target string

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	conns    map[net.Conn]bool
	// silent is set while nothing is forwarded, resetting while each new connection is reset.
	silent, resetting bool
}

func newRelay(address, target string) (*relay, error) {
	r := &relay{address: address, target: target, conns: map[net.Conn]bool{}}
	return r, r.listen()
}

func (r *relay) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return nil
}

// up reports whether the link forwards now.
func (r *relay) up() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.silent && r.listener != nil
}

// refuse resets all connections and refuses new ones.
func (r *relay) refuse() {
	r.mu.Lock()
	l := r.listener
	r.listener = nil
	r.mu.Unlock()
	_ = l.Close()
	r.reset()
}

// silence keeps all connections and forwards nothing.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
}

// minRetransmit is the time after which TCP sends a lost segment again. It doubles with each loss.
const minRetransmit = 200 * time.Millisecond

// nextRetransmit returns when a segment that was first sent at a time is sent again, now or later.
func nextRetransmit(sent, now time.Time) time.Time {
	at := sent
	for wait := minRetransmit; at.Before(now); wait *= 2 {
		at = at.Add(wait)
	}
	return at
}

// end ends a silent cut and keeps the connections. A close that was held up follows with its
// next retransmission.
func (r *relay) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = false
}

// heal ends a cut. Connections from before it are reset.
func (r *relay) heal() error {
	r.mu.Lock()
	r.silent = false
	listening := r.listener != nil
	r.mu.Unlock()
	r.reset()
	if listening {
		return nil
	}
	return r.listen()
}

func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// A connection that cannot be set is closed without a reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(r.conns, c)
	}
}

func (r *relay) add(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

// resetNew resets each connection that is opened from now on.
func (r *relay) resetNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetting = true
}

func (r *relay) serve(from net.Conn) {
	r.add(from)
	r.mu.Lock()
	resetting := r.resetting
	r.mu.Unlock()
	if resetting {
		r.reset()
		return
	}
	defer from.Close()
	if r.isSilent() {
		// The first packet is lost. The other side gives the connection up before TCP sends it again.
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	r.add(to)
	defer to.Close()
	go r.forward(to, from)
	r.forward(from, to)
}

func (r *relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *relay) has(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[c]
}

// forward copies data until a side closes. While the relay is silent the data is held.
func (r *relay) forward(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		readAt, held := time.Now(), false
		for r.isSilent() && r.has(from) {
			held = true
			time.Sleep(time.Millisecond)
		}
		if held {
			time.Sleep(time.Until(nextRetransmit(readAt, time.Now())))
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
