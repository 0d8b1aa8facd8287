package main

import (
	"math/rand"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["fault"] = faultCase }

// faultCase sends each agent, before the traffic, one heartbeat of another writer that lacks a
// field. No request is served afterwards if the agents use it.
func faultCase(r *recorder, trouble bool) error {
	d, err := newDeployment(options{entries: 2, workers: sameKind(8, kind{cpu: 16_000, memMB: 32_768, labels: []string{"a", "r1-1"}}), requestTimeout: 1500 * time.Millisecond}, r)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range d.workers {
			w.mu.Lock()
			body := w.heartbeatBody("ready")
			w.mu.Unlock()
			delete(body, "seq")
			body["born"] = time.Now().UnixMilli()
			status := putHeartbeat(w.control, "i-00000000ff", body)
			r.log("TROUBLE: heartbeat of another writer, without seq, to the machine of %s: %d", w.name, status)
		}
	}
	time.Sleep(3 * time.Second)
	c := newClient(d)
	rng := rand.New(rand.NewSource(1))
	var sent, served atomic.Int32
	for begin, i := time.Now(), 0; time.Since(begin) < 20*time.Second; i++ {
		j := job{id: newID(rng), tasks: 2, estimate: 170, spec: taskSpec{CPU: 4000, MS: 100 + rng.Intn(100)}, deadline: 1500 * time.Millisecond}
		sent.Add(1)
		d.spawn(func() {
			if c.submitUntilAnswered(i%2, j) == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(9 * time.Second)
	r.log("%d of %d jobs were served", served.Load(), sent.Load())
	if served.Load() == 0 {
		r.violation("Fault: none of %d jobs was served in 20 s, with 8 workers up", sent.Load())
	}
	return nil
}
