package dispatch

import (
	"testing"
	"time"
)

// harness drives a scheduler step by step.
type harness struct {
	*Scheduler
	t    *testing.T
	now  time.Duration
	next int
	view map[UpstreamID]Upstream
}

func newHarness(t *testing.T, off Mechanism, upstreams ...Upstream) *harness {
	h := &harness{Scheduler: newScheduler(off), t: t, now: time.Second, view: map[UpstreamID]Upstream{}}
	for _, u := range upstreams {
		h.update(u)
	}
	return h
}

func (h *harness) update(u Upstream) {
	h.view[u.ID] = u
	h.UpdateUpstream(h.now, u)
}

// add enqueues n tasks of one job.
func (h *harness) add(n int, caller, class string) {
	h.addTask(n, Task{Caller: caller, Class: class, Deadline: h.now + time.Minute, TaskCount: n})
}

func (h *harness) addTask(n int, t Task) {
	h.next++
	id := taskID(h.next)
	for i := range n {
		t.ID = id
		t.ID.Index = uint16(i)
		h.Enqueue(h.now, t)
	}
}

// start takes the next assignment; it is the zero value if there is none.
func (h *harness) start() Assignment {
	a, _ := h.Next(h.now)
	return a
}

func (h *harness) startAll() []Assignment {
	var all []Assignment
	for {
		a, ok := h.Next(h.now)
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

// end reports an outcome and gives the credit back.
func (h *harness) end(a Assignment, kind OutcomeKind, runTime time.Duration) {
	h.update(h.view[a.Upstream])
	h.Finished(h.now, Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: kind, RunTime: runTime})
}

// run enqueues, starts and ends n single tasks one after the other.
func (h *harness) run(n int, t Task, kind OutcomeKind, runTime time.Duration) (starts map[UpstreamID]int) {
	starts = map[UpstreamID]int{}
	t.TaskCount = 1
	for range n {
		t.Deadline = h.now + time.Minute
		h.addTask(1, t)
		a := h.start()
		if a.Task.Caller == "" {
			h.t.Fatal("no assignment")
		}
		starts[a.Upstream]++
		h.now += 10 * ms
		h.end(a, kind, runTime)
	}
	return starts
}

func (h *harness) learn(class string, runTime time.Duration) {
	h.run(40, Task{Caller: "teacher", Class: class}, Succeeded, runTime)
}

func count(all []Assignment, match func(Task) bool) int {
	n := 0
	for _, a := range all {
		if match(a.Task) {
			n++
		}
	}
	return n
}

// Guards against a mechanism that has no effect. Each case is a decision that one
// mechanism changes: it holds with all mechanisms and fails without that one.
func TestMechanisms(t *testing.T) {
	for _, c := range []struct {
		name  string
		off   Mechanism
		holds func(h *harness) bool
	}{
		{"a caller with few tasks is served beside one with many", Fairness, func(h *harness) bool {
			h.update(worker("h", 1))
			h.add(100, "big", "echo")
			h.now += ms
			h.add(100, "small", "echo")
			small := 0
			for range 40 {
				a := h.start()
				if a.Task.Caller == "small" {
					small++
				}
				h.now += 300 * ms
				h.end(a, Succeeded, 300*ms)
			}
			return small >= 15
		}},
		{"short tasks pass long ones", ShortestFirst, func(h *harness) bool {
			h.update(worker("h", 1))
			h.learn("echo", 50*ms)
			h.learn("long", 900*ms)
			h.add(1, "c", "long")
			h.now += ms
			h.add(1, "c", "echo")
			return h.start().Task.Class == "echo"
		}},
		{"a false declaration is corrected", Learning, func(h *harness) bool {
			h.update(worker("h", 1))
			short := Task{Caller: "c", Class: "echo", Declared: 10 * time.Second, TaskCount: 1}
			h.run(40, short, Succeeded, 50*ms)
			h.learn("long", 900*ms)
			h.add(1, "c", "long")
			h.now += ms
			short.Deadline = h.now + time.Minute
			h.addTask(1, short)
			return h.start().Task.Class == "echo"
		}},
		{"long work leaves slots for short work", LongShare, func(h *harness) bool {
			h.update(worker("h", 1))
			h.learn("long", 4*time.Second)
			u := worker("h", 8)
			h.update(u)
			h.add(8, "c", "echo")
			for _, a := range h.startAll() {
				h.end(a, Succeeded, 50*ms)
			}
			h.update(u)
			h.add(8, "c", "long")
			return len(h.startAll()) <= 2
		}},
		{"stragglers do not hold back long work", Stragglers, func(h *harness) bool {
			h.update(worker("h", 1))
			h.learn("long", 4*time.Second)
			u := worker("h", 8)
			h.add(8, "c", "echo")
			h.update(u)
			for _, a := range h.startAll() {
				h.end(a, Succeeded, 50*ms)
			}
			h.update(u)
			h.add(8, "c", "long")
			before := len(h.startAll())
			h.now += 20 * time.Second
			h.add(8, "c", "echo")
			h.update(u)
			for _, a := range h.startAll() {
				if a.Task.Class == "echo" {
					h.end(a, Succeeded, 50*ms)
				}
			}
			after := len(h.startAll())
			return before > 0 && after > 0
		}},
		{"a single task passes a large job", JobSize, func(h *harness) bool {
			h.update(worker("h", 1))
			h.add(100, "c", "echo")
			h.now += 100 * ms
			h.add(1, "c", "echo")
			return h.start().Task.TaskCount == 1
		}},
		{"a job that would wait past its deadline is refused", Admission, func(h *harness) bool {
			h.update(worker("h", 1))
			h.learn("echo", 300*ms)
			for range 100 {
				h.addTask(1, Task{Caller: "c", Class: "echo", Deadline: h.now + time.Second, TaskCount: 1})
			}
			d := h.Admit(h.now, AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Deadline: h.now + time.Second})
			return d.Verdict == Overloaded && d.RetryAfter > 0
		}},
		{"a task past its deadline is not started", LateDrop, func(h *harness) bool {
			h.update(worker("h", 1))
			h.addTask(1, Task{Caller: "c", Class: "echo", Deadline: h.now + 10*ms, TaskCount: 1})
			h.now += 20 * ms
			_, started := h.Next(h.now)
			_, dropped := h.Drop(h.now)
			return !started && dropped
		}},
		{"an upstream that fails everything is ejected", Ejection, func(h *harness) bool {
			h.update(worker("bad", 8))
			h.update(worker("good", 8))
			bad := 0
			for range 50 {
				h.add(1, "c", "echo")
				a := h.start()
				kind := Succeeded
				if a.Upstream.Host == "bad" {
					kind = Failed
					bad++
				}
				h.now += ms
				h.end(a, kind, ms)
			}
			return bad <= 4
		}},
		{"the same data centre goes first", Placement, func(h *harness) bool {
			far := worker("far", 8)
			far.DataCentre = "b"
			h.update(far)
			h.update(worker("near", 8))
			starts := h.run(20, Task{Caller: "c", Class: "echo"}, Succeeded, 50*ms)
			return starts[UpstreamID{Host: "near", Service: "w"}] == 20
		}},
		{"refusals make older credits suspect", StaleCredits, func(h *harness) bool {
			h.update(worker("x", 2))
			h.update(worker("y", 2))
			h.update(worker("z", 2))
			h.now += 100 * ms
			h.add(2, "c", "echo")
			for _, a := range h.startAll() {
				u := h.view[a.Upstream]
				u.Credits = 0
				h.update(u)
				h.Finished(h.now, Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: NotStarted})
				h.Enqueue(h.now, a.Task)
			}
			_, ok := h.Next(h.now)
			return !ok
		}},
		{"old credits are used one per round trip", StaleCredits, func(h *harness) bool {
			h.update(worker("h", 4))
			h.now += time.Second
			h.add(4, "c", "echo")
			first := len(h.startAll())
			h.now += 10 * ms
			return first == 1 && len(h.startAll()) == 1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.holds(newHarness(t, 0)) {
				t.Error("does not hold")
			}
			if c.holds(newHarness(t, c.off)) {
				t.Error("holds without its mechanism, so the test shows nothing")
			}
		})
	}
}

