package hosted

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

// EntryOptions configure an entry.
type EntryOptions struct {
	Process ProcessInfo
	Broker  broker.Settings
	Store   platform.Feed
	// ConfigKey is the key of the configuration in the store, whose table is
	// ConfigTable.
	ConfigKey, ConfigTable string
	Decode                 func(content []byte) (*catalog.Catalog, error)
	Log                    *slog.Logger
}

// Entry serves jobs. Its methods are safe for concurrent use.
type Entry struct {
	options EntryOptions
	log     *slog.Logger
	started time.Duration
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	catalog atomic.Pointer[catalog.Catalog]
	leaving atomic.Bool

	mu       sync.Mutex // guards the fields below
	core     *broker.Broker
	links    map[broker.AgentID]*transport.Stream
	requests map[broker.Waiter]*request
	next     broker.Waiter
	ticked   time.Duration
}

// request is a caller's request that waits for its answer.
type request struct {
	answer  chan broker.Outcome
	arrived time.Duration
}

// StartEntry starts an entry.
func StartEntry(o EntryOptions) (*Entry, error) {
	listener, err := net.Listen("tcp", o.Process.LinkAddress)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "listen for agents on %s", o.Process.LinkAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		options: o, log: o.Log, cancel: cancel, started: boottime.Now(),
		core:     broker.New(o.Broker, rand.NewSource(rand.Int63())),
		links:    map[broker.AgentID]*transport.Stream{},
		requests: map[broker.Waiter]*request{},
	}
	e.run(func() { e.accept(ctx, listener) })
	e.run(func() { e.tick(ctx) })
	e.run(func() { register(ctx, o.Store, o.Process, o.Log) })
	e.run(func() { follow(ctx, o.Store, o.ConfigTable, configWait, o.Log, e.configChanged) })
	e.run(func() { <-ctx.Done(); listener.Close() })
	return e, nil
}

func (e *Entry) run(f func()) {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		f()
	}()
}

// now is the time on a clock that also counts suspended time.
func (e *Entry) now() time.Duration { return boottime.Now() - e.started }

// do calls f with the core and then carries out the effects.
func (e *Entry) do(f func(now time.Duration, core *broker.Broker)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if now-e.ticked > pausedAfter && e.ticked > 0 {
		e.log.Warn("process was paused", "for_ms", (now - e.ticked).Milliseconds(), "jobs", e.core.UnansweredJobs())
		e.core.ProcessResumed(now)
		e.ticked = now
	}
	f(now, e.core)
	for _, effect := range e.core.TakeEffects() {
		e.perform(now, effect)
	}
}

func (e *Entry) perform(now time.Duration, effect broker.Effect) {
	switch m := effect.(type) {
	case broker.Send:
		if s := e.links[m.Agent]; s != nil {
			if err := s.Send(m.Message); err != nil {
				e.log.Warn("message not sent", "agent", m.Agent.Host, "error", err.Error())
			}
		}
	case broker.Answer:
		if r := e.requests[m.Waiter]; r != nil {
			r.answer <- m.Outcome
		}
	case broker.Decision:
		decisions(m.Action).Inc()
		e.decided(m)
	}
}

