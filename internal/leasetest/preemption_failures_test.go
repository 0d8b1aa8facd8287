package leasetest

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/runner"
)

// playPreemption fills two upstreams with long work of entry 0 and then submits an urgent job
// to entry 1. It calls fault when a run is sent a stop.
func playPreemption(seed int64, on bool, fault func(w *world, a *agent)) (w *world, urgent *clientJob, long []*clientJob) {
	w = newWorld(seed, 2, 2)
	s := preemption.DefaultSettings(stopGrace)
	s.On = on
	w.setPreemption(s)
	w.preempt.onStop = func(a *agent, _ runner.Preempted) { fault(w, a) }
	w.run(300 * time.Millisecond)
	send := func(id string, q *catalog.Queue, tasks int, runTime time.Duration, e *entry) *clientJob {
		j := &clientJob{id: id, queue: q, sentAt: w.now, done: map[int]bool{}}
		for range tasks {
			j.tasks = append(j.tasks, taskSpec{cpu: 5000, runTime: runTime})
		}
		w.jobs[id] = j
		w.submit(j, e)
		return j
	}
	for i := range 2 {
		q := &catalog.Queue{Name: "long", Service: "s", Priority: 2, MaxAttempts: 1, Stretch: 2, LatencyTarget: 150 * time.Millisecond}
		long = append(long, send(fmt.Sprint("long", i), q, 4, 1500*time.Millisecond, w.entries[0]))
	}
	w.run(w.between(20*time.Millisecond, 60*time.Millisecond))
	q := &catalog.Queue{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 1, Stretch: 2, LatencyTarget: 80 * time.Millisecond}
	urgent = send("urgent", q, 1, 300*time.Millisecond, w.entries[1])
	w.run(20 * time.Second)
	w.checkAllEnded()
	return w, urgent, long
}

// Guards against urgent work that waits behind long runs that have just begun, and against a
// preempted job that ends late although it had the time to restart. Without preemption the
// urgent job is late.
func TestUrgentWorkPreemptsRunsThatHaveJustBegun(t *testing.T) {
	t.Parallel()
	for seed := range int64(20) {
		for _, on := range []bool{false, true} {
			w, urgent, long := playPreemption(seed, on, func(*world, *agent) {})
			if w.failure != "" {
				t.Errorf("seed %d: %s", seed, w.failure)
			}
			if onTime := urgent.outcome == broker.Completed && urgent.responseTime <= urgent.target(); onTime != on {
				t.Errorf("seed %d: with preemption %v the urgent job ends as %v after %v", seed, on, urgent.outcome, urgent.responseTime)
			}
			for _, j := range long {
				if j.outcome != broker.Completed || j.responseTime > j.target() {
					t.Errorf("seed %d: with preemption %v, %s ends as %v after %v", seed, on, j.id, j.outcome, j.responseTime)
				}
			}
		}
	}
}

// killEntry kills an entry. Its callers submit their jobs to another one.
func (w *world) killEntry(e *entry) {
	waiting := e.waiting
	e.restart()
	for _, n := range slices.Sorted(maps.Keys(waiting)) {
		if j := waiting[n]; j.entry == e && !j.answered {
			j.entry = nil
			w.after(resendAfter, func() { w.submit(j, w.entries[1-e.index]) })
		}
	}
}

// Guards against two runs of a task, an upstream above its capacity, a failed job (each has
// one attempt) and a job without an answer, if something fails between the stop of a run and
// the next start of its task.
func TestFailuresHalfwayThroughAPreemption(t *testing.T) {
	t.Parallel()
	const soon = 60 * time.Millisecond
	for name, fault := range map[string]func(*world, *agent){
		"stop command is carried out late": func(w *world, _ *agent) {
			w.faults, w.commandFaultRate = true, 1
			w.after(5*step, func() { w.faults = false })
		},
		"stop command and lists get no answer": func(w *world, a *agent) {
			a.upstream().unresponsive = true
			w.after(150*time.Millisecond, func() { a.upstream().unresponsive = false })
		},
		"lists with the end get no answer": func(w *world, a *agent) {
			w.after(2*step, func() { a.upstream().unresponsive = true })
			w.after(150*time.Millisecond, func() { a.upstream().unresponsive = false })
		},
		"report of the end is lost": func(_ *world, a *agent) {
			for _, c := range a.links {
				c.silent = true
			}
		},
		"agent dies":       func(w *world, a *agent) { w.after(w.between(step, soon), a.restart) },
		"upstream dies":    func(w *world, a *agent) { w.after(w.between(step, soon), a.upstream().restart) },
		"entry dies":       func(w *world, _ *agent) { w.after(w.between(step, soon), func() { w.killEntry(w.entries[0]) }) },
		"other entry dies": func(w *world, _ *agent) { w.after(w.between(step, soon), func() { w.killEntry(w.entries[1]) }) },
		"entry is paused": func(w *world, _ *agent) {
			e := w.entries[0]
			w.after(w.between(step, soon), func() {
				e.paused = true
				for _, n := range slices.Sorted(maps.Keys(e.waiting)) {
					w.disconnectCaller(e.waiting[n])
				}
				w.after(w.between(100*time.Millisecond, 2*time.Second), func() { e.resume(w) })
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			stops := 0
			for seed := range int64(20) {
				w, urgent, long := playPreemption(seed, true, func(w *world, a *agent) {
					if w.preempt.stops == 1 {
						fault(w, a)
					}
				})
				stops += w.preempt.stops
				if w.failure != "" {
					t.Errorf("seed %d: %s", seed, w.failure)
				}
				for _, j := range long {
					if j.outcome != broker.Completed {
						t.Errorf("seed %d: %s ends as %v", seed, j.id, j.outcome)
					}
				}
				// While its upstream does not answer, the urgent job may reach the time
				// after which a job that has not started is refused. If its entry dies, it
				// is submitted to another one, which may refuse that submission for the
				// load, whatever became of the first.
				hasRun := urgent.started && urgent.submissions == 1
				if urgent.outcome != broker.Completed && (urgent.outcome != broker.Refused || hasRun) {
					t.Errorf("seed %d: the urgent job ends as %v, started: %v", seed, urgent.outcome, urgent.started)
				}
			}
			if stops == 0 {
				t.Error("no run was preempted")
			}
		})
	}
}
