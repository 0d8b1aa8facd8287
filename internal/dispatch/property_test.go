package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/damasklb/damasklb/internal/wire"
)

// propertySeed makes failures repeatable; it is printed with them.
const propertySeed = 20261204

func check(t *testing.T, name string, p gopter.Prop) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 200
	params.MaxSize = 400
	properties := gopter.NewProperties(params)
	properties.Property(name, p)
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("seed %d", int64(propertySeed))
	}
}

// model repeats what a scheduler was told, to check what it decides.
type model struct {
	*harness
	waiting map[wire.TaskID]Task
	running map[wire.TaskID]Assignment
	order   []Assignment
	credits map[UpstreamID]int
}

func newModel(t *testing.T) *model {
	m := &model{
		harness: newHarness(t, 0),
		waiting: map[wire.TaskID]Task{},
		running: map[wire.TaskID]Assignment{},
		credits: map[UpstreamID]int{},
	}
	for i := range 4 {
		m.grant(i, 2)
	}
	return m
}

func (m *model) grant(i, credits int) {
	u := worker("h"+strconv.Itoa(i), credits)
	u.Expires = m.now + 10*time.Second
	m.credits[u.ID] = credits
	m.update(u)
}

func (m *model) enqueue(x int) {
	class := []string{"echo", "long"}[x%2]
	m.next++
	task := Task{
		ID:        taskID(m.next),
		Caller:    "c" + strconv.Itoa(x%3),
		Class:     class,
		Declared:  time.Duration(x%5) * 400 * ms,
		Deadline:  m.now + time.Duration(x%7)*time.Second,
		TaskCount: 1 + x%140,
	}
	m.waiting[task.ID] = task
	m.Enqueue(m.now, task)
}

// start checks that an assignment is of a waiting task and has a credit.
func (m *model) start() bool {
	a, ok := m.Next(m.now)
	if !ok {
		return true
	}
	if _, waits := m.waiting[a.Task.ID]; !waits || m.credits[a.Upstream] == 0 {
		return false
	}
	delete(m.waiting, a.Task.ID)
	m.credits[a.Upstream]--
	m.running[a.Task.ID] = a
	m.order = append(m.order, a)
	return true
}

func (m *model) finish(x int) {
	if len(m.order) == 0 {
		return
	}
	i := x % len(m.order)
	a := m.order[i]
	m.order = append(m.order[:i], m.order[i+1:]...)
	delete(m.running, a.Task.ID)
	kind := []OutcomeKind{Succeeded, Succeeded, Succeeded, Failed, NotStarted, Lost}[x%6]
	m.Finished(m.now, Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: kind, RunTime: time.Duration(x%900) * ms})
	if kind == NotStarted {
		m.waiting[a.Task.ID] = a.Task
		m.Enqueue(m.now, a.Task)
	}
}

func (m *model) drop() bool {
	task, ok := m.Drop(m.now)
	if !ok {
		return true
	}
	_, waits := m.waiting[task.ID]
	delete(m.waiting, task.ID)
	return waits
}

// cancel checks that exactly waiting tasks can be cancelled.
func (m *model) cancel(x int) bool {
	id := taskID(1 + x%(m.next+1))
	_, waits := m.waiting[id]
	delete(m.waiting, id)
	return m.Cancel(m.now, id) == waits
}

func (m *model) step(op int) bool {
	x := op / 10
	switch op % 10 {
	case 0, 1, 2:
		m.enqueue(x)
	case 3, 4, 5:
		return m.start()
	case 6:
		m.finish(x)
	case 7:
		m.grant(x%4, x%5)
	case 8:
		m.now += time.Duration(x%200) * ms
		return m.drop()
	default:
		if x%11 == 0 {
			id := UpstreamID{Host: "h" + strconv.Itoa(x%4), Service: "w"}
			m.RemoveUpstream(m.now, id)
			m.credits[id] = 0
			return true
		}
		return m.cancel(x)
	}
	return true
}

// drain gives credits until nothing waits; each waiting task must start or be
// dropped, or it starves.
func (m *model) drain() bool {
	for range 100 * (len(m.waiting) + 10) {
		for len(m.order) > 0 {
			a := m.order[0]
			m.order = m.order[1:]
			delete(m.running, a.Task.ID)
			m.Finished(m.now, Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: Succeeded, RunTime: 100 * ms})
		}
		if len(m.waiting) == 0 {
			return true
		}
		m.now += 100 * ms
		for i := range 4 {
			m.grant(i, 2)
		}
		if !m.start() || !m.drop() {
			return false
		}
	}
	return false
}

// Guards against lost or doubled tasks, credits that are used twice, and tasks
// that never start, under any order of events. Invariants panic in tests.
func TestConservation(t *testing.T) {
	check(t, "tasks and credits are conserved", prop.ForAll(func(ops []int) bool {
		m := newModel(t)
		for _, op := range ops {
			if !m.step(op) {
				return false
			}
		}
		return m.drain()
	}, gen.SliceOf(gen.IntRange(0, 1<<20))))
}

// Guards against a caller that gets more than its share: with all callers
// backlogged, slot time per weight differs by no more than a round and the
// longest tasks.
func TestFairnessBound(t *testing.T) {
	const longest = 900
	check(t, "slot time per weight is equal", prop.ForAll(func(runs []int) bool {
		weights := map[string]float64{"a": 1, "b": 2, "c": 1}
		h := newHarness(t, 0, worker("h", 1))
		callers := map[string]CallerSettings{}
		for name, w := range weights {
			callers[name] = CallerSettings{Weight: w}
		}
		h.Configure(h.now, Settings{Owners: 1, DataCentre: "a", Callers: callers})
		for range len(runs)/3 + 3 {
			for _, name := range []string{"a", "b", "c"} {
				h.addTask(3, Task{Caller: name, Class: "echo", Deadline: time.Hour, TaskCount: 1})
			}
		}
		used := map[string]time.Duration{}
		for _, r := range runs {
			a := h.start()
			ran := time.Duration(r) * ms
			used[a.Task.Caller] += ran
			h.now += ran
			h.end(a, Succeeded, ran)
		}
		bound := 2*quantum + 2*longest*ms
		for x, wx := range weights {
			for y, wy := range weights {
				if time.Duration(float64(used[x])/wx)-time.Duration(float64(used[y])/wy) > bound {
					return false
				}
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(1, longest))))
}
