package dispatch

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"
)

// ask puts every question that operators can ask.
func (m *model) ask() {
	for _, class := range []string{"echo", "long", "not-seen"} {
		m.ExplainUpstreams(m.now, class)
		m.ExplainLoad("c0", class)
		m.ExplainLoad("not-seen", class)
		for _, tasks := range []int{1, 140} {
			m.ExplainAdmission(m.now, AdmitRequest{Caller: "c1", Class: class, Tasks: tasks, Deadline: m.now + 100*ms})
			m.ExplainAdmission(m.now, AdmitRequest{Caller: "not-seen", Class: class, Tasks: tasks, Declared: time.Minute, Deadline: m.now + time.Minute})
		}
	}
	for i := range m.next + 1 {
		m.ExplainWaiting(m.now, taskID(i))
	}
}

// Runs the same operations on two schedulers, one of which is asked for explanations after
// each. Guards against a question that starts something, spends a credit, changes a statistic
// or takes a random draw: all later decisions would differ.
func TestExplanationsChangeNoDecision(t *testing.T) {
	for seed := range uint64(20) {
		asked, plain := newModel(t), newModel(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range 400 {
			op := rng.IntN(100_000)
			request := AdmitRequest{Caller: "c" + strconv.Itoa(op%3), Class: "echo", Tasks: 1 + op%140, Deadline: asked.now + time.Duration(op%3000)*ms}
			if !asked.step(op) || !plain.step(op) {
				t.Fatalf("seed %d: operation %d failed", seed, i)
			}
			asked.ask()
			if a, p := asked.Admit(asked.now, request), plain.Admit(plain.now, request); a != p {
				t.Fatalf("seed %d, operation %d: the scheduler that was asked decided %+v, the other %+v", seed, i, a, p)
			}
			if !reflect.DeepEqual(asked.running, plain.running) {
				t.Fatalf("seed %d, operation %d: other tasks run on the scheduler that was asked", seed, i)
			}
		}
		if !reflect.DeepEqual(asked.Scheduler, plain.Scheduler) {
			t.Errorf("seed %d: the state of the scheduler that was asked differs", seed)
		}
	}
}

// Guards against an explanation that differs from the decision of the same moment: another
// verdict, or an upstream that is not among those that may win.
func TestExplanationAgreesWithTheDecision(t *testing.T) {
	starts := 0
	for seed := range uint64(20) {
		m := newModel(t)
		rng := rand.New(rand.NewPCG(seed, 2))
		for i := range 400 {
			op := rng.IntN(100_000)
			if !m.step(op) {
				t.Fatalf("seed %d: operation %d failed", seed, i)
			}
			r := AdmitRequest{Caller: "c" + strconv.Itoa(op%3), Class: "echo", Tasks: 1 + op%140, Deadline: m.now + time.Duration(op%3000)*ms}
			o := m.ExplainAdmission(m.now, r)
			d := m.Admit(m.now, r)
			if o.Verdict != d.Verdict || o.Wait != d.Wait || d.RetryAfter < o.RetryAfter || float64(d.RetryAfter) > 1.5*float64(o.RetryAfter) {
				t.Fatalf("seed %d, operation %d: explained %+v, decided %+v", seed, i, o, d)
			}
			lists := map[string][]UpstreamOutlook{}
			for _, class := range []string{"echo", "long"} {
				lists[class], _ = m.ExplainUpstreams(m.now, class)
			}
			before := len(m.runningOrder)
			if !m.start() {
				t.Fatalf("seed %d, operation %d: a start without a credit", seed, i)
			}
			if len(m.runningOrder) == before {
				continue
			}
			starts++
			a := m.runningOrder[before]
			if !slices.ContainsFunc(lists[a.Task.Class], func(u UpstreamOutlook) bool { return u.ID == a.Upstream && u.MayWin }) {
				t.Errorf("seed %d, operation %d: started on %v, explained were %+v", seed, i, a.Upstream, lists[a.Task.Class])
			}
		}
	}
	if starts < 500 {
		t.Errorf("only %d starts were compared", starts)
	}
}

// Guards against a wait that no operator can explain: each cause has its name.
func TestCausesOfWaitsAreNamed(t *testing.T) {
	busy := worker("busy", 0)
	expired := worker("expired", 3)
	expired.Expires = time.Millisecond
	other := worker("other", 3)
	other.Classes = []string{"long"}
	h := newHarness(t, 0, busy, expired, other)
	h.Configure(h.now, Settings{DataCentre: "a", Owners: 1, Callers: map[string]CallerSettings{"capped": {MaxSlots: 1}}})
	h.add(1, "c", "echo")
	if got := h.ExplainWaiting(h.now, taskID(1)); got != "no-credit" {
		t.Errorf("a task without credits waits because of %q", got)
	}
	_, excluded := h.ExplainUpstreams(h.now, "echo")
	want := []ExcludedUpstream{{busy.ID, "no-credit"}, {expired.ID, "credits-expired"}, {other.ID, "other-class"}}
	if !slices.Equal(excluded, want) {
		t.Errorf("excluded %v, want %v", excluded, want)
	}
	h.add(2, "capped", "long")
	h.startAll()
	for task, want := range map[int]string{0: "", 1: "caller-at-its-cap"} {
		id := taskID(2)
		id.Index = uint16(task)
		if got := h.ExplainWaiting(h.now, id); got != want {
			t.Errorf("task %d of the capped caller: %q, want %q", task, got, want)
		}
	}
	h.add(1, "c", "nowhere")
	if got := h.ExplainWaiting(h.now, taskID(3)); got != "no-upstream" {
		t.Errorf("a task of a class without upstreams waits because of %q", got)
	}
}

// BenchmarkExplainUpstreams measures the part of an explanation that grows with the
// upstreams. The target is a few milliseconds at 250.
func BenchmarkExplainUpstreams(b *testing.B) {
	s := newScheduler(0)
	for i := range 250 {
		s.UpdateUpstream(time.Second, worker("h"+strconv.Itoa(i), i%5))
	}
	for b.Loop() {
		s.ExplainUpstreams(time.Second, "echo")
	}
}
