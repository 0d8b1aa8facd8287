package broker

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

// ask puts every question that operators can ask.
func (g *rig) ask() {
	g.b.Explain(g.now, shape(3, TaskSpec{CPU: 4000, MemMB: 10}), 0, 10)
	g.b.Explain(g.now, shape(40, TaskSpec{CPU: 9000, MemMB: 10, PreferredRack: "r", MaxPerUpstream: 1}), 1, 3)
	other := *queue
	other.Name = "not-seen"
	g.b.Explain(g.now, Submission{Queue: &other, Tasks: []TaskSpec{{CPU: 1, MemMB: 1}}}, 0, 10)
	for i := range 400 {
		g.b.ExplainJob(g.now, fmt.Sprint("j", i), i%3-1, 10)
	}
	g.b.AgentStates(g.now, 100)
	g.b.CautiousQueues(g.now)
	g.b.EvacuationStates(g.now)
}

func shape(n int, t TaskSpec) Submission {
	sub := Submission{Queue: queue}
	for range n {
		sub.Tasks = append(sub.Tasks, t)
	}
	return sub
}

// Plays the same day of bursts, failures, crashes and restarts on two brokers, one of which is
// asked for explanations after each event. Guards against a question that starts or reserves
// something, changes a statistic, or takes a random draw: all later decisions would differ.
func TestExplanationsChangeNoDecision(t *testing.T) {
	for seed := range int64(5) {
		asked, plain := newRig(t, "a", "b", "c"), newRig(t, "a", "b", "c")
		play := rand.New(rand.NewSource(seed))
		var open []sent[wire.Assign]
		for i := range 400 {
			event, pick, free := play.Intn(10), play.Int(), play.Intn(3)*5000
			var effects [2][]Effect
			for k, g := range []*rig{asked, plain} {
				g.now += 7 * time.Millisecond
				g.play(event, pick, free, i, open)
				effects[k] = g.takeEffects()
			}
			asked.ask()
			if extra := asked.takeEffects(); len(extra) > 0 {
				t.Fatalf("seed %d, event %d: the questions caused %v", seed, i, extra)
			}
			if !reflect.DeepEqual(effects[0], effects[1]) {
				t.Fatalf("seed %d, event %d: the broker that was asked did\n%v\nthe other\n%v", seed, i, effects[0], effects[1])
			}
			if event > 4 && event < 8 && len(open) > 0 {
				open = slices.Delete(open, pick%len(open), pick%len(open)+1)
			}
			open = append(open, messages[wire.Assign](effects[0])...)
		}
		if !reflect.DeepEqual(asked.b, plain.b) {
			t.Errorf("seed %d: the state of the broker that was asked differs", seed)
		}
	}
}

// play has one event happen.
func (g *rig) play(event, pick, free, i int, open []sent[wire.Assign]) {
	host := string(rune('a' + pick%3))
	switch {
	case event < 3:
		g.submit(fmt.Sprint("j", i), Waiter(i), 1+pick%9)
	case event == 3:
		g.heartbeat(host, load(free))
	case event == 4 && pick%5 == 0:
		crash := wire.UpstreamCrash{StartMS: int64(i + 1)}
		for _, a := range open[:min(2, len(open))] {
			crash.Runs = append(crash.Runs, wire.CrashedRun{Attempt: a.message.Attempt, Queue: queue.Name, AgeMS: 30})
		}
		g.b.CrashReported(g.now, host, crash)
	case event > 4 && event < 8 && len(open) > 0:
		state := []wire.RunState{wire.RunDone, wire.RunFailed, wire.RunNotStarted}[event-5]
		g.report(open[pick%len(open)], state, reasons.NoRoom)
	case event == 8 && len(open) > 0:
		g.report(open[pick%len(open)], wire.RunStarted, "")
	default:
		g.b.Tick(g.now)
	}
}

