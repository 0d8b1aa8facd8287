package transport

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/wire"
)

// TCP links carry the frames of package wire between the processes of a deployment
// whose hosts have no certificates. Heartbeats above this layer detect silent
// connections; a TCP link only sets timeouts for its own reads and writes.
const (
	// tcpIdleTimeout is the longest time without a frame. Heartbeats arrive many
	// times a second, so a longer silence means that the peer has ended or is
	// unreachable.
	tcpIdleTimeout = 3 * time.Second
	// tcpWriteTimeout bounds one write. The link to a peer that does not read for
	// that long is closed.
	tcpWriteTimeout = time.Second
	// tcpDialTimeout bounds the dial, and separately the exchange of Hello messages.
	tcpDialTimeout = 400 * time.Millisecond
	// tcpReadBuffer is the size of the read buffer; most frames are far shorter.
	tcpReadBuffer = 4 << 10
)

// TCPLink is a link over TCP. Peer is the other end's Hello.
type TCPLink struct {
	Peer wire.Hello

	conn   net.Conn
	reader *bufio.Reader
	queue  sendQueue
	done   chan struct{}
	once   sync.Once
}

// DialTCP opens a link to address and exchanges Hello messages, unless ctx ends before.
func DialTCP(ctx context.Context, address string, hello wire.Hello) (*TCPLink, error) {
	dialer := net.Dialer{Timeout: tcpDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.DialFailed.Wrap(err, "dial %s", address)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	l, err := newTCPLink(conn, hello)
	if !stop() && err == nil {
		l.Close()
		return nil, fault.DialFailed.Wrap(ctx.Err(), "dial %s", address)
	}
	return l, err
}

// AcceptTCP opens a link on an accepted connection by exchanging Hello messages.
func AcceptTCP(conn net.Conn, hello wire.Hello) (*TCPLink, error) { return newTCPLink(conn, hello) }

func newTCPLink(conn net.Conn, hello wire.Hello) (*TCPLink, error) {
	l := &TCPLink{
		conn: conn, reader: bufio.NewReaderSize(conn, tcpReadBuffer),
		queue: newSendQueue(), done: make(chan struct{}),
	}
	if err := l.exchangeHello(hello); err != nil {
		conn.Close()
		return nil, err
	}
	go l.writeLoop()
	return l, nil
}

func (l *TCPLink) exchangeHello(hello wire.Hello) error {
	if err := l.conn.SetDeadline(time.Now().Add(tcpDialTimeout)); err != nil {
		return fault.LinkClosed.Wrap(err, "set deadline")
	}
	frame, err := wire.Encode(&hello)
	if err != nil {
		return err
	}
	if _, err := l.conn.Write(frame); err != nil {
		return fault.LinkClosed.Wrap(err, "send Hello")
	}
	m, err := wire.Read(l.reader)
	if err != nil {
		return err
	}
	peer, ok := m.(*wire.Hello)
	if !ok || peer.Version != wire.ProtocolVersion {
		return fault.BadPeer.New("first message is %T, want a Hello of version %d", m, wire.ProtocolVersion)
	}
	l.Peer = *peer
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return fault.LinkClosed.Wrap(err, "clear deadline")
	}
	return nil
}

// Read returns the next message. It fails if none arrives within tcpIdleTimeout.
func (l *TCPLink) Read() (wire.Message, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(tcpIdleTimeout)); err != nil {
		return nil, fault.LinkClosed.Wrap(err, "set deadline")
	}
	return wire.Read(l.reader)
}

// Send queues a message. It does not block; a link whose queue is full is closed,
// because its peer does not read.
func (l *TCPLink) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	if !l.queue.add(frame) {
		l.Close()
		return fault.LinkClosed.New("link to %s is closed: %d messages were waiting", l.Peer.ID, queueLength)
	}
	return nil
}

// Close closes the link. Queued messages are lost.
func (l *TCPLink) Close() {
	l.once.Do(func() {
		close(l.done)
		// The error does not matter: the state of the other end is unknown anyway.
		_ = l.conn.Close()
	})
}

// Done returns a channel that is closed with the link.
func (l *TCPLink) Done() <-chan struct{} { return l.done }

// Remote returns the address of the other end.
func (l *TCPLink) Remote() string { return l.conn.RemoteAddr().String() }

func (l *TCPLink) writeLoop() {
	defer l.Close()
	var buffer bytes.Buffer
	for {
		select {
		case <-l.done:
			return
		case <-l.queue.ready:
		}
		buffer.Reset()
		for _, frame := range l.queue.take() {
			buffer.Write(frame)
		}
		if err := l.conn.SetWriteDeadline(time.Now().Add(tcpWriteTimeout)); err != nil {
			return
		}
		if _, err := l.conn.Write(buffer.Bytes()); err != nil {
			return
		}
	}
}
