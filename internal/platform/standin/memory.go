// Package standin replaces the platform's table service in tests and in dev mode.
// It holds the table in memory, serves it over HTTP, and can be configured to be
// slow, to be down and to lose the answers to writes that took effect.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
)

// Faults are the faults that the stand-in simulates.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LatencyMS delays every call.
	LatencyMS int `json:"latency_ms"`
	// LoseAnswers is the number of future commits that take effect, but whose
	// answers are lost.
	LoseAnswers int `json:"lose_answers"`
}

// Counts are the calls that the stand-in has served.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Rows   uint64 `json:"rows"`
	Writes uint64 `json:"writes"`
}

// Memory is a platform.Table in memory.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	faults  Faults
	counts  Counts
}

// NewMemory returns an empty table.
func NewMemory() *Memory { return &Memory{rows: map[string]platform.Row{}} }

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Counts returns the calls served so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// lockForCall simulates latency and unavailability, and takes the lock. The caller
// must release the lock if there is no error.
func (m *Memory) lockForCall(ctx context.Context) error {
	m.mu.Lock()
	latency := time.Duration(m.faults.LatencyMS) * time.Millisecond
	m.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return fault.Unavailable.Wrap(ctx.Err(), "table stand-in")
		}
	}
	m.mu.Lock()
	if m.faults.Down {
		m.mu.Unlock()
		return fault.Unavailable.New("table stand-in is down")
	}
	return nil
}

// Get implements platform.Table.
func (m *Memory) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := m.lockForCall(ctx); err != nil {
		return platform.Row{}, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	row, ok := m.rows[key]
	if !ok {
		return platform.Row{}, fault.NotFound.New("row %q does not exist", key)
	}
	m.counts.Rows++
	return row, nil
}

// List implements platform.Table.
func (m *Memory) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := m.lockForCall(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	rows := []platform.Row{}
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	m.counts.Rows += uint64(len(rows))
	return rows, nil
}

// Commit implements platform.Table.
func (m *Memory) Commit(ctx context.Context, t platform.Transaction) ([]uint64, error) {
	if err := m.lockForCall(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	for _, c := range t.Conditions {
		row, ok := m.rows[c.Key]
		holds := ok && (c.Version == row.Version || c.Version == platform.AnyVersion) || !ok && c.Version == 0
		if !holds {
			return nil, fault.Conflict.New("row %q has version %d, not %d", c.Key, row.Version, c.Version)
		}
	}
	versions := make([]uint64, len(t.Writes))
	for i, w := range t.Writes {
		m.version++
		m.counts.Writes++
		versions[i] = m.version
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: m.version}
	}
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return nil, fault.Unavailable.New("table stand-in lost the answer")
	}
	return versions, nil
}
