package broker

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against tasks that a list loses, returns twice or puts into another order.
func TestTaskListKeepsItsOrder(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	l := taskList{kind: agentTasks}
	var want []*task
	for range 5000 {
		if n := len(want); n > 0 && rng.Intn(2) == 0 {
			i := rng.Intn(n)
			l.remove(want[i])
			want = slices.Delete(want, i, i+1)
		} else {
			o := &task{index: rng.Int()}
			l.add(o)
			want = append(want, o)
		}
		if got := slices.Collect(l.all()); !slices.Equal(got, want) || l.count != len(want) {
			t.Fatalf("%d tasks, want %d", len(got), len(want))
		}
	}
}

// decisionTime bounds decisions that take some milliseconds, and took minutes.
const decisionTime = 20 * time.Second

// Guards against a cost of the end of a job that grows with all tasks that are held: the entry
// decides nothing else meanwhile.
func TestEndOfJobsBesideManyHeldTasks(t *testing.T) {
	g := newRig(t)
	const jobs, tasks = 80, 4096
	// No agent is connected, so all tasks are held.
	g.now = 100 * time.Millisecond
	for i := range jobs {
		g.submit(fmt.Sprint("j", i), Waiter(i+1), tasks)
	}
	if n := g.b.HeldTasks(); n != jobs*tasks {
		t.Fatalf("%d tasks are held", n)
	}
	begin := time.Now()
	for i := range jobs {
		g.b.CallerLeft(g.now, fmt.Sprint("j", i), Waiter(i+1))
		if took := time.Since(begin); took > decisionTime {
			t.Fatalf("%d of %d jobs have ended after %s", i+1, jobs, took.Round(time.Second))
		}
	}
	if g.b.HeldTasks() != 0 || g.b.LiveJobs() != 0 {
		t.Errorf("%d tasks and %d jobs are left", g.b.HeldTasks(), g.b.LiveJobs())
	}
}

// Guards against a cost of a placement that grows with the tasks of the job, and against wrong
// counts of them, if a step limits its tasks on an upstream.
func TestManyTasksWithALimitForEachUpstream(t *testing.T) {
	var hosts []string
	for i := range 80 {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	g := newRig(t, hosts...)
	sub := Submission{ID: "j", Queue: queue}
	for range 4096 {
		sub.Tasks = append(sub.Tasks, TaskSpec{CPU: 1, Estimate: time.Millisecond, MaxPerUpstream: 2})
	}
	begin := time.Now()
	for i := range 10 {
		sub.ID = fmt.Sprint("j", i)
		g.b.Submit(g.now, sub, Waiter(i+1))
		if took := time.Since(begin); took > decisionTime {
			t.Fatalf("%d jobs are decided after %s", i+1, took)
		}
	}
	sub.ID, sub.Tasks = "fits", sub.Tasks[:160]
	g.b.Submit(g.now, sub, Waiter(11))
	j := g.b.jobs["fits"]
	if j == nil {
		t.Fatal("a job that fits was refused")
	}
	for _, a := range g.b.agentList {
		n := 0
		for _, o := range j.tasks {
			if o.agent == a {
				n++
			}
		}
		if n != 2 || j.placed[a] != n {
			t.Errorf("%d tasks on %s, counted %d, want 2", n, a.ID.Host, j.placed[a])
		}
	}
	g.b.CallerLeft(g.now, "fits", 11)
	for _, o := range slices.Clone(j.tasks) {
		g.b.Report(g.now, o.agent.ID, wire.RunReport{Attempt: o.attempt(), State: wire.RunNotStarted, Reason: "withdrawn", Load: load(10_000)})
	}
	if len(j.placed) != 0 || g.b.LiveJobs() != 0 {
		t.Errorf("tasks on %d upstreams and %d jobs are left", len(j.placed), g.b.LiveJobs())
	}
}
