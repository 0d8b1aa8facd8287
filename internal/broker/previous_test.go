package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

func decisions(effects []Effect, action string) []Decision {
	var out []Decision
	for _, e := range effects {
		if d, ok := e.(Decision); ok && d.Action == action {
			out = append(out, d)
		}
	}
	return out
}

// Guards against two runs of a task of which neither the second assignment nor a report of the
// first run tells operators.
func TestSecondRunOfATaskIsExplained(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j1", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	g.report(first, wire.RunStarted, "")
	g.connect("b", "1")
	// The entry stays in touch with the other agent.
	for end := g.now + endedAfter; g.now < end; {
		g.now += 20 * time.Millisecond
		g.heartbeat("b", load(10_000))
	}
	g.now += 20 * time.Millisecond
	g.heartbeat("b", load(10_000))
	g.takeEffects()
	g.b.Tick(g.now)
	effects := g.takeEffects()
	second := messages[wire.Assign](effects)[0]
	if d := decisions(effects, "assign"); len(d) != 1 || d[0].Previous == nil || d[0].Previous.Agent != "a" || d[0].Previous.Reason != "agent-silent" {
		t.Fatalf("the assignment says of the earlier run: %+v", d)
	}
	g.report(second, wire.RunStarted, "")
	g.connect("a", "1")
	g.takeEffects()
	g.report(first, wire.RunStarted, "")
	if d := decisions(g.takeEffects(), "run-beside"); len(d) != 1 || d[0].Run != 1 || d[0].Reason != "b" {
		t.Errorf("the report of the first run beside the second gives %+v", d)
	}
}
