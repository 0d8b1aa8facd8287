package rig

import (
	"net"
	"net/netip"
	"sync"

	"github.com/damasklb/damasklb/internal/fault"
)

// Direction selects the traffic through a Relay that Silence drops.
type Direction int

// Directions. ToServer is towards the entry behind the relay.
const (
	Both Direction = iota
	ToServer
	ToClient
)

// maxPacket is the size of the largest UDP packet.
const maxPacket = 64 << 10

// Relay forwards UDP packets to one target address and back. The packets of one
// source address and port form a flow. Existing flows can be dropped for good
// while new ones work, as some middleboxes do.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flow
	closed bool
	wg     sync.WaitGroup
}

type flow struct {
	conn *net.UDPConn
	// dropToServer and dropToClient make the relay drop all packets of the flow in
	// that direction.
	dropToServer bool
	dropToClient bool
}

// NewRelay opens a relay to a UDP address on loopback.
func NewRelay(target string) (*Relay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "relay to %q", target)
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(loopback)})
	if err != nil {
		return nil, fault.Listen.Wrap(err, "open relay")
	}
	r := &Relay{listener: listener, target: addr, flows: map[netip.AddrPort]*flow{}}
	r.wg.Add(1)
	go r.forwardToServer()
	return r, nil
}

// Address returns the address on which the relay receives packets.
func (r *Relay) Address() string { return r.listener.LocalAddr().String() }

// Silence drops all further packets of the flows that exist now, and only of
// these, in the given direction. It returns the number of these flows.
func (r *Relay) Silence(d Direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropToServer = f.dropToServer || d != ToClient
		f.dropToClient = f.dropToClient || d != ToServer
	}
	return len(r.flows)
}

// Close closes all sockets and waits until the relay's goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	for _, f := range r.flows {
		_ = f.conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) forwardToServer() {
	defer r.wg.Done()
	buffer := make([]byte, maxPacket)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if conn := r.targetConn(from); conn != nil {
			// A write error loses the packet; QUIC retransmits it.
			_, _ = conn.Write(buffer[:n])
		}
	}
}

// targetConn returns the socket of the flow towards the target, or nil if the
// packet must be dropped.
func (r *Relay) targetConn(from netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	f, ok := r.flows[from]
	if !ok {
		conn, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		f = &flow{conn: conn}
		r.flows[from] = f
		r.wg.Add(1)
		go r.forwardToClient(f, from)
	}
	if f.dropToServer {
		return nil
	}
	return f.conn
}

func (r *Relay) forwardToClient(f *flow, to netip.AddrPort) {
	defer r.wg.Done()
	buffer := make([]byte, maxPacket)
	for {
		n, err := f.conn.Read(buffer)
		r.mu.Lock()
		closed, drop := r.closed, f.dropToClient
		r.mu.Unlock()
		if closed {
			return
		}
		// An error on a connected UDP socket means that no process listens at the
		// target now. The loop goes on, as the target may be restarted.
		if err == nil && !drop {
			_, _ = r.listener.WriteToUDPAddrPort(buffer[:n], to)
		}
	}
}
