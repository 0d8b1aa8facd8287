package leasetest

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	evacuateWithin = 2 * time.Second
	// contactTime is the time without a disturbance after which a process has to know of
	// a request.
	contactTime = 1200 * time.Millisecond
	// storePollInterval is the longest time between two answers of the store to an entry.
	storePollInterval = 700 * time.Millisecond
	storeLatency      = 5 * time.Millisecond
)

// evacuationStore holds the operators' requests to evacuate a data centre. A nil store is
// one without requests.
type evacuationStore struct {
	w        *world
	version  uint64
	requests map[string]evacuation.Request
	// withdrawn holds the last state before the present one, which stale reads return.
	previous evacuation.Update
	// The mechanisms, which tests switch off one at a time.
	noAgentCheck, noEntryPlacing, noVersionOrder bool
	changes                                      int
}

// storePath is a process's path to the store.
type storePath struct {
	cutUntil time.Duration
	polledAt time.Duration
	// disturbedAt is when the process was last paused, cut off or started.
	disturbedAt time.Duration
}

func (w *world) dataCentre(agent int) string {
	if w.evacuations == nil {
		return "dc"
	}
	return fmt.Sprint("dc", agent%2)
}

func (s *evacuationStore) entryBound() time.Duration {
	if s == nil || s.noEntryPlacing {
		return 0
	}
	return evacuateWithin
}

func (s *evacuationStore) agentBound() time.Duration {
	if s == nil || s.noAgentCheck {
		return 0
	}
	return evacuateWithin
}

// set writes or withdraws a request.
func (s *evacuationStore) set(dc string, on bool) {
	s.previous = s.update(0)
	s.version++
	s.changes++
	if on {
		s.requests[dc] = evacuation.Request{DataCentre: dc, Version: s.version, Since: s.w.now}
	} else {
		delete(s.requests, dc)
	}
	s.w.logf("operator: evacuation of %s: %v", dc, on)
	for _, e := range s.w.entries {
		s.answerEntry(e)
	}
}

// update is the store's answer at this moment.
func (s *evacuationStore) update(asOf time.Duration) evacuation.Update {
	u := evacuation.Update{All: true, Version: s.version, AsOf: asOf}
	for _, dc := range slices.Sorted(maps.Keys(s.requests)) {
		u.Changes = append(u.Changes, evacuation.Change{DataCentre: dc, Version: s.requests[dc].Version})
	}
	return u
}

// read is the store's answer to a process, now and then a stale one.
func (s *evacuationStore) read(asOf time.Duration) evacuation.Update {
	u := s.update(asOf)
	if s.w.chance(0.2) {
		u = s.previous
		u.AsOf = asOf
	}
	if s.noVersionOrder {
		s.version++
		u.Version = s.version
	}
	return u
}

func (s *evacuationStore) answerEntry(e *entry) {
	incarnation, asked := e.incarnation, e.now()
	e.storePath.polledAt = s.w.now
	if s.w.now < e.storePath.cutUntil {
		return
	}
	s.w.after(storeLatency, func() {
		if e.incarnation != incarnation || s.w.now < e.storePath.cutUntil {
			return
		}
		u := s.read(asked)
		e.receive(func() { e.do(func(b *broker.Broker) { b.Evacuations(e.now(), u) }) })
	})
}

func (s *evacuationStore) answerAgent(a *agent) {
	incarnation, asked := a.incarnation, a.now()
	if s.w.now < a.storePath.cutUntil {
		return
	}
	s.w.after(storeLatency, func() {
		if a.incarnation != incarnation || s.w.now < a.storePath.cutUntil {
			return
		}
		u := s.update(asked)
		a.receive(func() { a.do(func(r *runner.Runner) { r.Evacuations(a.now(), u) }) })
	})
}

func (p *storePath) note(w *world, paused bool, startedAt time.Duration) {
	if paused || w.now < p.cutUntil {
		p.disturbedAt = w.now
	}
	p.disturbedAt = max(p.disturbedAt, startedAt)
}

