// Package leased runs entries and agents for leased upstreams, which run tasks
// under leases on a platform. It supplies the sockets, timers and goroutines for
// the state machines of packages broker and runner, which are called cores here.
package leased

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/boottime"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// tickInterval is the interval of the cores' timers. It is well below the
	// shortest time that a core waits for, which is the age from which a waiting
	// task may be moved.
	tickInterval = 20 * time.Millisecond
	// heartbeatCheckInterval is how often an agent checks which heartbeats are due.
	heartbeatCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process counts
	// as having been paused.
	pauseThreshold = 350 * time.Millisecond

	// storeTimeout bounds a call to the store that does not wait for a change.
	storeTimeout = 1200 * time.Millisecond
	// configWait is how long one call waits for a change of the configuration.
	// Together with watchSlack it bounds the time for which a silent connection
	// can hide a change. The sum is well below the time within which a change must
	// be in force.
	configWait = 700 * time.Millisecond
	// watchSlack is added to the requested wait to get the timeout of a call that
	// waits for changes.
	watchSlack = 400 * time.Millisecond
	// hostsWait is how long one call waits for a change of the hosts table.
	hostsWait = 5 * time.Second
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 150 * time.Millisecond
)

// hostsTable is the table with a row for each entry.
const hostsTable = "hosts"

// hostRow is the row of an entry.
type hostRow struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
}

// ProcessInfo identifies a process of damasklb and its host.
type ProcessInfo struct {
	Host        string
	Incarnation string
	DataCentre  string
	// LinkAddress is the address on which an entry listens for agents.
	LinkAddress string
}

func (i ProcessInfo) hello(role wire.Role) wire.Hello {
	return wire.Hello{Version: wire.ProtocolVersion, Role: role, ID: i.Host, Incarnation: i.Incarnation, DataCentre: i.DataCentre}
}

// register writes the entry's row to the hosts table and retries until it succeeds.
func register(ctx context.Context, store platform.Feed, id ProcessInfo, log *slog.Logger) {
	value, err := json.Marshal(hostRow{Address: id.LinkAddress, DataCentre: id.DataCentre, Incarnation: id.Incarnation})
	if err != nil {
		// The row holds only strings, which can always be encoded.
		panic(err)
	}
	dep := newDependency("store-register", log)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := store.Commit(call, platform.Transaction{Writes: []platform.Write{{Key: hostsTable + "/" + id.Host, Value: value}}})
		cancel()
		dep.observe(err)
		if err == nil {
			return
		}
		sleep(ctx, storeRetry)
	}
}

// tableUpdate is one answer of the store about a followed table.
type tableUpdate struct {
	rows []platform.Change
	// all is set if rows holds the whole table, not only the rows that changed.
	all bool
	// version is the store's version up to which rows is complete.
	version uint64
	// calledAt is when the call began, on the clock of package boottime.
	calledAt time.Duration
}

// follow calls changed with each answer about a table until ctx is done: with all rows at
// first and after the store has lost its history, otherwise with the rows that changed,
// of which there may be none.
func follow(ctx context.Context, store platform.Feed, table string, wait time.Duration, log *slog.Logger, changed func(tableUpdate)) {
	dep := newDependency("store-"+table, log)
	var version uint64
	known := false
	var err error
	for ctx.Err() == nil {
		switch {
		case !known:
			version, err = snapshot(ctx, store, table, changed)
			known = err == nil
		case err != nil:
			// After a failure the call does not wait for changes, so that it
			// returns as soon as the store answers again.
			version, err = watch(ctx, store, table, version, 0, changed)
			known = !fault.IsHistoryGone(err)
		default:
			version, err = watch(ctx, store, table, version, wait, changed)
			known = !fault.IsHistoryGone(err)
		}
		if fault.IsHistoryGone(err) {
			log.Info("store no longer has the table's history; reading the whole table again", "table", table, "after", version)
			continue
		}
		dep.observe(err)
		if err != nil {
			sleep(ctx, storeRetry)
		}
	}
}

func snapshot(ctx context.Context, store platform.Feed, table string, changed func(tableUpdate)) (uint64, error) {
	calledAt := boottime.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, version, err := store.Snapshot(call, table)
	if err != nil {
		return 0, err
	}
	changes := make([]platform.Change, len(rows))
	for i, r := range rows {
		changes[i] = platform.Change{Row: r}
	}
	changed(tableUpdate{rows: changes, all: true, version: version, calledAt: calledAt})
	return version, nil
}

func watch(ctx context.Context, store platform.Feed, table string, after uint64, wait time.Duration, changed func(tableUpdate)) (uint64, error) {
	calledAt := boottime.Now()
	call, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, version, err := store.Watch(call, table, after, wait)
	if err != nil {
		return after, err
	}
	changed(tableUpdate{rows: changes, version: version, calledAt: calledAt})
	return version, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// lostAfter is how long calls must fail before a dependency counts as lost.
// Without it each lost answer would be logged; those are counted elsewhere.
const lostAfter = 250 * time.Millisecond

// dependency logs when a service that the process depends on is lost or
// reachable again.
type dependency struct {
	name string
	log  *slog.Logger

	mu           sync.Mutex // guards the fields below
	reached      bool
	failing      bool
	lost         bool
	failingSince time.Time
}

func newDependency(name string, log *slog.Logger) *dependency {
	return &dependency{name: name, log: log}
}

// observe records the result of a call and logs a change of state.
func (d *dependency) observe(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.succeeded()
		return
	}
	if !d.failing {
		d.failing, d.failingSince = true, time.Now()
	}
	if !d.lost && (!d.reached || time.Since(d.failingSince) >= lostAfter) {
		d.lost = true
		d.log.Warn("dependency lost", "dependency", d.name, "error", err.Error())
	}
}

func (d *dependency) succeeded() {
	if d.lost {
		d.log.Info("dependency regained", "dependency", d.name, "after_ms", time.Since(d.failingSince).Milliseconds())
	} else if !d.reached {
		d.log.Info("dependency reached", "dependency", d.name)
	}
	d.reached, d.failing, d.lost = true, false, false
}
