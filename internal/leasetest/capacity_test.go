package leasetest

import (
	"testing"
	"time"
)

// Guards against starts above a capacity that has shrunk: tasks run, wait and are on their
// way meanwhile, agents are killed and paused, and stored announcements are lost or old. No
// task waits for a capacity that is gone.
func TestShrinkingCapacityUnderRandomFailures(t *testing.T) {
	t.Parallel()
	starts := 0
	for seed := range int64(150) {
		w, failure := simulateWith(seed, func(w *world) {
			for range 12 {
				u := w.upstreams[w.rng.Intn(len(w.upstreams))]
				capacity := 20_000
				if w.rng.Intn(3) > 0 {
					capacity = 3000 + w.rng.Intn(12_000)
				}
				w.after(w.between(time.Second, 16*time.Second), func() { u.setCapacity(capacity) })
			}
			for _, u := range w.upstreams {
				w.after(18*time.Second, func() { u.setCapacity(20_000) })
			}
		})
		starts += w.starts
		if failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
	t.Logf("%d starts", starts)
}
