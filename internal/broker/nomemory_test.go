package broker

import (
	"testing"

	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a job that is offered again and again to agents without memory for its spec, and
// against one that is cut because of it after a part has started.
func TestJobWithoutMemoryAtAgents(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j", 1, 1)
	refuse := func(o *task) {
		g.b.Report(g.now, o.agent.ID, wire.RunReport{Attempt: o.attempt(), State: wire.RunNotStarted, Reason: reasons.NoMemory, Load: load(10_000)})
	}
	g.takeEffects()
	refuse(g.b.jobs["j"].tasks[0])
	effects := g.takeEffects()
	if a := messages[wire.Assign](effects); len(a) != 0 {
		t.Errorf("offered again: %v", a)
	}
	if g.b.LiveJobs() != 0 {
		t.Error("the job was not refused")
	}
	g.submit("k", 2, 2)
	k := g.b.jobs["k"]
	g.b.Report(g.now, k.tasks[0].agent.ID, wire.RunReport{Attempt: k.tasks[0].attempt(), State: wire.RunStarted, Load: load(6000)})
	g.takeEffects()
	refuse(k.tasks[1])
	if a := messages[wire.Assign](g.takeEffects()); len(a) != 0 || k.closing || !k.tasks[1].unplaced {
		t.Errorf("offered again: %v; closing %v, held %v", a, k.closing, k.tasks[1].unplaced)
	}
}
