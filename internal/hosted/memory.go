package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
)

// upstreamsTable is the table with a row for each agent's upstream, which the agent's
// next process reads at its start.
const upstreamsTable = "upstreams"

// upstreamRow is what an upstream has said of itself.
type upstreamRow struct {
	ID       string   `json:"id"`
	Born     int64    `json:"born"`
	Service  string   `json:"service"`
	CPU      int      `json:"cpu"`
	MemMB    int      `json:"mem_mb"`
	Labels   []string `json:"labels"`
	Draining bool     `json:"draining"`
}

// memory keeps an upstream's announcement in the store. It is written only when what
// it says has changed, which is a few times in the life of an upstream.
type memory struct {
	store platform.Feed
	key   string
	log   *slog.Logger
	dep   *dependency
	wake  chan struct{}

	mu     sync.Mutex // guards the field below
	wanted []byte
}

func newMemory(store platform.Feed, host string, log *slog.Logger) *memory {
	return &memory{store: store, key: upstreamsTable + "/" + host, log: log,
		dep: newDependency("store-"+upstreamsTable, log), wake: make(chan struct{}, 1)}
}

// keep stores an announcement soon.
func (m *memory) keep(a runner.Announcement) {
	value, err := json.Marshal(upstreamRow{ID: a.ID, Born: a.StartMS, Service: a.Service, CPU: a.CPU, MemMB: a.MemMB,
		Labels: a.Labels, Draining: a.Draining})
	if err != nil {
		// The row holds only texts and numbers.
		panic(err)
	}
	m.mu.Lock()
	m.wanted = value
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run reads the row for recall, and then writes it whenever it changes.
func (m *memory) run(ctx context.Context, recall func(runner.Announcement)) {
	stored, version, ok := m.read(ctx)
	if !ok {
		return
	}
	if a, ok := m.decode(stored); ok {
		recall(a)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for {
			m.mu.Lock()
			wanted := m.wanted
			m.mu.Unlock()
			if bytes.Equal(wanted, stored) {
				break
			}
			// The condition keeps a write that is carried out late from replacing a
			// newer one.
			written, err := m.write(ctx, wanted, version)
			if err == nil {
				stored, version = wanted, written
				continue
			}
			// A call without an answer may have been carried out.
			if stored, version, ok = m.read(ctx); !ok {
				return
			}
		}
	}
}

// read returns the row and its version, once the store answers.
func (m *memory) read(ctx context.Context) (value []byte, version uint64, ok bool) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		row, err := m.store.Get(call, m.key)
		cancel()
		if errorx.IsOfType(err, fault.NotFound) {
			m.dep.note(nil)
			return nil, 0, true
		}
		m.dep.note(err)
		if err == nil {
			return row.Value, row.Version, true
		}
		sleep(ctx, storeRetry)
	}
	return nil, 0, false
}

func (m *memory) write(ctx context.Context, value []byte, version uint64) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := m.store.Commit(call, platform.Transaction{
		Conditions: []platform.Condition{{Key: m.key, Version: version}},
		Writes:     []platform.Write{{Key: m.key, Value: value}},
	})
	if err != nil {
		m.log.Warn("announcement not stored", "version", version, "error", err.Error())
		sleep(ctx, storeRetry)
		return 0, err
	}
	m.log.Info("announcement stored", "row", string(value), "version", versions[0])
	return versions[0], nil
}

func (m *memory) decode(value []byte) (runner.Announcement, bool) {
	if len(value) == 0 {
		return runner.Announcement{}, false
	}
	var r upstreamRow
	if err := json.Unmarshal(value, &r); err != nil {
		m.log.Warn("stored announcement cannot be read", "error", err.Error())
		return runner.Announcement{}, false
	}
	return runner.Announcement{UpstreamID: runner.UpstreamID{ID: r.ID, StartMS: r.Born}, Service: r.Service,
		CPU: r.CPU, MemMB: r.MemMB, Labels: r.Labels, Draining: r.Draining}, true
}
