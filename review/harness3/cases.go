package main

import (
	"errors"
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

// strayEntry: another writer puts an entry for each worker into the list of workers, which lacks the
// capacity and the labels. Then comes the final fault.
func strayEntry(d *deployment, trouble bool) error {
	return d.finalFault(trouble, func() {
		for _, w := range d.workers {
			entry := fmt.Sprintf(`{"id":"other-%s","born":%d,"service":%q}`, w.name, time.Now().UnixMilli(), serviceName)
			d.store.put("upstreams", w.name, []byte(entry))
			d.rec.note("%s: another writer puts the entry %s", w.name, entry)
		}
	})
}

// finalFault lets the disruption happen, kills all processes some seconds later, starts them again
// and checks RECOVER.
func (d *deployment) finalFault(trouble bool, disrupt func()) error {
	const (
		down     = 1500 * time.Millisecond
		recovery = 12 * time.Second
		quarter  = 0.25
	)
	calm := d.load("before the disruption", 3*time.Second)
	if calm.share() < quarter {
		return errNothingServed
	}
	if trouble {
		disrupt()
	}
	before := calm.plus(d.load("then", 6*time.Second))
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
	if after.share() < quarter && before.share() >= quarter {
		d.rec.violated("RECOVER", "%d of %d requests sent later than %v after the machines were back are served, %d of %d were before the final fault",
			after.served, after.sent, recovery, before.served, before.sent)
	}
	return nil
}

// requests are numbers of requests.
type requests struct{ sent, served int64 }

func (r requests) plus(o requests) requests { return requests{r.sent + o.sent, r.served + o.served} }

func (r requests) share() float64 { return float64(r.served) / float64(max(r.sent, 1)) }

// load hands small jobs in for a time.
func (d *deployment) load(when string, long time.Duration) requests {
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
	return requests{sent.Load(), served.Load()}
}

// cutAfterFreeze: four callers hand jobs in at an entry that is frozen. It is cut off while it is
// frozen, the callers leave in the cut, and it wakes shortly before the end of the cut.
func cutAfterFreeze(d *deployment, trouble bool) error {
	const (
		callers, leaving = 16, 4
		untilCut         = 300 * time.Millisecond
		cut              = 1700 * time.Millisecond
		freeze           = 1850 * time.Millisecond
		patience         = 450 * time.Millisecond
	)
	var wg sync.WaitGroup
	task := taskSpec{MS: 2500, CPU: 6_000, MemMB: 64}
	if trouble {
		d.freeze(d.entries[0], freeze)
		time.AfterFunc(untilCut, func() { d.cut(0, cut) })
	}
	time.Sleep(50 * time.Millisecond)
	for i := range callers {
		wg.Go(func() {
			if i < leaving {
				d.submitTwice(0, 1, newJob(3, 2500, task), patience, 8*time.Second)
				return
			}
			d.submit(1, newJob(1, 200, taskSpec{MS: 200, CPU: 6_000, MemMB: 64}), 8*time.Second)
		})
	}
	wg.Wait()
	return nil
}

// cancelledAgain: of eight jobs at work at an entry, two are cancelled there. Their callers get 504
// for the jobs and send them again, one to the same entry and one to the other.
func cancelledAgain(d *deployment, trouble bool) error {
	const (
		jobs, cancelled = 8, 2
		untilCancel     = 500 * time.Millisecond
		cancelTime      = 3 * time.Second
		// margin is for timers that are late.
		margin = 500 * time.Millisecond
	)
	errNotCancelled := errors.New("a job was not cancelled with 200 while it ran, and its caller told 504")
	task := taskSpec{MS: 6000, CPU: 6_000, MemMB: 64}
	var wg sync.WaitGroup
	wrong := make(chan error, cancelled)
	for i := range jobs {
		j := newJob(4, task.MS, task)
		status := make(chan int, 1)
		wg.Go(func() { status <- d.submit(0, j, 15*time.Second) })
		if i >= cancelled {
			continue
		}
		wg.Go(func() {
			time.Sleep(untilCancel)
			if d.running(j.id) == 0 || d.cancel(0, j) != http.StatusOK {
				wrong <- errNotCancelled
				return
			}
			acknowledged := time.Now()
			if <-status != http.StatusGatewayTimeout {
				wrong <- errNotCancelled
				return
			}
			if trouble {
				wg.Go(func() {
					time.Sleep(resendAfter)
					d.submit(i, j, 15*time.Second)
				})
			}
			time.Sleep(time.Until(acknowledged.Add(cancelTime + stopGrace + margin)))
			if n := d.running(j.id); n > 0 {
				d.rec.violated("UNASKED", "%d tasks of job %s are at work %v after its cancelling was acknowledged", n, j.id, time.Since(acknowledged).Round(time.Millisecond))
			}
		})
	}
	wg.Wait()
	select {
	case err := <-wrong:
		return err
	default:
		return nil
	}
}

// running returns the number of runs of a job's tasks.
func (d *deployment) running(job string) int {
	live := d.workers[0].live
	live.mu.Lock()
	defer live.mu.Unlock()
	n := 0
	for task, runs := range live.on {
		if strings.HasPrefix(task, job+".") {
			n += len(runs)
		}
	}
	return n
}
