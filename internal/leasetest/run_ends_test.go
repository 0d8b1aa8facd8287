package leasetest

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/wire"
)

// addJob adds a job of one task that is not submitted yet.
func (w *world) addJob(id string, cpu int, runTime time.Duration) *clientJob {
	j := &clientJob{id: id, done: map[int]bool{}, tasks: []taskSpec{{cpu: cpu, runTime: runTime}}}
	w.jobs[id] = j
	return j
}

// hostOf returns the host on which a job's task runs.
func (w *world) hostOf(t *testing.T, j *clientJob) int {
	t.Helper()
	for _, u := range w.upstreams {
		for id := range u.runs {
			if id.Task == (wire.LeasedTask{Job: j.id}) {
				return u.host
			}
		}
	}
	t.Fatalf("job %s runs nowhere: %v", j.id, w.log)
	return -1
}

// reportFailure fails the test if an invariant was violated, and shows the log.
func (w *world) reportFailure(t *testing.T) {
	t.Helper()
	if w.failure == "" {
		return
	}
	t.Errorf("%s", w.failure)
	for _, line := range w.log {
		t.Log(line)
	}
}

// Guards against two runs of a task at a time if an upstream refuses connections for a while
// and its runs go on.
func TestUpstreamThatRefusesConnectionsKeepsItsRuns(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 3)
	w.run(300 * time.Millisecond)
	j := w.addJob("job0", 4000, 800*time.Millisecond)
	w.submit(j, w.entries[0])
	w.run(100 * time.Millisecond)
	u := w.upstreams[w.hostOf(t, j)]
	w.logf("upstream %d refuses connections", u.host)
	u.down = true
	w.after(200*time.Millisecond, func() { u.down = false })
	w.run(5 * time.Second)
	w.checkAllEnded()
	w.reportFailure(t)
}

// loseHost ends an entry whose host has lost power. Its callers submit their jobs to another
// entry at the earliest time that they may.
func (w *world) loseHost(e, other *entry) {
	w.logf("entry %d ends", e.index)
	e.paused = true
	for _, j := range e.waiting {
		w.leave(j, other)
	}
}

// leave closes the caller's connection, of which the entry's host knows, but not its process. The
// caller submits the job to another entry at the earliest time that it may.
func (w *world) leave(j *clientJob, other *entry) {
	w.logf("job %s: connection to entry %d is closed", j.id, j.entry.index)
	j.entry.closed[j.waiter] = true
	j.entry = nil
	w.after(resendAfter, func() { w.submit(j, other) })
}

// Guards against two runs of a task at a time if its entry ends and its upstream holds the
// stop commands back, while it carries out the starts of another entry.
func TestStartsDoNotPreserveTheRunOfAnEntryThatHasEnded(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 2)
	w.upstreams[0].capacity, w.upstreams[1].capacity = 10_000, 10_000
	w.run(300 * time.Millisecond)
	j := w.addJob("job0", 4000, 5*time.Second)
	w.submit(j, w.entries[0])
	w.run(100 * time.Millisecond)
	u := w.upstreams[w.hostOf(t, j)]
	u.holdsStopsOf = j.id
	w.loseHost(w.entries[0], w.entries[1])
	for n := range 100 {
		w.submit(w.addJob(fmt.Sprintf("other%d", n), 2000, 100*time.Millisecond), w.entries[1])
		w.run(18 * time.Millisecond)
	}
	u.holdsStopsOf = ""
	w.run(10 * time.Second)
	w.reportFailure(t)
}

// Guards against two runs of a task at a time if an entry that resumes after a pause takes
// longer than the delay of its first commands to learn that a caller has left.
func TestResumedEntryLearnsLateThatACallerHasLeft(t *testing.T) {
	t.Parallel()
	for seed := range int64(10) {
		w := newWorld(seed, 2, 3)
		w.run(300 * time.Millisecond)
		e, j := w.entries[0], w.addJob("job0", 15_000, 5*time.Second)
		w.submit(j, e)
		w.run(100 * time.Millisecond)
		w.logf("entry 0 is paused")
		e.paused = true
		w.run(100 * time.Millisecond)
		w.leave(j, w.entries[1])
		w.run(2 * time.Second)
		w.logf("entry 0 resumes")
		e.resume(w)
		w.run(handledAfterResume)
		w.logf("entry 0 learns that the caller has left")
		e.do(func(c *broker.Broker) { c.CallerLeft(e.now(), j.id, 1) })
		w.run(10 * time.Second)
		w.reportFailure(t)
	}
}

// handledAfterResume is the time after which a resumed entry with a fifth of a core has handled
// the ends of some hundred connections.
const handledAfterResume = 100 * time.Millisecond

// Guards against two runs of a task at a time, and the other violations of the random model, if
// upstreams cannot be reached for a while and their runs go on: calls are reset, refused or
// unanswered.
func TestInvariantsWithUpstreamsOutOfReach(t *testing.T) {
	t.Parallel()
	for _, hazards := range [][]hazard{{flapReset, flapRefused, longRuns}, {flapSilent, flapReset, flapRefused, downtimes, resubmissions}} {
		for seed := range int64(40) {
			if _, failure := simulateHazards(seed, true, hazards); failure != "" {
				t.Errorf("%v, seed %d: %s", hazards, seed, failure)
			}
		}
	}
}
