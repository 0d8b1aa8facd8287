package main

import (
	"sync"
	"time"
)

// background hands in a small job for the ordinary workers every 100 ms until stop is called.
func (d *deployment) background() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			wg.Go(func() {
				d.submitTo(probePrefix, i%entryCount, newJob(3, 40, taskSpec{MS: 40, CPU: 6_000, MemMB: 64, Requires: kindA.name}), 1500*time.Millisecond)
			})
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// otherKind: a worker crashes without a sign while a task that requires its kind waits at its agent,
// and comes back a second later as a new incarnation of another kind.
func otherKind(d *deployment, trouble bool) error {
	const down = time.Second
	w := d.workers[agentCount-1]
	stop := d.background()
	var wg sync.WaitGroup
	// The first job fills the worker, the second waits for the end of its tasks.
	wg.Go(func() {
		d.submit(0, newJob(2, 500, taskSpec{MS: 500, CPU: 45_000, MemMB: 64, Requires: kindB.name}), 6*time.Second)
	})
	time.Sleep(60 * time.Millisecond)
	wg.Go(func() {
		d.submit(1, newJob(1, 4000, taskSpec{MS: 2000, CPU: 45_000, MemMB: 64, Requires: kindB.name}), 6*time.Second)
	})
	time.Sleep(100 * time.Millisecond)
	if trouble {
		w.crash()
		w.setSilent(true, false)
		time.Sleep(down)
		w.setSilent(false, true)
		w.start("i-"+w.name+"-2", kindA)
	}
	wg.Wait()
	stop()
	return nil
}

// behindTheCut: a worker without work is cut off, crashes behind the cut and starts again there
// under its id, as a smaller kind. A job for its rack comes right after the cut, before its next
// heartbeat.
func behindTheCut(d *deployment, trouble bool) error {
	const (
		untilCrash = 900 * time.Millisecond
		cut        = 2 * time.Second
	)
	w := d.workers[agentCount-1]
	stop := d.background()
	time.Sleep(time.Second)
	if trouble {
		w.setSilent(true, false)
	}
	time.Sleep(untilCrash)
	if trouble {
		w.crash()
		w.start(w.id, kindA)
	}
	time.Sleep(cut - untilCrash)
	if trouble {
		w.setSilent(false, true)
	}
	for range 3 {
		d.submit(0, newJob(12, 300, taskSpec{MS: 300, CPU: 7_500, MemMB: 64, Requires: w.rack}), 3*time.Second)
	}
	stop()
	return nil
}
