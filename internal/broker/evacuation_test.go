package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

// newEvacuable returns a rig with an agent in each data centre, host a1 in dc-a and so on.
func newEvacuable(t *testing.T, dataCentres ...string) *rig {
	t.Helper()
	g := newRig(t)
	g.b.settings.EvacuateWithin = 5 * time.Second
	for _, dc := range dataCentres {
		host := dc[len(dc)-1:] + "1"
		g.agents[host] = AgentID{Host: host, Incarnation: "1"}
		g.b.Connected(g.now, Link{Agent: g.agents[host], DataCentre: dc, HelloSentAt: g.now, HelloReceivedAt: g.now, ClockMS: uint64(g.now / time.Millisecond)})
		g.heartbeat(host, load(10_000))
	}
	g.now += agentArrivalWindow
	g.takeEffects()
	return g
}

func (g *rig) evacuate(version uint64, dataCentres ...string) {
	u := evacuation.Update{All: true, Version: version, AsOf: g.now}
	for _, dc := range dataCentres {
		u.Changes = append(u.Changes, evacuation.Change{DataCentre: dc, Version: version})
	}
	g.b.Evacuations(g.now, u)
}

// Guards against tasks that are sent to a data centre that is being evacuated, before and
// after its agents report so, and against jobs that are refused meanwhile although the
// other data centres have free capacity.
func TestNothingIsPlacedInEvacuatedDataCentre(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	g.evacuate(1, "dc-a")
	informed := 0
	for _, m := range messages[wire.EntryBeat](g.takeEffects()) {
		if e := m.message.Evacuations; e != nil && len(e.Requests) == 1 && e.Requests[0].DataCentre == "dc-a" {
			informed++
		}
	}
	if informed != 2 {
		t.Errorf("%d agents were informed at once, want 2", informed)
	}
	g.submit("j", 1, 2)
	effects := g.takeEffects()
	for _, m := range messages[wire.Assign](effects) {
		if m.agent.Host != "b1" {
			t.Errorf("task %v is sent to %s", m.message.Attempt, m.agent.Host)
		}
	}
	if n := len(messages[wire.Assign](effects)); n != 2 {
		t.Errorf("%d tasks are sent, want 2", n)
	}
	g.evacuate(2)
	g.submit("k", 2, 2)
	if m := messages[wire.Assign](g.takeEffects()); len(m) == 0 || m[0].agent.Host != "a1" {
		t.Errorf("data centre that was taken back gets nothing: %+v", m)
	}
}

// Guards against tasks that wait in a data centre that is being evacuated until their job is
// refused: they move, and the run that goes on is left alone.
func TestWaitingTasksLeaveEvacuatedDataCentre(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	g.b.settings.DataCentre = "dc-a"
	g.submit("runs", 1, 1)
	g.submit("waits", 2, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	if assigned[0].agent.Host != "a1" || assigned[1].agent.Host != "a1" {
		t.Fatalf("tasks are at %s and %s, want a1", assigned[0].agent.Host, assigned[1].agent.Host)
	}
	g.report(assigned[0], wire.RunStarted, "")
	g.report(assigned[1], wire.RunWaiting, "")
	g.takeEffects()
	g.evacuate(1, "dc-a")
	withdrawn := messages[wire.Withdraw](g.takeEffects())
	if len(withdrawn) != 1 || withdrawn[0].message.Attempt != assigned[1].message.Attempt || !withdrawn[0].message.OnlyIfWaiting {
		t.Fatalf("withdrawn %+v, want the waiting task", withdrawn)
	}
	g.report(assigned[1], wire.RunNotStarted, "withdrawn")
	if m := messages[wire.Assign](g.takeEffects()); len(m) != 1 || m[0].agent.Host != "b1" {
		t.Errorf("the task is placed %+v, want b1", m)
	}
}

// Guards against jobs that are held until their start limit while all data centres are being
// evacuated: they are refused at once, and the entry stays ready to say so.
func TestJobsAreRefusedAtOnceWhileAllIsEvacuated(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	g.evacuate(1, "dc-a", "dc-b")
	g.takeEffects()
	g.submit("j", 1, 1)
	got := answers(g.takeEffects())
	if len(got) != 1 || got[0].Outcome.Kind != Refused || got[0].Outcome.Reason != reasons.Evacuated || got[0].Outcome.RetryAfter == 0 {
		t.Fatalf("answers %+v, want a refusal with a delay", got)
	}
	evacuated := load(0)
	evacuated.Ready, evacuated.Evacuated = false, true
	g.heartbeat("a1", evacuated)
	g.heartbeat("b1", evacuated)
	if !g.b.HasEvacuatedAgent(g.now) {
		t.Error("the entry is not ready to refuse")
	}
}

// Guards against an entry that was paused and places tasks before it knows what it has
// missed, and against one that waits for a store that does not answer.
func TestResumedEntryLearnsOfEvacuationsFirst(t *testing.T) {
	for _, answers := range []bool{true, false} {
		g := newEvacuable(t, "dc-a", "dc-b")
		g.evacuate(1)
		g.now += 3 * time.Second
		g.b.ProcessResumed(g.now)
		asked := 0
		for _, e := range g.takeEffects() {
			if _, ok := e.(QueryEvacuations); ok {
				asked++
			}
		}
		if asked != 1 {
			t.Fatalf("asks the store %d times, want once", asked)
		}
		g.heartbeat("a1", load(10_000))
		g.now += g.b.settings.ResumeDelay + time.Millisecond
		g.heartbeat("a1", load(10_000))
		g.heartbeat("b1", load(10_000))
		g.submit("j", 1, 1)
		if m := messages[wire.Assign](g.takeEffects()); len(m) != 0 {
			t.Fatalf("sends %+v before the answer", m)
		}
		if answers {
			g.evacuate(2, "dc-a")
		}
		// The request may have been held up, so the job is placed later.
		g.now += max(evacuation.QueryTimeout, g.b.settings.ResumeDelay)
		g.heartbeat("b1", load(10_000))
		g.b.Tick(g.now)
		if m := messages[wire.Assign](g.takeEffects()); len(m) != 1 || (answers && m[0].agent.Host != "b1") {
			t.Errorf("answer of the store %v: sends %+v", answers, m)
		}
	}
}

// Guards against tasks that go from one refusing agent to the next while the entry is cut off
// from the store: an agent's report that it is evacuated suffices.
func TestAgentsReportTheirEvacuation(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	l := load(10_000)
	l.Ready, l.Evacuated = false, true
	g.heartbeat("a1", l)
	g.takeEffects()
	g.submit("j", 1, 1)
	if m := messages[wire.Assign](g.takeEffects()); len(m) != 1 || m[0].agent.Host != "b1" {
		t.Errorf("sends %+v, want to b1", m)
	}
}
