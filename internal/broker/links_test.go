package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

func (g *rig) link(host, incarnation string, helloSentAt time.Duration) Link {
	return Link{Agent: AgentID{Host: host, Incarnation: incarnation}, DataCentre: "dc", HelloSentAt: helloSentAt, HelloReceivedAt: g.now, ClockMS: uint64(g.now / time.Millisecond)}
}

// Guards against an agent process that has ended and whose link is handled after that of
// its successor, as after a pause of the entry: the running tasks of the successor were
// given up and started elsewhere.
func TestLinkOfAnEarlierProcessIsRefused(t *testing.T) {
	g := newRig(t, "a")
	accepted := g.now
	g.now += 5 * time.Millisecond
	// Both processes' links were accepted at the same time; the later process's is
	// handled first.
	if !g.b.Connected(g.now, g.link("a", "3", accepted)) {
		t.Fatal("the present process's link is refused")
	}
	g.agents["a"] = AgentID{Host: "a", Incarnation: "3"}
	g.heartbeat("a", load(10_000))
	g.submit("j", 1, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	g.report(assigned[0], wire.RunStarted, "")
	if g.b.Connected(g.now, g.link("a", "2", accepted)) {
		t.Fatal("the earlier process's link is used")
	}
	g.heartbeat("a", load(6000))
	if n := len(messages[wire.Assign](g.takeEffects())); n != 0 {
		t.Fatal("a running task was started again")
	}
	g.report(assigned[0], wire.RunDone, "")
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Completed {
		t.Errorf("answers %v", got)
	}
	// A process that was alive after the present one was known has replaced it.
	if !g.b.Connected(g.now, g.link("a", "4", g.now)) {
		t.Error("the successor's link is refused")
	}
}

// Guards against an abandoned link of a process that replaces its present one.
func TestEarlierLinkOfAProcessIsRefused(t *testing.T) {
	g := newRig(t, "a")
	g.now += 100 * time.Millisecond
	g.heartbeat("a", load(10_000))
	l := g.link("a", "1", g.now)
	l.ClockMS -= 50
	if g.b.Connected(g.now, l) {
		t.Error("an earlier link replaces a later one")
	}
}

// Guards against a task that is started elsewhere while an agent reports that another
// run of it is live, and against a job that is then refused as not run.
func TestLiveTaskIsNotStartedElsewhere(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	g.report(first, wire.RunNotStarted, reasons.Live)
	if n := len(messages[wire.Assign](g.takeEffects())); n != 0 {
		t.Fatal("started at once")
	}
	for range 5 {
		g.now += liveRetry
		g.heartbeat("a", load(10_000))
		g.heartbeat("b", load(10_000))
		g.b.Tick(g.now)
		again := messages[wire.Assign](g.takeEffects())
		if len(again) != 1 || again[0].agent != first.agent {
			t.Fatalf("assigned %v, want the agent that has the live run", again)
		}
		g.report(again[0], wire.RunNotStarted, reasons.Live)
	}
	// The agent's next process is ready; it does not say how the run has ended.
	g.connect(first.agent.Host, "2")
	g.now += liveRetry
	g.b.Tick(g.now)
	got := answers(g.takeEffects())
	if len(got) != 1 || got[0].Outcome.Kind != Unknown {
		t.Errorf("answers %v, want an unknown outcome", got)
	}
}

// Guards against tasks that are sent to an agent that has stopped reacting while its last
// heartbeat is still recent, and against giving up one that only has many tasks.
func TestAgentWithoutReactionGetsNoTasks(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j1", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	g.now += g.b.settings.ReactionTimeout + time.Millisecond
	g.submit("j2", 2, 2)
	for _, a := range messages[wire.Assign](g.takeEffects()) {
		if a.agent == first.agent {
			t.Fatal("a task was sent to an agent that does not react")
		}
	}
	// A report shows that the agent has received the first task.
	l := load(6000)
	l.LastSeq = first.message.Seq
	g.heartbeat(first.agent.Host, l)
	g.submit("j3", 3, 1)
	if got := messages[wire.Assign](g.takeEffects()); len(got) != 1 || got[0].agent != first.agent {
		t.Errorf("assigned %v, want the agent that reacts again", got)
	}
}

// Guards against waiting for agents to return, as after a restart of all, when only their
// reactions are late: this process may have been late itself.
func TestLateReactionsAreNoRestart(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j1", 1, 1)
	g.takeEffects()
	g.now += g.b.settings.ReactionTimeout + time.Millisecond
	if !g.b.HasAgent(g.now) {
		t.Error("the agent counts as gone")
	}
	full := load(0)
	full.LastSeq = 1
	g.heartbeat("a", full)
	g.submit("j2", 2, 1)
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Reason != "overload" {
		t.Errorf("answers %v, want a refusal at once", got)
	}
}

// Guards against links that agents of an earlier version close as silent in a rolling
// upgrade: those need an answer to each heartbeat.
func TestHeartbeatsAreAnsweredUnlessRelaxed(t *testing.T) {
	for _, c := range []struct {
		relaxed bool
		answers int
	}{{false, 10}, {true, 3}} {
		g := newRig(t, "a")
		for range 10 {
			g.now += 100 * time.Millisecond
			g.b.Heartbeat(g.now, g.agents["a"], wire.AgentBeat{ClockMS: uint64(g.now / time.Millisecond), Load: load(10_000), Relaxed: c.relaxed})
		}
		if n := len(messages[wire.EntryBeat](g.takeEffects())); n < c.answers-1 || n > c.answers {
			t.Errorf("relaxed %v: %d answers to 10 heartbeats in a second, want about %d", c.relaxed, n, c.answers)
		}
	}
}

// Guards against a refusal as not run after a pause of the entry: the agent has run the
// task, ended it as its entry was silent, and dropped the record.
func TestJobMayHaveRunDuringAPause(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j", 1, 1)
	assigned := messages[wire.Assign](g.takeEffects())[0]
	g.now += 8 * time.Second
	g.b.ProcessResumed(g.now)
	// Heartbeats that were sent before the pause.
	g.heartbeat("a", load(10_000))
	g.connect("a", "1")
	g.report(assigned, wire.RunNotStarted, "withdrawn")
	g.b.CloseAll(g.now, "entry-leaving")
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Unknown {
		t.Errorf("answers %v, want an unknown outcome", got)
	}
}
