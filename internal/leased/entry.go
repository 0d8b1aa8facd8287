package leased

import (
	"context"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/boottime"
	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// EntryOptions configures an entry.
type EntryOptions struct {
	Process ProcessInfo
	Broker  broker.Settings
	Store   platform.Feed
	// ConfigKey is the key of the configuration in the store; ConfigTable is the
	// table that it belongs to.
	ConfigKey, ConfigTable string
	// Evacuations describes the operators' evacuation requests in ConfigTable.
	Evacuations EvacuationOptions
	Decode      func(content []byte) (*catalog.Catalog, error)
	Log         *slog.Logger
}

// Entry accepts jobs and assigns their tasks to agents. Its methods are safe for
// concurrent use.
type Entry struct {
	options    EntryOptions
	log        *slog.Logger
	clockZero  time.Duration
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	catalog    atomic.Pointer[catalog.Catalog]
	draining   atomic.Bool
	questions  questionGate
	watch      coreWatch
	// The rows of other writers among those of operators and upstreams.
	malformedOperator, malformedUpstreams *malformedRows

	mu         sync.Mutex // guards the fields below
	core       *broker.Broker
	links      map[broker.AgentID]*transport.TCPLink
	requests   map[broker.Waiter]*request
	lastWaiter broker.Waiter
	lastTick   time.Duration
	// sections add the states of parts to the status.
	sections map[string]EntrySection
}

// StartEntry opens the listener for agents and starts the entry's goroutines.
func StartEntry(o EntryOptions) (*Entry, error) {
	listener, err := net.Listen("tcp", o.Process.LinkAddress)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "listen for agents on %s", o.Process.LinkAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		options: o, log: o.Log, ctx: ctx, cancel: cancel, clockZero: boottime.Now(),
		links:    map[broker.AgentID]*transport.TCPLink{},
		requests: map[broker.Waiter]*request{},

		malformedOperator: newMalformedRows(operatorRows, o.Log), malformedUpstreams: newMalformedRows(upstreamsTable, o.Log),
	}
	o.Broker.CallerWaits = e.callerWaits
	e.core = broker.New(o.Broker, rand.NewSource(rand.Int63()))
	e.AddSection("scarcity", func(now time.Duration, core *broker.Broker) any { return core.ScarcityStates(now) })
	e.spawn(func() { e.accept(ctx, listener) })
	e.spawn(func() { e.tick(ctx) })
	e.spawn(func() { e.watch.run(ctx, e.now, o.Log) })
	e.spawn(func() { register(ctx, o.Store, o.Process, o.Log) })
	e.spawn(func() { follow(ctx, o.Store, o.ConfigTable, configWait, o.Log, e.configChanged) })
	e.spawn(func() { follow(ctx, o.Store, upstreamsTable, hostsWait, o.Log, e.upstreamsChanged) })
	e.spawn(func() { e.keepTimeouts(ctx) })
	e.spawn(func() { <-ctx.Done(); listener.Close() })
	return e, nil
}

func (e *Entry) spawn(f func()) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		f()
	}()
}

// now returns the time since the start on a clock that also counts the time for
// which the system is suspended.
func (e *Entry) now() time.Duration { return boottime.Now() - e.clockZero }

// withCore calls f with the core under the lock and then carries out the effects.
func (e *Entry) withCore(f func(now time.Duration, core *broker.Broker)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if now-e.lastTick > pauseThreshold && e.lastTick > 0 {
		e.log.Warn("process was paused", "for_ms", (now - e.lastTick).Milliseconds(), "jobs", e.core.UnansweredJobs())
		e.core.ProcessResumed(now)
		e.lastTick = now
	}
	f(now, e.core)
	for _, effect := range e.core.TakeEffects() {
		e.perform(now, effect)
	}
}

// perform carries an effect out. It is called under the lock, so nothing in it may wait for
// another goroutine or for a connection.
func (e *Entry) perform(now time.Duration, effect broker.Effect) {
	switch m := effect.(type) {
	case broker.Send:
		if l := e.links[m.Agent]; l != nil {
			if err := l.Send(m.Message); err != nil {
				e.log.Warn("message not sent", "agent", m.Agent.Host, "error", err.Error())
			}
		}
	case broker.Answer:
		e.deliver(m)
	case broker.QueryEvacuations:
		e.spawn(e.queryEvacuations)
	case broker.Decision:
		decisionCounter(m.Action).Inc()
		e.logDecision(m)
	}
}

