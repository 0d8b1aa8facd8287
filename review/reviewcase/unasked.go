package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

func init() { cases["unasked"] = unasked }

// unasked cancels a job. With the disruption the connection of the request to cancel it is reset, and
// the retry reaches another entry than the job did.
func unasked(r *recorder, trouble bool) error {
	const (
		cancelTime = 3 * time.Second
		stopGrace  = 50 * time.Millisecond
		// afterReset is the time after which the reset is no disruption near.
		afterReset = time.Second
		// others is the number of jobs that nobody cancels.
		others = 3
	)
	d, err := newDeployment(options{entries: 2, workers: sameKind(8, kind{cpu: 16_000, memMB: 32_768, labels: []string{"a", "r1-1"}}), requestTimeout: 20 * time.Second}, r)
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
	c := newClient(d)
	rng := rand.New(rand.NewSource(1))
	j := job{id: newID(rng), tasks: 8, estimate: 7000, spec: taskSpec{CPU: 2000, MS: 7000}, deadline: 15 * time.Second}
	d.spawn(func() { c.submit(0, j) })
	for i := range others {
		other := job{id: newID(rng), tasks: 2, estimate: 7000, spec: taskSpec{CPU: 2000, MS: 7000}, deadline: 15 * time.Second}
		d.spawn(func() { c.submit(i%2, other) })
	}
	time.Sleep(time.Second)
	// The platform's balancer in front of the entry.
	balancer, err := newRelay(fmt.Sprintf("%s:%d", d.ip(groupPlatform, 1), frontPort), d.front(0))
	if err != nil {
		return err
	}
	if trouble {
		r.log("TROUBLE: the connection of the request to cancel is reset")
		balancer.resetNew()
	}
	status, body := c.call(context.Background(), balancer.address, http.MethodDelete, j.id, nil, time.Second)
	r.log("client: DELETE %s at front-1: %d %s", j.id, status, body)
	if status == 0 {
		status, body = c.call(context.Background(), d.front(1), http.MethodDelete, j.id, nil, time.Second)
		r.log("client: DELETE %s at front-2: %d %s", j.id, status, body)
	}
	acknowledged := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return fmt.Errorf("the request to cancel was answered with %d", status)
	}
	time.Sleep(cancelTime + stopGrace + afterReset)
	for _, task := range d.runs.running(j.id) {
		r.violation("UNASKED: %s runs on %.2f s after the cancelling of its job was acknowledged with %d", task, time.Since(acknowledged).Seconds(), status)
	}
	time.Sleep(5 * time.Second)
	return nil
}
