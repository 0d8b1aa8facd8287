// Package entry is the shell of an entry: it serves the callers' HTTP interface,
// keeps links to agents and to other entries, reads and writes the platform's
// table, and runs the owner core on one goroutine.
package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/auth"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/gate"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Options are what an entry needs to start.
type Options struct {
	// ID is unique to the process.
	ID         string
	Host       string
	DataCentre string
	// LinkListen and HTTPListen are the addresses to listen on; LinkAddress and
	// HTTPAddress, if set, are those that others use to reach them.
	LinkListen  string
	HTTPListen  string
	LinkAddress string
	HTTPAddress string
	Table       platform.Table
	// LinkServer and LinkClient are the TLS configurations of the links.
	LinkServerTLS *tls.Config
	LinkClientTLS *tls.Config
	// HTTPServer is the TLS configuration of the HTTP port; nil serves plain HTTP.
	HTTPServerTLS *tls.Config
	// Dev accepts the Damasklb-Caller header as a caller's identity.
	Dev      bool
	Settings owner.Settings
	// DrainDelay is how long a leaving entry still accepts requests, so that
	// load balancers notice that it is no longer ready.
	DrainDelay time.Duration
	Log        *slog.Logger
}

const (
	tickEvery = 10 * time.Millisecond
	// eventQueue bounds the events that wait for the core.
	eventQueue = 1 << 14
	// batch bounds the events handled before effects are carried out.
	batch = 256
	// tableTimeout bounds one call to the table service.
	tableTimeout = 2 * time.Second
	// confirmEvery is the interval at which the other members are asked to
	// confirm the map version.
	confirmEvery = time.Second
	// busySilence is the silence after which a link with open attempts is closed:
	// an agent with work pings after half a second.
	busySilence = 1500 * time.Millisecond
	// idleSilence is the silence after which any link is closed: the dialler
	// pings idle links every 8 s.
	idleSilence = 20 * time.Second
)

// Entry is a running entry.
type Entry struct {
	opts    Options
	start   time.Time
	core    *owner.Core
	events  chan func(now time.Duration)
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	endpoint *transport.Endpoint
	listener net.Listener
	server   *http.Server

	mapVersion    atomic.Uint64
	configVersion atomic.Uint64
	ready         atomic.Bool
	// firstReady is closed when the entry is ready for the first time.
	// firstConfig is closed when a configuration is in force for the first time.
	firstConfig chan struct{}
	firstReady  chan struct{}
	started     sync.Once
	leaving     atomic.Bool
	nextToken   atomic.Uint64
	follower    *configstore.Follower
	auth        *auth.Authenticator
	gate        atomic.Pointer[gate.Gate]
	configMu    sync.Mutex
	leaveAsked  chan struct{}
	leaveOnce   sync.Once
	upstreams   atomic.Int64

	// The fields below belong to the core's goroutine.
	links    map[string]*transport.Link
	peers    map[string]*peerInfo
	owners   int
	diallers *transport.Diallers
	replies  map[uint64]chan *wire.Answer
	nextPing time.Duration
}

// Start starts an entry. It returns when its ports are open; the entry is ready
// once it is in the partition map.
func Start(o Options) (*Entry, error) {
	e := &Entry{
		opts: o, start: time.Now(), events: make(chan func(time.Duration), eventQueue), stopped: make(chan struct{}),
		firstReady: make(chan struct{}),
		follower:   configstore.NewFollower(o.Table), leaveAsked: make(chan struct{}), firstConfig: make(chan struct{}),
		links: map[string]*transport.Link{}, peers: map[string]*peerInfo{}, replies: map[uint64]chan *wire.Answer{},
	}
	e.auth = &auth.Authenticator{CurrentConfig: e.config, Dev: o.Dev}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	endpoint, err := transport.Open(o.LinkListen, o.LinkServerTLS, o.LinkClientTLS, e)
	if err != nil {
		return nil, err
	}
	e.endpoint = endpoint
	e.diallers = transport.NewDiallers(func(id, address string) *transport.Dialler {
		return endpoint.Maintain(id, address, always, nil)
	})
	e.listener, err = net.Listen("tcp", o.HTTPListen)
	if err != nil {
		endpoint.Close()
		return nil, fault.Listen.Wrap(err, "open HTTP address %q", o.HTTPListen)
	}
	self := membership.Member{
		ID: o.ID, Host: o.Host, DataCentre: o.DataCentre,
		LinkAddress: firstOf(o.LinkAddress, endpoint.Address()), HTTPAddress: firstOf(o.HTTPAddress, e.listener.Addr().String()),
	}
	policy := dispatch.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.core = owner.New(self, o.Settings, policy, 0)
	e.server = newServer(e.handler(), o.HTTPServerTLS)
	e.wg.Add(5)
	go e.expireAgentRows()
	go e.configLoop()
	go e.loop()
	go e.serve()
	go e.renewLoop()
	return e, nil
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// HTTPAddress returns the address that the HTTP port is bound to.
func (e *Entry) HTTPAddress() string { return e.listener.Addr().String() }

// Ready reports whether the entry accepts requests.
func (e *Entry) Ready() bool {
	return e.ready.Load() && !e.leaving.Load() && e.configVersion.Load() > 0
}

func (e *Entry) now() time.Duration { return time.Since(e.start) }

// post hands an event to the core. Events after the end are dropped.
func (e *Entry) post(event func(now time.Duration)) {
	select {
	case e.events <- event:
	case <-e.ctx.Done():
	}
}

// loop owns the core.
func (e *Entry) loop() {
	defer e.wg.Done()
	defer close(e.stopped)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case event := <-e.events:
			event(e.now())
			e.drainEvents()
		case <-ticker.C:
			now := e.now()
			e.core.Tick(now)
			e.closeSilentLinks()
			e.pingMembers(now)
			e.noteReady(now)
			e.upstreams.Store(int64(e.core.UpstreamCount()))
		case <-e.ctx.Done():
			return
		}
		e.carryOut()
	}
}