func (s *evacuationStore) step() {
	if s == nil {
		return
	}
	for _, e := range s.w.entries {
		e.storePath.note(s.w, e.paused, e.startedAt)
		if s.w.now-e.storePath.polledAt >= storePollInterval && !e.paused {
			s.answerEntry(e)
		}
	}
	for _, a := range s.w.agents {
		a.storePath.note(s.w, a.paused, a.startedAt)
	}
}

// overdue reports whether the data centre should get no new work by now.
func (s *evacuationStore) overdue(dc string, p *storePath) bool {
	r, ok := s.requests[dc]
	return ok && s.w.now-r.Since > evacuateWithin && s.w.now-p.disturbedAt > contactTime
}

// checkStart checks that a task does not start where it must not.
func (s *evacuationStore) checkStart(host int, id wire.LeasedAttempt) {
	if s == nil || !s.overdue(s.w.dataCentre(host), &s.w.agents[host].storePath) {
		return
	}
	s.w.failf("task %v starts in %s, which is being evacuated", id.Task, s.w.dataCentre(host))
}

// checkAssign checks that an entry does not send a task to where it must not start.
func (s *evacuationStore) checkAssign(e *entry, a *agent) {
	if s != nil && s.overdue(s.w.dataCentre(a.index), &e.storePath) {
		s.w.failf("entry %d sends a task to %s, which is being evacuated", e.index, s.w.dataCentre(a.index))
	}
}

// withEvacuations lets operators empty and take back data centres at random, and cuts
// processes off from the store.
func withEvacuations(w *world, off func(*evacuationStore)) {
	s := &evacuationStore{w: w, version: 1, requests: map[string]evacuation.Request{}}
	off(s)
	w.evacuations = s
	for _, e := range w.entries {
		e.restart()
	}
	for _, a := range w.agents {
		a.restart()
	}
	var operator, cutter func()
	operator = func() {
		dc := fmt.Sprint("dc", w.rng.Intn(2))
		if w.faults {
			_, on := s.requests[dc]
			s.set(dc, !on)
		} else {
			// A job of several tasks may be too large to be served in time by what is left.
			for _, dc := range slices.Sorted(maps.Keys(s.requests)) {
				s.set(dc, false)
			}
		}
		w.after(w.between(300*time.Millisecond, 5*time.Second), operator)
	}
	cutter = func() {
		if w.faults {
			until := w.now + w.between(200*time.Millisecond, 4*time.Second)
			for _, e := range w.entries {
				if w.rng.Intn(2) == 0 {
					e.storePath.cutUntil = until
				}
			}
			for _, a := range w.agents {
				if w.rng.Intn(4) == 0 {
					a.storePath.cutUntil = until
				}
			}
		}
		w.after(w.between(time.Second, 6*time.Second), cutter)
	}
	w.after(time.Second, operator)
	w.after(2*time.Second, cutter)
}

// evacuationSeeds is the number of seeds of the random simulations with evacuations.
const evacuationSeeds = 150

// Guards against starts in a data centre that operators are evacuating, under kills, pauses,
// cuts from the store, stale reads, silent and delayed links and late commands.
func TestEvacuationsUnderRandomFailures(t *testing.T) {
	t.Parallel()
	changes, served := 0, 0
	for seed := range int64(evacuationSeeds) {
		w, failure := simulateWith(seed, func(w *world) { withEvacuations(w, func(*evacuationStore) {}) })
		if failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
		changes += w.evacuations.changes
		served += w.served
	}
	if changes == 0 || served == 0 {
		t.Errorf("%d requests, %d jobs served: nothing was tested", changes, served)
	}
	t.Logf("%d requests, %d jobs served", changes, served)
}

// Guards against a random simulation that would not notice the loss of a mechanism.
func TestEvacuationsNeedEachMechanism(t *testing.T) {
	t.Parallel()
	for name, off := range map[string]func(*evacuationStore){
		"check of the agent":   func(s *evacuationStore) { s.noAgentCheck = true },
		"placing by the entry": func(s *evacuationStore) { s.noEntryPlacing = true },
		"sequence of versions": func(s *evacuationStore) { s.noVersionOrder = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(evacuationSeeds) {
				if _, failure := simulateWith(seed, func(w *world) { withEvacuations(w, off) }); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					return
				}
			}
			t.Error("the simulation does not notice that it is off")
		})
	}
}
