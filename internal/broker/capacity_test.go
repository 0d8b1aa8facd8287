package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against jobs that are held although no upstream can run them any more, after all
// have shrunk: one that has started until its caller's deadline, a new one until its start
// limit.
func TestTaskThatNoUpstreamCanHoldIsRejectedAtOnce(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("started", 1, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	g.report(assigned[0], wire.RunStarted, "")
	small := load(3000)
	small.CapacityCPU = 3000
	g.heartbeat("a", small)
	g.heartbeat("b", small)
	g.takeEffects()
	g.now += 10 * time.Millisecond
	g.b.Tick(g.now)
	small.LastSeq = assigned[0].message.Seq
	g.b.Report(g.now, assigned[0].agent, wire.RunReport{Attempt: assigned[0].message.Attempt, State: wire.RunStopped, Reason: "upstream-restarted", Load: small})
	g.submit("new", 2, 1)
	got := answers(g.takeEffects())
	if len(got) != 2 {
		t.Fatalf("%d answers at once, want 2: %+v", len(got), got)
	}
	if o := got[0].Outcome; o.Kind != Unknown || o.Reason != reasons.TooLarge {
		t.Errorf("the job that has run: %v %q, want unknown", o.Kind, o.Reason)
	}
	if o := got[1].Outcome; o.Kind != Refused || o.Reason != reasons.TooLarge || o.RetryAfter == 0 {
		t.Errorf("the new job: %v %q retry after %v, want refused with a delay", o.Kind, o.Reason, o.RetryAfter)
	}
}

// Guards against a refusal while an upstream that could run the task is only down.
func TestTaskThatAnAbsentUpstreamCanHoldIsNotRejected(t *testing.T) {
	g := newRig(t, "a", "b")
	small := load(3000)
	small.CapacityCPU = 3000
	g.heartbeat("a", small)
	g.heartbeat("b", wire.Load{})
	g.takeEffects()
	g.b.Tick(g.now)
	g.submit("j", 1, 1)
	if got := answers(g.takeEffects()); len(got) != 0 {
		t.Errorf("answers %+v, want none yet", got)
	}
}