// noteReady tells the HTTP handlers whether requests can be accepted. A leaving
// entry goes on as it was: it passes requests on to the other members.
func (e *Entry) noteReady(now time.Duration) {
	if e.leaving.Load() {
		return
	}
	ready := e.core.Ready(now)
	e.ready.Store(ready)
	if ready {
		e.started.Do(func() { close(e.firstReady) })
	}
}

func (e *Entry) drainEvents() {
	for range batch {
		select {
		case event := <-e.events:
			event(e.now())
		default:
			return
		}
	}
}

func (e *Entry) carryOut() {
	for _, effect := range e.core.TakeEffects() {
		switch effect := effect.(type) {
		case owner.Send:
			if l := e.links[effect.To]; l != nil {
				e.send(l, effect.Message)
			}
		case owner.Reply:
			if reply, ok := e.replies[effect.Token]; ok {
				delete(e.replies, effect.Token)
				reply <- effect.Answer
			}
		case owner.CommitMap:
			go e.commitMap(effect.Next, e.core.Map())
		case owner.ReadMap:
			go e.readMap()
		case owner.ReadEntryRow:
			go e.readEntryRow(effect.ID)
		case owner.DeleteAgentRow:
			go e.dropAgent(effect.Row)
		case owner.ListAgents:
			go e.listAgents(effect.Takeover)
		}
	}
	if m := e.core.Map(); m != nil && m.Version != e.mapVersion.Load() {
		e.mapVersion.Store(m.Version)
		e.updateDiallers(m)
		if g := e.gate.Load(); g != nil && len(m.Members) != e.owners {
			e.owners = len(m.Members)
			e.configure(e.now(), g.Config())
		}
	}
}

func (e *Entry) send(l *transport.Link, m wire.Message) {
	if err := l.Send(m); err != nil && !isClosed(err) {
		e.opts.Log.Error("message not sent", "peer", l.Peer.ID, "error", err)
	}
}

// updateDiallers keeps links to the other members. Of two entries, the one with
// the smaller id dials.
func (e *Entry) updateDiallers(m *membership.Map) {
	larger := map[string]string{}
	for _, member := range m.Members {
		if member.ID > e.opts.ID {
			larger[member.ID] = member.LinkAddress
		}
	}
	e.diallers.Update(e.now(), larger)
}

// always keeps the links between entries closely watched: their silence is what
// the failure detector judges.
func always() bool { return true }

// closeSilentLinks closes links that the other end should have used by now. The
// dialler opens a new one if the peer still runs.
func (e *Entry) closeSilentLinks() {
	for id, l := range e.links {
		limit := idleSilence
		if l.Peer.Role == wire.RoleEntry || e.core.HasOpenAttempts(id) {
			limit = busySilence
		}
		if l.Silence() > limit {
			l.Close()
		}
	}
	e.diallers.StopRemoved(e.now())
}

// pingMembers asks the other members whether they know a newer map. The answers
// uphold the entry's authority while the table is down. Each entry has to ask by
// itself: the pings of the peer that has dialled the link confirm nothing here,
// since they may have been under way for long.
func (e *Entry) pingMembers(now time.Duration) {
	if now < e.nextPing {
		return
	}
	e.nextPing = now + confirmEvery
	for _, l := range e.links {
		if l.Peer.Role == wire.RoleEntry {
			// A link that is closed needs no ping.
			_ = l.Ping()
		}
	}
}

