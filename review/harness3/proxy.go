package main

import (
	"net"
	"sync"
	"time"
)

// proxy is the way to an address. In a cut it loses whatever is sent, and TCP sends it again: what
// was sent in a cut, the end of a connection too, arrives with the first retransmission after it.
type proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	cutUntil time.Time
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	go p.accept()
	return p, nil
}

// cutFor cuts the way from now on for a time.
func (p *proxy) cutFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutUntil = time.Now().Add(d)
}

const (
	// firstRetransmission and firstSYN are the times after which TCP sends a segment, or the first
	// one of a connection, again. They double with each retransmission.
	firstRetransmission = 200 * time.Millisecond
	firstSYN            = time.Second
)

// pass waits until what is sent now arrives.
func (p *proxy) pass(pause time.Duration) {
	p.mu.Lock()
	until := p.cutUntil
	p.mu.Unlock()
	at := time.Now()
	for at.Before(until) {
		at = at.Add(pause)
		pause *= 2
	}
	time.Sleep(time.Until(at))
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.pass(firstSYN)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.forward(server, client)
	p.forward(client, server)
}

func (p *proxy) forward(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.pass(firstRetransmission)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
