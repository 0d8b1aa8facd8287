package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxHold           = 1000
	stopGrace         = 50 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is the time within which an acknowledgement of a heartbeat counts.
	heartbeatTimeout = time.Second
)

// kind is what a worker says of itself.
type kind struct {
	name       string
	cpu, memMB int
}

type runKey struct {
	task string
	run  uint64
}

type activeRun struct {
	spec   taskSpec
	endAt  time.Time
	stopAt time.Time
}

// worker stands in for the worker on a side machine. It starts whatever it is told to start, as
// with admission_check false, and notes a start that breaks a rule. Calls are handled as
// PROTOCOL.md says under "Running tasks".
type worker struct {
	rec     *record
	name    string
	address string
	control string
	service string
	rack    string
	server  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silent is set while nothing is answered and no heartbeat is sent: the machine has no
	// power, or is cut off. awake is closed when that ends.
	silent bool
	awake  chan struct{}
	// present is false between a crash and the start of the next incarnation.
	present  bool
	life     int
	id       string
	kind     kind
	born     int64
	begin    time.Time
	seq      uint64
	leaseEnd int64
	token    uint64
	active   map[runKey]*activeRun
	live     *liveRuns
	highest  map[string]uint64
	ended    [][]any
	number   int64
	// acknowledged is set once a heartbeat was acknowledged.
	acknowledged bool
}

// overlap is how long two runs of a task have to go on side by side before they count. A timer of a
// run's end may be some milliseconds late.
const overlap = 50 * time.Millisecond

// liveRun is a run on a worker.
type liveRun struct {
	worker string
	key    runKey
}

// liveRuns are the runs on all workers, by task.
type liveRuns struct {
	rec *record

	mu sync.Mutex
	on map[string][]liveRun
}

// begin adds a run, and notes TWICE if it goes on beside another one of its task.
func (l *liveRuns) begin(r liveRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.on[r.key.task] {
		at := time.Now()
		time.AfterFunc(overlap, func() {
			if l.has(other) && l.has(r) {
				l.rec.violated("TWICE", "task %s run %d on %s and run %d on %s go on side by side for %v", r.key.task, other.key.run, other.worker, r.key.run, r.worker, time.Since(at).Round(time.Millisecond))
			}
		})
	}
	l.on[r.key.task] = append(l.on[r.key.task], r)
}

func (l *liveRuns) has(r liveRun) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.on[r.key.task], r)
}

func (l *liveRuns) end(r liveRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on[r.key.task] = slices.DeleteFunc(l.on[r.key.task], func(o liveRun) bool { return o == r })
}

func newWorker(rec *record, name, address, control, service, rack string, live *liveRuns, k kind) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{rec: rec, name: name, address: address, control: control, service: service, rack: rack, live: live, conns: map[net.Conn]bool{}, awake: make(chan struct{})}
	close(w.awake)
	w.server = &http.Server{Handler: w, ConnState: w.connState}
	go func() { _ = w.server.Serve(l) }()
	go w.step()
	w.start("i-"+name+"-1", k)
	return w, nil
}

func (w *worker) connState(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state == http.StateClosed {
		delete(w.conns, c)
	} else {
		w.conns[c] = true
	}
}

// start begins an incarnation, which knows nothing of the one before. It registers at once.
func (w *worker) start(id string, k kind) {
	w.mu.Lock()
	w.life++
	w.present, w.id, w.kind = true, id, k
	w.begin, w.born = time.Now(), time.Now().UnixMilli()
	w.seq, w.leaseEnd, w.token, w.number = 0, 0, 0, 0
	w.active, w.highest, w.ended = map[runKey]*activeRun{}, map[string]uint64{}, nil
	life := w.life
	w.mu.Unlock()
	w.rec.note("%s: incarnation %d begins, id %s, kind %s, cpu %d, labels %v", w.name, life, id, k.name, k.cpu, w.labels())
	go w.heartbeats(life)
}

// crash ends the incarnation and all that it runs without a notice.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present = false
	w.life++
	w.rec.note("%s: crashes with %d runs", w.name, len(w.active))
	for k := range w.active {
		w.live.end(liveRun{w.name, k})
	}
	w.active = map[runKey]*activeRun{}
}

// setSilent cuts the worker off, or ends that. The connections that were open meanwhile are of no
// use afterwards if the incarnation that had accepted them has ended.
func (w *worker) setSilent(on, dropConnections bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent == on {
		return
	}
	w.silent = on
	w.rec.note("%s: silent %v", w.name, on)
	if on {
		w.awake = make(chan struct{})
		return
	}
	if dropConnections {
		for c := range w.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	close(w.awake)
}

func (w *worker) labels() []string { return []string{w.kind.name, w.rack} }

func (w *worker) clock() int64 { return time.Since(w.begin).Milliseconds() + 1 }

// heartbeats sends the heartbeats of one incarnation.
func (w *worker) heartbeats(life int) {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for next := time.Now(); ; next = next.Add(heartbeatInterval) {
		time.Sleep(time.Until(next))
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		w.seq++
		silent := w.silent
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": w.kind.cpu, "mem_mb": w.kind.memMB, "gpus": 0}, "labels": w.labels(),
			"clock_ms": w.clock(), "seq": w.seq, "born": w.born,
		})
		url := "http://" + w.control + "/instances/" + w.id
		w.mu.Unlock()
		if silent {
			// The call of a machine that is cut off gets no answer.
			w.rec.note("%s: heartbeat of incarnation %d is lost", w.name, life)
			continue
		}
		go w.heartbeat(client, url, body, life)
	}
}

