// Package callerconn holds the connections of clients. It tells whether a caller has closed the
// connection of its request, as far as the kernel knows: a process that was paused or is slow learns
// of a close late from its own goroutines. And it applies the limits that package clientlimit
// decides on, while requests arrive and until they are answered.
package callerconn

import (
	"context"
	"errors"
	"net"
	"syscall"
)

type connKey struct{}

// ConnContext is a hook for http.Server that adds a connection to the context of its requests.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Open reports whether the caller of a request may still wait for its answer: its context has not
// ended, and no end of its connection has arrived. Without ConnContext only the context counts.
func Open(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	open := true
	// Control, unlike Read, does not wait for the HTTP server's own read.
	err = raw.Control(func(fd uintptr) { open = peek(int(fd)) })
	return err == nil && open
}

// peek reports whether a socket is open, or has data before its end.
func peek(fd int) bool {
	n, err := peekByte(fd)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return false
	}
	return err != nil || n > 0
}

// bytesWait reports whether a socket has unread data.
func bytesWait(fd int) bool {
	n, err := peekByte(fd)
	return err == nil && n > 0
}

func peekByte(fd int) (int, error) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
