package leasetest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/locality"
)

// holdLong holds each task for a second while its rack is full, so that failures find held
// tasks.
var holdLong = rackPolicy{"hold long", locality.Settings{MaxWait: time.Minute, Decide: decideAfter(time.Second)}}

// faultLoad fills the first rack, so that most tasks are held.
func faultLoad(seed int64, p rackPolicy) rackLoad {
	return rackLoad{seed: seed, load: 0.5, farFactor: 2, shares: hotRack, policy: p, duration: 4 * time.Second, stretch: 20}
}

// checkServed checks that each job has an answer, and that none is lost but those of callers
// that were told so. The world itself checks that no task runs twice at a time, that no
// upstream is above its capacity and that refused jobs have not run.
func checkServed(t *testing.T, r rackResult) {
	t.Helper()
	if r.w.failure != "" {
		t.Fatal(r.w.failure)
	}
	if r.w.racks.held == 0 && r.w.racks.nearStarts == 0 {
		t.Fatal("no task was held or ran on its rack")
	}
	t.Log(r)
	for _, j := range r.jobs {
		if !j.answered {
			t.Errorf("job %s has no answer", j.id)
		} else if j.outcome != broker.Completed && j.outcome != broker.Refused {
			t.Errorf("job %s ended as %v", j.id, j.outcome)
		}
	}
}

// Guards against tasks that stay held, or are lost, as the upstreams of their rack crash.
func TestUpstreamsCrashUnderHeldTasks(t *testing.T) {
	t.Parallel()
	for _, p := range []rackPolicy{holdLong, adaptive} {
		r := faultLoad(11, p).play(func(w *world) {
			for i, u := range w.upstreams {
				if i%len(hotRack) == 0 {
					w.after(1500*time.Millisecond, func() { u.crash(w.crashDowntime, i%2 == 0) })
				}
			}
		})
		checkServed(t, r)
	}
}

// Guards against held tasks that are lost, or run twice, as the entry that holds them ends. Its
// callers submit their jobs to another entry.
func TestEntryEndsWithHeldTasks(t *testing.T) {
	t.Parallel()
	for _, p := range []rackPolicy{holdLong, adaptive} {
		r := faultLoad(12, p).play(func(w *world) {
			w.after(1500*time.Millisecond, func() {
				e := w.entries[0]
				for _, j := range w.jobs {
					if j.entry == e {
						w.disconnectCaller(j)
					}
				}
				e.restart()
			})
		})
		checkServed(t, r)
	}
}

// Guards against decisions on old reports that start a task twice or never: agents of the rack
// and their links are slow, and commands are lost.
func TestLateReportsUnderHeldTasks(t *testing.T) {
	t.Parallel()
	for _, p := range []rackPolicy{holdLong, adaptive} {
		l := faultLoad(13, p)
		l.load = 0.35
		r := l.play(func(w *world) {
			w.faults, w.commandFaultRate = true, 0.02
			w.after(l.duration, func() { w.faults = false })
		})
		checkServed(t, r)
	}
}

// Simulates a hot spot from its first moment: nine tenths of the tasks want one of four racks,
// nearly twice what it can run. Guards against a surplus that first waits for the rack: nearly
// all tasks that run elsewhere must go there at once, and jobs must end sooner than without the
// part, which lets them queue at the rack.
func TestHotSpotSpreadsAtOnce(t *testing.T) {
	t.Parallel()
	l := rackLoad{seed: 1, load: 0.5, farFactor: 2, shares: hotRack, policy: adaptive, duration: 12 * time.Second, stretch: 20}
	r := l.play(nil)
	t.Log(r)
	k := r.w.racks
	if far := k.starts - k.nearStarts; far < 200 || 20*k.regretted > far {
		t.Errorf("%d of %d off-rack tasks had waited for the rack, want 5%% at most", k.regretted, far)
	}
	l.policy = penaltyOnly
	without := l.play(nil)
	if t.Log(without); r.mean >= without.mean || r.p99 >= without.p99 {
		t.Errorf("mean %.3f p99 %.2f, want less than without the part: %.3f and %.2f", r.mean, r.p99, without.mean, without.p99)
	}
}

// Simulates racks with uneven demand near the capacity. Guards against a wait that is longer than
// pays off, and against off-rack runs that take the capacity of others: by mean and 99th
// percentile, jobs must take no longer than with the better of two simpler rules. The penalty
// alone reaches that as well; the test that fails without the part is
// TestHotSpotSpreadsAtOnce.
func TestRacksNearCapacity(t *testing.T) {
	t.Parallel()
	load := rackLoad{load: 0.9, farFactor: 3, shares: skewedRacks, duration: 12 * time.Second, stretch: 20}
	measure := func(p rackPolicy) (mean, p99 float64) {
		for seed := range int64(2) {
			l := load
			l.seed, l.policy = seed+1, p
			r := l.play(nil)
			t.Log(p.name, r)
			mean, p99 = mean+r.mean/2, p99+r.p99/2
		}
		return mean, p99
	}
	mean, p99 := measure(adaptive)
	for _, p := range []rackPolicy{neverWait, fixedWait} {
		if m, q := measure(p); mean > m || p99 > q {
			t.Errorf("mean %.3f p99 %.2f, want no more than with %s: %.3f and %.2f", mean, p99, p.name, m, q)
		}
	}
}

// Guards against a queue that waits for its rack at the expense of another: under uneven demand
// near the capacity, each queue's share of tasks on their rack is similar.
func TestRackWaitsStayFairBetweenQueues(t *testing.T) {
	t.Parallel()
	l := rackLoad{seed: 5, load: 0.9, farFactor: 2, shares: skewedRacks, policy: adaptive, duration: 12 * time.Second, stretch: 20}
	r := l.play(nil)
	var worst, best float64 = 1, 0
	for queue, n := range r.w.racks.byQueue {
		if n.starts < 50 {
			continue
		}
		share := float64(n.near) / float64(n.starts)
		t.Logf("%s: %.3f of %d on the rack", queue, share, n.starts)
		worst, best = min(worst, share), max(best, share)
	}
	if best == 0 || worst < 0.8*best {
		t.Errorf("shares on the rack from %.2f to %.2f, want the worst at 0.8 of the best at least", worst, best)
	}
}

// Plays a hot spot that begins after eight seconds of even demand, so that what was learned says
// that all tasks find room. Guards against a surplus that first waits for the rack, as when loads
// are averaged over seconds: of the tasks that run elsewhere, 5% at most may have waited.
func TestLaterHotSpotSpreadsAtOnce(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{1.5, 2, 3} {
		t.Run(fmt.Sprintf("%.1f", factor), func(t *testing.T) {
			far, regretted := 0, 0
			for seed := range int64(5) {
				l := rackLoad{seed: seed + 1, load: 0.5, farFactor: factor, shares: slices.Clone(evenRacks), policy: adaptive, duration: 12 * time.Second, stretch: 20}
				r := l.play(func(w *world) {
					w.after(8*time.Second, func() { copy(l.shares, hotRack) })
				})
				far, regretted = far+r.w.racks.starts-r.w.racks.nearStarts, regretted+r.w.racks.regretted
			}
			t.Logf("%d of %d off-rack tasks had waited", regretted, far)
			if far < 1000 || 20*regretted > far {
				t.Errorf("%d of %d off-rack tasks had waited for the rack, want 5%% at most", regretted, far)
			}
		})
	}
}
