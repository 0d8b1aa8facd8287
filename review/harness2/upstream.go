package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxLease          = 1000
	stopGrace         = 50 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	upstreamCPU       = 64_000
	upstreamMemMB     = 131_072
)

// runKey is a run of a task.
type runKey struct {
	task string
	run  uint64
}

type run struct {
	endAt, stopAt time.Time
}

// upstream stands in for a worker. It starts whatever it is told to start, ends what has no lease,
// and records every run.
type upstream struct {
	d    *deployment
	host host

	mu       sync.Mutex // guards the fields below
	id       string
	labels   []string
	life     int
	bornAt   time.Time
	seq      uint64
	leaseEnd int64
	token    uint64
	runs     map[runKey]*run
	// lastRun is the highest run of each task that was stopped or has ended.
	lastRun map[string]uint64
	ended   [][]any
	number  int64
	changed chan struct{}
	// listTime is how long the upstream takes for a list of its runs.
	listTime time.Duration
	// onStart is called with each start, under the lock.
	onStart func(u *upstream, task, spec string)
}

func newUpstream(d *deployment, h host) *upstream {
	u := &upstream{d: d, host: h}
	u.restart(h.name+"-a", []string{"a", "r1-1"})
	return u
}

// restart begins a new incarnation.
func (u *upstream) restart(id string, labels []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id, u.labels = id, labels
	u.life++
	u.bornAt, u.seq, u.leaseEnd, u.token, u.number = time.Now(), 0, 0, 0, 0
	u.runs, u.lastRun, u.ended = map[runKey]*run{}, map[string]uint64{}, nil
	u.changed = make(chan struct{})
	u.d.record("%s: upstream %s is up with labels %v", u.host.name, id, labels)
}

func (u *upstream) clock() int64 { return time.Since(u.bornAt).Milliseconds() + 1000 }

// live ends runs whose time has come and sends the heartbeats.
func (u *upstream) live() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	var last time.Time
	life := 0
	for range tick.C {
		u.mu.Lock()
		now := time.Now()
		for k, r := range u.runs {
			switch {
			case u.clock() > u.leaseEnd:
				u.finish(k, "lapsed")
			case now.After(r.endAt):
				u.finish(k, "done")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				u.finish(k, "stopped")
			}
		}
		due := life != u.life || now.Sub(last) >= heartbeatInterval
		var body []byte
		id := u.id
		if due {
			u.seq++
			body, _ = json.Marshal(map[string]any{
				"service": service, "address": u.host.address(appPort), "zone": dataCentre, "version": "v1", "slots": 8, "state": "ready",
				"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": upstreamCPU, "mem_mb": upstreamMemMB, "gpus": 0},
				"labels": u.labels, "clock_ms": u.clock(), "seq": u.seq, "born": u.bornAt.UnixMilli(),
			})
			last, life = now, u.life
		}
		u.mu.Unlock()
		if due {
			go u.heartbeat(id, body)
		}
	}
}

func (u *upstream) heartbeat(id string, body []byte) {
	for range 5 {
		r, err := http.NewRequest(http.MethodPut, "http://"+u.host.address(controlPort)+"/instances/"+id, bytes.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("Content-Type", "application/json")
		client := &http.Client{Timeout: time.Second}
		if answer, err := client.Do(r); err == nil {
			answer.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// finish ends a run. The caller holds the lock.
func (u *upstream) finish(k runKey, how string) {
	delete(u.runs, k)
	u.lastRun[k.task] = max(u.lastRun[k.task], k.run)
	u.number++
	u.ended = append(u.ended, []any{u.number, k.task, k.run, how, ""})
	u.d.recordRun(u.host, k.task, k.run, "ends "+how)
	close(u.changed)
	u.changed = make(chan struct{})
}

// order is a call of the agent.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// spec is what a task of the stand-ins does.
type spec struct {
	MS   int    `json:"ms"`
	Need string `json:"need,omitempty"`
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != u.id {
		answerJSON(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": u.clock(), "born": u.bornAt.UnixMilli()})
		return
	}
	if o.Token < u.token {
		u.refuse(w, "fence")
		return
	}
	u.token = o.Token
	switch r.URL.Path {
	case "/run-start":
		u.startRun(w, o)
	case "/run-stop":
		u.stopRun(w, o)
	case "/hold":
		u.hold(w, r, o)
	default:
		http.NotFound(w, r)
	}
}

func (u *upstream) refuse(w http.ResponseWriter, reason string) {
	answerJSON(w, http.StatusConflict, map[string]any{"clock_ms": u.clock(), "reason": reason, "born": u.bornAt.UnixMilli()})
}

func (u *upstream) extend(deadline int64) {
	u.leaseEnd = max(u.leaseEnd, min(deadline, u.clock()+maxLease))
}

func (u *upstream) startRun(w http.ResponseWriter, o order) {
	k := runKey{o.Task, o.Run}
	switch {
	case u.runs[k] != nil:
	case o.Run <= u.lastRun[o.Task]:
		u.extend(o.Deadline)
		u.refuse(w, "old")
		return
	case o.Deadline <= u.clock():
		u.refuse(w, "late")
		return
	default:
		u.extend(o.Deadline)
		var s spec
		_ = json.Unmarshal([]byte(o.Spec), &s)
		u.runs[k] = &run{endAt: time.Now().Add(time.Duration(s.MS) * time.Millisecond)}
		u.d.recordRun(u.host, o.Task, o.Run, "starts")
		if u.onStart != nil {
			u.onStart(u, o.Task, o.Spec)
		}
	}
	answerJSON(w, http.StatusOK, map[string]any{"clock_ms": u.clock(), "born": u.bornAt.UnixMilli()})
}

func (u *upstream) stopRun(w http.ResponseWriter, o order) {
	if r := u.runs[runKey{o.Task, o.Run}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace / 2)
	}
	u.lastRun[o.Task] = max(u.lastRun[o.Task], o.Run)
	answerJSON(w, http.StatusOK, map[string]any{"clock_ms": u.clock(), "born": u.bornAt.UnixMilli()})
}

func (u *upstream) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		u.extend(o.Deadline)
	}
	for len(u.ended) > 0 && u.ended[0][0].(int64) <= o.LastSeen {
		u.ended = u.ended[1:]
	}
	if o.Wait > 0 && len(u.ended) == 0 {
		changed := u.changed
		u.mu.Unlock()
		timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		u.mu.Lock()
	}
	if u.listTime > 0 {
		u.mu.Unlock()
		time.Sleep(u.listTime)
		u.mu.Lock()
	}
	running := [][]any{}
	for k := range u.runs {
		running = append(running, []any{k.task, k.run, "", 50, 1})
	}
	ended := u.ended[:min(len(u.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	answerJSON(w, http.StatusOK, map[string]any{"clock_ms": u.clock(), "born": u.bornAt.UnixMilli(), "running": running, "ended": ended})
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// text returns the spec of a task.
func (s spec) text() string {
	data, err := json.Marshal(s)
	if err != nil {
		return fmt.Sprintf(`{"ms":%d}`, s.MS)
	}
	return string(data)
}
