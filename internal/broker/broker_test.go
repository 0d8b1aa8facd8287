package broker

import (
	"math/rand"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

const endedAfter = 1200 * time.Millisecond

var queue = &catalog.Queue{Name: "q", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 60 * time.Millisecond}

// rig drives a broker with agents of ten cores in data centre dc.
type rig struct {
	t      *testing.T
	b      *Broker
	now    time.Duration
	agents map[string]AgentID
}

func newRig(t *testing.T, hosts ...string) *rig {
	t.Helper()
	before := invariant.SetStrict(true)
	t.Cleanup(func() { invariant.SetStrict(before) })
	g := &rig{t: t, b: New(DefaultSettings("dc", endedAfter), rand.NewSource(1)), now: 10 * time.Second, agents: map[string]AgentID{}}
	for _, h := range hosts {
		g.connect(h, "1")
		g.heartbeat(h, load(10_000))
	}
	// After agentArrivalWindow, the broker no longer waits for more agents.
	g.now += agentArrivalWindow
	g.takeEffects()
	return g
}

func load(free int) wire.Load {
	return wire.Load{Ready: true, Service: "s", CapacityCPU: 10_000, CapacityMem: 1000, FreeCPU: free, FreeMem: 1000, Slowness: 100}
}

func (g *rig) connect(host, incarnation string) {
	g.agents[host] = AgentID{Host: host, Incarnation: incarnation}
	g.b.Connected(g.now, Link{Agent: g.agents[host], DataCentre: "dc", HelloSentAt: g.now, HelloReceivedAt: g.now, ClockMS: uint64(g.now / time.Millisecond)})
}

func (g *rig) heartbeat(host string, l wire.Load) {
	g.b.Heartbeat(g.now, g.agents[host], wire.AgentBeat{ClockMS: uint64(g.now / time.Millisecond), Load: l})
}

// takeEffects returns the effects since the last call.
func (g *rig) takeEffects() []Effect { return g.b.TakeEffects() }

func (g *rig) submit(id string, w Waiter, tasks int) {
	sub := Submission{ID: id, Queue: queue}
	for range tasks {
		sub.Tasks = append(sub.Tasks, TaskSpec{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond})
	}
	g.b.Submit(g.now, sub, w)
}

type sent[T any] struct {
	agent   AgentID
	message T
}

// messages returns the messages of one type among effects.
func messages[T any](effects []Effect) []sent[T] {
	var out []sent[T]
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			if m, ok := s.Message.(*T); ok {
				out = append(out, sent[T]{agent: s.Agent, message: *m})
			}
		}
	}
	return out
}

func answers(effects []Effect) []Answer {
	var out []Answer
	for _, e := range effects {
		if a, ok := e.(Answer); ok {
			out = append(out, a)
		}
	}
	return out
}

func (g *rig) report(a sent[wire.Assign], state wire.RunState, reason string) {
	l := load(10_000)
	l.LastSeq = a.message.Seq
	g.b.Report(g.now, a.agent, wire.RunReport{Attempt: a.message.Attempt, State: state, Reason: reason, RanMS: 100, Load: l})
}

// Guards against a job that is answered as completed before all its tasks have
// ended.
func TestJobIsCompleteWithItsLastTask(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j1", 1, 3)
	assigned := messages[wire.Assign](g.takeEffects())
	if len(assigned) != 3 {
		t.Fatalf("%d tasks assigned, want 3", len(assigned))
	}
	for i, a := range assigned {
		g.report(a, wire.RunDone, "")
		got := answers(g.takeEffects())
		if (i == 2) != (len(got) == 1) {
			t.Fatalf("%d answers after task %d", len(got), i)
		}
		if i == 2 && got[0].Outcome.Kind != Completed {
			t.Errorf("outcome %v", got[0].Outcome)
		}
	}
	// A copy that arrives late gets the same answer and starts nothing.
	g.submit("j1", 2, 3)
	effects := g.takeEffects()
	if n := len(messages[wire.Assign](effects)); n != 0 || answers(effects)[0].Outcome.Kind != Completed {
		t.Errorf("a late copy assigned %d tasks: %v", n, answers(effects))
	}
}

// Guards against a job that ends as failed before a task has used its attempts,
// and against one that continues after that.
func TestFailedTaskIsTriedElsewhere(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j1", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	g.report(first, wire.RunFailed, "failed")
	effects := g.takeEffects()
	second := messages[wire.Assign](effects)
	if len(answers(effects)) != 0 || len(second) != 1 || second[0].agent == first.agent || second[0].message.Attempt.Run <= first.message.Attempt.Run {
		t.Fatalf("second attempt %+v after %+v", second, first)
	}
	g.report(second[0], wire.RunFailed, "failed")
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Failed {
		t.Errorf("answers %+v", got)
	}
}

