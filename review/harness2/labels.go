package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["waiting-task-after-crash"] = waitingTaskAfterCrash }

// downTime is how long the upstream is down, as long as on a day of the site file.
const downTime = 3 * time.Second

// waitingTaskAfterCrash lets an upstream crash without a word while tasks that need its label
// wait for it, and come back as another kind.
func waitingTaskAfterCrash(d *deployment) (bool, error) {
	entries, _, upstreams, err := d.startAll(1, 2, 5000)
	if err != nil {
		return false, err
	}
	held := true
	for _, u := range upstreams {
		u.mu.Lock()
		u.onStart = func(u *upstream, task, text string) {
			var s spec
			if json.Unmarshal([]byte(text), &s) == nil && s.Need != "" && !slices.Contains(u.labels, s.Need) {
				held = false
				u.d.record("BROKEN: task %s needs label %q and starts on upstream %s with labels %v", task, s.Need, u.id, u.labels)
			}
		}
		u.mu.Unlock()
	}
	// Only the first upstream has the label that the jobs need.
	upstreams[1].restart(upstreams[1].host.name+"-b", []string{"b", "r1-1"})
	time.Sleep(4 * time.Second)

	var callers sync.WaitGroup
	job := func(ms int) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s := spec{MS: ms, Need: "a"}
			c, err := send(entries[0].host, http.MethodPost, newID(), 10_000, s, step{Count: 8, CPU: 8000, MemMB: 64, Estimate: ms, Requirements: s.Need})
			if err != nil {
				d.record("not sent: %v", err)
				return
			}
			defer c.close()
			d.record("request %s sent", c.id)
			status, body, err := c.answer(10 * time.Second)
			d.record("request %s: status %d %.60s err %v", c.id, status, body, err)
		}()
	}
	job(1200)
	time.Sleep(100 * time.Millisecond)
	job(1200)
	time.Sleep(200 * time.Millisecond)
	u := upstreams[0]
	if d.trouble {
		u.crash()
		time.Sleep(downTime)
		u.restart(u.host.name+"-c", []string{"b", "r1-1"})
		u.wake()
	}
	callers.Wait()
	time.Sleep(time.Second)
	u.mu.Lock()
	defer u.mu.Unlock()
	return held, nil
}
