package leasetest

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
)

// afterLoss is the demand after all hosts were down for 1.6 s: for 1.2 s, callers submit again what
// was lost beside new jobs. It returns the new jobs of that time. With noTimeouts callers do
// not say how long they wait, so no entry can tell lost jobs from new ones. Callers wait for three
// times the response time that they expect, and a second and a half.
func afterLoss(t *testing.T, seed int64, noTimeouts bool) (fresh []*clientJob) {
	t.Helper()
	const (
		from, to = time.Second, 2200 * time.Millisecond
		waited   = 1300 * time.Millisecond
	)
	d := longBurst(seed)
	d.bursts = []burst{{kind: -1, factor: 1.9, from: from, to: to}}
	d = d.heavier(0.85)
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
// whatever happens, wait before them.
func TestNewJobsAreOnTimeAfterALossOfAllHosts(t *testing.T) {
	t.Parallel()
	for seed := range int64(2) {
		on, off := summarize(afterLoss(t, seed, false), 0), summarize(afterLoss(t, seed, true), 0)
		t.Logf("seed %d: new jobs\n on: %v\noff: %v", seed, on, off)
		if shareOn, shareOff := float64(on.onTime)/float64(on.offered), float64(off.onTime)/float64(off.offered); shareOn < shareOff+0.05 {
			t.Errorf("seed %d: %.3f of the new jobs are on time, %.3f if lost jobs are served alike", seed, shareOn, shareOff)
		}
	}
}