// Guards against counting runs that were cut short as failures of the task.
func TestRunsCutShortAreNoFailures(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j1", 1, 1)
	for range 5 {
		effects := g.takeEffects()
		if n := len(answers(effects)); n != 0 {
			t.Fatalf("%d answers", n)
		}
		g.report(messages[wire.Assign](effects)[0], wire.RunStopped, "upstream-restarted")
	}
}

// Guards against a refusal that is sent before it is certain that nothing has run.
func TestRefusalIsSentOnlyOnceNothingRuns(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j1", 1, 2)
	assigned := messages[wire.Assign](g.takeEffects())
	g.b.CloseAll(g.now, "entry-leaving")
	effects := g.takeEffects()
	if len(answers(effects)) != 0 || len(messages[wire.Withdraw](effects)) != 2 {
		t.Fatalf("effects %+v", effects)
	}
	g.report(assigned[0], wire.RunNotStarted, "withdrawn")
	if len(answers(g.takeEffects())) != 0 {
		t.Fatal("refused before the second task was confirmed as not started")
	}
	g.report(assigned[1], wire.RunNotStarted, "withdrawn")
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Refused || got[0].Outcome.RetryAfter <= 0 {
		t.Errorf("answers %+v", got)
	}

	g.submit("j2", 2, 1)
	a := messages[wire.Assign](g.takeEffects())[0]
	g.report(a, wire.RunStarted, "")
	g.b.CloseAll(g.now, "entry-leaving")
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Unknown {
		t.Errorf("answers of a job that has run: %+v", got)
	}
}

// Guards against runs of jobs for which no caller waits any more.
func TestCallerThatLeavesEndsItsJob(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j1", 1, 1)
	g.submit("j1", 2, 1)
	g.takeEffects()
	g.b.CallerLeft(g.now, "j1", 1)
	if n := len(messages[wire.Withdraw](g.takeEffects())); n != 0 {
		t.Fatal("withdrawn while a second request waits")
	}
	g.b.CallerLeft(g.now, "j1", 2)
	if n := len(messages[wire.Withdraw](g.takeEffects())); n != 1 {
		t.Errorf("%d withdrawals, want 1", n)
	}
}

// Guards against a copy of a job that runs at the same time as runs left from the
// first submission to the same entry.
func TestCopyWaitsForTheEndOfTheFirst(t *testing.T) {
	g := newRig(t, "a", "b")
	g.submit("j1", 1, 1)
	first := messages[wire.Assign](g.takeEffects())[0]
	g.report(first, wire.RunStarted, "")
	g.b.CallerLeft(g.now, "j1", 1)
	g.submit("j1", 2, 1)
	if n := len(messages[wire.Assign](g.takeEffects())); n != 0 {
		t.Fatal("the copy was started while the first run had not ended")
	}
	g.report(first, wire.RunStopped, "withdrawn")
	second := messages[wire.Assign](g.takeEffects())
	if len(second) != 1 || second[0].message.Attempt.Run <= first.message.Attempt.Run {
		t.Errorf("second attempt %+v", second)
	}
}

// Guards against a task of an unreachable agent that is assigned to another agent
// while its run may continue.
func TestTaskOfSilentAgentIsReassignedAfterItsRunEnded(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j1", 1, 1)
	g.takeEffects()
	g.connect("b", "1")
	begin := g.now
	for g.now < begin+endedAfter {
		g.now += 20 * time.Millisecond
		g.heartbeat("b", load(10_000))
		g.b.Tick(g.now)
		if g.now <= begin+endedAfter {
			if n := len(messages[wire.Assign](g.takeEffects())); n != 0 {
				t.Fatalf("reassigned after %v", g.now-begin)
			}
		}
	}
	g.now += 20 * time.Millisecond
	g.b.Tick(g.now)
	if got := messages[wire.Assign](g.takeEffects()); len(got) != 1 || got[0].agent.Host != "b" {
		t.Errorf("assigned %+v", got)
	}
}