// Guards against starvation of long tasks: a task that has waited longer than
// its penalty goes before younger short ones.
func TestLongTaskAges(t *testing.T) {
	h := newHarness(t, 0, worker("h", 1))
	h.learn("echo", 50*ms)
	h.learn("long", 900*ms)
	h.add(1, "c", "long")
	h.now += 10 * time.Second
	h.add(1, "c", "echo")
	if a := h.start(); a.Task.Class != "long" {
		t.Errorf("%s goes before a long task that waited for 10 s", a.Task.Class)
	}
}

// Guards against weights and caps that have no effect.
func TestWeightsAndCaps(t *testing.T) {
	h := newHarness(t, 0)
	h.Configure(0, Settings{Owners: 2, Callers: map[string]CallerSettings{
		"heavy": {Weight: 3}, "light": {Weight: 1}, "capped": {MaxSlots: 4},
	}})
	h.update(worker("h", 1))
	h.add(140, "heavy", "echo")
	h.add(140, "light", "echo")
	heavy := 0
	for range 80 {
		a := h.start()
		if a.Task.Caller == "heavy" {
			heavy++
		}
		h.now += 300 * ms
		h.end(a, Succeeded, 300*ms)
	}
	if heavy < 55 || heavy > 65 {
		t.Errorf("weight 3 against 1 got %d of 80 starts, want about 60", heavy)
	}
	h = newHarness(t, 0, worker("h", 8))
	h.Configure(0, Settings{Owners: 2, Callers: map[string]CallerSettings{"capped": {MaxSlots: 4}}})
	h.add(8, "capped", "echo")
	if n := len(h.startAll()); n != 2 {
		t.Errorf("a cap of 4 slots over 2 owners let %d tasks start, want 2", n)
	}
}

