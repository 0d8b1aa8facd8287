package leasetest

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// waitLog compares the waits that were predicted when tasks were first assigned with those
// until their starts. It holds tasks that were predicted to wait.
type waitLog struct {
	first map[wire.LeasedTask]waitRecord
	// predicted and actual are sums by priority, tasks their number.
	predicted, actual [wire.PriorityLevels]time.Duration
	tasks             [wire.PriorityLevels]int
}

type waitRecord struct{ at, predicted time.Duration }

func (l *waitLog) assigned(w *world, m broker.Decision) {
	t := wire.LeasedTask{Job: m.Job, Index: uint16(m.Index)}
	if l == nil || m.Action != "assign" {
		return
	}
	if _, known := l.first[t]; !known {
		l.first[t] = waitRecord{at: w.now, predicted: m.Wait}
	}
}

func (l *waitLog) started(w *world, m runner.Decision) {
	if l == nil || m.Action != "start" {
		return
	}
	r := l.first[m.Attempt.Task]
	if r.predicted == 0 {
		return
	}
	p := wire.PriorityLevel(w.jobs[m.Attempt.Task.Job].queue.Priority)
	l.predicted[p] += r.predicted
	l.actual[p] += w.now - r.at
	l.tasks[p]++
	delete(l.first, m.Attempt.Task)
}

// Simulates a burst of long work above the capacity. Guards against waits that are predicted far
// too short, on which admission and placement rest: they were a quarter of the actual ones.
func TestWaitsArePredicted(t *testing.T) {
	t.Parallel()
	d := longBurst(1)
	d.duration = 7 * time.Second
	l := &waitLog{first: map[wire.LeasedTask]waitRecord{}}
	d.prepare = func(w *world) { w.waits = l }
	d.play(t).report(t, d)
	for p := range d.types {
		n := time.Duration(max(l.tasks[p], 1))
		predicted, actual := l.predicted[p]/n, l.actual[p]/n
		t.Logf("priority %d: %d tasks, predicted %v, actual %v", p, l.tasks[p], predicted, actual)
		if predicted < actual/2 || predicted > 2*actual {
			t.Errorf("priority %d: predicted %v, actual %v, want a factor of two at most", p, predicted, actual)
		}
	}
}
