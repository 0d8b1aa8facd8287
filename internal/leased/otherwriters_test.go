package leased

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/runner"
)

// sharedTable is the table stand-in with a feed of its rows.
type sharedTable struct{ *standin.Memory }

func (s sharedTable) Snapshot(ctx context.Context, prefix string) ([]platform.Row, uint64, error) {
	if !strings.Contains(prefix, "/") {
		prefix += "/"
	}
	rows, err := s.List(ctx, prefix)
	var version uint64
	for _, r := range rows {
		version = max(version, r.Version)
	}
	return rows, version, err
}

func (s sharedTable) Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 10*time.Millisecond) {
		rows, version, err := s.Snapshot(ctx, table)
		if err != nil {
			return nil, after, err
		}
		var changes []platform.Change
		for _, r := range rows {
			if r.Version > after {
				changes = append(changes, platform.Change{Row: r})
			}
		}
		if len(changes) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return changes, max(after, version), ctx.Err()
		}
	}
}

func (s sharedTable) put(t *testing.T, key, value string) {
	t.Helper()
	if _, err := s.Commit(context.Background(), platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Error(err)
	}
}

// writersTest is a deployment whose table another writer shares.
type writersTest struct {
	*testing.T
	table sharedTable
}

func (w writersTest) entry(name, incarnation, address string) (*Entry, *logBuffer) {
	w.Helper()
	var log logBuffer
	settings := broker.DefaultSettings("dc", time.Second)
	settings.LateJobsYield, settings.EvacuateWithin = true, 5*time.Second
	e, err := StartEntry(EntryOptions{
		Process: ProcessInfo{Host: name, Incarnation: incarnation, DataCentre: "dc", LinkAddress: address},
		Broker:  settings, Store: w.table, ConfigKey: "op/config", ConfigTable: "op", Evacuations: testEvacuations,
		Decode: func(content []byte) (*catalog.Catalog, error) {
			if len(content) != 1 {
				return nil, fault.BadConfig.New("content is not one byte long")
			}
			return catalog.New(uint64(content[0]-'0'), nil, catalog.Limits{}), nil
		},
		Log: slog.New(slog.NewTextHandler(&log, nil)),
	})
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(e.Stop)
	return e, &log
}

func (w writersTest) agent(name, incarnation string, u *instantUpstream, token uint64) (*Agent, *logBuffer) {
	var log logBuffer
	settings := runner.DefaultSettings(1300*time.Millisecond, time.Second)
	settings.DataCentre, settings.EvacuateWithin = "dc", 5*time.Second
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: name, Incarnation: incarnation, DataCentre: "dc"}, Runner: settings, Store: w.table,
		Evacuations: testEvacuations, Upstream: u, Token: token, Log: slog.New(slog.NewTextHandler(&log, nil)),
	})
	w.Cleanup(a.Stop)
	return a, &log
}

// heartbeats sends the heartbeats of an agent's upstream until the test ends.
func (w writersTest) heartbeats(a *Agent) {
	ctx, stop := context.WithCancel(context.Background())
	var sender sync.WaitGroup
	sender.Go(func() {
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 1000, MemMB: 1000, Seq: seq}, 1000)
			sleep(ctx, 500*time.Millisecond)
		}
	})
	w.Cleanup(func() { stop(); sender.Wait() })
}

// served waits until an entry completes a job of four tasks.
func (w writersTest) served(what string, e *Entry) {
	w.Helper()
	n := 0
	eventually(w.T, what+": no job is served", func() bool {
		n++
		return run(w.T, e, fmt.Sprintf("%s-%d", what, n)).Kind == broker.Completed
	})
}

// writeMalformedRows writes the rows of another writer, and returns their keys by table.
func (w writersTest) writeMalformedRows() (keys map[string][]string) {
	keys = map[string][]string{}
	for table, values := range map[string][]string{hostsTable: malformedHostValues, upstreamsTable: malformedUpstreamValues, timeoutsTable: malformedValues} {
		for i, value := range values {
			key := fmt.Sprintf("%s/odd%d", table, i)
			w.table.put(w.T, key, value)
			keys[table] = append(keys[table], key)
		}
	}
	for _, key := range []string{"op/evacuate/nowhere", "op/evacuate/"} {
		w.table.put(w.T, key, nested(20_000))
		keys["op"] = append(keys["op"], key)
	}
	return keys
}

