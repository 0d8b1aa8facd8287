// Package entry is the I/O layer of an entry: it serves the callers' HTTP
// interface, maintains links to agents and to other entries, reads and writes the
// platform's table, and runs the owner core on one goroutine.
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
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/gate"
	"github.com/damasklb/damasklb/internal/malformed"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Options configure an entry.
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
	// LinkServerTLS and LinkClientTLS are the TLS configurations of the links.
	LinkServerTLS *tls.Config
	LinkClientTLS *tls.Config
	// HTTPServerTLS is the TLS configuration of the HTTP port; nil serves plain HTTP.
	HTTPServerTLS *tls.Config
	// Dev accepts the Damasklb-Caller header as a caller's identity.
	Dev      bool
	Settings owner.Settings
	// DrainDelay is how long a draining entry still accepts requests, so that
	// load balancers notice that it is no longer ready.
	DrainDelay time.Duration
	// Memory (in bytes; 0 is clientlimit.DefaultMemory) and Descriptors (0 if not known) are those of
	// the process. The limits of its clients follow from them.
	Memory      int64
	Descriptors int
	Log         *slog.Logger
}

const (
	tickInterval = 10 * time.Millisecond
	// eventQueueSize bounds the events that wait for the core.
	eventQueueSize = 1 << 14
	// maxEventBatch bounds the events handled before effects are executed.
	maxEventBatch = 256
	// tableTimeout bounds one call to the table service.
	tableTimeout = 2 * time.Second
	// mapPingInterval is the interval at which the other members are asked to
	// confirm the map version.
	mapPingInterval = time.Second
	// busyLinkTimeout is the time without a message after which a link between
	// entries or one with open attempts is closed: its dialler, an entry or an
	// agent with tasks, pings after 500 ms of silence.
	busyLinkTimeout = 1500 * time.Millisecond
	// idleLinkTimeout is the time without a message after which any link is
	// closed: the dialler pings idle links every 8 s.
	idleLinkTimeout = 20 * time.Second
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
	// firstConfig is closed when a configuration is in force for the first time.
	// firstReady is closed when the entry is ready for the first time.
	firstConfig    chan struct{}
	firstReady     chan struct{}
	firstReadyOnce sync.Once
	draining       atomic.Bool
	nextToken      atomic.Uint64
	follower       *configstore.Follower
	auth           *auth.Authenticator
	gate           atomic.Pointer[gate.Gate]
	configMu       sync.Mutex
	drainRequested chan struct{}
	drainOnce      sync.Once
	upstreams      atomic.Int64
	invalid        *malformed.Reporter
	// evacuations is a copy of what the core knows of evacuations, nil before it knows any.
	evacuations atomic.Pointer[evacuation.Tracker]
	// evacuationRows is what the entry last read from the table, for status pages.
	evacuationRows atomic.Pointer[configstore.Evacuations]

	// Only the core's goroutine uses the fields below.
	links          map[string]*transport.Link
	peers          map[string]*peerInfo
	entryCount     int
	diallers       *transport.Diallers
	pendingReplies map[uint64]chan *wire.Answer
	nextPing       time.Duration
	// warnedEvacuations holds the versions of the requests of unknown data centres that
	// were logged, warnedUnreadable those of unreadable requests, warnedAllEvacuated whether
	// it was logged that no data centre is left.
	warnedEvacuations  map[string]uint64
	warnedUnreadable   map[string]uint64
	warnedAllEvacuated bool
}

// Start starts an entry. It returns when its ports are open; the entry is ready
// once it is in the partition map.
func Start(o Options) (*Entry, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	e := &Entry{
		opts: o, start: time.Now(), events: make(chan func(time.Duration), eventQueueSize), stopped: make(chan struct{}),
		firstReady: make(chan struct{}),
		follower:   configstore.NewFollower(o.Table), drainRequested: make(chan struct{}), firstConfig: make(chan struct{}),
		links: map[string]*transport.Link{}, peers: map[string]*peerInfo{}, pendingReplies: map[uint64]chan *wire.Answer{},
		invalid:           malformed.New(o.Log),
		warnedEvacuations: map[string]uint64{},
		warnedUnreadable:  map[string]uint64{},
	}
	e.auth = &auth.Authenticator{CurrentConfig: e.config, Dev: o.Dev}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	endpoint, err := transport.Open(o.LinkListen, o.LinkServerTLS, o.LinkClientTLS, e)
	if err != nil {
		return nil, err
	}
	e.endpoint = endpoint
	e.diallers = transport.NewDiallers(func(id, address string) *transport.Dialler {
		return endpoint.Maintain(id, address, alwaysBusy, nil)
	})
	guard := e.newGuard()
	e.listener, err = guard.Listen(e.ctx, o.HTTPListen, 0)
	if err != nil {
		e.cancel()
		endpoint.Close()
		return nil, err
	}
	self := membership.Member{
		ID: o.ID, Host: o.Host, DataCentre: o.DataCentre,
		LinkAddress: firstOf(o.LinkAddress, endpoint.Address()), HTTPAddress: firstOf(o.HTTPAddress, e.listener.Addr().String()),
	}
	policy := dispatch.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.core = owner.New(self, o.Settings, policy, 0)
	e.server = newServer(e.handler(), o.HTTPServerTLS)
	guard.Serve(e.server)
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
	return e.ready.Load() && !e.draining.Load() && e.configVersion.Load() > 0
}

