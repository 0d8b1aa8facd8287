// Package transport carries messages between the processes of damasklb over
// QUIC with mutual TLS. A link is one QUIC connection with one stream for short
// messages; a long message gets a stream of its own, so that short ones do not
// wait behind it.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/wire"
)

// Protocol is the ALPN name of the links.
const Protocol = "damasklb/1"

const (
	// longMessage is the size from which a message gets its own stream.
	longMessageBytes = 32 << 10
	// queueLength bounds the messages that wait to be written to a link. A link
	// that falls further behind is closed and its tasks are resolved by Query.
	queueLength  = 1 << 16
	helloTimeout = 2 * time.Second
	// maxIdle is longer than the idle ping interval, so that QUIC itself sends
	// no keep-alive packets.
	maxIdleTimeout = 30 * time.Second
	maxStreams     = 1 << 10
	// readBuffer holds several messages of tasks. An entry has a thousand links,
	// so what each of them keeps counts a thousandfold.
	readBufferBytes = 4 << 10
)

// Handler is told about links and messages. Its methods are called from the
// links' own goroutines and must not block for long.
type Handler interface {
	// Hello returns the greeting of this process.
	Hello() wire.Hello
	LinkUp(l *Link)
	LinkDown(l *Link)
	// Receive gets every message but pings. pongSent is the time at which the
	// ping was sent that a Pong answers, and zero for other messages.
	Receive(l *Link, m wire.Message, pongSent time.Time)
}

// processStart is the zero of times that are kept as numbers. They must not jump
// with the wall clock.
var processStart = time.Now()

func monotonic() int64 { return int64(time.Since(processStart)) }

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        maxIdleTimeout,
		HandshakeIdleTimeout:  helloTimeout,
		MaxIncomingUniStreams: maxStreams,
		MaxIncomingStreams:    1,
		// Each packet on a young connection is otherwise followed by a probe of
		// full size, which is ten times the bytes of an idle link's messages.
		// Messages of tasks fit the initial packet size.
		DisablePathMTUDiscovery: true,
	}
}

// Link is an open connection to a peer that has greeted.
type Link struct {
	// Peer is the other end's greeting.
	Peer wire.Hello

	conn    *quic.Conn
	stream  *quic.Stream
	reader  *bufio.Reader
	handler Handler
	queue   sendQueue
	closed  chan struct{}
	once    sync.Once
	// release closes the socket of a dialled link; nil for accepted ones.
	release func()

	// Times are nanoseconds since processStart. received is that of the last message in,
	// sent that of the last message out other than ping and pong, and proven the
	// sending time of the last ping that was answered.
	received atomic.Int64
	sent     atomic.Int64
	acked    atomic.Int64
	pingSeq  atomic.Uint64
	pingMu   sync.Mutex
	pings    map[uint64]time.Time
}

func newLink(conn *quic.Conn, stream *quic.Stream, h Handler, release func()) *Link {
	return &Link{
		conn: conn, stream: stream, reader: bufio.NewReaderSize(stream, readBufferBytes), handler: h, release: release,
		queue: newSendQueue(), closed: make(chan struct{}),
		pings: map[uint64]time.Time{},
	}
}

// greet exchanges Hello messages.
func (l *Link) exchangeHello() error {
	if err := l.stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fault.LinkClosed.Wrap(err, "set greeting deadline")
	}
	hello := l.handler.Hello()
	frame, err := wire.Encode(&hello)
	if err != nil {
		return err
	}
	if _, err := l.stream.Write(frame); err != nil {
		return fault.LinkClosed.Wrap(err, "send greeting")
	}
	m, err := wire.Read(l.reader)
	if err != nil {
		return err
	}
	peer, ok := m.(*wire.Hello)
	if !ok || peer.Version != wire.ProtocolVersion {
		return fault.BadPeer.New("peer greeted with %T, not with version %d of the protocol", m, wire.ProtocolVersion)
	}
	if err := l.checkRole(peer); err != nil {
		return err
	}
	l.Peer = *peer
	l.received.Store(monotonic())
	l.acked.Store(monotonic())
	if err := l.stream.SetDeadline(time.Time{}); err != nil {
		return fault.LinkClosed.Wrap(err, "clear greeting deadline")
	}
	return nil
}

// awaitFirst waits for the ping by which the dialler tells that it has reached
// the process that it means. Until then the link is not up at this end: a dialler
// of a process that was replaced at its address would otherwise displace the link
// that is in use.
func (l *Link) awaitFirstPing() error {
	if err := l.stream.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fault.LinkClosed.Wrap(err, "set deadline of first ping")
	}
	m, err := wire.Read(l.reader)
	if err != nil {
		return err
	}
	first, ok := m.(*wire.Ping)
	if !ok {
		return fault.BadPeer.New("peer %q sent %T before a ping", l.Peer.ID, m)
	}
	hello := l.handler.Hello()
	if err := l.Send(&wire.Pong{Seq: first.Seq, MapVersion: hello.MapVersion, ConfigVersion: hello.ConfigVersion}); err != nil {
		return err
	}
	if err := l.stream.SetReadDeadline(time.Time{}); err != nil {
		return fault.LinkClosed.Wrap(err, "clear deadline of first ping")
	}
	return nil
}

// certificateRoles are the roles that a certificate must show for each role in a
// greeting. A process of one role could otherwise act as one of another.
var certificateRoles = map[wire.Role]pki.Role{wire.RoleEntry: pki.RoleEntry, wire.RoleAgent: pki.RoleAgent}

func (l *Link) checkRole(peer *wire.Hello) error {
	state := l.conn.ConnectionState().TLS
	id, shown, err := pki.PeerIdentity(&state)
	if err != nil {
		return err
	}
	if role, known := certificateRoles[peer.Role]; !shown || !known || id.Role != role {
		return fault.BadPeer.New("peer %q greeted with role %d, its certificate is for role %q", peer.ID, peer.Role, id.Role)
	}
	return nil
}