// Guards against the loss of a withdrawal with its link: the entry would continue
// to confirm the run.
func TestWithdrawalIsSentAgain(t *testing.T) {
	g := newRig(t, "a")
	g.submit("j1", 1, 1)
	g.takeEffects()
	g.b.CallerLeft(g.now, "j1", 1)
	g.takeEffects()
	g.connect("a", "1")
	if n := len(messages[wire.Withdraw](g.takeEffects())); n != 1 {
		t.Errorf("%d withdrawals on the new link, want 1", n)
	}
	g.now += withdrawRetry
	g.b.Tick(g.now)
	if n := len(messages[wire.Withdraw](g.takeEffects())); n != 1 {
		t.Errorf("%d withdrawals after %v, want 1", n, withdrawRetry)
	}
}

// Guards against commands right after a pause of the process, when callers may have
// left and have their jobs run elsewhere.
func TestBrokerSendsNoCommandsRightAfterAPause(t *testing.T) {
	g := newRig(t, "a")
	g.b.ProcessResumed(g.now)
	g.submit("j1", 1, 1)
	if n := len(messages[wire.Assign](g.takeEffects())); n != 0 {
		t.Fatal("assigned right after the pause")
	}
	g.now += 40 * time.Millisecond
	g.heartbeat("a", load(10_000))
	g.b.Tick(g.now)
	if n := len(messages[wire.Assign](g.takeEffects())); n != 1 {
		t.Errorf("%d tasks assigned after the delay, want 1", n)
	}
}

// Guards against refusals while an agent has free capacity, and against jobs that
// are accepted although they would start too late.
func TestAdmission(t *testing.T) {
	full := load(0)
	full.QueuedWork[0] = 300
	g := newRig(t, "a", "b")
	g.heartbeat("a", full)
	g.submit("j1", 1, 1)
	if got := messages[wire.Assign](g.takeEffects()); len(got) != 1 || got[0].agent.Host != "b" || !got[0].message.OnlyIfFits {
		t.Fatalf("assigned %+v", got)
	}
	g.heartbeat("b", full)
	g.submit("j2", 2, 1)
	effects := g.takeEffects()
	if got := answers(effects); len(got) != 1 || got[0].Outcome.Kind != Refused || got[0].Outcome.RetryAfter < minRetryAfter {
		t.Errorf("answers %+v", got)
	}
	if len(messages[wire.Assign](effects)) != 0 {
		t.Error("a refused job was assigned")
	}
}

// Guards against refusals right after the start of a process, before its agents
// have connected, and against waiting for agents that have long been unreachable.
func TestJobsWaitForAgentsOnlyAfterAStart(t *testing.T) {
	g := newRig(t)
	g.now = 200 * time.Millisecond
	g.submit("j1", 1, 1)
	if len(answers(g.takeEffects())) != 0 {
		t.Fatal("refused 200 ms after the start")
	}
	g.connect("a", "1")
	g.heartbeat("a", load(10_000))
	if n := len(messages[wire.Assign](g.takeEffects())); n != 1 {
		t.Errorf("%d tasks assigned to the first agent, want 1", n)
	}
	g.b.Disconnected(g.agents["a"])
	g.now += 5 * time.Second
	g.b.Tick(g.now)
	g.takeEffects()
	g.submit("j2", 2, 1)
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Reason != "no-upstream" {
		t.Errorf("answers %+v", got)
	}
}

// Guards against tasks on upstreams that fail, are stuck or slow, leave, or cannot
// run them.
func TestUnfitUpstreamsAreUsedLast(t *testing.T) {
	for name, change := range map[string]func(*wire.Load){
		"failing":  func(l *wire.Load) { l.FailurePercent = 60 },
		"stuck":    func(l *wire.Load) { l.Stuck = true },
		"slow":     func(l *wire.Load) { l.Slowness = 600 },
		"draining": func(l *wire.Load) { l.Draining = true },
		"other":    func(l *wire.Load) { l.Service = "t" },
		"small":    func(l *wire.Load) { l.CapacityCPU = 3000 },
	} {
		g := newRig(t, "a", "b")
		bad := load(10_000)
		change(&bad)
		g.heartbeat("a", bad)
		g.submit("j1", 1, 2)
		for _, a := range messages[wire.Assign](g.takeEffects()) {
			if a.agent.Host != "b" {
				t.Errorf("%s upstream got a task", name)
			}
		}
	}
}

