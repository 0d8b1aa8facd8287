// Package transport carries messages between the processes of damasklb. A Link is
// one QUIC connection with mutual TLS and one stream for short messages; a long
// message gets its own stream, so that short ones do not wait behind it. A TCPLink
// carries the same messages over TCP.
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

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/wire"
)

// Protocol is the ALPN name of the links.
const Protocol = "damasklb/1"

const (
	// longMessageBytes is the size from which a message gets its own stream.
	longMessageBytes = 32 << 10
	// queueLength bounds the messages that wait to be written to a link. A link
	// with more is closed, and the states of its tasks are resolved by Query.
	queueLength  = 1 << 16
	helloTimeout = 2 * time.Second
	// maxIdleTimeout is longer than the idle ping interval, so that QUIC itself
	// sends no keep-alive packets.
	maxIdleTimeout = 30 * time.Second
	maxStreams     = 1 << 10
	// readBufferBytes has space for several messages of tasks. An entry has a
	// thousand links, so it needs a thousand of these buffers.
	readBufferBytes = 4 << 10
)

// Handler handles the events of links. Its methods are called from the links' own
// goroutines and must not block for long.
type Handler interface {
	// Hello returns the Hello message of this process.
	Hello() wire.Hello
	LinkUp(l *Link)
	LinkDown(l *Link)
	// Receive handles a message. For a Pong, pingSent is the time at which the
	// answered ping was sent; for other messages it is zero.
	Receive(l *Link, m wire.Message, pingSent time.Time)
}

// processStart is the origin of times that are stored as numbers. It makes them
// monotonic: they do not follow changes of the wall clock.
var processStart = time.Now()

// malformedMessageHandler is a Handler that is told of messages that cannot be read.
type malformedMessageHandler interface {
	MalformedMessage(peer string, err error)
}

// skip reports an unreadable message and returns whether the link stays open: a newer
// version may send kinds of messages that this one does not need. Any other loss has to
// close the link, so that the states of its tasks are resolved by Query.
func (l *Link) skip(err error) bool {
	if !errorx.IsOfType(err, fault.BadMessage) && !errorx.IsOfType(err, fault.TooLarge) {
		return false
	}
	if h, ok := l.handler.(malformedMessageHandler); ok {
		h.MalformedMessage(l.Peer.ID, err)
	}
	return errorx.IsOfType(err, fault.UnknownKind)
}

func monotonic() int64 { return int64(time.Since(processStart)) }

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        maxIdleTimeout,
		HandshakeIdleTimeout:  helloTimeout,
		MaxIncomingUniStreams: maxStreams,
		MaxIncomingStreams:    1,
		// With path MTU discovery, QUIC follows each packet on a new connection by
		// a probe of full size, which is ten times the bytes of an idle link's
		// messages. Messages of tasks fit the initial packet size.
		DisablePathMTUDiscovery: true,
	}
}

// Link is an open QUIC connection to a peer that has sent its Hello.
type Link struct {
	// Peer is the other end's Hello.
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

	// The following times are in nanoseconds since processStart. received is the time
	// of the last received message, sent the time of the last sent message other than
	// Ping and Pong, and acked the sending time of the last ping that was answered.
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

// exchangeHello sends this process's Hello and reads and checks the peer's.
func (l *Link) exchangeHello() error {
	if err := l.stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fault.LinkClosed.Wrap(err, "set deadline for Hello")
	}
	hello := l.handler.Hello()
	frame, err := wire.Encode(&hello)
	if err != nil {
		return err
	}
	if _, err := l.stream.Write(frame); err != nil {
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
	if err := l.checkRole(peer); err != nil {
		return err
	}
	l.Peer = *peer
	l.received.Store(monotonic())
	l.acked.Store(monotonic())
	if err := l.stream.SetDeadline(time.Time{}); err != nil {
		return fault.LinkClosed.Wrap(err, "clear deadline for Hello")
	}
	return nil
}

// awaitFirstPing waits for the ping by which the dialler confirms that it has
// reached the intended process. Until then the link is not up at this end.
// Otherwise a dialler for a process that was replaced at its address would displace
// the link that is in use to the new process.
func (l *Link) awaitFirstPing() error {
	if err := l.stream.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fault.LinkClosed.Wrap(err, "set deadline for first ping")
	}
	m, err := wire.Read(l.reader)
	if err != nil {
		return err
	}
	first, ok := m.(*wire.Ping)
	if !ok {
		return fault.BadPeer.New("peer %q sent %T before a ping", l.Peer.ID, m)
	}
	if err := l.Send(wire.NewPong(first.Seq, l.handler.Hello())); err != nil {
		return err
	}
	if err := l.stream.SetReadDeadline(time.Time{}); err != nil {
		return fault.LinkClosed.Wrap(err, "clear deadline for first ping")
	}
	return nil
}

