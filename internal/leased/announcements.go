package leased

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

// upstreamRow is a stored announcement.
type upstreamRow struct {
	ID       string   `json:"id"`
	StartMS  int64    `json:"born"`
	Service  string   `json:"service"`
	CPU      int      `json:"cpu"`
	MemMB    int      `json:"mem_mb"`
	Labels   []string `json:"labels"`
	Draining bool     `json:"draining"`
}

// announcementStore writes an upstream's announcement to the store. It writes only
// when the announcement has changed, which is a few times in an incarnation of the
// upstream.
type announcementStore struct {
	store  platform.Feed
	key    string
	log    *slog.Logger
	dep    *dependency
	notify chan struct{}

	mu     sync.Mutex // guards the fields below
	latest []byte
	// waiting are closed when the row holds the latest announcement.
	waiting []chan struct{}
}

func newAnnouncementStore(store platform.Feed, host string, log *slog.Logger) *announcementStore {
	return &announcementStore{store: store, key: upstreamsTable + "/" + host, log: log,
		dep: newDependency("store-"+upstreamsTable, log), notify: make(chan struct{}, 1)}
}

// save makes run write an announcement. It does not block. The channel that it returns is
// closed once the row holds this announcement or a later one.
func (s *announcementStore) save(a runner.Announcement) <-chan struct{} {
	value, err := json.Marshal(upstreamRow{ID: a.ID, StartMS: a.StartMS, Service: a.Service, CPU: a.CPU, MemMB: a.MemMB,
		Labels: a.Labels, Draining: a.Draining})
	if err != nil {
		// The row holds only strings, numbers and booleans, which can always be
		// encoded.
		panic(err)
	}
	stored := make(chan struct{})
	s.mu.Lock()
	s.latest = value
	s.waiting = append(s.waiting, stored)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
	return stored
}

// pending returns the latest announcement if the row differs from it. Otherwise it
// releases those that wait for the row.
func (s *announcementStore) pending(stored []byte) (latest []byte, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(s.latest, stored) {
		return s.latest, true
	}
	for _, w := range s.waiting {
		close(w)
	}
	s.waiting = nil
	return nil, false
}

// run reads the row, passes it to restore, and then writes it whenever it changes.
func (s *announcementStore) run(ctx context.Context, restore func(runner.Announcement)) {
	stored, version, ok := s.read(ctx)
	if !ok {
		return
	}
	if a, ok := s.decode(stored); ok {
		restore(a)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.notify:
		}
		for {
			latest, differs := s.pending(stored)
			if !differs {
				break
			}
			// The condition on the version keeps a delayed write from replacing a
			// newer one.
			written, err := s.write(ctx, latest, version)
			if err == nil {
				stored, version = latest, written
				continue
			}
			// A call without an answer may have taken effect.
			if stored, version, ok = s.read(ctx); !ok {
				return
			}
		}
	}
}

// read returns the row and its version. It retries until the store answers.
func (s *announcementStore) read(ctx context.Context) (value []byte, version uint64, ok bool) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		row, err := s.store.Get(call, s.key)
		cancel()
		if errorx.IsOfType(err, fault.NotFound) {
			s.dep.observe(nil)
			return nil, 0, true
		}
		s.dep.observe(err)
		if err == nil {
			return row.Value, row.Version, true
		}
		sleep(ctx, storeRetry)
	}
	return nil, 0, false
}

func (s *announcementStore) write(ctx context.Context, value []byte, version uint64) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := s.store.Commit(call, platform.Transaction{
		Conditions: []platform.Condition{{Key: s.key, Version: version}},
		Writes:     []platform.Write{{Key: s.key, Value: value}},
	})
	if err != nil {
		s.log.Warn("announcement not stored", "version", version, "error", err.Error())
		sleep(ctx, storeRetry)
		return 0, err
	}
	s.log.Info("announcement stored", "row", string(value), "version", versions[0])
	return versions[0], nil
}

func (s *announcementStore) decode(value []byte) (runner.Announcement, bool) {
	if len(value) == 0 {
		return runner.Announcement{}, false
	}
	var r upstreamRow
	if err := json.Unmarshal(value, &r); err != nil {
		s.log.Warn("cannot decode stored announcement", "error", err.Error())
		return runner.Announcement{}, false
	}
	return runner.Announcement{UpstreamID: runner.UpstreamID{ID: r.ID, StartMS: r.StartMS}, Service: r.Service,
		CPU: r.CPU, MemMB: r.MemMB, Labels: r.Labels, Draining: r.Draining}, true
}