// Guards against a refusal of a job that could still wait: its task waits at an agent,
// is withdrawn for an upstream that seems to have free capacity, and finds none there.
func TestMovedTaskMayWaitAgain(t *testing.T) {
	g := newRig(t, "a1", "a2")
	// Both are full, with little work left, so that the job's slack allows a wait.
	full := load(0)
	full.CapacityCPU = 100_000
	g.heartbeat("a1", full)
	g.heartbeat("a2", full)
	g.takeEffects()
	g.submit("j", 1, 1)
	assigned := messages[wire.Assign](g.takeEffects())
	if len(assigned) != 1 || assigned[0].message.OnlyIfFits {
		t.Fatalf("assigned %v, want one task that waits", assigned)
	}
	g.now += 40 * time.Millisecond
	other := map[string]string{"a1": "a2", "a2": "a1"}[assigned[0].agent.Host]
	g.heartbeat(assigned[0].agent.Host, full)
	g.heartbeat(other, load(10_000))
	g.b.Tick(g.now)
	if n := len(messages[wire.Withdraw](g.takeEffects())); n != 1 {
		t.Fatalf("%d withdrawals, want a move", n)
	}
	g.report(assigned[0], wire.RunNotStarted, "withdrawn")
	moved := messages[wire.Assign](g.takeEffects())
	if len(moved) != 1 || moved[0].agent.Host != other {
		t.Fatalf("assigned %v, want one task to %s", moved, other)
	}
	g.heartbeat(other, full)
	g.report(moved[0], wire.RunNotStarted, "no-room")
	effects := g.takeEffects()
	if got := answers(effects); len(got) != 0 {
		t.Fatalf("answered %v after %v", got, 40*time.Millisecond)
	}
	if n := len(messages[wire.Assign](effects)); n != 1 {
		t.Errorf("%d tasks assigned, want the task to wait again", n)
	}
}

// Guards against assigning all jobs to the first agent after a restart of all, and
// against refusing them as overload, while the other agents are about to become
// usable.
func TestJobsWaitForTheOtherAgentsAfterARestart(t *testing.T) {
	g := newRig(t)
	g.connect("a1", "1")
	g.heartbeat("a1", load(10_000))
	g.takeEffects()
	g.submit("j", 1, 4)
	if got := answers(g.takeEffects()); len(got) != 0 {
		t.Fatalf("answered %v, want a wait for more agents", got)
	}
	g.now += 20 * time.Millisecond
	g.connect("a2", "1")
	g.heartbeat("a2", load(10_000))
	if n := len(messages[wire.Assign](g.takeEffects())); n != 4 {
		t.Errorf("%d tasks assigned, want 4", n)
	}
	for _, host := range []string{"a1", "a2"} {
		l := load(2000)
		l.LastSeq = 2
		g.heartbeat(host, l)
	}
	g.now += 2 * agentArrivalWindow
	g.submit("j2", 2, 4)
	g.now += verifyTimeout
	g.b.Tick(g.now)
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Reason != "overload" {
		t.Errorf("answers %v, want a refusal after agentArrivalWindow", got)
	}
}

// Guards against stopping a run of a long job on an upstream that is reported stuck
// by chance: the job's tasks on other upstreams show how long its tasks take.
func TestReassignmentComparesTasksOfTheJob(t *testing.T) {
	for _, c := range []struct {
		name string
		// other is the state of the job's other task after 300 ms.
		other    wire.RunState
		reassign bool
	}{
		{"the other task still runs", wire.RunStarted, false},
		{"the other task took as long", wire.RunDone, false},
		{"the other task was far shorter", wire.RunDone, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, "a1", "a2")
			begin := g.now
			g.submit("j", 1, 2)
			assigned := messages[wire.Assign](g.takeEffects())
			if len(assigned) != 2 || assigned[0].agent == assigned[1].agent {
				t.Fatalf("assigned %v, want two tasks on two hosts", assigned)
			}
			for _, a := range assigned {
				g.report(a, wire.RunStarted, "")
			}
			for _, ms := range []int{100, 200, 300, 400} {
				g.now = begin + time.Duration(ms)*time.Millisecond
				stuck := load(0)
				stuck.Stuck = ms == 400
				g.heartbeat(assigned[0].agent.Host, stuck)
				g.heartbeat(assigned[1].agent.Host, load(6000))
				if ms == 300 && c.other == wire.RunDone {
					ran := uint32(300)
					if c.reassign {
						ran = 100
					}
					g.b.Report(g.now, assigned[1].agent, wire.RunReport{Attempt: assigned[1].message.Attempt, State: wire.RunDone, RanMS: ran, Load: load(10_000)})
				}
			}
			g.takeEffects()
			g.b.Tick(g.now)
			if got := len(messages[wire.Withdraw](g.takeEffects())) > 0; got != c.reassign {
				t.Errorf("withdrawn: %v, want %v", got, c.reassign)
			}
		})
	}
}
