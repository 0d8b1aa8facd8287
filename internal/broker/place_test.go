package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Plays a job near the upstreams' capacity. Guards against a small task that takes the only
// room for a large one, so that a job that fits is refused.
func TestLargeTasksChooseFirst(t *testing.T) {
	g := newRig(t, "a", "b")
	g.heartbeat("a", load(9000))
	g.heartbeat("b", load(6000))
	g.takeEffects()
	sub := Submission{ID: "j", Queue: queue, Tasks: []TaskSpec{
		{CPU: 5000, MemMB: 10, Estimate: 100 * time.Millisecond},
		{CPU: 8500, MemMB: 10, Estimate: 100 * time.Millisecond},
	}}
	g.b.Submit(g.now, sub, 1)
	effects := g.takeEffects()
	assigned := messages[wire.Assign](effects)
	if len(assigned) != 2 {
		t.Fatalf("assigned %v, answers %v, want both tasks assigned", assigned, answers(effects))
	}
	for _, a := range assigned {
		if !a.message.OnlyIfFits {
			t.Errorf("task %d would have to wait", a.message.Attempt.Task.Index)
		}
	}
}

// Guards against jobs that are refused for the wait at a fast upstream while a slow one is
// free and would end them on time: three tenths of the jobs at a simulated demand peak were.
func TestJobIsPlacedOnSlowFreeUpstream(t *testing.T) {
	g := newRig(t, "fast", "slow")
	busy := load(0)
	busy.TaskCPU = 4000
	busy.WaitMS = [wire.PriorityLevels]uint16{50, 50, 50, 50}
	busy.ReleaseRate = [wire.PriorityLevels]uint32{80_000, 80_000, 80_000, 80_000}
	g.heartbeat("fast", busy)
	slow := load(10_000)
	slow.Slowness = 150
	g.heartbeat("slow", slow)
	g.takeEffects()
	g.submit("j", 1, 2)
	effects := g.takeEffects()
	assigned := messages[wire.Assign](effects)
	if len(assigned) != 2 {
		t.Fatalf("%d tasks assigned, answers %+v, want 2", len(assigned), answers(effects))
	}
	for _, a := range assigned {
		if a.agent.Host != "slow" {
			t.Errorf("task %d waits at %s", a.message.Attempt.Task.Index, a.agent.Host)
		}
	}
}

// Guards against more tasks of a job on one upstream than it allows, all of which the plan of
// a new job sent to the same free one.
func TestPlanKeepsTheLimitPerUpstream(t *testing.T) {
	g := newRig(t, "a", "b")
	g.heartbeat("b", load(4000))
	g.takeEffects()
	sub := Submission{ID: "j", Queue: queue}
	for range 2 {
		sub.Tasks = append(sub.Tasks, TaskSpec{CPU: 3000, MemMB: 10, Estimate: 100 * time.Millisecond, MaxPerUpstream: 1})
	}
	g.b.Submit(g.now, sub, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	if len(assigned) != 2 || assigned[0].agent == assigned[1].agent {
		t.Errorf("assigned %+v, want one task to each upstream", assigned)
	}
}

// Guards against a declared run time that exceeds its field in the Assign: one of 2^32+1 ms was
// sent as 1 ms, so that the run counted as overdue, and its upstream as stuck, at once.
func TestLongDeclaredRunTimesStayLong(t *testing.T) {
	for _, ms := range []int64{1<<32 + 1, 1 << 43} {
		g := newRig(t, "a")
		g.b.Submit(g.now, Submission{ID: "j1", Queue: queue, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: time.Duration(ms) * time.Millisecond}}}, 1)
		m := messages[wire.Assign](g.takeEffects())
		if len(m) != 1 || time.Duration(m[0].message.ExpectedMS)*time.Millisecond < time.Hour || m[0].message.SlackMS < 0 {
			t.Errorf("%d ms: assigned %+v, want an hour or more", ms, m)
		}
	}
}
