package leased

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
	mu          sync.Mutex
	rows        []platform.Row
	version     uint64
	historyGone bool
	snapshots   int
	// committed holds the rows that were written with Commit.
	committed map[string]platform.Row
}

func (f *feed) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	f.historyGone = false
	return f.rows, f.version, nil
}

func (f *feed) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.historyGone {
		return nil, 0, fault.HistoryGone.New("history is no longer available")
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
	if r, ok := f.committed[key]; ok {
		return r, nil
	}
	return platform.Row{}, fault.NotFound.New("%s", key)
}

func (f *feed) Commit(_ context.Context, t platform.Transaction) ([]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range t.Conditions {
		if f.committed[c.Key].Version != c.Version {
			return nil, fault.Conflict.New("%s", c.Key)
		}
	}
	if f.committed == nil {
		f.committed = map[string]platform.Row{}
	}
	versions := make([]uint64, len(t.Writes))
	for i, w := range t.Writes {
		versions[i] = f.committed[w.Key].Version + 1
		f.committed[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: versions[i]}
	}
	return versions, nil
}

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows = []platform.Row{{Key: key, Value: []byte(value), Version: f.version}}
}

func (f *feed) loseHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyGone = true
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
				return nil, fault.BadConfig.New("content is not one byte long")
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

func newTestAgent(t *testing.T, f *feed, seeds ...string) *Agent {
	t.Helper()
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: f, Seeds: seeds,
		Upstream: &instantUpstream{}, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(a.Stop)
	return a
}

// Guards against an entry that returns to an older configuration, keeps an old one
// after the store has lost its history, or applies one that it cannot decode.
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
	f.loseHistory()
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

// Guards against log lines for single lost answers, and against a lost dependency
// that is not logged.
func TestDependencyIsLostAfterAWhile(t *testing.T) {
	var buf bytes.Buffer
	d := newDependency("store", slog.New(slog.NewTextHandler(&buf, nil)))
	failure := fault.Unavailable.New("no answer")
	d.observe(nil)
	d.observe(failure)
	d.observe(nil)
	if strings.Contains(buf.String(), "lost") {
		t.Errorf("one failure counts as lost: %s", buf.String())
	}
	d.observe(failure)
	d.failingSince = d.failingSince.Add(-lostAfter)
	d.observe(failure)
	d.observe(failure)
	d.observe(nil)
	if strings.Count(buf.String(), "dependency lost") != 1 || strings.Count(buf.String(), "dependency regained") != 1 {
		t.Errorf("log: %s", buf.String())
	}
}

// slowFeed is a feed without changes. Its calls take the whole time that they may
// wait, and fail while it is down.
type slowFeed struct {
	feed
	down atomic.Bool
}

func (f *slowFeed) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if f.down.Load() {
		return nil, 0, fault.Unavailable.New("feed is down")
	}
	sleep(ctx, wait)
	return nil, after, nil
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// Guards against a store that is available again, but counts as lost until a call
// that waits for changes has ended (5 s in a simulated day).
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &slowFeed{}
	f.down.Store(true)
	var log logBuffer
	go follow(ctx, f, hostsTable, time.Minute, slog.New(slog.NewTextHandler(&log, nil)), func(tableUpdate) {})
	eventually(t, "the loss is not noticed", func() bool { return log.contains("dependency lost") })
	f.down.Store(false)
	eventually(t, "the return is not noticed", func() bool { return log.contains("dependency regained") })
}

// instantUpstream accepts all starts and ends each run at once.
type instantUpstream struct {
	mu     sync.Mutex
	number int64
	ends   []runner.EndedRun
}

func (u *instantUpstream) Start(_ context.Context, s runner.StartRun, _ uint64) runner.StartAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.number++
	u.ends = append(u.ends, runner.EndedRun{Number: u.number, Attempt: s.Attempt, Kind: runner.EndDone})
	return runner.StartAnswer{Outcome: runner.StartAccepted, ClockMS: 1000}
}

func (u *instantUpstream) Stop(context.Context, runner.StopRun, uint64) (bool, int64, error) {
	return true, 1000, nil
}

func (u *instantUpstream) ListRuns(_ context.Context, _ runner.UpstreamID, p runner.ListRequest, _ uint64, _ time.Duration) (runner.RunList, error) {
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

// Guards against components that do not work together: a job passes through an
// entry, a link, an agent and its upstream, and its answer comes back.
func TestJobThroughEntryAndAgent(t *testing.T) {
	f := &feed{}
	const address = "127.0.0.1:24720"
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
		Upstream: &instantUpstream{}, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	defer a.Stop()
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	eventually(t, "the entry is not ready", e.Ready)
	q := &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, LatencyTarget: time.Second}
	sub := broker.Submission{ID: "j1", Queue: q, Tasks: []broker.TaskSpec{{CPU: 4000}, {CPU: 4000}, {CPU: 4000}}}
	if o := e.Run(context.Background(), sub); o.Kind != broker.Completed {
		t.Errorf("outcome %v %s", o.Kind, o.Reason)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	sub.ID = "j2"
	if o := e.Run(ended, sub); o.Kind != broker.Unknown && o.Kind != broker.Completed {
		t.Errorf("outcome for a caller that has left: %v", o.Kind)
	}
	a.Drain(100 * time.Millisecond)
	e.Drain(100 * time.Millisecond)
	if e.Ready() {
		t.Error("ready while draining")
	}
}

// failingUpstream fails every list request at once, as an upstream does whose
// connections are reset.
type failingUpstream struct {
	instantUpstream
	asked atomic.Int64
}

func (u *failingUpstream) ListRuns(context.Context, runner.UpstreamID, runner.ListRequest, uint64, time.Duration) (runner.RunList, error) {
	u.asked.Add(1)
	return runner.RunList{}, fault.Unavailable.New("connection reset")
}

// Guards against a new connection every 10 ms to an upstream that resets them all
// (31,631 connections in one simulated day).
func TestListRequestsToFailingUpstreamBackOff(t *testing.T) {
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
		t.Errorf("%d list requests in a second, want 4 to 20", n)
	}
}