func (w *worker) heartbeat(client *http.Client, url string, body []byte, life int) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	w.mu.Lock()
	w.acknowledged = w.acknowledged || resp.StatusCode/100 == 2
	w.mu.Unlock()
	w.rec.note("%s: heartbeat of incarnation %d is answered with %d", w.name, life, resp.StatusCode)
}

// step ends the runs that are due until the process ends.
func (w *worker) step() {
	for {
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		w.endDue()
		w.mu.Unlock()
	}
}

// endDue ends the runs whose lease, work or stop has ended. The caller holds w.mu.
func (w *worker) endDue() {
	now := time.Now()
	for k, r := range w.active {
		switch {
		case w.clock() > w.leaseEnd:
			w.end(k, "lapsed")
		case now.After(r.endAt):
			w.end(k, "done")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(k, "stopped")
		}
	}
}

func (w *worker) end(k runKey, how string) {
	delete(w.active, k)
	w.live.end(liveRun{w.name, k})
	w.highest[k.task] = max(w.highest[k.task], k.run)
	w.number++
	w.ended = append(w.ended, []any{w.number, k.task, k.run, how, ""})
	w.rec.note("%s: task %s run %d ends %s", w.name, k.task, k.run, how)
}

type command struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	silent := w.silent || !w.present
	w.mu.Unlock()
	if silent {
		// The call has reached nobody.
		<-r.Context().Done()
		return
	}
	status, body := w.call(r, c)
	w.mu.Lock()
	silent = w.silent
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	sendJSON(out, status, body)
}

func (w *worker) call(r *http.Request, c command) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if intended := r.Header.Get("X-Expected-Instance"); intended != "" && intended != w.id {
		return http.StatusMisdirectedRequest, w.answer("")
	}
	w.endDue()
	if c.Token < w.token {
		return http.StatusConflict, w.answer("fence")
	}
	w.token = c.Token
	switch r.URL.Path {
	case "/run-start":
		return w.runStart(c)
	case "/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if run := w.active[runKey{c.Task, c.Run}]; run != nil && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopGrace / 2)
		}
		w.rec.note("%s: stop of task %s run %d", w.name, c.Task, c.Run)
		return http.StatusOK, w.answer("")
	case "/hold":
		return w.hold(r, c)
	}
	return http.StatusNotFound, w.answer("")
}

// answer returns the body of an answer. The caller holds w.mu.
func (w *worker) answer(reason string) map[string]any {
	body := map[string]any{"clock_ms": w.clock(), "born": w.born}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

func (w *worker) renew(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold))
}

func (w *worker) runStart(c command) (int, map[string]any) {
	k := runKey{c.Task, c.Run}
	switch {
	case w.active[k] != nil:
		return http.StatusOK, w.answer("")
	case c.Deadline <= w.clock():
		return http.StatusConflict, w.answer("late")
	case c.Run <= w.highest[c.Task]:
		w.renew(c.Deadline)
		return http.StatusConflict, w.answer("old")
	}
	spec, err := parseSpec(c.Spec)
	if err != nil {
		return http.StatusBadRequest, w.answer("")
	}
	w.renew(c.Deadline)
	w.active[k] = &activeRun{spec: spec, endAt: time.Now().Add(spec.duration())}
	w.rec.note("%s: task %s run %d starts (incarnation %d, id %s, labels %v), its step requires %q", w.name, c.Task, c.Run, w.life, w.id, w.labels(), spec.Requires)
	w.check(k, spec)
	return http.StatusOK, w.answer("")
}

// check notes a start that breaks TWICE, ROUTE or LIMIT. The caller holds w.mu.
func (w *worker) check(k runKey, spec taskSpec) {
	w.live.begin(liveRun{w.name, k})
	if spec.Requires != "" && !slices.Contains(w.labels(), spec.Requires) {
		w.rec.violated("ROUTE", "task %s run %d starts on %s, which has the labels %v, and requires %q", k.task, k.run, w.name, w.labels(), spec.Requires)
	}
	cpu, mem := 0, 0
	for _, r := range w.active {
		cpu += r.spec.CPU
		mem += r.spec.MemMB
	}
	if cpu > w.kind.cpu || mem > w.kind.memMB {
		w.rec.violated("LIMIT", "task %s run %d brings %s to %d thousandths of a core and %d MB, it has %d and %d", k.task, k.run, w.name, cpu, mem, w.kind.cpu, w.kind.memMB)
	}
}

// hold renews the lease and returns the lists. It waits for an end if it may. The caller holds
// w.mu, which is released meanwhile.
func (w *worker) hold(r *http.Request, c command) (int, map[string]any) {
	if c.Deadline > 0 {
		w.renew(c.Deadline)
	}
	life := w.life
	until := time.Now().Add(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int64) <= c.LastSeen })
	for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && w.life == life {
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		if w.life == life {
			w.endDue()
		}
	}
	body := w.answer("")
	running := [][]any{}
	for k := range w.active {
		running = append(running, []any{k.task, k.run, "", 100, 0})
	}
	body["running"], body["ended"] = running, append([][]any{}, w.ended[:min(len(w.ended), 500)]...)
	return http.StatusOK, body
}

// taskSpec is the work of a task, which its job's spec holds.
type taskSpec struct {
	MS       int    `json:"ms"`
	CPU      int    `json:"cpu"`
	MemMB    int    `json:"mem"`
	Requires string `json:"requires"`
}

func (s taskSpec) duration() time.Duration { return time.Duration(s.MS) * time.Millisecond }

func (s taskSpec) text() string {
	data, _ := json.Marshal(s)
	return string(data)
}

func parseSpec(text string) (s taskSpec, err error) {
	err = json.NewDecoder(strings.NewReader(text)).Decode(&s)
	if err != nil {
		return s, fmt.Errorf("spec %q: %w", text, err)
	}
	return s, nil
}
