package broker

import (
	"testing"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/locality"
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
