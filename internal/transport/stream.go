package transport

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/wire"
)

// Streams carry the frames of package wire over TCP between the processes of a
// deployment whose hosts hold no certificates. Beats above this layer find
// silent connections; a stream only bounds its own reads and writes.
const (
	// StreamIdle is the longest time without a frame. Beats come many times a
	// second, so a longer silence means that the peer is gone.
	tcpIdleTimeout = 3 * time.Second
	// streamWrite bounds one write. A peer that does not read for so long is
	// treated as gone.
	tcpWriteTimeout = time.Second
	// streamDial bounds the opening of a connection and the greeting.
	tcpDialTimeout = 400 * time.Millisecond
	// streamBuffer is the size of the read buffer; most frames are far shorter.
	tcpReadBuffer = 4 << 10
)

// Stream is a link over TCP. Peer is what the other end said in its Hello.
type TCPLink struct {
	Peer wire.Hello

	conn   net.Conn
	reader *bufio.Reader
	queue  sendQueue
	done   chan struct{}
	once   sync.Once
}

// DialStream opens a stream to address and exchanges greetings.
func DialTCP(address string, hello wire.Hello) (*TCPLink, error) {
	conn, err := net.DialTimeout("tcp", address, tcpDialTimeout)
	if err != nil {
		return nil, fault.DialFailed.Wrap(err, "dial %s", address)
	}
	return newTCPLink(conn, hello)
}

// AcceptStream exchanges greetings on an accepted connection.
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
		return fault.LinkClosed.Wrap(err, "write greeting")
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

// Read returns the next message.
func (l *TCPLink) Read() (wire.Message, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(tcpIdleTimeout)); err != nil {
		return nil, fault.LinkClosed.Wrap(err, "set deadline")
	}
	return wire.Read(l.reader)
}

// Send queues a message. It does not block; a stream whose queue is full is
// closed, because its peer does not read.
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

// Close closes the stream. Messages that wait are lost.
func (l *TCPLink) Close() {
	l.once.Do(func() {
		close(l.done)
		// The other end's state is unknown anyway.
		_ = l.conn.Close()
	})
}

// Done is closed with the stream.
func (l *TCPLink) Done() <-chan struct{} { return l.done }

// Remote is the address of the other end.
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
