// Package agent is the I/O layer of an agent: it receives the announcements of the
// upstreams beside it, maintains links to all entries, calls the upstreams with
// tasks, and runs the ledger core on one goroutine.
package agent

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

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/malformed"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Options are what an agent needs to start.
type Options struct {
	Host        string
	Incarnation string
	DataCentre  string
	// AnnounceListen is the loopback address for upstreams.
	AnnounceListen string
	// LinkListen is the local address of the links, usually with port 0.
	LinkListen    string
	LinkClientTLS *tls.Config
	Table         platform.Table
	Gate          ledger.Gate
	Settings      ledger.Settings
	Log           *slog.Logger
}

const (
	tickInterval   = 20 * time.Millisecond
	eventQueueSize = 1 << 13
	// registerRetry is the pause between attempts to register in the table.
	registerRetry = 500 * time.Millisecond
	// mapPollInterval is the interval at which the map is read while no entry is
	// linked. Linked entries send newer maps.
	mapPollInterval = time.Second
	tableTimeout    = 2 * time.Second
	// busyAfterStart is how long the links are closely watched after a task start.
	busyAfterStart = 10 * time.Second
)

// Agent is a running agent.
type Agent struct {
	opts   Options
	start  time.Time
	core   *ledger.Ledger
	events chan func(now ledger.Instant)
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	endpoint *transport.Endpoint
	listener net.Listener
	server   *http.Server
	client   *http.Client

	follower      *configstore.Follower
	invalid       *malformed.Reporter
	mapVersion    atomic.Uint64
	configVersion atomic.Uint64
	linkCount     atomic.Int64
	lastStart     atomic.Int64
	running       atomic.Int64
	registered    atomic.Bool
	// evacuationVersion is the version of the evacuation requests that the core knows.
	evacuationVersion atomic.Uint64
	// renewAfter is the age at which the row is renewed. It is random, so that agents
	// that start at the same time do not write at the same time.
	renewAfter time.Duration
	// rowConfirmed is when the last successful write of the row began. Only
	// registerLoop uses it.
	rowConfirmed time.Duration
	drainStarted chan struct{}
	drainOnce    sync.Once

	// Only the core's goroutine uses the fields below.
	partitionMap *membership.Map
	links        map[string]*transport.Link
	diallers     *transport.Diallers
	// evacuationsCurrentAt is when the ping was sent whose answer last held the evacuation
	// requests, and evacuationsAskedAt when the entries were last asked for them.
	evacuationsCurrentAt, evacuationsAskedAt time.Duration
}

// Start starts an agent. It registers in the table and dials the entries in the
// background; it grants no credit before it is registered.
func Start(o Options) (*Agent, error) {
	o.Settings.DataCentre = o.DataCentre
	a := &Agent{
		opts: o, start: time.Now(), core: ledger.New(o.Settings, o.Gate), events: make(chan func(ledger.Instant), eventQueueSize),
		done: make(chan struct{}), drainStarted: make(chan struct{}), follower: configstore.NewFollower(nil), invalid: malformed.New(o.Log),
		links: map[string]*transport.Link{}, client: newUpstreamClient(),
	}
	if err := checkLoopback(o.AnnounceListen); err != nil {
		return nil, err
	}
	a.renewAfter = membership.AgentRenewInterval/2 + rand.N(membership.AgentRenewInterval/2)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if o.Gate != nil {
		a.configVersion.Store(o.Gate.Version())
	}
	endpoint, err := transport.Open(o.LinkListen, nil, o.LinkClientTLS, a)
	if err != nil {
		return nil, err
	}
	a.endpoint = endpoint
	a.diallers = transport.NewDiallers(func(id, address string) *transport.Dialler {
		return endpoint.Maintain(id, address, a.busy, a.refresh)
	})
	a.listener, err = net.Listen("tcp", o.AnnounceListen)
	if err != nil {
		endpoint.Close()
		return nil, fault.Listen.Wrap(err, "open announce address %q", o.AnnounceListen)
	}
	a.server = newServer(a.handler())
	a.wg.Add(3)
	go a.loop()
	go a.serve()
	go a.registerLoop()
	return a, nil
}

// checkLoopback refuses an announce address that other hosts could reach, since
// announcements are not authenticated.
func checkLoopback(address string) error {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return fault.Listen.Wrap(err, "announce address %q", address)
	}
	if !addr.IP.IsLoopback() {
		return fault.Listen.New("announce address %q is not on loopback, such as 127.0.0.1:7500", address)
	}
	return nil
}

