package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against an explanation of a held task that rests on what was known of off-rack run times
// when the task was last decided, while the next decision rests on what was learned since.
func TestExplanationOfAHeldTaskLearnsFirst(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j1")
	held := g.b.jobs["j1"].tasks[0]
	other := g.b.racks.NewTask(holdQueue.Name, held.rack.Key, 1000)
	for i := range 400 {
		other.Near = i%2 == 0
		g.b.racks.Succeeded(other, map[bool]float64{true: 1, false: 6}[other.Near])
	}
	x, _ := g.b.ExplainJob(g.now, "j1", 0, 10)
	real := g.b.rackOptions(g.now, held).Far.Scored.Run
	for _, c := range x.Candidates {
		if c.Host == "b" && c.RunMS != explain.Milliseconds(real) {
			t.Errorf("explained is a run of %v ms off the rack, decided is by %v", c.RunMS, real)
		}
	}
	if len(x.Candidates) != 2 {
		t.Errorf("candidates %+v, want two", x.Candidates)
	}
	if held.rack.Decision.Action != locality.Hold || !held.rack.Held() {
		t.Error("the explanation has changed the task")
	}
}

// Guards against an explanation that gives several held tasks the room of one.
func TestExplanationOfHeldTasksSharesTheRoom(t *testing.T) {
	g := newRig(t, "a", "b")
	g.b.Tick(g.now)
	for _, h := range []string{"a", "b"} {
		l := load(10_000)
		l.Draining = true
		g.heartbeat(h, l)
	}
	g.b.Submit(g.now, Submission{ID: "j1", Queue: queue, Tasks: []TaskSpec{{CPU: 6000, MemMB: 10}, {CPU: 6000, MemMB: 10}}}, 1)
	g.takeEffects()
	for _, h := range []string{"a", "b"} {
		g.b.agents[h].View.Report(load(10_000))
	}
	x, _ := g.b.ExplainJob(g.now, "j1", 0, 10)
	g.b.placeUnplaced(g.now)
	placed := map[string]int{}
	for _, m := range messages[wire.Assign](g.takeEffects()) {
		placed[m.agent.Host]++
	}
	if len(placed) != 2 {
		t.Fatalf("placed %v, want one task on each", placed)
	}
	if x.Tasks[0].Choice == x.Tasks[1].Choice {
		t.Errorf("both tasks are explained on %s, which has room for one", x.Tasks[0].Choice)
	}
}

// Guards against an explanation that counts more agents that would be asked for new reports than
// would be.
func TestExplanationCountsTheQueries(t *testing.T) {
	b, now := newWide(t)
	for _, a := range b.agentList {
		l := a.View.Load
		l.FreeCPU, l.QueuedWork[0] = 0, 5000
		a.View.Report(l)
	}
	now += reportMaxAge + time.Millisecond
	sub := shape(1, TaskSpec{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond})
	x := b.Explain(now, sub, 0, 10)
	sub.ID = "wide"
	b.Submit(now, sub, 1)
	asked := 0
	for _, m := range messages[wire.EntryBeat](b.TakeEffects()) {
		if m.message.ReportNow {
			asked++
		}
	}
	if asked == 0 || x.OutdatedReports != asked {
		t.Errorf("%d agents are asked, explained are %d (%s %s)", asked, x.OutdatedReports, x.Decision, x.Reason)
	}
}