// Guards against wrong verdicts: each cause has its own, and a refusal that can
// pass says when to retry.
func TestAdmissionVerdicts(t *testing.T) {
	settings := Settings{
		Owners:  1,
		Classes: map[string]ClassSettings{"echo": {}, "long": {Sites: []string{"elsewhere"}}, "rare": {}},
		Callers: map[string]CallerSettings{"small": {MaxQueued: 10}, "narrow": {MaxSlots: 1}},
	}
	for _, c := range []struct {
		name string
		r    AdmitRequest
		want Verdict
	}{
		{"idle", AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Deadline: time.Second}, Admitted},
		{"faster than ever seen", AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Deadline: 50 * ms}, Impossible},
		{"class not configured", AdmitRequest{Caller: "c", Class: "none", Tasks: 1, Deadline: time.Second}, Impossible},
		{"more tasks than may wait", AdmitRequest{Caller: "small", Class: "echo", Tasks: 11, Deadline: time.Hour}, Impossible},
		{"no site serves the class", AdmitRequest{Caller: "c", Class: "long", Tasks: 1, Deadline: time.Second}, NoUpstream},
		{"no upstream serves the class", AdmitRequest{Caller: "c", Class: "rare", Tasks: 1, Deadline: time.Second}, NoUpstream},
		{"more than fits in time now", AdmitRequest{Caller: "c", Class: "echo", Tasks: 30, Deadline: time.Second}, Overloaded},
		{"more than ever fits in time", AdmitRequest{Caller: "c", Class: "echo", Tasks: 140, Deadline: time.Second}, Impossible},
		{"full queue", AdmitRequest{Caller: "small", Class: "echo", Tasks: 8, Deadline: time.Hour}, OverQuota},
		{"cap on slots", AdmitRequest{Caller: "narrow", Class: "echo", Tasks: 8, Deadline: 2 * time.Second}, OverQuota},
		{"declared ten times too long", AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Declared: 10 * time.Second,
			Deadline: time.Second}, Admitted},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.Configure(0, settings)
			h.update(worker("h", 8))
			h.learn("echo", 200*ms)
			h.add(5, "small", "echo")
			c.r.Deadline += h.now
			d := h.Admit(h.now, c.r)
			if d.Verdict != c.want {
				t.Errorf("verdict %d, want %d (%+v)", d.Verdict, c.want, d)
			}
			if retry := d.Verdict != Admitted && d.Verdict != Impossible; retry != (d.RetryAfter > 0) {
				t.Errorf("verdict %d with RetryAfter %s", d.Verdict, d.RetryAfter)
			}
		})
	}
}

// Guards against short jobs that are refused because of long work of the same
// caller, which the share of long work holds back anyway.
func TestLongBacklogRefusesNoShortJob(t *testing.T) {
	h := newHarness(t, 0, worker("h", 1))
	h.learn("echo", 100*ms)
	h.learn("long", 4*time.Second)
	h.update(worker("h", 8))
	for range 60 {
		h.add(1, "c", "long")
		h.startAll()
		h.now += 500 * ms
	}
	d := h.Admit(h.now, AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Deadline: h.now + 500*ms})
	if d.Verdict != Admitted {
		t.Errorf("verdict %d behind long work, want admitted (%+v)", d.Verdict, d)
	}
}

