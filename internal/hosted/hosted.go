// Package hosted runs entries and agents on a platform whose upstreams take
// tasks under leases. It holds the sockets, timers and goroutines round the
// cores of packages broker and runner.
package hosted

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// tickEvery is the pace of the cores' timers. It is well below the shortest
	// time that a core waits for, the age of a waiting task that may be moved.
	tickEvery = 20 * time.Millisecond
	// beatEvery is the pace of agents' beats. Three in a row may be lost before
	// an agent counts as silent.
	beatEvery = 100 * time.Millisecond
	// pausedAfter is the time between two ticks from which the process counts as
	// having been paused.
	pausedAfter = 350 * time.Millisecond

	// storeTimeout bounds a call to the store that does not wait for a change.
	storeTimeout = 1200 * time.Millisecond
	// configWait is how long one call waits for a change of the configuration.
	// With configSlack it bounds the time for which a silent connection hides a
	// change, well below the bound for a change to be in force.
	configWait = 700 * time.Millisecond
	// configSlack is added to the time that a waiting call may take.
	configSlack = 400 * time.Millisecond
	// hostsWait is how long one call waits for a change of the hosts.
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

// Identity is who a process is.
type ProcessInfo struct {
	Host        string
	Incarnation string
	DataCentre  string
	// LinkAddress is where an entry listens for agents.
	LinkAddress string
}

func (i ProcessInfo) hello(role wire.Role) wire.Hello {
	return wire.Hello{Version: wire.ProtocolVersion, Role: role, ID: i.Host, Incarnation: i.Incarnation, DataCentre: i.DataCentre}
}

// register writes the entry's row, until it has succeeded.
func register(ctx context.Context, store platform.Feed, id ProcessInfo, log *slog.Logger) {
	value, err := json.Marshal(hostRow{Address: id.LinkAddress, DataCentre: id.DataCentre, Incarnation: id.Incarnation})
	if err != nil {
		// The row holds only texts.
		panic(err)
	}
	dep := newDependency("store-register", log)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := store.Commit(call, platform.Transaction{Writes: []platform.Write{{Key: hostsTable + "/" + id.Host, Value: value}}})
		cancel()
		dep.note(err)
		if err == nil {
			return
		}
		sleep(ctx, storeRetry)
	}
}

// follow keeps calling changed with the rows of a table: all rows at first and
// after the store has lost its history (all is set), later those that changed.
func follow(ctx context.Context, store platform.Feed, table string, wait time.Duration, log *slog.Logger, changed func(rows []platform.Change, all bool)) {
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
			// Without a wait, so that the store's return is not noticed late.
			version, err = watch(ctx, store, table, version, 0, changed)
			known = !fault.IsHistoryGone(err)
		default:
			version, err = watch(ctx, store, table, version, wait, changed)
			known = !fault.IsHistoryGone(err)
		}
		if fault.IsHistoryGone(err) {
			log.Info("history is gone, table is read anew", "table", table, "after", version)
			continue
		}
		dep.note(err)
		if err != nil {
			sleep(ctx, storeRetry)
		}
	}
}

func snapshot(ctx context.Context, store platform.Feed, table string, changed func([]platform.Change, bool)) (uint64, error) {
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
	changed(changes, true)
	return version, nil
}

func watch(ctx context.Context, store platform.Feed, table string, after uint64, wait time.Duration, changed func([]platform.Change, bool)) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, wait+configSlack)
	defer cancel()
	changes, version, err := store.Watch(call, table, after, wait)
	if err != nil {
		return after, err
	}
	if len(changes) > 0 {
		changed(changes, false)
	}
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

// lostAfter is how long calls have to fail until a dependency counts as lost. It
// keeps single lost answers, which are counted elsewhere, out of the log.
const lostAfter = 250 * time.Millisecond

// dependency logs when something that the process depends on is lost or back.
type dependency struct {
	name string
	log  *slog.Logger

	mu      sync.Mutex // guards the fields below
	reached bool
	failing bool
	lost    bool
	since   time.Time
}

func newDependency(name string, log *slog.Logger) *dependency {
	return &dependency{name: name, log: log}
}

// note takes the result of a call.
func (d *dependency) note(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.succeeded()
		return
	}
	if !d.failing {
		d.failing, d.since = true, time.Now()
	}
	if !d.lost && (!d.reached || time.Since(d.since) >= lostAfter) {
		d.lost = true
		d.log.Warn("dependency lost", "dependency", d.name, "error", err.Error())
	}
}

func (d *dependency) succeeded() {
	if d.lost {
		d.log.Info("dependency regained", "dependency", d.name, "after_ms", time.Since(d.since).Milliseconds())
	} else if !d.reached {
		d.log.Info("dependency reached", "dependency", d.name)
	}
	d.reached, d.failing, d.lost = true, false, false
}
