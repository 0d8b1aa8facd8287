package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

func init() { cases["cut"] = cut }

// cut cuts an entry off while it runs jobs. Their clients, a part of all, leave during the cut and
// send the jobs again to the other entry. The closes of their connections arrive with TCP's next
// retransmission after the cut.
func cut(r *recorder, trouble bool) error {
	const (
		cutFor = 2 * time.Second
		// leaveAfter is the time from the begin of the cut until the clients leave.
		leaveAfter = 300 * time.Millisecond
		// leaving and staying are the numbers of clients that leave early and that wait for their
		// answers.
		leaving, staying = 6, 10
	)
	d, err := newDeployment(options{entries: 2, workers: sameKind(8, kind{cpu: 16_000, memMB: 32_768, labels: []string{"a", "r1-1"}}),
		requestTimeout: 6 * time.Second, relayLinks: true}, r)
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
	balancer, err := newRelay(fmt.Sprintf("%s:%d", d.ip(groupPlatform, 1), frontPort), d.front(0))
	if err != nil {
		return err
	}
	c := newClient(d)
	rng := rand.New(rand.NewSource(1))
	cutAt := time.Now().Add(550 * time.Millisecond)
	for range leaving {
		j := job{id: newID(rng), tasks: 2, estimate: 2500, spec: taskSpec{CPU: 4000, MS: 2500}, deadline: 6 * time.Second}
		d.spawn(func() {
			ctx, cancel := context.WithDeadline(context.Background(), cutAt.Add(leaveAfter))
			defer cancel()
			status, _ := c.call(ctx, balancer.address, http.MethodPost, j.id, j.body(), j.deadline)
			r.log("client: POST %s to front-1: %d, the client leaves", j.id, status)
			time.Sleep(resendAfter)
			c.submit(1, j)
		})
		time.Sleep(50 * time.Millisecond)
	}
	for range staying {
		j := job{id: newID(rng), tasks: 1, estimate: 760, spec: taskSpec{CPU: 2000, MS: 700}, deadline: 6 * time.Second}
		d.spawn(func() { c.submit(1, j) })
	}
	time.Sleep(time.Until(cutAt))
	if trouble {
		r.log("TROUBLE: front-1 is cut off from clients and agents")
		balancer.silence()
		d.linkRelays[0].silence()
		time.Sleep(cutFor)
		balancer.end()
		d.linkRelays[0].end()
		r.log("TROUBLE ends: front-1 is back")
	}
	time.Sleep(7 * time.Second)
	return nil
}