// Guards against jobs that are refused because of work that cannot start now, as
// when all sites of its class are in quiet hours.
func TestIdleClassRefusesNoOtherJob(t *testing.T) {
	closed := worker("asleep", 0)
	closed.Classes = []string{"long"}
	open := worker("awake", 8)
	open.Classes = []string{"echo"}
	h := newHarness(t, 0, closed, open)
	h.learn("echo", 100*ms)
	for range 100 {
		h.add(1, "c", "long")
		h.now += 100 * ms
	}
	d := h.Admit(h.now, AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Deadline: h.now + 500*ms})
	if d.Verdict != Admitted {
		t.Errorf("verdict %d behind a class that is not active, want admitted (%+v)", d.Verdict, d)
	}
}

// Guards against an ejection that never ends, and against a burst on the return
// of an upstream.
func TestEjectionAndReturn(t *testing.T) {
	h := newHarness(t, 0, worker("bad", 8), worker("good", 8))
	broken := true
	bad := func(n int) int {
		starts := 0
		for range n {
			h.add(1, "c", "echo")
			a := h.start()
			kind := Succeeded
			if a.Upstream.Host == "bad" {
				starts++
				if broken {
					kind = Failed
				}
			}
			h.now += 10 * ms
			h.end(a, kind, 10*ms)
		}
		return starts
	}
	bad(50)
	if n := bad(2000); n != 0 {
		t.Errorf("%d starts on an ejected upstream", n)
	}
	if n := bad(8000); n == 0 || n > 8 {
		t.Errorf("%d probes in 8,000 starts, want 1 to 8", n)
	}
	broken = false
	h.now += maxProbeInterval
	for _, u := range h.view {
		h.update(u)
	}
	h.add(140, "c", "echo")
	probes := count(h.startAll(), func(Task) bool { return true }) - 8
	if probes != 1 {
		t.Errorf("%d tasks on a probed upstream, want 1", probes)
	}
}

// Guards against a failing class that ejects healthy upstreams. The cap on the
// ejected share allows one of four.
func TestFailingClassEjectsNobody(t *testing.T) {
	h := newHarness(t, 0, worker("a", 8), worker("b", 8), worker("c", 8), worker("d", 8))
	for range 400 {
		h.add(1, "c", "echo")
		a := h.start()
		h.now += 10 * ms
		h.end(a, Failed, 10*ms)
	}
	if len(h.ejected) > 1 {
		t.Errorf("%d of 4 upstreams ejected, the cap is 1", len(h.ejected))
	}
	h.run(400, Task{Caller: "c", Class: "long"}, Succeeded, 10*ms)
	if n := h.Waiting(h.now, UpstreamID{Host: "a", Service: "w"}); n != 0 {
		t.Errorf("%d tasks wait after all were served", n)
	}
}

// Guards against a cancelled task that starts, and against a refused task that
// loses its place in the queue or is charged.
func TestCancelAndNotStarted(t *testing.T) {
	h := newHarness(t, 0, worker("h", 1))
	h.add(1, "c", "echo")
	a := h.start()
	if h.Cancel(h.now, a.Task.ID) {
		t.Error("a running task was cancelled")
	}
	h.now += 10 * ms
	h.add(1, "c", "echo")
	before := h.callers["c"].deficit
	h.end(a, NotStarted, 0)
	if got := h.callers["c"].deficit; got <= before {
		t.Errorf("deficit %s after a refused start, %s before", got, before)
	}
	h.Enqueue(h.now, a.Task)
	if b := h.start(); b.Task.ID != a.Task.ID {
		t.Error("a refused task lost its place")
	}
	h.add(1, "c", "echo")
	last := taskID(h.next)
	if !h.Cancel(h.now, last) || h.Cancel(h.now, last) {
		t.Error("a waiting task must be cancelled exactly once")
	}
}

// Guards against the use of credits that have expired.
func TestExpiredCredits(t *testing.T) {
	u := worker("h", 8)
	u.Expires = time.Second
	h := newHarness(t, 0, u)
	h.now = time.Second
	h.add(1, "c", "echo")
	if _, ok := h.Next(h.now); ok {
		t.Error("an expired credit started a task")
	}
}
