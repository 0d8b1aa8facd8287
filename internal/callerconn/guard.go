package callerconn

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/damasklb/damasklb/internal/clientlimit"
	"github.com/damasklb/damasklb/internal/fault"
)

// sweepInterval is the time between two checks for connections that are over their time. It is well
// below the shortest of these times.
const sweepInterval = 250 * time.Millisecond

// Guard applies the limits of package clientlimit to the connections of one process.
type Guard struct {
	settings clientlimit.Settings
	limits   func() Limits
	log      *refusalLog
	begin    time.Time
	// decoding has an element for each large body that is being decoded.
	decoding chan struct{}

	mu          sync.Mutex // guards the fields below
	account     *clientlimit.Account
	connections map[clientlimit.ID]*conn
}

// Limits are those that a configuration sets; 0 stands for the default.
type Limits struct {
	HeadBytes                int64
	HeadTimeout, IdleTimeout time.Duration
}

// maxDecoding bounds the large bodies that are decoded at a time, which takes several times their
// size. Decoding waits for nothing, so more at a time would not be faster on a small host.
const maxDecoding = 2

// NewGuard returns a guard for listeners with the given limits of connections. limits returns the
// configured limits. The guard stops when ctx ends.
func NewGuard(ctx context.Context, s clientlimit.Settings, limits func() Limits, log *slog.Logger, connections ...int) *Guard {
	g := &Guard{
		settings: s, limits: limits, log: newRefusalLog(log), begin: time.Now(), decoding: make(chan struct{}, maxDecoding),
		account: clientlimit.New(s, connections...), connections: map[clientlimit.ID]*conn{},
	}
	go g.sweep(ctx)
	return g
}

func (g *Guard) now() time.Duration { return time.Since(g.begin) }

// with calls f with the account under the lock and then carries out the effects.
func (g *Guard) with(f func(now time.Duration, a *clientlimit.Account)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, open := g.account.Held(), g.account.Connections()
	f(g.now(), g.account)
	requestBytes.Add(float64(g.account.Held() - held))
	clientConnections.Add(float64(g.account.Connections() - open))
	for _, effect := range g.account.TakeEffects() {
		g.carryOut(effect)
	}
}

// carryOut carries out an effect. Nothing in it waits.
func (g *Guard) carryOut(effect clientlimit.Effect) {
	switch e := effect.(type) {
	case clientlimit.Close:
		if c := g.connections[e.ID]; c != nil {
			g.log.refused(e.Reason, "close", c)
			c.closeNow()
		}
	case clientlimit.Abort:
		if c := g.connections[e.ID]; c != nil {
			g.log.refused(e.Reason, "abort", c)
			c.abort()
		}
	case clientlimit.Grant:
		if c := g.connections[e.ID]; c != nil {
			c.signal()
		}
	}
}

func (g *Guard) silent(id clientlimit.ID) bool {
	c := g.connections[id]
	return c == nil || !c.hasUnread()
}

func (g *Guard) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limits := g.configured()
		g.with(func(now time.Duration, a *clientlimit.Account) {
			a.Expire(now, clientlimit.Timeouts{Head: limits.HeadTimeout, Body: g.settings.BodyTimeout, Idle: limits.IdleTimeout}, g.silent)
		})
	}
}

// configured returns the limits in force.
func (g *Guard) configured() Limits {
	l := g.limits()
	if l.HeadBytes <= 0 {
		l.HeadBytes = g.settings.HeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = g.settings.HeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = g.settings.IdleTimeout
	}
	return l
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	guard *Guard
	// number is the listener's number in the account.
	number int
}

// Listen listens on a TCP address and counts the connections. number is the position of the listener's
// limit in the arguments of NewGuard.
func (g *Guard) Listen(ctx context.Context, address string, number int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections have the size from their beginning. With another size they work, and
			// only their unread bytes are not bounded.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientlimit.ReceiveBuffer)
		})
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "listen on %s", address)
	}
	return &listener{Listener: l, guard: g, number: number}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.accepted(raw, l.number); c != nil {
			return c, nil
		}
		// The client was not heard, so there is nothing to answer.
		_ = raw.Close()
	}
}

func (g *Guard) accepted(raw net.Conn, listener int) *conn {
	var c *conn
	g.with(func(now time.Duration, a *clientlimit.Account) {
		id, ok := a.Accept(now, listener, g.silent)
		if !ok {
			g.log.refused(clientlimit.ReasonConnections, "not-accepted", nil)
			return
		}
		c = &conn{Conn: raw, guard: g, id: id, wake: make(chan struct{}, 1)}
		c.reading.Store(true)
		g.connections[id] = c
	})
	return c
}

// Serve sets the hooks of a server whose listener comes from Listen.
func (g *Guard) Serve(s *http.Server) {
	s.ConnContext = ConnContext
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c := guarded(nc)
		if c == nil {
			return
		}
		switch state {
		case http.StateIdle:
			g.with(func(now time.Duration, a *clientlimit.Account) { a.Idle(now, c.id) })
			c.reading.Store(true)
		case http.StateClosed, http.StateHijacked:
			g.with(func(_ time.Duration, a *clientlimit.Account) {
				a.Closed(c.id)
				delete(g.connections, c.id)
			})
		}
	}
	s.Handler = g.handler(s.Handler)
}

// handler tells the account where a request begins and ends, and closes a connection whose request
// was answered before its body was read: the rest would have to be read before the next request.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.reading.Store(false)
		hasBody := r.ContentLength != 0
		c.unread.Store(hasBody)
		g.with(func(now time.Duration, a *clientlimit.Account) { a.Begin(now, c.id, hasBody) })
		defer func() {
			g.with(func(_ time.Duration, a *clientlimit.Account) { a.Answered(c.id) })
			if c.unread.Load() && !c.aborted() {
				c.discard(w, r)
			}
		}()
		next.ServeHTTP(&answerWriter{ResponseWriter: w, conn: c}, r)
	})
}

const (
	// discardTime and discardBytes bound what is read of a body after its request was answered. A
	// connection that is closed with unread bytes is reset, and the client may lose the answer.
	discardTime  = 500 * time.Millisecond
	discardBytes = 4 << 20
)

// discard sends the answer and reads what remains of the body.
func (c *conn) discard(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() != nil || c.Conn.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return // The connection has ended.
	}
	c.guard.with(func(_ time.Duration, a *clientlimit.Account) { a.Closing(c.id) })
	// Whatever ends the read, the connection is closed next.
	_, _ = io.CopyN(io.Discard, r.Body, discardBytes)
}

// answerWriter closes the connection of a request whose body was not read.
type answerWriter struct {
	http.ResponseWriter
	conn *conn
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.conn.unread.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if w.conn.unread.Load() {
		w.Header().Set("Connection", "close")
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// guarded returns the guarded connection of a server's connection, or nil.
func guarded(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

func connOf(ctx context.Context) *conn {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	return guarded(nc)
}