// run serves the link until it closes.
func (l *Link) run() {
	trackLink(l)
	l.handler.LinkUp(l)
	go l.writeLoop()
	go l.acceptLong()
	l.readLoop()
	l.Close()
	untrackLink(l)
	l.handler.LinkDown(l)
}

// Send queues a message. It never blocks; a message to a closed link is lost.
func (l *Link) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	l.recordSent(m)
	traffic.sent.Add(1)
	if len(frame) >= longMessageBytes {
		go l.sendLong(frame)
		return nil
	}
	if l.isClosed() {
		return fault.LinkClosed.New("link to %s is closed", l.Peer.ID)
	}
	if !l.queue.add(frame) {
		l.Close()
		return fault.LinkClosed.New("link to %s is closed: %d messages were waiting", l.Peer.ID, queueLength)
	}
	return nil
}

func (l *Link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close closes the link at once.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.closed)
		// The peer may be unreachable; nothing depends on it seeing the close.
		_ = l.conn.CloseWithError(0, "")
		if l.release != nil {
			l.release()
		}
	})
}

func (l *Link) recordSent(m wire.Message) {
	switch m.(type) {
	case *wire.Ping, *wire.Pong:
	default:
		l.sent.Store(monotonic())
	}
}

// provenAt returns the time up to which messages are known to have arrived.
func (l *Link) ackedAt() time.Time { return processStart.Add(time.Duration(l.acked.Load())) }

// unproven reports whether something was sent since the last proven round trip
// and that is at least the given time ago.
func (l *Link) unacked(limit time.Duration) bool {
	return l.sent.Load() > l.acked.Load() && time.Since(l.ackedAt()) >= limit
}

// Flush waits until the queued messages are written, at most for the given time.
func (l *Link) Flush(limit time.Duration) {
	end := time.Now().Add(limit)
	for l.queue.length() > 0 && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
}

func (l *Link) writeLoop() {
	for {
		select {
		case <-l.queue.ready:
		case <-l.closed:
			return
		}
		if !l.writeBatch(l.queue.take()) {
			l.Close()
			return
		}
	}
}

// writeBatch writes what is queued in one piece, to save packets.
func (l *Link) writeBatch(frames [][]byte) bool {
	if len(frames) == 1 {
		_, err := l.stream.Write(frames[0])
		return err == nil
	}
	buffer := batchBuffers.Get().(*bytes.Buffer)
	defer batchBuffers.Put(buffer)
	buffer.Reset()
	for i, frame := range frames {
		buffer.Write(frame)
		if buffer.Len() < maxBatchBytes && i+1 < len(frames) {
			continue
		}
		if _, err := l.stream.Write(buffer.Bytes()); err != nil {
			return false
		}
		buffer.Reset()
	}
	return true
}

func (l *Link) sendLong(frame []byte) {
	ctx, cancel := context.WithTimeout(l.conn.Context(), maxIdleTimeout)
	defer cancel()
	stream, err := l.conn.OpenUniStreamSync(ctx)
	if err != nil {
		l.Close()
		return
	}
	if _, err := stream.Write(frame); err != nil {
		l.Close()
		return
	}
	if err := stream.Close(); err != nil {
		l.Close()
	}
}

func (l *Link) acceptLong() {
	for {
		stream, err := l.conn.AcceptUniStream(l.conn.Context())
		if err != nil {
			return
		}
		go l.readLong(stream)
	}
}

func (l *Link) readLong(r io.Reader) {
	m, err := wire.Read(r)
	if err != nil {
		l.Close()
		return
	}
	l.dispatch(m)
}

func (l *Link) readLoop() {
	for {
		m, err := wire.Read(l.reader)
		if err != nil {
			return
		}
		l.dispatch(m)
	}
}

func (l *Link) dispatch(m wire.Message) {
	l.received.Store(monotonic())
	traffic.received.Add(1)
	switch m := m.(type) {
	case *wire.Ping:
		hello := l.handler.Hello()
		// The link may close meanwhile; the other end notices by itself.
		_ = l.Send(&wire.Pong{Seq: m.Seq, MapVersion: hello.MapVersion, ConfigVersion: hello.ConfigVersion})
		l.handler.Receive(l, m, time.Time{})
	case *wire.Pong:
		sent := l.pingSentAt(m.Seq)
		if !sent.IsZero() {
			l.acked.Store(int64(sent.Sub(processStart)))
		}
		l.handler.Receive(l, m, sent)
	default:
		l.handler.Receive(l, m, time.Time{})
	}
}

// Ping asks for a Pong.
func (l *Link) Ping() error {
	seq := l.pingSeq.Add(1)
	l.pingMu.Lock()
	l.pings[seq] = time.Now()
	l.pingMu.Unlock()
	hello := l.handler.Hello()
	return l.Send(&wire.Ping{Seq: seq, MapVersion: hello.MapVersion, ConfigVersion: hello.ConfigVersion})
}

func (l *Link) pingSentAt(seq uint64) time.Time {
	l.pingMu.Lock()
	defer l.pingMu.Unlock()
	sent := l.pings[seq]
	for s := range l.pings {
		if s <= seq {
			delete(l.pings, s)
		}
	}
	return sent
}

// Silence returns the time since the last message.
func (l *Link) Silence() time.Duration {
	return time.Duration(monotonic() - l.received.Load())
}

// Bytes returns the bytes that the connection has sent and received.
func (l *Link) Bytes() (sent, received uint64) {
	stats := l.conn.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}

func clientTLS(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{Protocol}
	return c
}
