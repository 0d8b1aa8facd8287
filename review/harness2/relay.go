package main

import (
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections to one address of a host, and can cut the host off there without a
// word. What is sent during a cut arrives after it; a reset that is sent during a cut is lost.
type relay struct {
	target string

	mu     sync.Mutex // guards the fields below
	silent bool
	healed chan struct{}
}

func newRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, healed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r, nil
}

// cut cuts the host off for a time.
func (r *relay) cut(d time.Duration) {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
	r.silent = false
	close(r.healed)
	r.healed = make(chan struct{})
	r.mu.Unlock()
}

// pass waits until the host is not cut off. It reports whether it has been.
func (r *relay) pass() (waited bool) {
	for {
		r.mu.Lock()
		silent, healed := r.silent, r.healed
		r.mu.Unlock()
		if !silent {
			return waited
		}
		waited = true
		<-healed
	}
}

func (r *relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *relay) serve(near net.Conn) {
	r.pass()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	go r.forward(near, far)
	r.forward(far, near)
}

// forward copies what from sends. The end of from ends to, unless it comes during a cut.
func (r *relay) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.pass()
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if r.isSilent() {
				return
			}
			break
		}
	}
	from.Close()
	to.Close()
}
