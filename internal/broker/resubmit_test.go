package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a refusal that states that a job has not run although an earlier submission of it
// has run at the same entry: its caller had left before the answer.
func TestJobThatHasRunIsNotRefusedAsNotRun(t *testing.T) {
	for _, ran := range []bool{true, false} {
		g := newRig(t, "a")
		g.submit("j", 1, 1)
		assigned := messages[wire.Assign](g.takeEffects())
		if ran {
			g.report(assigned[0], wire.RunStarted, "")
		}
		g.b.CallerLeft(g.now, "j", 1)
		if ran {
			g.report(assigned[0], wire.RunStopped, "")
		} else {
			g.report(assigned[0], wire.RunNotStarted, "")
		}
		g.now += 10 * time.Millisecond
		g.heartbeat("a", load(0))
		g.takeEffects()
		g.submit("j", 2, 1)
		want := Refused
		if ran {
			want = Unknown
		}
		if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != want {
			t.Errorf("ran %v: answers %v, want %v", ran, got, want)
		}
	}
}
