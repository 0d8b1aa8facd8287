package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload-while-draining"] = reloadWhileDraining }

// reloadWhileDraining stops an entry with SIGTERM, and sends SIGHUP while it still has requests
// whose tasks run.
func reloadWhileDraining(d *deployment) (bool, error) {
	entries, _, _, err := d.startAll(2, 3, 2000)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	held := true
	var mu sync.Mutex
	var callers sync.WaitGroup
	for range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c, err := send(entries[0].host, http.MethodPost, newID(), 10_000, spec{MS: 1500}, step{Count: 2, CPU: 1000, MemMB: 64, Estimate: 1500})
			if err != nil {
				d.record("not sent: %v", err)
				return
			}
			defer c.close()
			d.record("request %s sent", c.id)
			status, body, err := c.answer(10 * time.Second)
			d.record("request %s: status %d %.60s err %v, %d ms after it was sent", c.id, status, body, err, time.Since(c.sentAt).Milliseconds())
			if c.lost(status, err) {
				mu.Lock()
				held = false
				mu.Unlock()
				d.record("BROKEN: request %s was read and passed on, and its connection ended without an answer", c.id)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if d.trouble {
		d.record("SIGTERM to %s", entries[0].host.name)
		entries[0].signal(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
		d.record("SIGHUP to %s", entries[0].host.name)
		entries[0].signal(syscall.SIGHUP)
	}
	callers.Wait()
	return held, nil
}