// loggedOnce checks that a process has logged each row of a table once.
func (w writersTest) loggedOnce(what string, log *logBuffer, keys []string) {
	w.Helper()
	for _, key := range keys {
		eventually(w.T, what+": "+key+" is not logged", func() bool { return log.contains("key=" + key + " ") })
		if n := log.count("key=" + key + " "); n != 1 {
			w.Errorf("%s: %s is logged %d times", what, key, n)
		}
	}
}

// Guards against processes that end, stop following a table, or serve no jobs, while another
// writer leaves rows in every table that nobody can read, before and after they start.
func TestJobsAreServedBesideRowsOfOtherWriters(t *testing.T) {
	w := writersTest{t, sharedTable{standin.NewMemory()}}
	w.table.put(t, "op/config", "1")
	w.table.put(t, "hosts/e3", `{"address":"127.0.0.1:99999"}`)
	w.table.put(t, "upstreams/a1", `{"id":"u","born":7,"service":"s","cpu":-1}`)
	keys := w.writeMalformedRows()

	upstreams := [2]*instantUpstream{{}, {}}
	e1, log1 := w.entry("e1", "1", "127.0.0.1:24741")
	e2, log2 := w.entry("e2", "1", "127.0.0.1:24742")
	a1, logA1 := w.agent("a1", "1", upstreams[0], 1)
	a2, logA2 := w.agent("a2", "1", upstreams[1], 1)
	w.heartbeats(a1)
	w.heartbeats(a2)
	w.served("first-e1", e1)
	w.served("first-e2", e2)

	for _, a := range []*Agent{a1, a2} {
		eventually(t, "an agent does not know both entries", func() bool { h := plannedHosts(a); return slices.Contains(h, "e1") && slices.Contains(h, "e2") })
	}

	done, stop := context.WithCancel(t.Context())
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := 0; done.Err() == nil; i++ {
			w.table.put(t, "hosts/e2", malformedHostValues[i%len(malformedHostValues)])
			w.table.put(t, keys[upstreamsTable][i%len(malformedUpstreamValues)], malformedUpstreamValues[i%len(malformedUpstreamValues)])
			w.table.put(t, keys["op"][0], nested(i))
			sleep(done, 20*time.Millisecond)
		}
	})
	w.served("beside-writer-e1", e1)
	w.served("beside-writer-e2", e2)
	w.table.put(t, "op/config", "damaged")
	w.table.put(t, "op/config", "2")
	for _, e := range []*Entry{e1, e2} {
		eventually(t, "a change of the configuration is not seen", func() bool { return e.Catalog().Version == 2 })
	}
	a1.Stop()
	w.table.put(t, "upstreams/a1", nested(20_000))
	a1, logRestarted := w.agent("a1", "2", upstreams[0], 2)
	e1.Stop()
	e1, logNew := w.entry("e1", "2", "127.0.0.1:24741")
	e3, _ := w.entry("e3", "1", "127.0.0.1:24743")
	w.heartbeats(a1)
	w.served("restarted-e1", e1)
	w.served("row-valid-again-e3", e3)
	w.served("row-replaced-e2", e2)
	stop()
	writer.Wait()

	for what, log := range map[string]*logBuffer{"a1": logA1, "a2": logA2, "a1 restarted": logRestarted} {
		w.loggedOnce(what, log, keys[hostsTable])
	}
	w.loggedOnce("a1", logA1, []string{"upstreams/a1"})
	w.loggedOnce("a2", logA2, []string{"hosts/e3"})
	for what, log := range map[string]*logBuffer{"e1": log1, "e2": log2, "e1 restarted": logNew} {
		w.loggedOnce(what, log, keys[upstreamsTable])
		w.loggedOnce(what, log, keys[timeoutsTable])
		w.loggedOnce(what, log, keys["op"])
	}
}
