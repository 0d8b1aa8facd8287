package main

import (
	"math/rand"
	"time"
)

func init() { cases["twice"] = twice }

// twice cuts one of eight workers off from its machine while it runs on. Connections are reset
// and new ones refused.
func twice(r *recorder, trouble bool) error {
	const cutFor = 2 * time.Second
	d, err := newDeployment(options{entries: 2, workers: sameKind(8, kind{cpu: 16_000, memMB: 32_768, labels: []string{"a", "r1-1"}}), requestTimeout: 2500 * time.Millisecond}, r)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	d.runs.checkTwice = true
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := newClient(d)
	rng := rand.New(rand.NewSource(1))
	begin := time.Now()
	cutAt := begin.Add(3 * time.Second)
	for i := 0; time.Since(begin) < 6*time.Second; i++ {
		if trouble && !cutAt.IsZero() && time.Now().After(cutAt) {
			cutAt = time.Time{}
			r.log("TROUBLE: the link of w1 is cut: connections are reset, new ones refused")
			d.relays[0].refuse()
			d.spawn(func() {
				time.Sleep(cutFor)
				r.log("TROUBLE ends: the link of w1 is back")
				if err := d.relays[0].heal(); err != nil {
					r.log("relay: %v", err)
				}
			})
		}
		j := job{id: newID(rng), tasks: 2, estimate: 1000, spec: taskSpec{CPU: 4000, MS: 900 + rng.Intn(200)}, deadline: 2500 * time.Millisecond}
		d.spawn(func() { c.submitUntilAnswered(i%2, j) })
		time.Sleep(90 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return nil
}

func sameKind(n int, k kind) []kind {
	kinds := make([]kind, n)
	for i := range kinds {
		kinds[i] = k
	}
	return kinds
}