func (e *Entry) logDecision(m broker.Decision) {
	if m.Action == "refuse" && m.Share > 0 {
		scarcityRefusals(m.Queue).Inc()
		e.log.Info(m.Action, "job", m.Job, "reason", m.Reason, "retry_after_ms", m.Wait.Milliseconds(),
			"tasks", m.Tasks, "queue", m.Queue, "headroom", m.Headroom, "share", m.Share)
		return
	}
	if m.Action == "refuse" {
		e.log.Info(m.Action, "job", m.Job, "reason", m.Reason, "retry_after_ms", m.Wait.Milliseconds(),
			"tasks", m.Tasks, "at_once", m.AtOnce)
		return
	}
	switch m.Action {
	case "late-submission":
		e.log.Info("job submitted late", "job", m.Job, "queue", m.Queue, "waited_ms", m.Wait.Milliseconds(), "timeout_ms", m.Timeout.Milliseconds())
		return
	case "upstream-crashed":
		e.log.Warn("upstream crashed", "agent", m.Agent, "runs", m.Runs)
		return
	case "out-of-touch":
		e.log.Warn("was out of touch with all agents", "for_ms", m.Wait.Milliseconds(), "jobs", m.Tasks)
		return
	case "crash-retracted":
		e.log.Warn("crash of upstream retracted", "agent", m.Agent)
		return
	case "caution":
		e.log.Warn("queue caution changed", "queue", m.Queue, "caution", m.Reason)
		return
	case "evacuate", "evacuation-ended":
		e.log.Warn(m.Action, "data_centre", m.Agent, "request_version", m.Version, "running", m.Runs, "taken_back", m.Tasks)
		return
	case "scarcity-begins", "scarcity-ends":
		e.log.Warn(m.Action, "service", m.Reason, "headroom", m.Headroom)
		return
	case "hold":
		e.logRack(m)
		return
	case "run-beside":
		e.logRunBeside(m)
		return
	case "give-up":
		e.log.Warn("job given up", "job", m.Job, "reason", m.Reason, "crashes", m.Crashes, "age_ms", m.Wait.Milliseconds())
		return
	}
	if m.Rack != nil {
		e.logRack(m)
		return
	}
	e.log.Info(m.Action, append([]any{"job", m.Job, "task", m.Index, "run", m.Run, "agent", m.Agent, "reason", m.Reason,
		"wait_ms", m.Wait.Milliseconds(), "age_ms", m.ReportAge.Milliseconds(), "free_cpu", m.FreeCPU, "crashes", m.Crashes}, previousFields(m.Previous)...)...)
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.withCore(func(now time.Duration, core *broker.Broker) {
			e.lastTick = now
			core.Tick(now)
		})
		e.watch.ticks.Add(1)
	}
}

func (e *Entry) accept(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				e.log.Warn("connection not accepted", "error", err.Error())
				sleep(ctx, storeRetry)
			}
			continue
		}
		go e.serve(ctx, conn)
	}
}

