package runner

import (
	"fmt"
	"strings"
	"testing"

	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

func withSpec(n int) func(*wire.Assign) {
	return func(m *wire.Assign) { m.Spec = strings.Repeat("x", n) }
}

// Guards against an agent that retains specs of any length, refuses ordinary tasks because of
// long ones, or counts a spec for ever.
func TestSpecsAreBounded(t *testing.T) {
	r := newReady(t)
	r.settings.MaxSpecBytes = 100_000
	for i := range 10 {
		assign(r, begin, entryA, fmt.Sprint("long", i), withSpec(20_000))
	}
	refused := 0
	for _, m := range effects[Report](r) {
		if m.State == wire.RunNotStarted && m.Reason == reasons.NoMemory {
			refused++
		}
	}
	if refused != 8 || r.specBytes != 40_000 {
		t.Errorf("%d tasks are refused, %d bytes retained", refused, r.specBytes)
	}
	assign(r, begin, entryA, "short", withSpec(4000))
	if a := r.attempts[attemptOf("short", 1)]; a.state.Final() {
		t.Errorf("an ordinary task is refused: %s", a.reason)
	}
	r.Started(begin, attemptOf("long0", 1), StartAnswer{Outcome: StartAccepted, ClockMS: 500})
	r.Withdraw(begin, entryA, wire.Withdraw{Attempt: attemptOf("long1", 1)})
	r.StopAll(begin, "test")
	r.dropWaiting(begin, "test")
	for id, a := range r.attempts {
		if a.state.Final() && a.assign.Spec != "" {
			t.Errorf("%s is ended and has its spec", id.Task.Job)
		}
	}
	if r.specBytes > 20_000 {
		t.Errorf("%d bytes are retained", r.specBytes)
	}
}

// Guards against a late answer to an earlier attempt that takes the spec of one that waits.
func TestLateAnswerLeavesTheSpecOfAWaitingAttempt(t *testing.T) {
	r := newReady(t)
	r.settings.MaxSpecBytes = 100_000
	assign(r, begin, entryA, "running", func(m *wire.Assign) { m.CPU = 10_000 })
	assign(r, begin, entryA, "waiting", withSpec(1000))
	r.Started(begin, attemptOf("waiting", 1), StartAnswer{Outcome: StartAccepted, ClockMS: 500})
	if a := r.attempts[attemptOf("waiting", 1)]; a.phase != phaseWaiting || len(a.assign.Spec) != 1000 {
		t.Errorf("phase %d, spec of %d bytes", a.phase, len(a.assign.Spec))
	}
}
