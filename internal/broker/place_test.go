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