// Hello implements transport.Handler.
func (e *Entry) Hello() wire.Hello {
	return wire.Hello{
		Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: e.opts.ID, Incarnation: e.opts.ID,
		DataCentre: e.opts.DataCentre, UptimeMS: uint64(e.now() / time.Millisecond),
		MapVersion: e.mapVersion.Load(), ConfigVersion: e.configVersion.Load(),
	}
}

// LinkUp implements transport.Handler. The core hears of the end of a link that
// is replaced, because sequence numbers and wants hold for one link only.
func (e *Entry) LinkUp(l *transport.Link) {
	e.post(func(now time.Duration) {
		if old := e.links[l.Peer.ID]; old != nil {
			e.core.LinkDown(now, old.Peer.Role, old.Peer.ID)
		}
		e.links[l.Peer.ID] = l
		e.notePeer(now, l, nil)
		e.shareConfig(l, l.Peer.ConfigVersion)
		e.core.LinkUp(now, l.Peer)
	})
}

// LinkDown implements transport.Handler.
func (e *Entry) LinkDown(l *transport.Link) {
	e.post(func(now time.Duration) {
		if e.links[l.Peer.ID] == l {
			delete(e.links, l.Peer.ID)
			e.core.LinkDown(now, l.Peer.Role, l.Peer.ID)
		}
	})
}

// Receive implements transport.Handler.
func (e *Entry) Receive(l *transport.Link, m wire.Message, pongSent time.Time) {
	e.post(func(now time.Duration) {
		if l.Peer.Role == wire.RoleEntry {
			e.core.MessageReceived(now, l.Peer.ID)
		}
		if newer := e.links[l.Peer.ID]; newer != nil && newer != l {
			return // what the replaced link carried is asked for again
		}
		e.notePeer(now, l, m)
		switch m := m.(type) {
		case *wire.Ping:
		case *wire.ConfigNotice:
			go e.offerConfig(m)
		case *wire.Drain:
			e.requestLeave()
		case *wire.Pong:
			if l.Peer.Role == wire.RoleEntry && !pongSent.IsZero() {
				e.core.MapConfirmed(pongSent.Sub(e.start), l.Peer.ID, m.MapVersion)
			}
		default:
			e.core.Receive(now, l.Peer.ID, m)
		}
	})
}

// Stop shuts the entry down gracefully: it leaves the map, hands its partitions
// over, finishes its jobs and delivers their answers, until ctx ends.
func (e *Entry) Stop(ctx context.Context) {
	e.leaving.Store(true)
	e.opts.Log.Info("entry is leaving", "entry", e.opts.ID)
	e.post(func(now time.Duration) { e.core.Drain(now) })
	sleep(ctx, e.opts.DrainDelay)
	e.stopAccepting(ctx)
	// Requests that are open have until ctx ends; then they are cut.
	_ = e.server.Shutdown(ctx)
	e.waitIdle(ctx)
	e.removeRow(ctx)
	e.flushLinks()
	e.Kill()
	e.opts.Log.Info("entry has left", "entry", e.opts.ID)
}

// acceptGrace is the time that a client has to send its request on a connection
// that was accepted just before the port was closed.
const acceptGrace = 500 * time.Millisecond

// stopAccepting closes the port and serves the connections that are open, because
// net/http drops, without an answer, a request that it reads after Shutdown has
// begun.
func (e *Entry) stopAccepting(ctx context.Context) {
	// The port may have failed before; there is nothing more to close then.
	_ = e.listener.Close()
	sleep(ctx, acceptGrace)
}

const idlePoll = 10 * time.Millisecond

func (e *Entry) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		e.post(func(time.Duration) { idle <- e.core.HandedOver() })
		select {
		case done := <-idle:
			if done {
				return
			}
		case <-e.stopped:
			return
		}
		sleep(ctx, idlePoll)
	}
}

// flushWait lets queued answers reach the other entries.
const flushWait = 200 * time.Millisecond

func (e *Entry) flushLinks() {
	done := make(chan []*transport.Link, 1)
	e.post(func(time.Duration) {
		var links []*transport.Link
		for _, l := range e.links {
			links = append(links, l)
		}
		done <- links
	})
	select {
	case links := <-done:
		for _, l := range links {
			l.Flush(flushWait)
		}
		time.Sleep(flushWait)
	case <-e.stopped:
	}
}

// Kill stops the entry at once, without handing anything over.
func (e *Entry) Kill() {
	e.cancel()
	// Open requests are cut on purpose.
	_ = e.server.Close()
	e.endpoint.Close()
	e.wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// UpstreamCount returns the number of upstreams that the entry knows.
func (e *Entry) UpstreamCount() int { return int(e.upstreams.Load()) }
