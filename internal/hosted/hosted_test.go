package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// feed is a table in memory whose answers a test sets.
type feed struct {
	platform.Table
	mu        sync.Mutex
	rows      []platform.Row
	version   uint64
	gone      bool
	snapshots int
	// kept are the rows that were written with Commit.
	kept map[string]platform.Row
}

func (f *feed) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	f.gone = false
	return f.rows, f.version, nil
}

func (f *feed) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone {
		return nil, 0, fault.HistoryGone.New("gone")
	}
	var changes []platform.Change
	for _, r := range f.rows {
		if r.Version > after {
			changes = append(changes, platform.Change{Row: r})
		}
	}
	if len(changes) == 0 {
		time.Sleep(time.Millisecond)
	}
	return changes, f.version, nil
}

func (f *feed) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.kept[key]; ok {
		return r, nil
	}
	return platform.Row{}, fault.NotFound.New("%s", key)
}

func (f *feed) Commit(_ context.Context, t platform.Transaction) ([]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range t.Conditions {
		if f.kept[c.Key].Version != c.Version {
			return nil, fault.Conflict.New("%s", c.Key)
		}
	}
	if f.kept == nil {
		f.kept = map[string]platform.Row{}
	}
	versions := make([]uint64, len(t.Writes))
	for i, w := range t.Writes {
		versions[i] = f.kept[w.Key].Version + 1
		f.kept[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: versions[i]}
	}
	return versions, nil
}

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows = []platform.Row{{Key: key, Value: []byte(value), Version: f.version}}
}

func (f *feed) lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = true
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