func (e *Entry) now() time.Duration { return time.Since(e.start) }

// post queues an event for the core's goroutine. Events posted after the entry
// has stopped are dropped.
func (e *Entry) post(event func(now time.Duration)) {
	select {
	case e.events <- event:
	case <-e.ctx.Done():
	}
}

// loop runs the core: no other goroutine calls it.
func (e *Entry) loop() {
	defer e.wg.Done()
	defer close(e.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-e.events:
			event(e.now())
			e.handleQueuedEvents()
		case <-ticker.C:
			now := e.now()
			e.core.Tick(now)
			e.closeSilentLinks()
			e.pingMembers(now)
			e.updateReady(now)
			e.upstreams.Store(int64(e.core.UpstreamCount()))
		case <-e.ctx.Done():
			return
		}
		e.executeEffects()
	}
}

// updateReady records for the HTTP handlers whether requests can be accepted. A
// draining entry does not change it: it forwards requests to the other members.
func (e *Entry) updateReady(now time.Duration) {
	if e.draining.Load() {
		return
	}
	ready := e.core.Ready(now)
	e.ready.Store(ready)
	if ready {
		e.firstReadyOnce.Do(func() { close(e.firstReady) })
	}
}

func (e *Entry) handleQueuedEvents() {
	for range maxEventBatch {
		select {
		case event := <-e.events:
			event(e.now())
		default:
			return
		}
	}
}

func (e *Entry) executeEffects() {
	for _, effect := range e.core.TakeEffects() {
		switch effect := effect.(type) {
		case owner.Send:
			if l := e.links[effect.To]; l != nil {
				e.send(l, effect.Message)
			}
		case owner.Reply:
			if reply, ok := e.pendingReplies[effect.Token]; ok {
				delete(e.pendingReplies, effect.Token)
				reply <- effect.Answer
			}
		case owner.CommitMap:
			go e.commitMap(effect.Next, e.core.Map())
		case owner.ReadMap:
			go e.readMap()
		case owner.ReadEntryRow:
			go e.readEntryRow(effect.ID)
		case owner.DeleteAgentRow:
			go e.deleteAgentRowIfUnchanged(effect.Row)
		case owner.ListAgents:
			go e.listAgents(effect.Takeover)
		}
	}
	if m := e.core.Map(); m != nil && m.Version != e.mapVersion.Load() {
		e.mapVersion.Store(m.Version)
		e.updateDiallers(m)
		if g := e.gate.Load(); g != nil && len(m.Members) != e.entryCount {
			e.entryCount = len(m.Members)
			e.configure(e.now(), g.Config())
		}
	}
}

func (e *Entry) send(l *transport.Link, m wire.Message) {
	if err := l.Send(m); err != nil && !isClosed(err) {
		e.opts.Log.Error("message not sent", "peer", l.Peer.ID, "error", err)
	}
}

// updateDiallers maintains links to the other members. Of two entries, the one
// with the smaller id dials.
func (e *Entry) updateDiallers(m *membership.Map) {
	toDial := map[string]string{}
	for _, member := range m.Members {
		if member.ID > e.opts.ID {
			toDial[member.ID] = member.LinkAddress
		}
	}
	e.diallers.Update(e.now(), toDial)
}

// alwaysBusy has the links between entries pinged at the short interval: the
// failure detector suspects a member whose link is silent.
func alwaysBusy() bool { return true }

// closeSilentLinks closes links that have received no message for longer than
// their ping interval allows. The dialler opens a new link if the peer still runs.
func (e *Entry) closeSilentLinks() {
	for id, l := range e.links {
		timeout := idleLinkTimeout
		if l.Peer.Role == wire.RoleEntry || e.core.HasOpenAttempts(id) {
			timeout = busyLinkTimeout
		}
		if l.Silence() > timeout {
			l.Close()
		}
	}
	e.diallers.StopRemoved(e.now())
}