// Guards against an explanation that names another agent than the placement takes, or
// another decision about the job.
func TestExplanationAgreesWithThePlacement(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		g := newRig(t, "a", "b", "c", "d")
		for _, h := range []string{"a", "b", "c", "d"} {
			l := load(r.Intn(10_001))
			l.Slowness, l.FailurePercent, l.Stuck = uint32(80+r.Intn(200)), uint32(r.Intn(20)), r.Intn(9) == 0
			l.QueuedWork[1] = uint32(r.Intn(60))
			g.heartbeat(h, l)
		}
		g.takeEffects()
		sub := shape(1+r.Intn(6), TaskSpec{CPU: 500 + r.Intn(9000), MemMB: 10, Estimate: 100 * time.Millisecond})
		e := g.b.Explain(g.now, sub, 0, 10)
		sub.ID = "j"
		g.b.Submit(g.now, sub, 1)
		effects := g.takeEffects()
		refused := answers(effects)
		assigned := messages[wire.Assign](effects)
		if (e.Decision == "refuse") != (len(refused) == 1) || (e.Decision == "place") != (len(assigned) == len(sub.Tasks)) {
			t.Fatalf("seed %d: decision %s %s, but %d answers and %d tasks assigned", seed, e.Decision, e.Reason, len(refused), len(assigned))
		}
		if e.Decision != "place" {
			continue
		}
		// The random part may decide between these.
		first := map[string]bool{}
		for _, c := range e.Candidates {
			first[c.Host] = c.Wins || c.MayWin
		}
		for _, a := range assigned {
			if a.message.Attempt.Task.Index == 0 && !first[a.agent.Host] {
				t.Errorf("seed %d: task 0 went to %s, explained were %+v", seed, a.agent.Host, e.Candidates)
			}
		}
	}
}

// Guards against an explanation that leaves out why an agent gets nothing, or that counts it
// under another reason.
func TestExclusionsAreNamed(t *testing.T) {
	g := newRig(t, "full", "label", "other", "leaving", "silent", "gone", "small", "stuck")
	set := func(host string, change func(*wire.Load)) {
		l := load(10_000)
		l.Labels = []string{"ssd"}
		change(&l)
		g.heartbeat(host, l)
	}
	g.now += time.Second
	set("full", func(l *wire.Load) { l.FreeCPU = 0 })
	set("label", func(l *wire.Load) { l.Labels = nil })
	set("other", func(l *wire.Load) { l.Service = "x" })
	set("leaving", func(l *wire.Load) { l.Draining, l.Ready = true, false })
	set("gone", func(*wire.Load) {})
	g.b.Disconnected(g.agents["gone"])
	set("small", func(l *wire.Load) { l.CapacityCPU = 3000 })
	set("stuck", func(l *wire.Load) { l.Stuck = true })
	e := g.b.Explain(g.now, shape(1, TaskSpec{CPU: 4000, MemMB: 10, RequiredLabel: "ssd", Estimate: 100 * time.Millisecond}), 0, 10)
	want := map[string]string{"label-missing": "label", "other-service": "other", "leaving": "leaving",
		"no-heartbeat": "silent", "not-connected": "gone", "too-large": "small"}
	for _, x := range e.Excluded {
		if x.Agents != 1 || want[x.Reason] != x.Hosts[0] {
			t.Errorf("excluded %+v", x)
		}
		delete(want, x.Reason)
	}
	if len(want) > 0 || len(e.Candidates) != 2 || e.Candidates[0].Host != "full" || !e.Candidates[0].Wins ||
		!slices.Contains(e.Candidates[1].Penalties, status.Penalty{Name: "stuck", MS: 5000}) {
		t.Errorf("not named: %v; candidates %+v", want, e.Candidates)
	}
}

// Guards against a job whose wait nobody can explain: one that is held, waits at an agent,
// runs, or has ended a moment ago.
func TestExplainJobInEachState(t *testing.T) {
	g := newRig(t, "a")
	g.submit("running", 1, 1)
	g.report(messages[wire.Assign](g.takeEffects())[0], wire.RunStarted, "")
	g.heartbeat("a", load(0))
	g.now += 3 * time.Millisecond
	g.heartbeat("a", load(10_000))
	g.submit("done", 2, 1)
	g.report(messages[wire.Assign](g.takeEffects())[0], wire.RunDone, "")
	g.b.Tick(g.now)
	g.heartbeat("a", wire.Load{Service: "s", CapacityCPU: 10_000, CapacityMem: 1000})
	g.submit("held", 3, 1)
	for id, want := range map[string][3]string{
		"running": {"running", "none", ""}, "done": {"completed", "none", ""}, "held": {"queued", "hold", "no-agent-can-take-it"},
	} {
		e, ok := g.b.ExplainJob(g.now, id, -1, 10)
		if got := [3]string{e.State, e.Decision, e.Reason}; !ok || got != want {
			t.Errorf("%s: %v, want %v", id, got, want)
		}
	}
	if _, ok := g.b.ExplainJob(g.now, "unknown", -1, 10); ok {
		t.Error("a job that was never submitted is explained")
	}
}

