package leased

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
)

// operatorTable is a table in memory whose rows a test puts and removes.
type operatorTable struct {
	feed
	mu          sync.Mutex
	rows        map[string]platform.Change
	version     uint64
	historyGone bool
}

func newOperatorTable() *operatorTable { return &operatorTable{rows: map[string]platform.Change{}} }

func (o *operatorTable) write(key, value string, deleted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.rows[key] = platform.Change{Row: platform.Row{Key: key, Value: []byte(value), Version: o.version}, Deleted: deleted}
}

func (o *operatorTable) loseHistory() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.historyGone = true
}

func (o *operatorTable) Snapshot(_ context.Context, prefix string) ([]platform.Row, uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.historyGone = false
	var rows []platform.Row
	for _, r := range o.rows {
		if !r.Deleted && strings.HasPrefix(r.Key, prefix) {
			rows = append(rows, r.Row)
		}
	}
	return rows, o.version, nil
}

func (o *operatorTable) Watch(_ context.Context, table string, after uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	time.Sleep(time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.historyGone {
		return nil, 0, fault.HistoryGone.New("history is no longer available")
	}
	var changes []platform.Change
	for _, r := range o.rows {
		if r.Version > after && strings.HasPrefix(r.Key, table+"/") {
			changes = append(changes, r)
		}
	}
	return changes, o.version, nil
}

var testEvacuations = EvacuationOptions{Prefix: "op/evacuate/", DataCentres: []string{"dc", "dc2"}}

func startEvacuable(t *testing.T, f *operatorTable, address string, log *slog.Logger) (*Entry, *Agent) {
	t.Helper()
	settings := broker.DefaultSettings("dc", time.Second)
	settings.EvacuateWithin = 5 * time.Second
	e, err := StartEntry(EntryOptions{
		Process: ProcessInfo{Host: "e1", Incarnation: "1", DataCentre: "dc", LinkAddress: address},
		Broker:  settings, Store: f, ConfigKey: "op/config", ConfigTable: "op",
		Decode:      func([]byte) (*catalog.Catalog, error) { return catalog.New(1, nil, catalog.Limits{}), nil },
		Evacuations: testEvacuations, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	run := runner.DefaultSettings(1300*time.Millisecond, time.Second)
	run.DataCentre, run.EvacuateWithin = "dc", 5*time.Second
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"}, Runner: run, Store: &feed{},
		Seeds: []string{address}, Evacuations: testEvacuations, Upstream: &instantUpstream{}, Token: 1, Log: log,
	})
	t.Cleanup(a.Stop)
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 1000, MemMB: 1000, Seq: 1}, 1000)
	eventually(t, "the entry does not get ready", e.Ready)
	return e, a
}

func run(t *testing.T, e *Entry, id string) broker.Outcome {
	t.Helper()
	return e.Run(t.Context(), broker.Submission{ID: id, Queue: &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, LatencyTarget: time.Second},
		Tasks: []broker.TaskSpec{{CPU: 500, MemMB: 1, Estimate: 10 * time.Millisecond}}, Timeout: 5 * time.Second})
}

// Guards against parts that do not work together: an operator's request passes from the store
// through the entry to the agent, and its withdrawal too. Requests that cannot be read take
// effect by their key, and those for unknown data centres change nothing.
func TestEvacuationThroughStoreEntryAndAgent(t *testing.T) {
	f := newOperatorTable()
	f.write("op/config", "1", false)
	f.write("op/evacuate/nowhere", "{}", false)
	var text logBuffer
	e, a := startEvacuable(t, f, "127.0.0.1:24731", slog.New(slog.NewTextHandler(&text, nil)))
	if o := run(t, e, "j1"); o.Kind != broker.Completed {
		t.Fatalf("job before the request: %+v", o)
	}
	agentReady := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.core.Load(a.now(), runner.EntryID{}).Ready
	}
	f.write("op/evacuate/dc", `{"damaged`, false)
	eventually(t, "the agent does not know the request", func() bool { return !agentReady() })
	states, age := e.Evacuations()
	if len(states) != 1 || states[0].DataCentre != "dc" || states[0].Agents != 1 || age > 5*time.Second {
		t.Errorf("states %+v, age %v", states, age)
	}
	if o := run(t, e, "j2"); o.Kind != broker.Refused || o.Reason != "evacuated" || o.RetryAfter == 0 {
		t.Errorf("job meanwhile: %+v", o)
	}
	if !e.Ready() {
		t.Error("the entry is not ready to refuse")
	}
	f.write("op/evacuate/dc", "", true)
	eventually(t, "the agent does not know the withdrawal", agentReady)
	eventually(t, "jobs are not served again", func() bool { return run(t, e, "j3").Kind == broker.Completed })
	if !text.contains("unknown data centre") || !text.contains("acting on its key") {
		t.Error("bad requests are not logged")
	}
}

// Guards against a process that knows nothing of a request made before its start, and one
// that forgets it when the store loses its history.
func TestEvacuationIsKnownFromTheStart(t *testing.T) {
	f := newOperatorTable()
	f.write("op/config", "1", false)
	f.write("op/evacuate/dc", "{}", false)
	e, _ := startEvacuable(t, f, "127.0.0.1:24732", slog.New(slog.DiscardHandler))
	if o := run(t, e, "j1"); o.Kind != broker.Refused || o.Reason != "evacuated" {
		t.Errorf("job at the start: %+v", o)
	}
	f.loseHistory()
	f.write("op/config", "1", false)
	if o := run(t, e, "j2"); o.Kind != broker.Refused || o.Reason != "evacuated" {
		t.Errorf("job after the loss of the history: %+v", o)
	}
}

// Guards against an agent whose query of the store reads the whole table or misses the
// version, so that its answer is taken for older than what it knows.
func TestAgentReadsEvacuationsItself(t *testing.T) {
	f := newOperatorTable()
	f.write("op/config", "1", false)
	f.write("op/evacuate/dc", "{}", false)
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.Settings{DataCentre: "dc", EvacuateWithin: 5 * time.Second}, Store: f,
		Evacuations: testEvacuations, Upstream: &instantUpstream{}, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(a.Stop)
	a.queryEvacuations(runner.QueryEvacuations{})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Announce(a.now(), runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 1, Seq: 1})
	a.core.Evacuations(a.now(), testEvacuations.update(tableUpdate{all: true, version: 1, rows: []platform.Change{}}, a.now(), a.malformedOperator))
	if rows, version, err := f.Snapshot(t.Context(), "op/evacuate/"); err != nil || len(rows) != 1 || version < 2 {
		t.Fatalf("rows %v, version %d, error %v", rows, version, err)
	}
	if m := a.core.Load(a.now(), runner.EntryID{}); m.Ready {
		t.Error("the older state has replaced the store's answer")
	}
}
