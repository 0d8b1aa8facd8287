package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a run that is started again elsewhere, or refused as not run, because its
// data centre is being evacuated and the reports of its start and end are late or lost.
func TestRunWithLateReportsSurvivesEvacuation(t *testing.T) {
	for _, evacuated := range [][]string{{"dc-a"}, {"dc-a", "dc-b"}} {
		g := newEvacuable(t, "dc-a", "dc-b")
		g.b.settings.DataCentre = "dc-a"
		g.submit("j", 1, 1)
		assigned := messages[wire.Assign](g.takeEffects())
		g.evacuate(1, evacuated...)
		check := func(when string) {
			t.Helper()
			g.b.Tick(g.now)
			effects := g.takeEffects()
			if m := messages[wire.Assign](effects); len(m) != 0 {
				t.Errorf("%s: the task is sent again: %+v", when, m)
			}
			if got := answers(effects); len(got) != 0 {
				t.Errorf("%s: answered %+v", when, got)
			}
			for _, m := range messages[wire.Withdraw](effects) {
				if !m.message.OnlyIfWaiting {
					t.Errorf("%s: the run is stopped", when)
				}
			}
		}
		for end := g.now + endedAfter - 100*time.Millisecond; g.now < end; g.now += 20 * time.Millisecond {
			check("silent agent")
		}
		g.b.Disconnected(g.agents["a1"])
		check("link lost")
		g.b.Connected(g.now, Link{Agent: g.agents["a1"], DataCentre: "dc-a", HelloSentAt: g.now, HelloReceivedAt: g.now, ClockMS: uint64(g.now / time.Millisecond)})
		check("link replaced")
		g.report(assigned[0], wire.RunDone, "")
		if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Completed {
			t.Errorf("evacuation of %v: answers %+v, want completed", evacuated, got)
		}
	}
}

// Guards against a refusal that states that a job has not run when an end with an unknown
// outcome leaves its task nowhere to go.
func TestEvacuationRefusesNoJobThatMayHaveRun(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	g.submit("j", 1, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	g.evacuate(1, "dc-a", "dc-b")
	g.now += endedAfter + time.Second
	g.b.Tick(g.now)
	g.report(assigned[0], wire.RunNotStarted, "withdrawn")
	for range 300 {
		g.now += 20 * time.Millisecond
		g.b.Tick(g.now)
		for _, a := range answers(g.takeEffects()) {
			if a.Outcome.Kind == Refused {
				t.Fatalf("refused as %s after the agent was silent for longer than runs last", a.Outcome.Reason)
			}
			return
		}
	}
}

// Guards against a task that the next process of an agent starts before it knows of the
// requests.
func TestNextProcessOfAnAgentIsToldBeforeItsFirstTask(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	g.evacuate(1, "dc-a")
	g.b.Tick(g.now)
	g.b.Disconnected(g.agents["a1"])
	g.b.Disconnected(g.agents["b1"])
	g.now += 50 * time.Millisecond
	g.submit("j", 1, 1)
	g.takeEffects()
	g.agents["b1"] = AgentID{Host: "b1", Incarnation: "2"}
	g.b.Connected(g.now, Link{Agent: g.agents["b1"], DataCentre: "dc-b", HelloSentAt: g.now, HelloReceivedAt: g.now})
	g.b.Heartbeat(g.now, g.agents["b1"], wire.AgentBeat{ClockMS: 1, Relaxed: true, Load: load(10_000)})
	g.now += agentArrivalWindow
	g.b.Tick(g.now)
	informed, tasks := false, 0
	for _, e := range g.takeEffects() {
		s, ok := e.(Send)
		if !ok {
			continue
		}
		switch m := s.Message.(type) {
		case *wire.EntryBeat:
			informed = informed || m.Evacuations != nil
		case *wire.Assign:
			if tasks++; !informed {
				t.Error("a task is sent before the requests")
			}
		}
	}
	if tasks == 0 {
		t.Error("no task is sent: nothing was tested")
	}
}

// Guards against a stale read of the store that brings a withdrawn request back or hides
// one that is in force.
func TestStaleReadOfAnEntryChangesNothing(t *testing.T) {
	g := newEvacuable(t, "dc-a", "dc-b")
	stale := evacuation.Update{All: true, Version: 1, AsOf: g.now, Changes: []evacuation.Change{{DataCentre: "dc-b", Version: 1}}}
	g.b.Evacuations(g.now, stale)
	g.evacuate(3, "dc-a")
	g.b.Evacuations(g.now, stale)
	g.takeEffects()
	g.submit("j", 1, 1)
	if m := messages[wire.Assign](g.takeEffects()); len(m) != 1 || m[0].agent.Host != "b1" {
		t.Errorf("sends %+v, want to b1", m)
	}
}