// AnnounceAddress returns the address for upstreams.
func (a *Agent) AnnounceAddress() string { return a.listener.Addr().String() }

func (a *Agent) now() ledger.Instant {
	t := time.Now()
	return ledger.Instant{Mono: t.Sub(a.start), Wall: t}
}

// post queues an event for the core's goroutine.
func (a *Agent) post(event func(now ledger.Instant)) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// loop runs the core, which no other goroutine uses.
func (a *Agent) loop() {
	defer a.wg.Done()
	defer close(a.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-a.events:
			event(a.now())
		case <-ticker.C:
			now := a.now()
			a.core.Tick(now)
			a.askForEvacuations(now.Mono)
			a.diallers.StopRemoved(now.Mono)
		case <-a.ctx.Done():
			return
		}
		a.carryOut()
	}
}

func (a *Agent) carryOut() {
	for _, effect := range a.core.TakeEffects() {
		switch effect := effect.(type) {
		case ledger.Send:
			if l := a.links[effect.Entry]; l != nil {
				a.send(l, effect.Message)
			}
		case ledger.Run:
			a.lastStart.Store(int64(time.Since(a.start)))
			a.running.Add(1)
			go a.call(effect.Start, effect.Address)
		case ledger.QueryEvacuations:
			go a.queryEvacuations(effect)
		}
	}
}

func (a *Agent) send(l *transport.Link, m wire.Message) {
	if err := l.Send(m); err != nil && !errorx.IsOfType(err, fault.LinkClosed) {
		a.opts.Log.Error("message not sent", "peer", l.Peer.ID, "error", err)
	}
}

// busy reports to the diallers whether to watch the links closely.
func (a *Agent) busy() bool {
	last := time.Duration(a.lastStart.Load())
	return a.running.Load() > 0 || last > 0 && time.Since(a.start)-last < busyAfterStart
}

// Hello implements transport.Handler.
func (a *Agent) Hello() wire.Hello {
	return wire.Hello{
		Version: wire.ProtocolVersion, Role: wire.RoleAgent, ID: a.opts.Host, Incarnation: a.opts.Incarnation,
		DataCentre: a.opts.DataCentre, UptimeMS: uint64(time.Since(a.start) / time.Millisecond),
		MapVersion: a.mapVersion.Load(), ConfigVersion: a.configVersion.Load(),
		EvacuationVersion: a.evacuationVersion.Load(), Running: uint32(max(a.running.Load(), 0)),
	}
}

// LinkUp implements transport.Handler. It reports the end of a replaced link to the
// core, because wants and credits are valid for one link only.
func (a *Agent) LinkUp(l *transport.Link) {
	a.linkCount.Add(1)
	a.post(func(now ledger.Instant) {
		if a.links[l.Peer.ID] != nil {
			a.core.LinkDown(now, l.Peer.ID)
		}
		a.links[l.Peer.ID] = l
		// The Hello comes before the first start, so a new process knows the requests by then.
		a.applyView(now, l.Peer.Evacuations, 0)
		a.core.LinkUp(now, l.Peer.ID)
	})
}

// LinkDown implements transport.Handler.
func (a *Agent) LinkDown(l *transport.Link) {
	a.linkCount.Add(-1)
	a.post(func(now ledger.Instant) {
		if a.links[l.Peer.ID] == l {
			delete(a.links, l.Peer.ID)
			a.core.LinkDown(now, l.Peer.ID)
		}
	})
}

// Receive implements transport.Handler.
func (a *Agent) Receive(l *transport.Link, m wire.Message, pingSent time.Time) {
	switch m := m.(type) {
	case *wire.Ping:
		a.post(func(now ledger.Instant) { a.applyView(now, m.Evacuations, 0) })
	case *wire.Pong:
		sentAfter := time.Duration(0)
		if !pingSent.IsZero() {
			sentAfter = pingSent.Sub(a.start)
		}
		a.post(func(now ledger.Instant) { a.applyView(now, m.Evacuations, sentAfter) })
	case *wire.ConfigNotice:
		a.updateConfigIfNewer(l, m)
	case *wire.Drain:
		a.Drain()
	case *wire.MapNotice:
		a.post(func(now ledger.Instant) { a.mapNotice(now, m) })
	default:
		a.post(func(now ledger.Instant) {
			if newer := a.links[l.Peer.ID]; newer != nil && newer != l {
				return // the messages of the replaced link are sent again
			}
			a.core.Receive(now, l.Peer.ID, m)
		})
	}
}