// unresponsiveUpstream does not answer a start command before the call is
// cancelled.
type unresponsiveUpstream struct {
	instantUpstream
	asked, cancelled atomic.Bool
}

func (u *unresponsiveUpstream) Start(ctx context.Context, _ runner.StartRun, _ uint64) runner.StartAnswer {
	u.asked.Store(true)
	<-ctx.Done()
	u.cancelled.Store(true)
	return runner.StartAnswer{Outcome: runner.StartUnanswered}
}

// Guards against a start command that is still in flight when its run is stopped:
// the next incarnation of the upstream, which has no record of the stop, would
// accept it.
func TestStopCancelsPendingStart(t *testing.T) {
	u := &unresponsiveUpstream{}
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
	eventually(t, "no start command is sent", func() bool {
		a.withCore(func(now time.Duration, core *runner.Runner) {
			core.Connected(now, entry)
			core.Confirm(entry, now)
			if core.Load(now, entry).Ready {
				core.Assign(now, entry, wire.Assign{Attempt: attempt, Service: "s", CPU: 1000, EchoMS: uint64(now / time.Millisecond)})
			}
		})
		return u.asked.Load()
	})
	a.withCore(func(now time.Duration, core *runner.Runner) {
		core.Withdraw(now, entry, wire.Withdraw{Attempt: attempt})
	})
	eventually(t, "the start command is not cancelled", u.cancelled.Load)
}

// Guards against an agent that is idle after its restart until the upstream's next
// heartbeat, and against a stored row that does not follow the announcements.
func TestRestartedAgentRestoresAnnouncement(t *testing.T) {
	f := &feed{}
	start := func(incarnation string, token uint64) *Agent {
		return StartAgent(AgentOptions{
			Process: ProcessInfo{Host: "a1", Incarnation: incarnation, DataCentre: "dc"},
			Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: f,
			Upstream: &instantUpstream{}, Token: token, Log: slog.New(slog.DiscardHandler),
		})
	}
	ready := func(a *Agent) (ready bool) {
		a.withCore(func(now time.Duration, core *runner.Runner) { ready = core.Load(now, runner.EntryID{}).Ready })
		return ready
	}
	row := func() upstreamRow {
		var r upstreamRow
		stored, err := f.Get(context.Background(), "upstreams/a1")
		if err == nil {
			err = json.Unmarshal(stored.Value, &r)
		}
		if err != nil {
			return upstreamRow{}
		}
		return r
	}
	first := start("1", 1)
	announcement := runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}
	first.Announce(announcement, 1000)
	eventually(t, "the announcement is not stored", func() bool { return row().CPU == 10_000 })
	first.Stop()

	second := start("2", 2)
	eventually(t, "the restarted agent is not ready", func() bool { return ready(second) })
	announcement.Draining = true
	second.Announce(announcement, 2000)
	eventually(t, "the stored row is not draining", func() bool { return row().Draining })
	second.Stop()

	third := start("3", 3)
	defer third.Stop()
	time.Sleep(100 * time.Millisecond)
	if ready(third) {
		t.Error("ready with an upstream that is draining")
	}
}

// Guards against a leaving upstream that a restarted agent uses again: the notice was
// acknowledged before the store had it, and the agent was killed.
func TestAcknowledgedLeaveIsStored(t *testing.T) {
	announcement := runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}
	for name, leave := range map[string]func(*Agent){
		"draining heartbeat": func(a *Agent) {
			draining := announcement
			draining.Draining, draining.Seq = true, 2
			a.Announce(draining, 2000)
		},
		"leave": func(a *Agent) { a.UpstreamLeaving("u") },
	} {
		t.Run(name, func(t *testing.T) {
			f := &feed{}
			a := newTestAgent(t, f)
			a.Announce(announcement, 1000)
			leave(a)
			stored, err := f.Get(context.Background(), "upstreams/a1")
			var row upstreamRow
			if err == nil {
				err = json.Unmarshal(stored.Value, &row)
			}
			if err != nil || !row.Draining {
				t.Errorf("acknowledged with the row %q (%v)", stored.Value, err)
			}
		})
	}
}

// Guards against a next process of the agent that restores a capacity from before the upstream
// has shrunk: the announcement was acknowledged before the row had changed.
func TestAcknowledgedShrinkIsStored(t *testing.T) {
	f := &feed{}
	a := newTestAgent(t, f)
	u := runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 1}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}
	a.Announce(u, 1)
	eventually(t, "the row", func() bool { _, err := f.Get(context.Background(), "upstreams/a1"); return err == nil })
	u.CPU, u.Seq = 4000, 2
	a.Announce(u, 2)
	row, err := f.Get(context.Background(), "upstreams/a1")
	if stored, errRow := decodeUpstreamRow(row.Value); err != nil || errRow != nil || stored.CPU != 4000 {
		t.Errorf("row %s after the acknowledgement, want the shrunk capacity", row.Value)
	}
}
