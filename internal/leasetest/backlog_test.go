package leasetest

import (
	"fmt"
	"testing"
	"time"
)

// Guards against two runs of a task after an entry's pause in which agents were killed:
// the links of their earlier processes wait at the entry beside those of the present
// ones and are handled in any order, while tasks are already assigned.
func TestEntryResumesWithABacklogOfLinks(t *testing.T) {
	t.Parallel()
	for seed := range int64(60) {
		w := newWorld(seed, 2, 4)
		w.run(300 * time.Millisecond)
		e := w.entries[0]
		e.paused = true
		pause := w.between(2*time.Second, 4*time.Second)
		for _, a := range w.agents {
			w.after(w.between(step, pause), a.restart)
			if w.rng.Intn(2) == 0 {
				w.after(pause+w.between(step, 500*time.Millisecond), a.restart)
			}
		}
		w.after(pause, func() { e.resume(w) })
		for range int(pause/(20*time.Millisecond)) + 50 {
			j := &clientJob{id: fmt.Sprintf("job%d", len(w.jobs)), done: map[int]bool{}}
			for range 1 + w.rng.Intn(3) {
				j.tasks = append(j.tasks, taskSpec{cpu: 1000 + w.rng.Intn(2000), runTime: w.between(10*time.Millisecond, 400*time.Millisecond)})
			}
			w.jobs[j.id] = j
			// Callers of the paused entry give up before their jobs run elsewhere.
			to := w.entries[1]
			if !e.paused {
				to = w.entries[w.rng.Intn(2)]
			}
			w.submit(j, to)
			w.run(20 * time.Millisecond)
		}
		w.run(10 * time.Second)
		w.checkAllEnded()
		if w.failure != "" {
			t.Errorf("seed %d: %s", seed, w.failure)
		}
	}
}
