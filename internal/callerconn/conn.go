package callerconn

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/damasklb/damasklb/internal/clientlimit"
	"github.com/damasklb/damasklb/internal/fault"
)

const (
	// writeTimeout is the longest time for which a client may leave an answer unread, and writeBytes
	// what it has to read of it within that time.
	writeTimeout = 10 * time.Second
	writeBytes   = 32 << 10
)

// headTooLarge answers a request whose head is above the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conn is a connection whose client is subject to the limits.
type conn struct {
	net.Conn
	guard *Guard
	id    clientlimit.ID
	// reading is set between two requests and while a head arrives, unread while a body has not
	// been read to its end.
	reading, unread atomic.Bool
	// wake has an element when a wait for memory is over.
	wake chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.reading.Load() {
		return n, err
	}
	limit := c.guard.configured().HeadBytes + readAhead
	verdict, tooLarge := clientlimit.Granted, false
	c.guard.with(func(now time.Duration, a *clientlimit.Account) {
		verdict = a.Head(now, c.id, n)
		tooLarge = a.HeadTooLarge(c.id, limit)
	})
	switch {
	case tooLarge:
		c.guard.log.refused(clientlimit.ReasonHeadSize, "close", c)
		// The client may not read the answer; the connection is closed in either case.
		_, _ = io.WriteString(c, headTooLarge)
		return 0, io.EOF
	case verdict == clientlimit.Refused:
		return 0, io.EOF
	}
	return n, err
}

// readAhead is what the HTTP server may have read beyond the end of a head.
const readAhead = 4 << 10

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeBytes, len(p))])
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite is called by the HTTP server after the last answer, before it waits for the client to
// close the connection as well.
func (c *conn) CloseWrite() error {
	c.guard.with(func(_ time.Duration, a *clientlimit.Account) { a.Closing(c.id) })
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, fault.Internal.New("%T has no descriptor", c.Conn)
}

// closeNow closes the connection. It waits for nothing.
func (c *conn) closeNow() {
	// The error does not matter: the client is not answered anyway.
	_ = c.Conn.Close()
	c.signal()
}

// abort ends a read of the body and a wait for memory.
func (c *conn) abort() {
	// It fails only if the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) { waiting = bytesWait(int(fd)) })
	return err == nil && waiting
}