// pingMembers asks the other members whether they have a newer map. The replies
// keep the entry's authority valid while the table is unavailable. Each entry has
// to ask by itself: pings from the peer that dialled the link confirm nothing
// here, because they may have been in transit for a long time.
func (e *Entry) pingMembers(now time.Duration) {
	if now < e.nextPing {
		return
	}
	e.nextPing = now + mapPingInterval
	for _, l := range e.links {
		if l.Peer.Role == wire.RoleEntry {
			// Ping fails on a closed link, which needs no ping.
			_ = l.Ping()
		}
	}
}

// Hello implements transport.Handler.
func (e *Entry) Hello() wire.Hello {
	h := wire.Hello{
		Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: e.opts.ID, Incarnation: e.opts.ID,
		DataCentre: e.opts.DataCentre, UptimeMS: uint64(e.now() / time.Millisecond),
		MapVersion: e.mapVersion.Load(), ConfigVersion: e.configVersion.Load(),
	}
	if known := e.evacuations.Load(); known != nil {
		h.Evacuations = known.View(e.now())
	}
	return h
}

// LinkUp implements transport.Handler. It reports the end of a replaced link to
// the core, because sequence numbers and wants are valid for one link only.
func (e *Entry) LinkUp(l *transport.Link) {
	e.post(func(now time.Duration) {
		if old := e.links[l.Peer.ID]; old != nil {
			e.core.LinkDown(now, old.Peer.Role, old.Peer.ID)
		}
		e.links[l.Peer.ID] = l
		e.recordPeer(now, l, nil)
		e.applyView(now, l, l.Peer.Evacuations, 0)
		e.sendConfigIfNewer(l, l.Peer.ConfigVersion)
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
func (e *Entry) Receive(l *transport.Link, m wire.Message, pingSent time.Time) {
	e.post(func(now time.Duration) {
		if l.Peer.Role == wire.RoleEntry {
			e.core.MessageReceived(now, l.Peer.ID)
		}
		if newer := e.links[l.Peer.ID]; newer != nil && newer != l {
			return // messages of the replaced link are requested again
		}
		e.recordPeer(now, l, m)
		switch m := m.(type) {
		case *wire.Ping:
			e.applyView(now, l, m.Evacuations, 0)
		case *wire.ConfigNotice:
			go e.updateConfigIfNewer(m)
		case *wire.Drain:
			e.requestDrain()
		case *wire.Pong:
			if l.Peer.Role == wire.RoleEntry && !pingSent.IsZero() {
				e.applyView(now, l, m.Evacuations, pingSent.Sub(e.start))
				e.core.MapConfirmed(pingSent.Sub(e.start), l.Peer.ID, m.MapVersion)
			}
		default:
			e.core.Receive(now, l.Peer.ID, m)
		}
	})
}

// Stop drains the entry: it leaves the map, hands its partitions over, finishes
// its jobs and delivers their answers, until ctx ends.
func (e *Entry) Stop(ctx context.Context) {
	e.draining.Store(true)
	e.opts.Log.Info("entry is draining", "entry", e.opts.ID)
	e.post(func(now time.Duration) { e.core.Drain(now) })
	sleep(ctx, e.opts.DrainDelay)
	e.stopAccepting(ctx)
	// Open requests have until ctx ends; then their connections are closed.
	_ = e.server.Shutdown(ctx)
	e.waitHandedOver(ctx)
	e.removeRow(ctx)
	e.flushLinks()
	e.Kill()
	e.opts.Log.Info("entry stopped", "entry", e.opts.ID)
}

// lastRequestWait is the time that a client has to send its request on a
// connection that was accepted just before the port was closed.
const lastRequestWait = 500 * time.Millisecond

// stopAccepting closes the port and goes on serving open connections for
// lastRequestWait, because net/http drops, without an answer, a request that it
// reads after Shutdown has begun.
func (e *Entry) stopAccepting(ctx context.Context) {
	// Close fails only if the listener has failed already; it needs no closing then.
	_ = e.listener.Close()
	sleep(ctx, lastRequestWait)
}

const handoverPollInterval = 10 * time.Millisecond

func (e *Entry) waitHandedOver(ctx context.Context) {
	for ctx.Err() == nil {
		handedOver := make(chan bool, 1)
		e.post(func(time.Duration) { handedOver <- e.core.HandedOver() })
		select {
		case done := <-handedOver:
			if done {
				return
			}
		case <-e.stopped:
			return
		}
		sleep(ctx, handoverPollInterval)
	}
}

// flushWait bounds the wait for each link's queue to be written. It is waited once
// more after that, so that the answers reach the other entries.
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
	// Close also closes the connections of open requests, as intended.
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

// UpstreamCount returns the number of announced upstreams of linked agents.
func (e *Entry) UpstreamCount() int { return int(e.upstreams.Load()) }
