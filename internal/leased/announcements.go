package leased

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// upstreamsTable is the table with a row for each agent's upstream. The agent's next process
// reads it at its start, and entries follow it for crashes: those that have no link to the
// agent hear of them too, and a crash is not forgotten with the processes that saw it.
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
	// Crashes are the upstream's recent crashes, the last one last.
	Crashes []crashRow `json:"crashes,omitempty"`
}

// crashRow is a stored crash.
type crashRow struct {
	// At is the time of the crash in milliseconds since 1970.
	At      int64             `json:"at"`
	StartMS int64             `json:"born"`
	Runs    []wire.CrashedRun `json:"runs,omitempty"`
	// Retracted is set if the incarnation has answered since.
	Retracted bool `json:"retracted,omitempty"`
}

const (
	// storedCrashAge is the age up to which a stored crash is used.
	storedCrashAge = 60 * time.Second
	// maxStoredCrashes and maxStoredRuns bound the size of a row: the crashes in it, and
	// the runs of each.
	maxStoredCrashes = 6
	maxStoredRuns    = 100
)

// recentCrashes returns the crashes of a row that are still of use.
func (r upstreamRow) recentCrashes(now time.Time) []wire.UpstreamCrash {
	var out []wire.UpstreamCrash
	for _, c := range r.Crashes {
		if now.Sub(time.UnixMilli(c.At)).Abs() <= storedCrashAge {
			age := max(0, now.Sub(time.UnixMilli(c.At)))
			out = append(out, wire.UpstreamCrash{StartMS: c.StartMS, Runs: c.Runs, SinceMS: uint32(age / time.Millisecond), Retracted: c.Retracted})
		}
	}
	return out
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
	row    upstreamRow
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
	stored := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row = upstreamRow{ID: a.ID, StartMS: a.StartMS, Service: a.Service, CPU: a.CPU, MemMB: a.MemMB,
		Labels: a.Labels, Draining: a.Draining, Crashes: s.row.Crashes}
	s.waiting = append(s.waiting, stored)
	s.encode()
	return stored
}

// saveCrash makes run write a crash. It does not block.
func (s *announcementStore) saveCrash(at time.Time, startMS int64, runs []wire.CrashedRun) {
	s.addCrash(crashRow{At: at.UnixMilli(), StartMS: startMS, Runs: runs[:min(len(runs), maxStoredRuns)]})
}

// retractCrash makes run write that an incarnation has not crashed. It does not block.
func (s *announcementStore) retractCrash(at time.Time, startMS int64) {
	s.addCrash(crashRow{At: at.UnixMilli(), StartMS: startMS, Retracted: true})
}

// addCrash replaces what the row says of a crash of the incarnation.
func (s *announcementStore) addCrash(c crashRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The row's crashes may be shared with a reader.
	crashes := slices.DeleteFunc(slices.Clone(s.row.Crashes), func(o crashRow) bool { return o.StartMS == c.StartMS })
	crashes = append(crashes, c)
	s.row.Crashes = crashes[max(0, len(crashes)-maxStoredCrashes):]
	s.encode()
}

// encode makes run write the row. The caller holds s.mu.
func (s *announcementStore) encode() {
	value, err := json.Marshal(s.row)
	if err != nil {
		// The row holds only strings, numbers and booleans, which can always be
		// encoded.
		panic(err)
	}
	s.latest = value
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// adopt takes over what an earlier process of the agent has stored, as far as this one has
// not announced anything newer.
func (s *announcementStore) adopt(r upstreamRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Crashes = append(r.Crashes, s.row.Crashes...)
	if s.row.StartMS != 0 {
		s.row.Crashes = r.Crashes
	} else {
		s.row = r
	}
	if s.latest != nil {
		s.encode()
	}
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
func (s *announcementStore) run(ctx context.Context, restore func(runner.Announcement, []wire.UpstreamCrash)) {
	stored, version, ok := s.read(ctx)
	if !ok {
		return
	}
	if r, err := decodeUpstreamRow(stored); err == nil {
		s.adopt(r)
		restore(r.announcement(), r.recentCrashes(time.Now()))
	} else if version != 0 {
		newMalformedRows(upstreamsTable, s.log).found(s.key, version, fault.Text(err))
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

// decodeUpstreamRow decodes the row of an upstream. It has an announcement, crashes or both.
func decodeUpstreamRow(value []byte) (upstreamRow, error) {
	var r upstreamRow
	if err := decodeRow(value, &r); err != nil {
		return upstreamRow{}, err
	}
	if r.StartMS != 0 || len(r.Crashes) == 0 {
		if err := r.announcement().Validate(); err != nil {
			return upstreamRow{}, err
		}
	}
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxStoredCrashes):]
	for i, c := range r.Crashes {
		r.Crashes[i].Runs = c.Runs[:min(len(c.Runs), maxStoredRuns)]
		for _, run := range c.Runs {
			if len(run.Queue) > maxName || len(run.Attempt.Task.Job) > maxName {
				return upstreamRow{}, fault.BadResponse.New("run of a crash with names of %d and %d bytes", len(run.Queue), len(run.Attempt.Task.Job))
			}
		}
	}
	return r, nil
}

func (r upstreamRow) announcement() runner.Announcement {
	return runner.Announcement{UpstreamID: runner.UpstreamID{ID: r.ID, StartMS: r.StartMS}, Service: r.Service,
		CPU: r.CPU, MemMB: r.MemMB, Labels: r.Labels, Draining: r.Draining}
}
