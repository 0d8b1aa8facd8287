package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants, stopTime how long a stop takes.
	maxHold  = 1000 * time.Millisecond
	stopTime = 25 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats; the first one is sent at the start.
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	workerTick        = time.Millisecond
	serviceName       = "s"
)

// kind is what a life of a worker offers.
type kind struct {
	cpu, memMB int
	labels     []string
}

func (k kind) has(label string) bool {
	for _, l := range k.labels {
		if l == label {
			return true
		}
	}
	return false
}

// taskSpec is the spec of the stand-in's tasks: what they use and how long they run. Each job gets
// the requirements of its step as well, so that the worker can check them.
type taskSpec struct {
	CPU      int    `json:"cpu"`
	MS       int    `json:"ms"`
	Requires string `json:"requires,omitempty"`
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

// worker stands in for a worker. It starts all that it is told to start, also above its capacity.
type worker struct {
	name   string
	runs   *runLedger
	record *recorder
	// control is the URL of the address on the side machine that takes heartbeats.
	control string
	// linkUp reports whether the link between the worker and its side machine is up.
	linkUp func() bool

	mu       sync.Mutex // guards the fields below
	id       string
	kind     kind
	born     int64
	bornAt   time.Time
	seq      uint64
	down     bool
	nextBeat time.Time
	// leaseEnd is the end of the lease on the worker's clock.
	leaseEnd int64
	token    uint64
	active   map[runKey]*activeRun
	// lastRun is the highest run of each task that was stopped or has ended.
	lastRun map[string]uint64
	ended   [][]any
	number  int64
	// life is closed when the present life ends.
	life chan struct{}
}

func newWorker(name, id string, k kind, control string, l *runLedger, r *recorder) *worker {
	w := &worker{name: name, id: id, control: control, runs: l, record: r, linkUp: func() bool { return true }, life: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin(k)
	return w
}

// begin begins a life, which knows nothing of the one before. The caller holds w.mu.
func (w *worker) begin(k kind) {
	w.kind, w.bornAt, w.born = k, time.Now(), time.Now().UnixMilli()
	w.seq, w.leaseEnd, w.token, w.number = 0, 0, 0, 0
	w.active, w.lastRun, w.ended = map[runKey]*activeRun{}, map[string]uint64{}, nil
	w.down, w.nextBeat = false, time.Now()
	w.record.log("worker %s: life %s born %d, cpu %d, labels %v", w.name, w.id, w.born, k.cpu, k.labels)
}

// crash ends the present life: all that runs has ended, and nothing is answered.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	w.record.log("worker %s crashes with %d runs", w.name, len(w.active))
	for k := range w.active {
		w.runs.end(w.name, k)
	}
	w.active, w.down = map[runKey]*activeRun{}, true
	close(w.life)
	w.life = make(chan struct{})
}

// restart begins a new life under an id, which may be the one before.
func (w *worker) restart(id string, k kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id = id
	w.begin(k)
}

// clock is the worker's steady clock, which starts with its life.
func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() + 1 }

// endDue ends the runs whose time has come. The caller holds w.mu.
func (w *worker) endDue() {
	now := time.Now()
	for k, r := range w.active {
		switch {
		case w.clock() >= w.leaseEnd:
			w.finish(k, "lapsed")
		case !now.Before(r.endAt):
			w.finish(k, "done")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.finish(k, "stopped")
		}
	}
}

func (w *worker) finish(k runKey, how string) {
	delete(w.active, k)
	w.lastRun[k.task] = max(w.lastRun[k.task], k.run)
	w.number++
	w.ended = append(w.ended, []any{w.number, k.task, k.run, how, ""})
	w.record.log("worker %s: %s run %d ends %s", w.name, k.task, k.run, how)
	w.runs.end(w.name, k)
}

func (w *worker) used() int {
	sum := 0
	for _, r := range w.active {
		sum += r.spec.CPU
	}
	return sum
}

// loop ends runs and sends heartbeats until stop is closed.
func (w *worker) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.endDue()
		if !w.down && !time.Now().Before(w.nextBeat) {
			w.nextBeat = time.Now().Add(heartbeatInterval)
			w.seq++
			go w.heartbeat(w.id, w.heartbeatBody("ready"))
		}
		w.mu.Unlock()
	}
}

// heartbeatBody returns a heartbeat. The caller holds w.mu.
func (w *worker) heartbeatBody(state string) map[string]any {
	return map[string]any{
		"service": serviceName, "address": strings.TrimPrefix(w.control, "http://"), "zone": "z-1", "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.kind.cpu, "mem_mb": w.kind.memMB, "gpus": 0}, "labels": w.kind.labels,
		"clock_ms": w.clock(), "seq": w.seq, "born": w.born,
	}
}

