package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against jobs that are late whatever happens and that wait at agents, where they make jobs
// late that could be on time. Late jobs still start where capacity is free.
func TestLateJobsYieldToNewOnes(t *testing.T) {
	q := &catalog.Queue{Name: "late", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 300 * time.Millisecond}
	for _, yield := range []bool{true, false} {
		g := newRig(t, "a")
		g.b.settings.LateJobsYield = yield
		g.b.Timeouts().Restore([]map[string]time.Duration{{"late": 2 * time.Second}})
		submit := func(id string, w Waiter, timeout time.Duration) (assigned, refused int) {
			g.b.Submit(g.now, Submission{ID: id, Queue: q, Timeout: timeout,
				Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 200 * time.Millisecond}}}, w)
			effects := g.takeEffects()
			return len(messages[wire.Assign](effects)), len(answers(effects))
		}
		l := load(10_000)
		g.heartbeat("a", l)
		if assigned, _ := submit("free", 1, 700*time.Millisecond); assigned != 1 {
			t.Errorf("yield %v: a late job is not started although capacity is free", yield)
		}
		l.FreeCPU, l.LastSeq = 0, 1
		l.WaitMS, l.TaskCPU = [wire.PriorityLevels]uint16{20, 20, 20, 20}, 4000
		l.ReleaseRate = [wire.PriorityLevels]uint32{200_000, 200_000, 200_000, 200_000}
		g.heartbeat("a", l)
		assigned, refused := submit("late", 2, 700*time.Millisecond)
		if yield != (refused == 1) || yield == (assigned == 1) {
			t.Errorf("yield %v: a late job at a full upstream: %d tasks assigned, %d answers", yield, assigned, refused)
		}
		if assigned, _ := submit("new", 3, 2*time.Second); assigned != 1 {
			t.Errorf("yield %v: a new job does not wait for the full upstream", yield)
		}
	}
}

// Guards against a job that is late for its caller although it has not waited: a copy of a job
// that runs joins it, whatever its timeout.
func TestLateCopyJoinsItsJob(t *testing.T) {
	g := newRig(t, "a")
	g.b.Timeouts().Restore([]map[string]time.Duration{{"q": 2 * time.Second}})
	g.submit("j", 1, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	for i := range 3 {
		g.b.Submit(g.now, Submission{ID: "j", Queue: g.b.jobs["j"].sub.Queue, Timeout: 10 * time.Millisecond}, Waiter(2+i))
		if effects := g.takeEffects(); len(effects) != 0 {
			t.Fatalf("a copy has effects: %s", fmt.Sprint(effects))
		}
	}
	g.report(assigned[0], wire.RunDone, "")
	if got := answers(g.takeEffects()); len(got) != 4 {
		t.Errorf("%d answers, want 4", len(got))
	}
}
