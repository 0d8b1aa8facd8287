package leasetest

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
)

// afterLoss is the demand after all hosts were down for 1.6 s: for 1.2 s, callers submit again what
// was lost beside new jobs. It returns the new jobs of that time. With noTimeouts callers do
// not say how long they wait, so no entry can tell lost jobs from new ones. Callers wait for three
// times the response time that they expect, and a second and a half. With scarcityOff, admission
// under scarcity is off, which refuses lost and new jobs alike.
func afterLoss(t *testing.T, seed int64, noTimeouts, scarcityOff bool) (fresh []*clientJob) {
	t.Helper()
	const (
		from, to = time.Second, 2200 * time.Millisecond
		waited   = 1300 * time.Millisecond
	)
	d := longBurst(seed)
	d.bursts = []burst{{kind: -1, factor: 1.9, from: from, to: to}}
	d = d.heavier(0.85)
	d.scarcityOff = scarcityOff
	d.duration = 3 * time.Second
	lost := map[*clientJob]bool{}
	var w *world
	var begin time.Duration
	d.prepare = func(world *world) {
		w, begin = world, world.now
		usual := map[string]time.Duration{}
		for _, k := range d.types {
			usual[k.queue.Name] = 3*(time.Duration(k.queue.Stretch*float64(k.mean)/2)+k.queue.LatencyTarget) + 1500*time.Millisecond
		}
		for _, e := range w.entries {
			e.do(func(b *broker.Broker) { b.Timeouts().Restore([]map[string]time.Duration{usual}) })
		}
	}
	d.submit = func(j *clientJob) {
		at := w.now - begin
		lost[j] = at >= from && at < to && w.rng.Float64() < 0.9/1.9
		j.timeout = 3*j.target() + 1500*time.Millisecond
		if lost[j] {
			j.timeout -= waited
		}
		if noTimeouts {
			j.timeout = 0
		}
	}
	r := d.play(t)
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if at := j.sentAt - begin; !lost[j] && at >= from && at < to {
				fresh = append(fresh, j)
			}
		}
	}
	return fresh
}

// Guards against new jobs that are late or refused because jobs that were lost, and are late
// whatever happens, wait before them. Admission under scarcity protects new jobs as well (with seed
// 1 it does so alone), so it is off in the first two cases.
func TestNewJobsAreOnTimeAfterALossOfAllHosts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		seed        int64
		scarcityOff bool
	}{{0, true}, {1, true}, {0, false}} {
		on, off := summarize(afterLoss(t, c.seed, false, c.scarcityOff), 0), summarize(afterLoss(t, c.seed, true, c.scarcityOff), 0)
		t.Logf("seed %d, scarcity off: %t: new jobs\n on: %v\noff: %v", c.seed, c.scarcityOff, on, off)
		if shareOn, shareOff := float64(on.onTime)/float64(on.offered), float64(off.onTime)/float64(off.offered); shareOn < shareOff+0.05 {
			t.Errorf("seed %d: %.3f of the new jobs are on time, %.3f if lost jobs are served alike", c.seed, shareOn, shareOff)
		}
	}
}
