package broker

import (
	"testing"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a task that is started for a copy of a job that waited for the end of the
// earlier submission's runs, although the copy's caller has left meanwhile.
func TestPendingCopyOfACallerThatHasLeftIsNotStarted(t *testing.T) {
	g := newRig(t, "a", "b")
	left := map[Waiter]bool{}
	g.b.settings.CallerWaits = func(w Waiter) bool { return !left[w] }
	g.submit("j1", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	g.report(first, wire.RunStarted, "")
	g.b.CallerLeft(g.now, "j1", 1)
	g.submit("j1", 2, 1) // waits for the end of the run
	g.takeEffects()
	left[2] = true // its connection has ended, which is not handled yet
	g.report(first, wire.RunStopped, "withdrawn")
	if n := len(messages[wire.Assign](g.takeEffects())); n != 0 {
		t.Errorf("%d starts for a caller that has left", n)
	}
}

// Guards against a request that waits until its timeout because its caller was dropped without an
// answer.
func TestDroppedCallerGetsAnAnswer(t *testing.T) {
	g := newRig(t, "a", "b")
	left := false
	g.b.settings.CallerWaits = func(Waiter) bool { return !left }
	g.submit("j1", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	left = true
	g.report(first, wire.RunStopped, "upstream-restarted")
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Unknown {
		t.Errorf("answers %v, want one of an unknown outcome", got)
	}
}
