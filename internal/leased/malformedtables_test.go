package leased

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// malformedUpstreamValues are values of the upstreams table that no agent writes.
var malformedUpstreamValues = append(slices.Clone(malformedValues),
	`{}`, `{"id":"u","born":1}`, `{"id":"u","born":-1,"service":"s","cpu":1}`, `{"id":"u","born":1,"service":"s","cpu":-1}`,
	`{"id":"u","born":1,"service":"s","cpu":9223372036854775807}`, `{"id":"u","born":1,"service":"s","cpu":1e40}`,
	`{"id":"u","born":1,"service":"s","mem_mb":-1}`, `{"id":"u","born":1,"service":"s","labels":7}`,
	`{"id":"u","born":1,"service":"s","labels":["`+strings.Repeat("l", 64<<10)+`"]}`, `{"id":"`+strings.Repeat("u", 64<<10)+`","born":1,"service":"s"}`,
	`{"id":"u","born":1,"service":"s","crashes":[{"at":1,"runs":[{"AgeMS":-1}]}]}`, `{"id":"u","born":1,"service":"s","crashes":`+nested(20_000)+`}`,
)

// Guards against a row that ends the agent, or makes it start tasks on a capacity that its
// upstream does not have, after its restart.
func TestRestartedAgentIgnoresMalformedRow(t *testing.T) {
	for _, value := range malformedUpstreamValues {
		f := &feed{committed: map[string]platform.Row{"upstreams/a1": {Key: "upstreams/a1", Value: []byte(value), Version: 9}}}
		var log logBuffer
		a := StartAgent(AgentOptions{
			Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
			Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: f,
			Upstream: &instantUpstream{}, Token: 1, Log: slog.New(slog.NewTextHandler(&log, nil)),
		})
		eventually(t, fmt.Sprintf("%.60q is not logged", value), func() bool { return log.count("key=upstreams/a1") == 1 })
		if log.contains("upstream restored") {
			t.Errorf("%.60q: restored", value)
		}
		a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
		eventually(t, "the row is not replaced", func() bool {
			row, err := f.Get(context.Background(), "upstreams/a1")
			r, errRow := decodeUpstreamRow(row.Value)
			return err == nil && errRow == nil && r.CPU == 10_000
		})
		a.Stop()
	}
}

// Guards against a row of another writer that hides the crashes in others, and against sums
// or sizes that overflow.
func TestMalformedUpstreamRowsHideNoCrash(t *testing.T) {
	var log logBuffer
	e := &Entry{log: slog.New(slog.NewTextHandler(&log, nil)), core: broker.New(broker.DefaultSettings("dc", time.Second), rand.NewSource(1))}
	e.malformedUpstreams = newMalformedRows(upstreamsTable, e.log)
	var u tableUpdate
	for i, value := range malformedUpstreamValues {
		u.rows = append(u.rows, change(fmt.Sprintf("upstreams/a%d,", i), value, 1))
	}
	for _, at := range []int64{-1 << 63, 1<<63 - 1, 0} {
		u.rows = append(u.rows, change(fmt.Sprintf("upstreams/b%d", at), fmt.Sprintf(`{"crashes":[{"at":%d,"born":5}]}`, at), 1))
	}
	u.rows = append(u.rows, change("upstreams/", "{}", 1), change("other", "{}", 1),
		change("upstreams/c", fmt.Sprintf(`{"crashes":[{"at":%d,"born":5,"runs":[{"Attempt":{"Task":{"Job":"j"},"Run":1},"AgeMS":4294967295}]}]}`, time.Now().UnixMilli()), 1))
	e.upstreamsChanged(u)
	e.upstreamsChanged(u)
	if n := log.count("upstream crashed"); n != 1 {
		t.Errorf("%d crashes, want 1", n)
	}
	if n := log.count("invalid row"); n != len(malformedUpstreamValues)+2 {
		t.Errorf("%d rows logged, want %d", n, len(malformedUpstreamValues)+2)
	}
}

// Guards against requests that are logged and counted with each read of the store.
func TestMalformedEvacuationRequestsAreLoggedOnce(t *testing.T) {
	var log logBuffer
	invalid := newMalformedRows(operatorRows, slog.New(slog.NewTextHandler(&log, nil)))
	unknown, unreadable := unknownEvacuations.Get(), unreadableEvacuations.Get()
	u := tableUpdate{all: true, version: 9, rows: []platform.Change{change("op/evacuate/nowhere", "{}", 3), change("op/evacuate/dc", nested(20_000), 4),
		change("op/evacuate/", "{}", 5), change("op/", "", 6), change("op/evacuate/"+strings.Repeat("d", 64<<10), "{}", 7), change("op/evacuate/dc2", "", 8)}}
	for range 3 {
		if got := testEvacuations.update(u, 0, invalid); len(got.Changes) != 2 || got.Changes[0].DataCentre != "dc" || got.Changes[1].DataCentre != "dc2" {
			t.Errorf("changes %+v", got.Changes)
		}
	}
	if log.count("invalid row") != 5 || unknownEvacuations.Get()-unknown != 3 || unreadableEvacuations.Get()-unreadable != 2 {
		t.Errorf("%d log lines, %d unknown, %d unreadable", log.count("invalid row"), unknownEvacuations.Get()-unknown, unreadableEvacuations.Get()-unreadable)
	}
}

// Guards against rows without a readable key that nobody hears of.
func TestRowsWithoutKeyAreLogged(t *testing.T) {
	var log logBuffer
	e := &Entry{log: slog.New(slog.NewTextHandler(&log, nil)), options: EntryOptions{ConfigTable: "op", ConfigKey: "op/config"}}
	e.malformedOperator = newMalformedRows(operatorRows, e.log)
	for range 3 {
		e.configChanged(tableUpdate{rows: []platform.Change{change("op/", "", 3), change("op/wave/1", "{}", 4)}})
	}
	if log.count("invalid row") != 1 || log.count("key=op/ ") != 1 {
		t.Errorf("%d log lines about invalid rows", log.count("invalid row"))
	}
}

// FuzzUpstreamRow checks that a row of an upstream gets an error or is within its bounds.
func FuzzUpstreamRow(f *testing.F) {
	for _, value := range malformedUpstreamValues {
		if len(value) < 1<<10 {
			f.Add([]byte(value))
		}
	}
	f.Add([]byte(`{"id":"u","born":7,"service":"s","cpu":10000,"mem_mb":100,"labels":["a"],"crashes":[{"at":1800000000000,"born":5,"runs":[{"Attempt":{"Task":{"Job":"j"},"Run":1},"AgeMS":4}]}]}`))
	now := time.UnixMilli(1_800_000_000_000)
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeUpstreamRow(value)
		if err != nil {
			return
		}
		if len(r.Crashes) == 0 && r.announcement().Validate() != nil {
			t.Fatalf("row %+v", r)
		}
		core := runner.New(runner.DefaultSettings(1300*time.Millisecond, time.Second))
		core.RestoreCrashes(time.Hour, r.recentCrashes(now))
		core.Restore(time.Hour, r.announcement())
		core.Load(time.Hour, runner.EntryID{})
		b := broker.New(broker.DefaultSettings("dc", time.Second), rand.NewSource(1))
		for _, c := range r.recentCrashes(now) {
			b.CrashReported(time.Hour, "a1", c)
			if _, err := wire.Encode(&wire.AgentBeat{Crashes: []wire.UpstreamCrash{c}}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
