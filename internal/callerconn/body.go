package callerconn

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/clientlimit"
	"github.com/damasklb/damasklb/internal/fault"
)

// pieceBytes is the size of the pieces in which a body is read. An ordinary body fits into one.
const pieceBytes = 4 << 10

// maxUndelayed is the largest body that is decoded at once, beside any number of others.
const maxUndelayed = 16 << 10

type piece [pieceBytes]byte

var pieces = sync.Pool{New: func() any { return new(piece) }}

// Body is a body that has arrived whole.
type Body struct {
	conn   *conn
	pieces []*piece
	length int
}

// ReadBody reads a request's body, at most limit bytes of it. Errors are of the types
// fault.TooLarge, fault.ClientLimit and fault.BadRequest. Release must be called on the body.
func ReadBody(r *http.Request, limit int64) (*Body, error) {
	b := &Body{conn: connOf(r.Context())}
	err := b.read(r, limit)
	if err == nil {
		err = b.finish()
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Body) read(r *http.Request, limit int64) error {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return fault.TooLarge.New("body of %d bytes, allowed are %d", r.ContentLength, limit)
	}
	for {
		if b.length == len(b.pieces)*pieceBytes {
			if err := b.grow(r.Context()); err != nil {
				return err
			}
		}
		n, err := r.Body.Read(b.pieces[len(b.pieces)-1][b.length%pieceBytes:])
		b.length += n
		switch {
		case int64(b.length) > limit:
			return fault.TooLarge.New("body of more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return b.readError(err)
		}
	}
}

// readError tells a body that was aborted from one that cannot be read.
func (b *Body) readError(err error) error {
	if b.conn != nil && b.conn.aborted() {
		return fault.ClientLimit.Wrap(err, "body aborted after %d bytes", b.length)
	}
	return fault.BadRequest.Wrap(err, "read body")
}

// grow adds a piece, once there is memory for it.
func (b *Body) grow(ctx context.Context) error {
	if b.conn != nil {
		if err := b.conn.awaitMemory(ctx); err != nil {
			return err
		}
	}
	b.pieces = append(b.pieces, pieces.Get().(*piece))
	return nil
}

func (b *Body) finish() error {
	if b.conn == nil {
		return nil
	}
	verdict := clientlimit.Refused
	b.conn.guard.with(func(_ time.Duration, a *clientlimit.Account) { verdict = a.Finish(b.conn.id) })
	if verdict == clientlimit.Refused {
		// The abort has ended the server's reads, so the connection cannot be used again.
		return fault.ClientLimit.New("no memory for a request of %d bytes", b.length)
	}
	b.conn.unread.Store(false)
	return nil
}

// awaitMemory waits for the memory of a piece.
func (c *conn) awaitMemory(ctx context.Context) error {
	verdict := clientlimit.Refused
	c.guard.with(func(now time.Duration, a *clientlimit.Account) { verdict = a.Grow(now, c.id, pieceBytes) })
	for verdict == clientlimit.Wait {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return fault.BadRequest.Wrap(ctx.Err(), "read body")
		}
		c.guard.with(func(_ time.Duration, a *clientlimit.Account) { verdict = a.Waiting(c.id) })
	}
	if verdict == clientlimit.Refused {
		return fault.ClientLimit.New("no memory for the body")
	}
	return nil
}

// aborted reports whether the request of a connection was aborted.
func (c *conn) aborted() bool {
	verdict := clientlimit.Refused
	c.guard.with(func(_ time.Duration, a *clientlimit.Account) { verdict = a.Waiting(c.id) })
	return verdict == clientlimit.Refused
}

// Decode calls f with the body's bytes, which f must not retain, and releases them. Large bodies wait
// for others that are being decoded.
func (b *Body) Decode(f func(data []byte) error) error {
	defer b.Release()
	switch len(b.pieces) {
	case 0:
		return f(nil)
	case 1:
		return f(b.pieces[0][:b.length])
	}
	if b.conn != nil && b.length > maxUndelayed {
		b.conn.guard.decoding <- struct{}{}
		defer func() { <-b.conn.guard.decoding }()
	}
	data := make([]byte, 0, b.length)
	for _, p := range b.pieces {
		data = append(data, p[:min(pieceBytes, b.length-len(data))]...)
	}
	b.Release()
	return f(data)
}

// Release returns the memory of the body.
func (b *Body) Release() {
	for _, p := range b.pieces {
		pieces.Put(p)
	}
	b.pieces = nil
}

// RetryAfter returns the time after which a client may come back that was refused for a limit.
func RetryAfter() time.Duration { return clientlimit.RetryAfter(rand.Float64()) }

// Detach keeps the memory of a request until release is called, also when it has been answered.
func Detach(ctx context.Context) (release func()) {
	c := connOf(ctx)
	if c == nil {
		return func() {}
	}
	var d clientlimit.Detached
	c.guard.with(func(_ time.Duration, a *clientlimit.Account) { d = a.Detach(c.id) })
	return func() { c.guard.with(func(_ time.Duration, a *clientlimit.Account) { a.Release(d) }) }
}

// Hold asks for the memory that a request takes until it is answered. It returns false if the
// request has to be refused.
func Hold(ctx context.Context, bytes int64) bool {
	c := connOf(ctx)
	if c == nil {
		return true
	}
	verdict := clientlimit.Refused
	c.guard.with(func(_ time.Duration, a *clientlimit.Account) { verdict = a.Hold(c.id, bytes) })
	if verdict == clientlimit.Refused {
		c.guard.log.refused(clientlimit.ReasonMemory, "refuse", c)
	}
	return verdict == clientlimit.Granted
}