func (a *Agent) mapNotice(now ledger.Instant, n *wire.MapNotice) {
	m, err := membership.Decode(n.Row)
	a.invalid.Check("map_notice", membership.MapKey, err)
	if err != nil || m.Version != n.Version {
		return
	}
	a.applyMap(now, m)
}

// applyMap maintains a link to each member. Epochs in a map do not raise fences: a
// previous owner that still runs may finish its jobs.
func (a *Agent) applyMap(now ledger.Instant, m *membership.Map) {
	if a.partitionMap != nil && m.Version <= a.partitionMap.Version {
		return
	}
	a.partitionMap = m
	a.mapVersion.Store(m.Version)
	entries := make(map[string]string, len(m.Members))
	for _, member := range m.Members {
		entries[member.ID] = member.LinkAddress
	}
	a.diallers.Update(now.Mono, entries)
}

// refresh renews the credits of an entry together with an idle ping.
func (a *Agent) refresh(l *transport.Link) {
	a.post(func(now ledger.Instant) { a.core.RefreshCredits(now, l.Peer.ID) })
}

// registerLoop registers the agent, then reads the map until an entry sends it.
// The order matters: an entry that writes a map and then lists the agents either
// finds this one or has its epochs read here.
func (a *Agent) registerLoop() {
	defer a.wg.Done()
	for a.ctx.Err() == nil && !a.register() {
		a.sleep(registerRetry/2 + rand.N(registerRetry))
	}
	for a.ctx.Err() == nil {
		if a.linkCount.Load() == 0 || !a.registered.Load() {
			a.readMap()
		}
		a.renewRow()
		a.sleep(mapPollInterval)
	}
}

func (a *Agent) draining() bool {
	select {
	case <-a.drainStarted:
		return true
	default:
		return false
	}
}

func (a *Agent) readMap() {
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	row, err := a.opts.Table.Get(ctx, membership.MapKey)
	if err != nil {
		if errorx.IsOfType(err, fault.NotFound) {
			a.registered.Store(true)
			return
		}
		tableErrors("read_map").Inc()
		return
	}
	m, err := membership.Decode(row.Value)
	a.invalid.Check("map", membership.MapKey, err)
	if err != nil {
		return
	}
	first := !a.registered.Swap(true)
	a.post(func(now ledger.Instant) {
		if first {
			a.raiseFences(m)
		}
		a.applyMap(now, m)
	})
}

// raiseFences refuses the epochs before those in the first map: their owners have
// found other agent processes in the table, not this one.
func (a *Agent) raiseFences(m *membership.Map) {
	var epochs []wire.PartitionEpoch
	for p, state := range m.Partitions {
		epochs = append(epochs, wire.PartitionEpoch{Partition: wire.Partition(p), Epoch: state.Epoch})
	}
	a.core.RaiseFences(epochs)
}

func (a *Agent) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-a.ctx.Done():
	}
}

// Drain starts to drain the agent: no task starts any more, and running ones finish.
func (a *Agent) Drain() {
	a.drainOnce.Do(func() {
		a.opts.Log.Info("agent is draining", "host", a.opts.Host)
		close(a.drainStarted)
		a.post(func(ledger.Instant) { a.core.Drain() })
	})
}

// Leaving returns a channel that is closed when the agent starts to drain.
func (a *Agent) DrainRequested() <-chan struct{} { return a.drainStarted }

const (
	idlePoll  = 10 * time.Millisecond
	flushWait = 300 * time.Millisecond
)

// Stop shuts the agent down gracefully: running tasks finish and their answers
// are delivered, until ctx ends.
func (a *Agent) Stop(ctx context.Context) {
	a.Drain()
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		a.post(func(ledger.Instant) { idle <- a.core.Running() == 0 })
		select {
		case done := <-idle:
			if done {
				a.finish(ctx)
				return
			}
		case <-a.done:
			return
		}
		time.Sleep(idlePoll)
	}
	a.Kill()
}

// finish marks the row as left and gives the last answers time to arrive.
func (a *Agent) finish(ctx context.Context) {
	a.markLeft(ctx)
	time.Sleep(flushWait)
	a.Kill()
	a.opts.Log.Info("agent has stopped after draining", "host", a.opts.Host)
}

// Kill stops the agent at once.
func (a *Agent) Kill() {
	a.cancel()
	// Open announcement requests are cut off on purpose.
	_ = a.server.Close()
	a.endpoint.Close()
	a.wg.Wait()
}
