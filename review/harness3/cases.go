package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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
		d.submit(0, newJob(2, 900, taskSpec{MS: 900, CPU: 45_000, MemMB: 64, Requires: kindB.name}), 6*time.Second)
	})
	time.Sleep(60 * time.Millisecond)
	wg.Go(func() {
		d.submit(1, newJob(1, 8000, taskSpec{MS: 2000, CPU: 45_000, MemMB: 64, Requires: kindB.name}), 6*time.Second)
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
		d.submit(0, newJob(2, 300, taskSpec{MS: 300, CPU: 45_000, MemMB: 64, Requires: w.rack}), 3*time.Second)
	}
	stop()
	return nil
}

// strayHeartbeat: on each side machine a heartbeat of another writer arrives once, which lacks the
// zone, the version and the slots. Then comes the final fault.
func strayHeartbeat(d *deployment, trouble bool) error {
	return d.finalFault(trouble, "the heartbeats of another writer", func() {
		for _, w := range d.workers {
			d.stray(w)
		}
	})
}

// strayEntry: another writer puts an entry for each worker into the list of workers, which lacks the
// capacity and the labels. Then comes the final fault.
func strayEntry(d *deployment, trouble bool) error {
	return d.finalFault(trouble, "the entries of another writer", func() {
		for _, w := range d.workers {
			entry := fmt.Sprintf(`{"id":"other-%s","born":%d,"service":%q}`, w.name, time.Now().UnixMilli(), serviceName)
			d.store.put("upstreams", w.name, []byte(entry))
			d.rec.note("%s: another writer puts the entry %s", w.name, entry)
		}
	})
}

// finalFault lets the disruption happen, kills all processes some seconds later, starts them again
// and checks RECOVER.
func (d *deployment) finalFault(trouble bool, what string, disrupt func()) error {
	const (
		down     = 1600 * time.Millisecond
		recovery = 12 * time.Second
	)
	before := d.load("before", 3*time.Second)
	if trouble {
		disrupt()
	}
	d.load("after "+what, 6*time.Second)
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		d.kill(p)
	}
	d.rec.note("all processes are killed")
	time.Sleep(down)
	if err := d.startAll(); err != nil {
		return err
	}
	d.rec.note("all machines are back")
	time.Sleep(recovery)
	after := d.load("later than recovery_s after the machines are back", 5*time.Second)
	if before < 0.25 {
		return errNothingServed
	}
	if after < 0.25 {
		d.rec.violated("RECOVER: %.0f%% of the requests sent later than %v after the machines were back are served, %.0f%% were before", 100*after, recovery, 100*before)
	}
	return nil
}

// load hands small jobs in for a time and returns the share that is served.
func (d *deployment) load(when string, long time.Duration) float64 {
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	for i, end := 0, time.Now().Add(long); time.Now().Before(end); i++ {
		sent.Add(1)
		wg.Go(func() {
			j := newJob(4, 100, taskSpec{MS: 100, CPU: 6_000, MemMB: 64})
			if d.submit(i%entryCount, j, 1500*time.Millisecond) == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	d.rec.note("%s: %d requests, %d served", when, sent.Load(), served.Load())
	return float64(served.Load()) / float64(sent.Load())
}

// stray sends a heartbeat of another writer to the agent beside a worker.
func (d *deployment) stray(w *worker) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":4000,"mem_mb":8192,"gpus":0},`+
		`"labels":["x"],"clock_ms":1200,"seq":1,"born":%d}`, serviceName, strings.Replace(w.address, appPort, ":9000", 1), time.Now().UnixMilli())
	req, err := http.NewRequest(http.MethodPut, "http://"+w.control+"/instances/other-"+w.name, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.rec.note("%s: the heartbeat of another writer gets no answer: %v", w.name, err)
		return
	}
	_ = resp.Body.Close()
	d.rec.note("%s: the heartbeat of another writer is answered with %d", w.name, resp.StatusCode)
}