// certificateRoles maps each role in a Hello to the role that the peer's certificate
// must have. Without this check a process could act in a role that its certificate
// does not allow.
var certificateRoles = map[wire.Role]pki.Role{wire.RoleEntry: pki.RoleEntry, wire.RoleAgent: pki.RoleAgent}

func (l *Link) checkRole(peer *wire.Hello) error {
	state := l.conn.ConnectionState().TLS
	id, shown, err := pki.PeerIdentity(&state)
	if err != nil {
		return err
	}
	if role, known := certificateRoles[peer.Role]; !shown || !known || id.Role != role {
		return fault.BadPeer.New("peer %q has role %d in its Hello, but its certificate is for role %q", peer.ID, peer.Role, id.Role)
	}
	return nil
}

// run reads and writes messages until the link closes.
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
	// The other end waits for the first ping on this stream.
	_, ping := m.(*wire.Ping)
	if len(frame) >= longMessageBytes && !ping {
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
		// The error does not matter: the peer may be unreachable, and nothing
		// depends on it seeing the close.
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

// ackedAt returns a time such that messages sent before it are known to have
// arrived.
func (l *Link) ackedAt() time.Time { return processStart.Add(time.Duration(l.acked.Load())) }

// unacked reports whether a message was sent after the last answered ping, and that
// ping was sent at least the given time ago.
func (l *Link) unacked(limit time.Duration) bool {
	return l.sent.Load() > l.acked.Load() && time.Since(l.ackedAt()) >= limit
}

// Flush waits until the queue of messages is empty, at most for the given time.
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

// writeBatch writes frames in as few pieces as possible, to save packets.
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
	switch {
	case err == nil:
		l.dispatch(m)
	case !l.skip(err):
		l.Close()
	}
}

func (l *Link) readLoop() {
	for {
		m, err := wire.Read(l.reader)
		switch {
		case err == nil:
			l.dispatch(m)
		case !l.skip(err):
			return
		}
	}
}

func (l *Link) dispatch(m wire.Message) {
	l.received.Store(monotonic())
	traffic.received.Add(1)
	switch m := m.(type) {
	case *wire.Ping:
		// The error does not matter: if the link has closed, the peer detects it by
		// itself.
		_ = l.Send(wire.NewPong(m.Seq, l.handler.Hello()))
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

// Ping sends a Ping, which the peer answers with a Pong.
func (l *Link) Ping() error {
	seq := l.pingSeq.Add(1)
	l.pingMu.Lock()
	l.pings[seq] = time.Now()
	l.pingMu.Unlock()
	return l.Send(wire.NewPing(seq, l.handler.Hello()))
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

// Silence returns the time since a message was last received.
func (l *Link) Silence() time.Duration {
	return time.Duration(monotonic() - l.received.Load())
}

// Bytes returns the numbers of bytes that the connection has sent and received.
func (l *Link) Bytes() (sent, received uint64) {
	stats := l.conn.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}

func clientTLS(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{Protocol}
	return c
}
