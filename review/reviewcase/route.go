package main

import (
	"math/rand"
	"time"
)

func init() { cases["route"] = route }

// route lets a worker crash in silence and come back as one of another kind, while
// tasks that need its label wait at its agent.
func route(r *recorder, trouble bool) error {
	const downFor = 600 * time.Millisecond
	a, b := kind{cpu: 16_000, memMB: 32_768, labels: []string{"a", "r1-1"}}, kind{cpu: 16_000, memMB: 32_768, labels: []string{"b", "r1-2"}}
	d, err := newDeployment(options{entries: 2, workers: append([]kind{b, b}, sameKind(6, a)...), requestTimeout: 8 * time.Second}, r)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	d.runs.checks = append(d.runs.checks, func(w *worker, k runKey, spec taskSpec) {
		if spec.Requires != "" && !w.kind.has(spec.Requires) {
			r.violation("ROUTE: %s run %d, which requires %q, starts on %s with labels %v", k.task, k.run, spec.Requires, w.name, w.kind.labels)
		}
	})
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := newClient(d)
	rng := rand.New(rand.NewSource(1))
	begin := time.Now()
	crashAt := 6 * time.Second
	for i := 0; time.Since(begin) < 9*time.Second; i++ {
		if trouble && crashAt > 0 && time.Since(begin) > crashAt {
			crashAt = 0
			r.log("TROUBLE: w1 is silent")
			d.relays[0].silence()
			d.workers[0].crash()
			d.spawn(func() {
				time.Sleep(downFor)
				r.log("TROUBLE ends: w1 is back")
				if err := d.relays[0].heal(); err != nil {
					r.log("relay: %v", err)
				}
				d.workers[0].restart("i-00000000b1", a)
			})
		}
		j := job{id: newID(rng), tasks: 2, estimate: 2000, spec: taskSpec{CPU: 4000, MS: 1600 + rng.Intn(800), Requires: "b"}, deadline: 6 * time.Second}
		d.spawn(func() { c.submitUntilAnswered(i%2, j) })
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	return nil
}