// newWide returns a broker with 250 agents that have tasks, and a job of 200 tasks that
// waits.
func newWide(tb testing.TB) (*Broker, time.Duration) {
	invariant.SetStrict(true)
	b := New(DefaultSettings("dc", endedAfter), rand.NewSource(1))
	now := 10 * time.Second
	q := &catalog.Queue{Name: "q", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 100, LatencyTarget: time.Minute}
	for i := range 250 {
		id := AgentID{Host: fmt.Sprint("host-", i), Incarnation: "1"}
		b.Connected(now, Link{Agent: id, DataCentre: fmt.Sprint("dc-", i%3), HelloSentAt: now, HelloReceivedAt: now, ClockMS: 1})
		b.Heartbeat(now, id, wire.AgentBeat{ClockMS: 1, Load: load(5000)})
	}
	for i := range 5 {
		b.Submit(now+time.Second/4, Submission{ID: fmt.Sprint("j", i), Queue: q, Tasks: shape(200, TaskSpec{CPU: 1000, MemMB: 10}).Tasks}, Waiter(i+1))
	}
	b.TakeEffects()
	return b, now + time.Second/4
}

// Guards against answers that grow with the deployment or with the job. The bounds are 16
// listed tasks, 64 candidates, and one entry for each agent and reason.
func TestAnswersAreBounded(t *testing.T) {
	b, now := newWide(t)
	e := b.Explain(now, shape(4096, TaskSpec{CPU: 1000, MemMB: 10}), 0, 64)
	if e.TasksUnplanned != 4096-16 {
		t.Errorf("%d tasks not planned at 250 agents, want all but 16", e.TasksUnplanned)
	}
	if g := newRig(t, "a", "b"); g.b.Explain(g.now, shape(200, TaskSpec{CPU: 1000, MemMB: 10}), 0, 64).TasksUnplanned != 0 {
		t.Error("a wide job is not planned completely at two agents")
	}
	j, ok := b.ExplainJob(now, "j0", -1, 64)
	for _, x := range []status.Explanation{e, j} {
		raw, err := json.Marshal(x)
		if !ok || err != nil || len(raw) > 32<<10 || len(x.Tasks) > 17 || x.TasksOmitted+len(x.Tasks) < 200 || len(x.Candidates) > 64 {
			t.Errorf("%d bytes, %d tasks, %d omitted, %d candidates, %v", len(raw), len(x.Tasks), x.TasksOmitted, len(x.Candidates), err)
		}
	}
	if agents, omitted := b.AgentStates(now, 100); len(agents) != 100 || omitted != 150 {
		t.Errorf("%d agents listed, %d omitted", len(agents), omitted)
	}
}

// BenchmarkExplainShape, BenchmarkExplainJob and BenchmarkAgentStates measure how long the
// entry's lock is held at 250 agents. The target is a few milliseconds.
func BenchmarkExplainShape(b *testing.B) {
	core, now := newWide(b)
	sub := shape(16, TaskSpec{CPU: 1000, MemMB: 10})
	for b.Loop() {
		core.Explain(now, sub, 0, 64)
	}
}

// See BenchmarkExplainShape.
func BenchmarkExplainJob(b *testing.B) {
	core, now := newWide(b)
	for b.Loop() {
		core.ExplainJob(now, "j0", -1, 64)
	}
}

// See BenchmarkExplainShape.
func BenchmarkAgentStates(b *testing.B) {
	core, now := newWide(b)
	for b.Loop() {
		core.AgentStates(now, 512)
	}
}