func newTestEntry(t *testing.T, f *feed) *Entry {
	t.Helper()
	e, err := StartEntry(EntryOptions{
		Process: ProcessInfo{Host: "e1", Incarnation: "1", DataCentre: "dc", LinkAddress: "127.0.0.1:0"},
		Broker:  broker.DefaultSettings("dc", time.Second), Store: f, ConfigKey: "op/config", ConfigTable: "op",
		Decode: func(content []byte) (*catalog.Catalog, error) {
			if len(content) != 1 {
				return nil, fault.BadConfig.New("one byte is wanted")
			}
			return catalog.New(uint64(content[0]-'0'), nil, catalog.Limits{}), nil
		},
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// Guards against an entry that steps back to an older configuration, stays on an
// old one after the store has lost its history, or takes what it cannot read.
func TestEntryFollowsTheConfiguration(t *testing.T) {
	f := &feed{}
	e := newTestEntry(t, f)
	if e.Catalog() != nil || e.Ready() {
		t.Fatal("ready without a configuration")
	}
	version := func(n uint64) func() bool {
		return func() bool { c := e.Catalog(); return c != nil && c.Version == n }
	}
	f.put("op/config", "3")
	eventually(t, "version 3 is not in force", version(3))
	f.lose()
	f.put("op/config", "5")
	eventually(t, "version 5 is not in force after the history was lost", version(5))
	f.put("op/config", "4")
	f.put("op/config", "unreadable")
	time.Sleep(20 * time.Millisecond)
	if !version(5)() {
		t.Errorf("version %d, want 5", e.Catalog().Version)
	}
	f.put("op/config", "6")
	eventually(t, "version 6 is not in force", version(6))
}

// Guards against single lost answers that fill the log, and against a lost
// dependency that it does not tell of.
func TestDependencyIsLostAfterAWhile(t *testing.T) {
	var buf bytes.Buffer
	d := newDependency("store", slog.New(slog.NewTextHandler(&buf, nil)))
	failure := fault.Unavailable.New("no answer")
	d.note(nil)
	d.note(failure)
	d.note(nil)
	if strings.Contains(buf.String(), "lost") {
		t.Errorf("one failure counts as lost: %s", buf.String())
	}
	d.note(failure)
	d.since = d.since.Add(-lostAfter)
	d.note(failure)
	d.note(failure)
	d.note(nil)
	if strings.Count(buf.String(), "dependency lost") != 1 || strings.Count(buf.String(), "dependency regained") != 1 {
		t.Errorf("log: %s", buf.String())
	}
}

// slowFeed has no changes: its calls take the whole time that they may wait, and fail
// while it is away.
type slowFeed struct {
	feed
	away atomic.Bool
}

func (f *slowFeed) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if f.away.Load() {
		return nil, 0, fault.Unavailable.New("away")
	}
	sleep(ctx, wait)
	return nil, after, nil
}

// lines counts log lines that contain a text.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// Guards against a store that is back, but counts as lost until a call that waits for
// changes has ended (5 s in a played day).
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &slowFeed{}
	f.away.Store(true)
	var log lines
	go follow(ctx, f, hostsTable, time.Minute, slog.New(slog.NewTextHandler(&log, nil)), func([]platform.Change, bool) {})
	eventually(t, "the loss is not noticed", func() bool { return log.has("dependency lost") })
	f.away.Store(false)
	eventually(t, "the return is not noticed", func() bool { return log.has("dependency regained") })
}

// loneUpstream accepts all starts and ends each run at once.
type loneUpstream struct {
	mu     sync.Mutex
	number int64
	ends   []runner.EndedRun
}

func (u *loneUpstream) Start(_ context.Context, s runner.StartRun, _ uint64) (runner.StartAnswer, int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.number++
	u.ends = append(u.ends, runner.EndedRun{Number: u.number, Attempt: s.Attempt, Kind: runner.EndDone})
	return runner.StartAnswer{Outcome: runner.StartAccepted}, 1000
}

func (u *loneUpstream) Stop(context.Context, runner.StopRun, uint64) (bool, int64, error) {
	return true, 1000, nil
}

func (u *loneUpstream) ListRuns(_ context.Context, _ runner.UpstreamID, p runner.ListRequest, _ uint64, _ time.Duration) (runner.RunList, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := runner.RunList{Request: p, ClockMS: 1000, StartMS: 7}
	for _, e := range u.ends {
		if e.Number > p.LastSeen {
			a.Ended = append(a.Ended, e)
		}
	}
	return a, nil
}

// Guards against a path that is broken between its parts: a job goes through an
// entry, a link, an agent and its upstream, and its answer comes back.
func TestJobThroughEntryAndAgent(t *testing.T) {
	f := &feed{}
	const address = "127.0.0.1:47720"
	f.put("op/config", "1")
	e, err := StartEntry(EntryOptions{
		Process: ProcessInfo{Host: "e1", Incarnation: "1", DataCentre: "dc", LinkAddress: address},
		Broker:  broker.DefaultSettings("dc", time.Second), Store: f, ConfigKey: "op/config", ConfigTable: "op",
		Decode: func(content []byte) (*catalog.Catalog, error) {
			return catalog.New(1, nil, catalog.Limits{}), nil
		},
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: &feed{}, Seeds: []string{address},
		Upstream: &loneUpstream{}, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	defer a.Stop()
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	eventually(t, "the entry is not ready", e.Ready)
	q := &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, LatencyTarget: time.Second}
	sub := broker.Submission{ID: "j1", Queue: q, Tasks: []broker.TaskSpec{{CPU: 4000}, {CPU: 4000}, {CPU: 4000}}}
	if o := e.Run(context.Background(), sub); o.Kind != broker.Completed {
		t.Errorf("outcome %v %s", o.Kind, o.Reason)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	sub.ID = "j2"
	if o := e.Run(gone, sub); o.Kind != broker.Unknown && o.Kind != broker.Completed {
		t.Errorf("outcome for a caller that has gone: %v", o.Kind)
	}
	a.Drain(100 * time.Millisecond)
	e.Drain(100 * time.Millisecond)
	if e.Ready() {
		t.Error("ready while leaving")
	}
}

// failingUpstream fails every question at once, as one does whose connections
// are reset.
type failingUpstream struct {
	loneUpstream
	asked atomic.Int64
}

func (u *failingUpstream) ListRuns(context.Context, runner.UpstreamID, runner.ListRequest, uint64, time.Duration) (runner.RunList, error) {
	u.asked.Add(1)
	return runner.RunList{}, fault.Unavailable.New("connection reset")
}

// Guards against a new connection every 10 ms to an upstream that resets them all
// (31,631 connections on one played day).
func TestQuestionsToAFailingUpstreamSlowDown(t *testing.T) {
	u := &failingUpstream{}
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: &feed{},
		Upstream: u, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	defer a.Stop()
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	time.Sleep(time.Second)
	if n := u.asked.Load(); n < 4 || n > 20 {
		t.Errorf("%d questions in a second, want 4 to 20", n)
	}
}

// muteUpstream answers no order to start before it is given up.
type muteUpstream struct {
	loneUpstream
	asked, givenUp atomic.Bool
}

func (u *muteUpstream) Start(ctx context.Context, _ runner.StartRun, _ uint64) (runner.StartAnswer, int64) {
	u.asked.Store(true)
	<-ctx.Done()
	u.givenUp.Store(true)
	return runner.StartAnswer{Outcome: runner.StartUnanswered}, 0
}

// Guards against an order to start that is still under way when its run has been
// stopped: the next life of the upstream, which knows of no stop, would accept it.
func TestStopGivesUpTheStart(t *testing.T) {
	u := &muteUpstream{}
	settings := runner.DefaultSettings(1300*time.Millisecond, time.Second)
	settings.CommandTimeout = time.Minute
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"}, Runner: settings, Store: &feed{},
		Upstream: u, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	defer a.Stop()
	entry := runner.EntryID{Host: "e1", Incarnation: "1"}
	attempt := wire.LeasedAttempt{Task: wire.LeasedTask{Job: "j1"}, Run: 1}
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	eventually(t, "the start is not ordered", func() bool {
		a.do(func(now time.Duration, core *runner.Runner) {
			core.Connected(now, entry)
			core.Confirm(entry, now)
			if core.Load(now, entry).Ready {
				core.Assign(now, entry, wire.Assign{Attempt: attempt, Service: "s", CPU: 1000, EchoMS: uint64(now / time.Millisecond)})
			}
		})
		return u.asked.Load()
	})
	a.do(func(now time.Duration, core *runner.Runner) {
		core.Withdraw(now, entry, wire.Withdraw{Attempt: attempt})
	})
	eventually(t, "the start is not given up", u.givenUp.Load)
}

// Guards against an agent that stands idle after its restart until the upstream's next
// heartbeat, and against a row that does not follow what the upstream says.
func TestRestartedAgentRecallsItsUpstream(t *testing.T) {
	f := &feed{}
	start := func(incarnation string, token uint64) *Agent {
		return StartAgent(AgentOptions{
			Process: ProcessInfo{Host: "a1", Incarnation: incarnation, DataCentre: "dc"},
			Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: f,
			Upstream: &loneUpstream{}, Token: token, Log: slog.New(slog.DiscardHandler),
		})
	}
	ready := func(a *Agent) (ready bool) {
		a.do(func(now time.Duration, core *runner.Runner) { ready = core.Load(now, runner.EntryID{}).Ready })
		return ready
	}
	row := func() upstreamRow {
		var r upstreamRow
		kept, err := f.Get(context.Background(), "upstreams/a1")
		if err == nil {
			err = json.Unmarshal(kept.Value, &r)
		}
		if err != nil {
			return upstreamRow{}
		}
		return r
	}
	first := start("1", 1)
	said := runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}
	first.Announce(said, 1000)
	eventually(t, "the announcement is not stored", func() bool { return row().CPU == 10_000 })
	first.Stop()

	second := start("2", 2)
	eventually(t, "the restarted agent is not ready", func() bool { return ready(second) })
	said.Draining = true
	second.Announce(said, 2000)
	eventually(t, "the row does not say that the upstream leaves", func() bool { return row().Draining })
	second.Stop()

	third := start("3", 3)
	defer third.Stop()
	time.Sleep(100 * time.Millisecond)
	if ready(third) {
		t.Error("ready with an upstream that leaves")
	}
}