func (w *worker) heartbeat(id string, body map[string]any) {
	if !w.linkUp() {
		w.record.log("worker %s: heartbeat %v does not arrive", w.name, body["seq"])
		return
	}
	status := putHeartbeat(w.control, id, body)
	w.record.log("worker %s: heartbeat %v cpu %v labels %v: %d", w.name, body["seq"], body["capacity"].(map[string]int)["cpu"], body["labels"], status)
}

// putHeartbeat sends a heartbeat and returns the status of its answer, or 0.
func putHeartbeat(control, id string, body map[string]any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	req, err := http.NewRequest(http.MethodPut, control+"/instances/"+id, strings.NewReader(string(data)))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	down, life, id := w.down, w.life, w.id
	w.mu.Unlock()
	if down {
		// A host without power: no answer, and the connection is unknown after its return.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := w.execute(r.URL.Path, o, life)
	if status == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, status, body)
}

// execute carries a call out. It returns 0 if the life has ended meanwhile.
func (w *worker) execute(path string, o order, life chan struct{}) (int, map[string]any) {
	switch path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		return w.stop(o)
	case "/hold":
		return w.hold(o, life)
	}
	return http.StatusNotFound, map[string]any{}
}

// extend takes a lease from a call. The caller holds w.mu.
func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	refuse := func(reason string) (int, map[string]any) {
		w.record.log("worker %s: start of %s run %d refused: %s", w.name, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": reason}
	}
	k := runKey{o.Task, o.Run}
	switch {
	case o.Token < w.token:
		return refuse("fence")
	case w.active[k] != nil:
		w.token = o.Token
		return http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born}
	case o.Deadline <= w.clock():
		return refuse("late")
	case o.Run <= w.lastRun[o.Task]:
		w.token = o.Token
		w.extend(o.Deadline)
		return refuse("old")
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		return http.StatusBadRequest, map[string]any{"clock_ms": w.clock(), "born": w.born}
	}
	w.token = o.Token
	w.extend(o.Deadline)
	w.active[k] = &activeRun{spec: spec, endAt: time.Now().Add(time.Duration(spec.MS) * time.Millisecond)}
	w.record.log("worker %s: %s run %d starts, %d of %d thousandths of a core in use", w.name, o.Task, o.Run, w.used(), w.kind.cpu)
	w.runs.begin(w, k, spec)
	return http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born}
}

func (w *worker) stop(o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	if o.Token < w.token {
		return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": "fence"}
	}
	w.token = o.Token
	if r := w.active[runKey{o.Task, o.Run}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
	return http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born}
}

func (w *worker) hold(o order, life chan struct{}) (int, map[string]any) {
	end := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		w.mu.Lock()
		if w.life != life || w.down {
			w.mu.Unlock()
			return 0, nil
		}
		w.endDue()
		if first {
			if o.Token < w.token {
				defer w.mu.Unlock()
				return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": "fence"}
			}
			w.token = o.Token
			if o.Deadline > 0 {
				w.extend(o.Deadline)
			}
			for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
				w.ended = w.ended[1:]
			}
		}
		if len(w.ended) > 0 || !time.Now().Before(end) {
			running := [][]any{}
			for k, r := range w.active {
				running = append(running, []any{k.task, k.run, "", 100, r.spec.CPU})
			}
			body := map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended": append([][]any{}, w.ended[:min(len(w.ended), 500)]...)}
			w.mu.Unlock()
			return http.StatusOK, body
		}
		w.mu.Unlock()
		time.Sleep(workerTick)
	}
}

// runLedger sees the runs on all workers and checks the rules on them.
type runLedger struct {
	record *recorder
	// checks are called for each start, with the worker's lock held.
	checks []func(w *worker, k runKey, spec taskSpec)
	// checkTwice makes two runs of a task at the same time a violation.
	checkTwice bool

	mu sync.Mutex // guards the field below
	// where holds, by task, the workers on which it runs, with the numbers of the runs.
	where map[string]map[string]uint64
}

func newRunLedger(r *recorder) *runLedger {
	return &runLedger{record: r, where: map[string]map[string]uint64{}}
}

func (l *runLedger) begin(w *worker, k runKey, spec taskSpec) {
	l.mu.Lock()
	if l.where[k.task] == nil {
		l.where[k.task] = map[string]uint64{}
	}
	var beside []string
	for name, run := range l.where[k.task] {
		beside = append(beside, fmt.Sprintf("run %d on %s", run, name))
	}
	l.where[k.task][w.name] = k.run
	l.mu.Unlock()
	if l.checkTwice && len(beside) > 0 {
		l.record.violation("TWICE: %s run %d starts on %s beside %s", k.task, k.run, w.name, strings.Join(beside, ", "))
	}
	for _, check := range l.checks {
		check(w, k, spec)
	}
}

func (l *runLedger) end(name string, k runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.where[k.task][name] == k.run {
		delete(l.where[k.task], name)
	}
}

// running returns the tasks of a job that run now.
func (l *runLedger) running(job string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task, at := range l.where {
		if len(at) > 0 && strings.HasPrefix(task, job+".") {
			out = append(out, task)
		}
	}
	return out
}
