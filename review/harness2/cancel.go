package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cancel-at-another-entry"] = cancelAtAnotherEntry }

// cancelTime is cancel_ms.
const cancelTime = 3 * time.Second

// cancelAtAnotherEntry cancels a job that runs while its entry is stopped by planned work. The
// platform sends the client's new connection to another entry.
func cancelAtAnotherEntry(d *deployment) (bool, error) {
	entries, _, upstreams, err := d.startAll(2, 3, 30_000)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	b := newBalancer(entries)
	b.check(d)

	var mu sync.Mutex
	var starts []time.Time
	c, err := send(b.node().host, http.MethodPost, newID(), 20_000, spec{MS: 350}, step{Count: 140, CPU: 20_000, MemMB: 64, Estimate: 350})
	if err != nil {
		return false, err
	}
	defer c.close()
	for _, u := range upstreams {
		u.mu.Lock()
		u.onStart = func(_ *upstream, task, _ string) {
			if strings.HasPrefix(task, c.id) {
				mu.Lock()
				starts = append(starts, time.Now())
				mu.Unlock()
			}
		}
		u.mu.Unlock()
	}
	d.record("job %s sent to %s", c.id, b.node().host.name)
	time.Sleep(300 * time.Millisecond)
	first := b.node()
	if d.trouble {
		d.record("SIGTERM to %s", first.host.name)
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(20 * time.Millisecond)
	for i := range maxMisses {
		if i > 0 {
			time.Sleep(checkInterval)
		}
		b.check(d)
	}

	node := b.node()
	cancel, err := send(node.host, http.MethodDelete, c.id, 3000, spec{}, step{})
	if err != nil {
		return false, err
	}
	defer cancel.close()
	status, body, err := cancel.answer(3 * time.Second)
	acknowledged := time.Now()
	d.record("DELETE of job %s at %s: status %d %.60s err %v", c.id, node.host.name, status, strings.TrimSpace(body), err)
	if status != http.StatusGone && status/100 != 2 {
		return false, err
	}
	status, body, err = c.answer(15 * time.Second)
	d.record("job %s: status %d %.60s err %v", c.id, status, body, err)
	time.Sleep(time.Second)

	held := true
	mu.Lock()
	defer mu.Unlock()
	for _, at := range starts {
		if after := at.Sub(acknowledged); after > cancelTime {
			held = false
			d.record("BROKEN: a task of job %s starts %d ms after its cancelling was acknowledged", c.id, after.Milliseconds())
		}
	}
	return held, nil
}