func (e *Entry) decided(m broker.Decision) {
	if m.Action == "refuse" {
		e.log.Info(m.Action, "job", m.Job, "reason", m.Reason, "retry_after_ms", m.Wait.Milliseconds(),
			"tasks", m.Tasks, "at_once", m.AtOnce)
		return
	}
	e.log.Info(m.Action, "job", m.Job, "task", m.Index, "run", m.Run, "agent", m.Agent, "reason", m.Reason,
		"wait_ms", m.Wait.Milliseconds(), "age_ms", m.ReportAge.Milliseconds(), "free_cpu", m.FreeCPU)
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.do(func(now time.Duration, core *broker.Broker) {
			e.ticked = now
			core.Tick(now)
		})
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

// serve reads the messages of one agent's link.
func (e *Entry) serve(ctx context.Context, conn net.Conn) {
	s, err := transport.AcceptStream(conn, e.options.Process.hello(wire.RoleEntry))
	if err != nil {
		e.log.Warn("link not opened", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	id := broker.AgentID{Host: s.Peer.ID, Incarnation: s.Peer.Incarnation}
	e.connected(id, s)
	for {
		m, err := s.Read()
		if err != nil {
			e.disconnected(id, s, err)
			return
		}
		e.receive(id, s, m)
	}
}

func (e *Entry) connected(id broker.AgentID, s *transport.Stream) {
	e.do(func(now time.Duration, core *broker.Broker) {
		if old := e.links[id]; old != nil {
			old.Close()
		}
		e.links[id] = s
		core.Connected(now, id, s.Peer.DataCentre)
	})
	e.log.Info("agent connected", "agent", id.Host, "incarnation", id.Incarnation, "remote", s.Remote())
}

func (e *Entry) disconnected(id broker.AgentID, s *transport.Stream, cause error) {
	e.do(func(now time.Duration, core *broker.Broker) {
		if e.links[id] != s {
			return
		}
		delete(e.links, id)
		core.Disconnected(id)
		e.log.Warn("agent disconnected", "agent", id.Host, "incarnation", id.Incarnation, "error", cause.Error())
	})
}

func (e *Entry) receive(id broker.AgentID, s *transport.Stream, m wire.Message) {
	e.do(func(now time.Duration, core *broker.Broker) {
		if e.links[id] != s {
			// The link was replaced: what it still brings is told anew on the other.
			return
		}
		switch m := m.(type) {
		case *wire.AgentBeat:
			core.Heartbeat(now, id, *m)
		case *wire.RunReport:
			core.Report(now, id, *m)
		default:
			e.log.Warn("message not expected", "agent", id.Host, "type", typeName(m))
		}
	})
}

func (e *Entry) configChanged(rows []platform.Change, _ bool) {
	for _, r := range rows {
		if r.Key != e.options.ConfigKey || r.Deleted {
			continue
		}
		c, err := e.options.Decode(r.Value)
		if err != nil {
			e.log.Error("configuration cannot be read", "row_version", r.Version, "error", err.Error())
			continue
		}
		if old := e.catalog.Load(); old != nil && c.Version <= old.Version {
			continue
		}
		e.catalog.Store(c)
		e.log.Info("configuration in force", "version", c.Version, "row_version", r.Version)
	}
}

// Catalog returns the configuration in force, or nil.
func (e *Entry) Catalog() *catalog.Catalog { return e.catalog.Load() }

// Ready is whether the entry can serve callers.
func (e *Entry) Ready() bool {
	if e.leaving.Load() || e.catalog.Load() == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.UsableAgents(e.now()) > 0
}

// Leaving is whether the entry shuts down.
func (e *Entry) Draining() bool { return e.leaving.Load() }

// Run hands a job in and waits for its outcome.
func (e *Entry) Run(ctx context.Context, sub broker.Submission) broker.Outcome {
	r := &request{answer: make(chan broker.Outcome, 1)}
	var w broker.Waiter
	e.do(func(now time.Duration, core *broker.Broker) {
		e.next++
		w = e.next
		r.arrived = now
		e.requests[w] = r
		core.Submit(now, sub, w)
	})
	defer e.do(func(time.Duration, *broker.Broker) { delete(e.requests, w) })
	var patience <-chan time.Time
	if sub.Timeout > 0 {
		timer := time.NewTimer(sub.Timeout)
		defer timer.Stop()
		patience = timer.C
	}
	outcome := e.await(ctx, r, patience, sub.ID, w)
	took := e.now() - r.arrived
	outcomes(outcome.Kind.String()).Inc()
	responseTime.Update(took.Seconds())
	e.log.Info("answer", "job", sub.ID, "queue", sub.Queue.Name, "tasks", len(sub.Tasks), "outcome", outcome.Kind.String(),
		"reason", outcome.Reason, "took_ms", took.Milliseconds(), "patience_ms", sub.Timeout.Milliseconds(),
		"retry_after_ms", outcome.RetryAfter.Milliseconds())
	return outcome
}

func (e *Entry) await(ctx context.Context, r *request, patience <-chan time.Time, id string, w broker.Waiter) broker.Outcome {
	reason := ""
	select {
	case o := <-r.answer:
		return o
	case <-ctx.Done():
		reason = "caller-left"
	case <-patience:
		reason = "deadline-passed"
	}
	e.do(func(now time.Duration, core *broker.Broker) { core.CallerLeft(now, id, w) })
	// The outcome may have come in the meantime.
	select {
	case o := <-r.answer:
		return o
	default:
		return broker.Outcome{Kind: broker.Unknown, Reason: reason}
	}
}

// State returns the state of a job.
func (e *Entry) State(id string) (broker.State, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.State(id)
}

// Cancel ends a job. It returns false if there is no such job.
func (e *Entry) Cancel(id string) bool {
	ok := false
	e.do(func(now time.Duration, core *broker.Broker) { ok = core.Cancel(now, id) })
	e.log.Info("cancel", "job", id, "known", ok)
	return ok
}

// Pending returns the number of a queue's jobs without a started task.
func (e *Entry) QueuedJobs(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.QueuedJobs(queue)
}

const (
	// leaveAccept is how long a leaving entry takes new requests, until the
	// balancer has noticed that it is not ready.
	leaveAccept = 2500 * time.Millisecond
	// leaveFinish is the part of the grace time after which open jobs are given up.
	leaveFinish = 0.8
	// leavePoll is how often a leaving entry looks for open jobs.
	leavePoll = 20 * time.Millisecond
)

// Leave makes the entry not ready, serves what arrives until the balancer has
// noticed, finishes jobs and gives up those that take too long.
func (e *Entry) Drain(grace time.Duration) {
	e.leaving.Store(true)
	begin := e.now()
	e.log.Info("leaving", "grace_ms", grace.Milliseconds())
	last := time.Duration(leaveFinish * float64(grace))
	for e.now()-begin < last {
		time.Sleep(leavePoll)
		if e.now()-begin > leaveAccept && e.jobs() == 0 {
			break
		}
	}
	e.do(func(now time.Duration, core *broker.Broker) {
		core.Drain()
		core.CloseAll(now, "entry-leaving")
	})
	for e.now()-begin < last+(grace-last)/2 && e.live() > 0 {
		time.Sleep(leavePoll)
	}
}

func (e *Entry) jobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.UnansweredJobs()
}

func (e *Entry) live() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.LiveJobs()
}

// Stop ends the entry.
func (e *Entry) Stop() {
	e.cancel()
	e.tasks.Wait()
}
