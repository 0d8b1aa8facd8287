package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/damasklb/damasklb/internal/fault"
)

// Endpoint accepts links on one UDP socket and dials each link from a separate
// socket. A middlebox that drops the packets of a flow identifies it by addresses
// and ports, so a new connection from the same socket would be dropped as well.
type Endpoint struct {
	transport *quic.Transport
	socket    *net.UDPConn
	dialFrom  net.IP
	listener  *quic.Listener
	client    *tls.Config
	handler   Handler
	wg        sync.WaitGroup
	ctx       context.Context
	cancel    context.CancelFunc
}

// Open opens the socket that accepts links. With a nil server configuration the
// endpoint only dials, and only the IP of address is used.
func Open(address string, server, client *tls.Config, h Handler) (*Endpoint, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "link address %q", address)
	}
	e := &Endpoint{dialFrom: addr.IP, client: clientTLS(client), handler: h}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if server == nil {
		return e, nil
	}
	e.socket, err = net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "open link address %q", address)
	}
	e.transport = &quic.Transport{Conn: e.socket}
	server.NextProtos = []string{Protocol}
	e.listener, err = e.transport.Listen(server, quicConfig())
	if err != nil {
		e.Close()
		return nil, fault.Listen.Wrap(err, "listen on %q", address)
	}
	e.wg.Add(1)
	go e.acceptLoop()
	return e, nil
}

// Address returns the local address of the socket that accepts links.
func (e *Endpoint) Address() string { return e.socket.LocalAddr().String() }

// Close closes the socket and all links.
func (e *Endpoint) Close() {
	e.cancel()
	if e.transport != nil {
		closeSocket(e.transport, e.socket)
	}
	e.wg.Wait()
}

// closeSocket closes a socket with all its connections.
func closeSocket(t *quic.Transport, socket *net.UDPConn) {
	// The errors do not matter: the process is stopping or the peer is unreachable.
	_ = t.Close()
	_ = socket.Close()
}

func (e *Endpoint) acceptLoop() {
	defer e.wg.Done()
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.accept(conn)
		}()
	}
}

func (e *Endpoint) accept(conn *quic.Conn) {
	ctx, cancel := context.WithTimeout(e.ctx, helloTimeout)
	stream, err := conn.AcceptStream(ctx)
	cancel()
	if err != nil {
		_ = conn.CloseWithError(1, "no stream")
		return
	}
	l := newLink(conn, stream, e.handler, nil)
	if err := l.exchangeHello(); err != nil {
		_ = conn.CloseWithError(1, "no greeting")
		return
	}
	if err := l.awaitFirstPing(); err != nil {
		_ = conn.CloseWithError(1, "no first ping")
		return
	}
	l.run()
}

// dial opens a link to the process with the given id. The caller must run it.
func (e *Endpoint) dial(ctx context.Context, id, address string) (*Link, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.DialFailed.Wrap(err, "link address %q", address)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: e.dialFrom})
	if err != nil {
		return nil, fault.DialFailed.Wrap(err, "open a socket to dial %s", address)
	}
	from := &quic.Transport{Conn: socket}
	l, err := e.dialFromSocket(ctx, from, id, addr, func() { closeSocket(from, socket) })
	if err != nil {
		closeSocket(from, socket)
		return nil, err
	}
	return l, nil
}

func (e *Endpoint) dialFromSocket(ctx context.Context, from *quic.Transport, id string, to *net.UDPAddr, release func()) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := from.Dial(ctx, to, e.client, quicConfig())
	if err != nil {
		return nil, fault.DialFailed.Wrap(err, "dial %s", to)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fault.DialFailed.Wrap(err, "open stream to %s", to)
	}
	l := newLink(conn, stream, e.handler, release)
	if err := l.exchangeHello(); err != nil {
		return nil, fault.DialFailed.Wrap(err, "exchange Hello with %s", to)
	}
	if l.Peer.ID != id {
		return nil, fault.BadPeer.New("process at %s has id %q, want %q", to, l.Peer.ID, id)
	}
	return l, l.Ping()
}
