package main

import (
	"math/rand"
	"time"
)

func init() { cases["limit"] = limit }

// limit cuts a worker off from its machine in silence. It crashes behind the cut and starts again
// under its id with less capacity. Its first heartbeat is lost in the cut.
func limit(r *recorder, trouble bool) error {
	const (
		crashAfter = 300 * time.Millisecond
		downFor    = 700 * time.Millisecond
		cutFor     = 2 * time.Second
	)
	small, large := kind{cpu: 16_000, memMB: 32_768, labels: []string{"a", "r1-1"}}, kind{cpu: 24_000, memMB: 49_152, labels: []string{"a", "r1-1"}}
	d, err := newDeployment(options{entries: 2, workers: append([]kind{large}, sameKind(7, small)...), requestTimeout: 1500 * time.Millisecond}, r)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	d.runs.checks = append(d.runs.checks, func(w *worker, k runKey, _ taskSpec) {
		if w.used() > w.kind.cpu {
			r.violation("LIMIT: %s run %d brings %s to %d of %d thousandths of a core", k.task, k.run, w.name, w.used(), w.kind.cpu)
		}
	})
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := newClient(d)
	rng := rand.New(rand.NewSource(1))
	begin := time.Now()
	cutAt := 4 * time.Second
	for i := 0; time.Since(begin) < 9*time.Second; i++ {
		if trouble && cutAt > 0 && time.Since(begin) > cutAt {
			cutAt = 0
			r.log("TROUBLE: w1 is cut off in silence")
			d.relays[0].silence()
			d.spawn(func() {
				time.Sleep(crashAfter)
				d.workers[0].crash()
				time.Sleep(downFor)
				d.workers[0].restart(d.workers[0].id, small)
				time.Sleep(cutFor - crashAfter - downFor)
				r.log("TROUBLE ends: the link of w1 is back")
				if err := d.relays[0].heal(); err != nil {
					r.log("relay: %v", err)
				}
			})
		}
		j := job{id: newID(rng), tasks: 2, estimate: 760, spec: taskSpec{CPU: 4000, MS: 600 + rng.Intn(300)}, deadline: 1500 * time.Millisecond}
		d.spawn(func() { c.submitUntilAnswered(i%2, j) })
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return nil
}
