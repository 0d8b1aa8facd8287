package main

import (
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["freeze-with-leaving-callers"] = freezeWithLeavingCallers }

const (
	// freezeCallers is the number of callers who wait at the entry when its host freezes, each
	// for a job of freezeTasks tasks.
	freezeCallers = 400
	freezeTasks   = 8
	freezeTime    = 1500 * time.Millisecond
	freezeRounds  = 8
	// contact is contact_ms, grace is grace_s.
	contact = 3 * time.Second
	grace   = 6 * time.Second
)

// small is a job that any entry in order answers at once.
var small = step{Count: 1, CPU: 100, MemMB: 16, Estimate: 50}

// freezeWithLeavingCallers freezes the host of an entry while many callers wait there, each for as
// long as it is patient. Long after, requests are sent to the entry, and it is stopped as planned
// work does it.
func freezeWithLeavingCallers(d *deployment) (bool, error) {
	d.summary = true
	entries, _, _, err := d.startAll(2, 4, 2000)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	entry := entries[0]
	for round := range freezeRounds {
		d.freezeRound(round+1, entry)
		time.Sleep(contact + time.Second)
		if !d.serves(entry.host, "first") {
			break
		}
	}
	d.serves(entries[1].host, "other")
	return d.stopWithRequests(entry), nil
}

// freezeRound lets callers submit jobs that take longer than the callers wait, and freezes the host
// meanwhile.
func (d *deployment) freezeRound(round int, entry *process) {
	d.record("round %d: %d callers submit jobs to %s", round, freezeCallers, entry.host.name)
	var callers sync.WaitGroup
	var answered atomic.Int64
	for range freezeCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			time.Sleep(time.Duration(rand.Int63n(int64(500 * time.Millisecond))))
			patience := 2500*time.Millisecond + time.Duration(rand.Int63n(int64(2*time.Second)))
			c, err := send(entry.host, http.MethodPost, newID(), int(patience.Milliseconds()), spec{MS: 4000}, step{Count: freezeTasks, CPU: 75, MemMB: 16, Estimate: 4000})
			if err != nil {
				d.record("not sent: %v", err)
				return
			}
			defer c.close()
			status, _, _ := c.answer(patience)
			if status != 0 {
				answered.Add(1)
			}
			d.record("request %s, patience %d ms: status %d after %d ms", c.id, patience.Milliseconds(), status, time.Since(c.sentAt).Milliseconds())
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	if d.trouble {
		d.record("SIGSTOP to %s", entry.host.name)
		entry.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		entry.signal(syscall.SIGCONT)
		d.record("SIGCONT to %s", entry.host.name)
	}
	callers.Wait()
	d.record("round %d: %d callers got an answer, %d left before; runs so far: %v", round, answered.Load(), freezeCallers-answered.Load(), d.runCounts())
}

// serves reports whether an entry answers its readiness check and a small job in time.
func (d *deployment) serves(h host, what string) bool {
	isReady := ready(h)
	c, err := send(h, http.MethodPost, newID(), 3000, spec{MS: 50}, small)
	if err != nil {
		d.record("%s entry %s: ready %v, request not sent: %v", what, h.name, isReady, err)
		return false
	}
	defer c.close()
	status, body, err := c.answer(3 * time.Second)
	d.record("%s entry %s: ready %v, request %s: status %d %.60s err %v", what, h.name, isReady, c.id, status, body, err)
	return status != 0
}

// stopWithRequests sends requests to an entry, stops it as planned work does, and reports whether
// all of them were answered.
func (d *deployment) stopWithRequests(entry *process) bool {
	var calls []*call
	for range 5 {
		c, err := send(entry.host, http.MethodPost, newID(), 20_000, spec{MS: 1500}, small)
		if err != nil {
			d.record("not sent: %v", err)
			continue
		}
		d.record("request %s sent", c.id)
		calls = append(calls, c)
	}
	time.Sleep(time.Second)
	d.record("SIGTERM to %s", entry.host.name)
	entry.signal(syscall.SIGTERM)
	select {
	case <-entry.ended:
	case <-time.After(grace):
		d.record("SIGKILL to %s, which has not ended within the grace time", entry.host.name)
		entry.signal(syscall.SIGKILL)
	}
	held := true
	for _, c := range calls {
		status, _, err := c.answer(time.Second)
		if c.lost(status, err) {
			held = false
			d.record("BROKEN: the connection of request %s, sent %d ms ago, has ended without an answer: %v", c.id, time.Since(c.sentAt).Milliseconds(), err)
		} else {
			d.record("request %s: status %d err %v", c.id, status, err)
		}
		c.close()
	}
	return held
}