// serve opens one agent's link on an accepted connection and handles its messages
// until it closes.
func (e *Entry) serve(ctx context.Context, conn net.Conn) {
	helloSentAt := e.now()
	l, err := transport.AcceptTCP(conn, e.options.Process.hello(wire.RoleEntry))
	if err != nil {
		e.log.Warn("link not opened", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	helloReceivedAt := e.now()
	first, err := l.Read()
	if err != nil {
		// The agent gave the link up while the entry was paused.
		abandonedLinks.Inc()
		return
	}
	beat, ok := first.(*wire.AgentBeat)
	if !ok || l.Peer.Role != wire.RoleAgent {
		e.log.Warn("link not opened", "remote", l.Remote(), "role", l.Peer.Role, "type", typeName(first))
		return
	}
	id := broker.AgentID{Host: l.Peer.ID, Incarnation: l.Peer.Incarnation}
	link := broker.Link{Agent: id, DataCentre: l.Peer.DataCentre, HelloSentAt: helloSentAt, HelloReceivedAt: helloReceivedAt, ClockMS: beat.ClockMS}
	if !e.connected(link, l, *beat) {
		return
	}
	for {
		m, err := l.Read()
		if err != nil {
			e.disconnected(id, l, err)
			return
		}
		e.receive(id, l, m)
	}
}

// connected adds a link whose first heartbeat has arrived. It returns false if the
// link is not used.
func (e *Entry) connected(link broker.Link, l *transport.TCPLink, beat wire.AgentBeat) bool {
	id := link.Agent
	used := false
	e.withCore(func(now time.Duration, core *broker.Broker) {
		if used = core.Connected(now, link); !used {
			return
		}
		if old := e.links[id]; old != nil {
			old.Close()
		}
		e.links[id] = l
		core.Heartbeat(now, id, beat)
	})
	if used {
		e.log.Info("agent connected", "agent", id.Host, "incarnation", id.Incarnation, "remote", l.Remote())
	}
	return used
}

func (e *Entry) disconnected(id broker.AgentID, l *transport.TCPLink, cause error) {
	e.withCore(func(now time.Duration, core *broker.Broker) {
		if e.links[id] != l {
			return
		}
		delete(e.links, id)
		core.Disconnected(id)
		e.log.Warn("agent disconnected", "agent", id.Host, "incarnation", id.Incarnation, "error", cause.Error())
	})
}

func (e *Entry) receive(id broker.AgentID, l *transport.TCPLink, m wire.Message) {
	e.withCore(func(now time.Duration, core *broker.Broker) {
		if e.links[id] != l {
			// The link was replaced. What still arrives on it is reported again on
			// the new link.
			return
		}
		switch m := m.(type) {
		case *wire.AgentBeat:
			core.Heartbeat(now, id, *m)
		case *wire.RunReport:
			core.Report(now, id, *m)
		default:
			e.log.Warn("unexpected message", "agent", id.Host, "type", typeName(m))
		}
	})
}

func (e *Entry) configChanged(u tableUpdate) {
	e.malformedOperator.retainUpdate(u)
	e.evacuationsChanged(u)
	for _, r := range u.rows {
		if _, err := rowName(r.Key, e.options.ConfigTable); err != nil {
			e.malformedOperator.found(r.Key, r.Version, fault.Text(err))
		}
		if r.Key != e.options.ConfigKey || r.Deleted {
			continue
		}
		c, err := e.options.Decode(r.Value)
		if err != nil {
			e.malformedOperator.found(r.Key, r.Version, "configuration: "+fault.Text(err))
			continue
		}
		e.malformedOperator.valid(r.Key)
		if old := e.catalog.Load(); old != nil && c.Version <= old.Version {
			continue
		}
		e.catalog.Store(c)
		e.log.Info("configuration in force", "version", c.Version, "row_version", r.Version)
	}
}

// upstreamsChanged handles the crashes in changed rows of the upstreams table.
func (e *Entry) upstreamsChanged(u tableUpdate) {
	e.malformedUpstreams.retainUpdate(u)
	for _, r := range u.rows {
		if r.Deleted {
			e.malformedUpstreams.valid(r.Key)
			continue
		}
		host, err := rowName(r.Key, upstreamsTable)
		var row upstreamRow
		if err == nil {
			row, err = decodeUpstreamRow(r.Value)
		}
		if err != nil {
			e.malformedUpstreams.found(r.Key, r.Version, fault.Text(err))
			continue
		}
		e.malformedUpstreams.valid(r.Key)
		crashes := row.recentCrashes(time.Now())
		if len(crashes) == 0 {
			continue
		}
		e.withCore(func(now time.Duration, core *broker.Broker) {
			for _, c := range crashes {
				core.CrashReported(now, host, c)
			}
		})
	}
}

// Catalog returns the configuration in force, or nil.
func (e *Entry) Catalog() *catalog.Catalog { return e.catalog.Load() }

// Ready reports whether the entry can serve callers: it is not draining, its core ticks, and it has
// a configuration and at least one usable agent.
func (e *Entry) Ready() bool {
	if e.draining.Load() || e.watch.stalled.Load() || e.catalog.Load() == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	return e.core.HasAgent(now) || e.core.HasEvacuatedAgent(now)
}

// Draining reports whether the entry is shutting down.
func (e *Entry) Draining() bool { return e.draining.Load() }

// State returns the state of a job.
func (e *Entry) State(id string) (broker.State, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.State(id)
}

// Cancel cancels a job. It returns false if there is no such job.
func (e *Entry) Cancel(id string) bool {
	ok := false
	e.withCore(func(now time.Duration, core *broker.Broker) { ok = core.Cancel(now, id) })
	e.log.Info("cancel", "job", id, "known", ok)
	return ok
}

// QueuedJobs returns the number of a queue's jobs without a started task.
func (e *Entry) QueuedJobs(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.QueuedJobs(queue)
}

const (
	// drainAcceptTime is how long a draining entry accepts new requests. Within
	// this time the load balancer notices that the entry is not ready.
	drainAcceptTime = 2500 * time.Millisecond
	// entryDrainShare is the share of the grace time after which jobs without an
	// answer are closed.
	entryDrainShare = 0.8
	// drainPollInterval is how often a draining process checks for work that has
	// not ended.
	drainPollInterval = 20 * time.Millisecond
)

// Drain prepares the shutdown: it makes the entry not ready, accepts requests until
// the load balancer has noticed, waits for jobs to end, and closes those that take
// too long.
func (e *Entry) Drain(grace time.Duration) {
	e.draining.Store(true)
	begin := e.now()
	e.log.Info("leaving", "grace_ms", grace.Milliseconds())
	finishTime := time.Duration(entryDrainShare * float64(grace))
	for e.now()-begin < finishTime {
		time.Sleep(drainPollInterval)
		if e.now()-begin > drainAcceptTime && e.unansweredJobs() == 0 {
			break
		}
	}
	e.withCore(func(now time.Duration, core *broker.Broker) {
		core.Drain()
		core.CloseAll(now, "entry-leaving")
	})
	for e.now()-begin < finishTime+(grace-finishTime)/2 && e.liveJobs() > 0 {
		time.Sleep(drainPollInterval)
	}
}

func (e *Entry) unansweredJobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.UnansweredJobs()
}

func (e *Entry) liveJobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.LiveJobs()
}

// Stop closes the listener and the links and waits for the goroutines that
// StartEntry started.
func (e *Entry) Stop() {
	e.cancel()
	e.goroutines.Wait()
}
