package broker

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

// holdQueue leaves its tasks enough slack for a wait and a run off the rack.
var holdQueue = &catalog.Queue{Name: "h", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 4, LatencyTarget: time.Second}

// alwaysHold holds each task for 200 ms while its rack is full, so that the tests do not depend
// on what is learned.
func alwaysHold(in locality.Input) locality.Decision {
	until := in.HoldUntil
	if until == 0 {
		until = in.Now + 200*time.Millisecond
	}
	switch {
	case in.Near.Usable && in.Near.Wait == 0:
		return locality.Decision{Action: locality.NearNow, Reason: locality.ReasonRackFree}
	case in.Near.Usable && in.Now < until:
		return locality.Decision{Action: locality.Hold, Reason: locality.ReasonReleaseSoon, Until: until}
	case in.Far.Usable:
		return locality.Decision{Action: locality.Far, Reason: locality.ReasonHoldOver}
	}
	return locality.Decision{Action: locality.Unplaceable}
}

func rackLoadOf(rack string, free int) wire.Load {
	l := load(free)
	l.Labels = []string{rack}
	return l
}

// newRackRig returns a broker with the agent a on a full rack r1 and b on a free rack r2 in
// another data centre.
func newRackRig(t *testing.T) *rig {
	g := newRig(t)
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait, Decide: alwaysHold}, 1.5)
	g.b.settings.EvacuateWithin = time.Second
	g.connect("a", "1")
	g.agents["b"] = AgentID{Host: "b", Incarnation: "1"}
	g.b.Connected(g.now, Link{Agent: g.agents["b"], DataCentre: "dc2", HelloSentAt: g.now, HelloReceivedAt: g.now, ClockMS: uint64(g.now / time.Millisecond)})
	g.heartbeat("a", rackLoadOf("r1", 0))
	g.heartbeat("b", rackLoadOf("r2", 10_000))
	g.now += agentArrivalWindow
	g.b.Tick(g.now)
	g.takeEffects()
	return g
}

func (g *rig) setRacks(s locality.Settings, farFactor float64) {
	g.b.racks = locality.NewRacks(s, farFactor)
}

func (g *rig) submitRacked(id string, w Waiter, tasks int) []Effect {
	sub := Submission{ID: id, Queue: holdQueue}
	for range tasks {
		sub.Tasks = append(sub.Tasks, TaskSpec{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: "r1"})
	}
	g.b.Submit(g.now, sub, w)
	return g.takeEffects()
}

// decisions returns the logged decisions among effects that concern a rack.
func rackDecisions(effects []Effect) []Decision {
	var out []Decision
	for _, e := range effects {
		if d, ok := e.(Decision); ok && d.Rack != nil {
			out = append(out, d)
		}
	}
	return out
}

// hold submits a job whose task is held.
func (g *rig) holdJob(id string) {
	g.t.Helper()
	effects := g.submitRacked(id, 1, 1)
	if d := rackDecisions(effects); len(d) != 1 || d[0].Action != "hold" || len(messages[wire.Assign](effects)) != 0 {
		g.t.Fatalf("decisions %+v, want one hold", d)
	}
}

// wantAssign checks that the effects assign one task to the host, for the reason.
func (g *rig) wantAssign(effects []Effect, host, reason string, regretted bool) Decision {
	g.t.Helper()
	d := rackDecisions(effects)
	if len(d) != 1 || d[0].Action != "assign" || d[0].Agent != host || d[0].Reason != reason || d[0].Rack.Regretted != regretted {
		g.t.Fatalf("decisions %+v, want an assignment to %s for %q, regretted %v", d, host, reason, regretted)
	}
	return d[0]
}

// Guards against a held task that is decided again only with the next tick: it takes the free
// capacity of its rack on the report that shows it.
func TestHeldTaskTakesItsRackOnAReport(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j")
	g.now += 3 * time.Millisecond
	g.heartbeat("a", rackLoadOf("r1", 5000))
	d := g.wantAssign(g.takeEffects(), "a", locality.ReasonRackFree, false)
	if d.Rack.Held != 3*time.Millisecond || !d.Rack.Near {
		t.Errorf("rack placement %+v, want near after 3 ms", d.Rack)
	}
}

// Guards against several held tasks that are sent for the free capacity of one.
func TestOneReleaseTakesOneHeldTask(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j1")
	g.holdJob("j2")
	g.now += 3 * time.Millisecond
	g.heartbeat("a", rackLoadOf("r1", 5000))
	if d := g.wantAssign(g.takeEffects(), "a", locality.ReasonRackFree, false); d.Job != "j1" {
		t.Errorf("job %s got the capacity, want the one that was held first", d.Job)
	}
}

// Guards against tasks that are held beyond the stated time.
func TestHoldEnds(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j")
	for g.now += 20 * time.Millisecond; ; g.now += 20 * time.Millisecond {
		g.heartbeat("a", rackLoadOf("r1", 0))
		g.heartbeat("b", rackLoadOf("r2", 10_000))
		g.b.Tick(g.now)
		effects := g.takeEffects()
		if len(rackDecisions(effects)) == 0 {
			continue
		}
		if d := g.wantAssign(effects, "b", locality.ReasonHoldOver, true); d.Rack.Held != 200*time.Millisecond {
			t.Errorf("held for %v, want 200 ms", d.Rack.Held)
		}
		return
	}
}

// Guards against a task that stays held after the agents of its rack have disconnected, or
// have become silent: late reports.
func TestHeldTaskLeavesARackThatIsGone(t *testing.T) {
	for _, how := range []string{"disconnected", "silent", "upstream not ready"} {
		g := newRackRig(t)
		g.setRacks(locality.Settings{MaxWait: time.Minute, Decide: func(in locality.Input) locality.Decision {
			d := alwaysHold(in)
			d.Until = max(d.Until, in.Now+5*time.Second)
			return d
		}}, 1.5)
		g.holdJob("j")
		switch how {
		case "disconnected":
			g.b.Disconnected(g.agents["a"])
		case "silent":
			for range 2 {
				g.now += g.b.settings.HeartbeatTimeout / 2
				g.heartbeat("b", rackLoadOf("r2", 10_000))
			}
		default:
			l := rackLoadOf("r1", 0)
			l.Ready = false
			g.heartbeat("a", l)
		}
		g.now += 20 * time.Millisecond
		g.heartbeat("b", rackLoadOf("r2", 10_000))
		g.b.Tick(g.now)
		g.wantAssign(g.takeEffects(), "b", locality.ReasonHoldOver, true)
	}
}

// Guards against a task that waits for a rack whose data centre is being evacuated.
func TestHeldTaskLeavesAnEvacuatedRack(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j")
	g.b.Evacuations(g.now, evacuation.Update{All: true, Version: 1, AsOf: g.now, Changes: []evacuation.Change{{DataCentre: "dc", Version: 1}}})
	g.wantAssign(g.takeEffects(), "b", locality.ReasonHoldOver, true)
}

// Guards against old reports that send a task to its rack again and again: each refusal carries
// a new report, on which the task is held.
func TestStaleReportOfFreeRackIsCorrected(t *testing.T) {
	g := newRackRig(t)
	g.heartbeat("a", rackLoadOf("r1", 5000))
	g.takeEffects()
	effects := g.submitRacked("j", 1, 1)
	sent := messages[wire.Assign](effects)
	if len(sent) != 1 || !sent[0].message.OnlyIfFits {
		t.Fatalf("sent %+v, want one offer that must fit", sent)
	}
	l := rackLoadOf("r1", 0)
	l.LastSeq = sent[0].message.Seq
	g.b.Report(g.now, sent[0].agent, wire.RunReport{Attempt: sent[0].message.Attempt, State: wire.RunNotStarted, Reason: reasons.NoRoom, Load: l})
	if d := rackDecisions(g.takeEffects()); len(d) != 1 || d[0].Action != "hold" {
		t.Errorf("decisions %+v after the refusal, want a hold", d)
	}
}

// Guards against a refusal that states that a job has not run while only a part of it was held,
// and against held tasks of a job whose caller has left.
func TestHeldTasksEndWithTheirJob(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j")
	g.b.CallerLeft(g.now, "j", 1)
	g.now += 3 * time.Millisecond
	g.heartbeat("a", rackLoadOf("r1", 10_000))
	g.b.Tick(g.now)
	if effects := g.takeEffects(); len(messages[wire.Assign](effects)) != 0 || g.b.LiveJobs() != 0 || g.b.unplaced.count != 0 {
		t.Errorf("effects %+v with %d jobs, want none", effects, g.b.LiveJobs())
	}
}

// Guards against off-rack runs that count as evidence of a slow upstream, or of longer run
// times of the queue.
func TestOffRackRunsAreExpectedToTakeLonger(t *testing.T) {
	g := newRackRig(t)
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait, Decide: alwaysHold}, 2)
	g.b.Disconnected(g.agents["a"])
	for i := range 20 {
		effects := g.submitRacked(fmt.Sprint("j", i), 1, 1)
		sent := messages[wire.Assign](effects)
		if len(sent) != 1 || sent[0].message.ExpectedMS < 190 || sent[0].message.ExpectedMS > 210 {
			t.Fatalf("sent %+v, want a run of 200 ms", sent)
		}
		l := rackLoadOf("r2", 10_000)
		l.LastSeq = sent[0].message.Seq
		g.b.Report(g.now, sent[0].agent, wire.RunReport{Attempt: sent[0].message.Attempt, State: wire.RunStarted, Load: l})
		g.b.Report(g.now, sent[0].agent, wire.RunReport{Attempt: sent[0].message.Attempt, State: wire.RunDone, RanMS: 200, Load: l})
		g.takeEffects()
	}
}

// Guards against any change for tasks without a preferred rack: the same decisions with the
// same random draws, whether the part is enabled or not, in a load with failures.
func TestTasksWithoutARackAreServedAsBefore(t *testing.T) {
	play := func(s locality.Settings) ([]Effect, int64) {
		g := newRig(t, "a", "b", "c")
		g.setRacks(s, 1.5)
		src := &countingSource{Source: rand.NewSource(7)}
		g.b.random = rand.New(src)
		inputs := rand.New(rand.NewSource(3))
		var all []Effect
		var open []sent[wire.Assign]
		for i := range 2000 {
			g.now += time.Duration(1+inputs.Intn(8)) * time.Millisecond
			host := []string{"a", "b", "c"}[inputs.Intn(3)]
			switch x := inputs.Intn(10); {
			case x < 3:
				g.submit(fmt.Sprint("j", i), Waiter(i), 1+inputs.Intn(3))
			case x < 5:
				g.heartbeat(host, rackLoadOf("r-"+host, inputs.Intn(10_000)))
			case x < 9 && len(open) > 0:
				k := inputs.Intn(len(open))
				a := open[k]
				open = slices.Delete(open, k, k+1)
				g.report(a, []wire.RunState{wire.RunDone, wire.RunDone, wire.RunFailed, wire.RunStopped}[inputs.Intn(4)], "x")
			default:
				g.b.Tick(g.now)
			}
			effects := g.takeEffects()
			open = append(open, messages[wire.Assign](effects)...)
			all = append(all, effects...)
		}
		return all, int64(src.draws)
	}
	off, drawsOff := play(locality.Settings{})
	on, drawsOn := play(locality.Settings{MaxWait: locality.DefaultMaxWait})
	if drawsOff != drawsOn || !reflect.DeepEqual(off, on) {
		t.Errorf("%d effects with %d draws, want %d with %d", len(on), drawsOn, len(off), drawsOff)
	}
	if len(messages[wire.Assign](on)) < 300 {
		t.Errorf("%d assignments, want a load", len(messages[wire.Assign](on)))
	}
}

// The cost of one decision with 60 agents, 10 of them on the rack, while 200 tasks are held.
func BenchmarkRackDecision(b *testing.B) {
	g := &rig{b: New(DefaultSettings("dc", endedAfter), rand.NewSource(1)), now: 10 * time.Second, agents: map[string]AgentID{}}
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait, Decide: alwaysHold}, 1.5)
	for i := range 60 {
		host := fmt.Sprint("h", i)
		g.connect(host, "1")
		free := 10_000
		if i%6 == 0 {
			free = 0
		}
		g.heartbeat(host, rackLoadOf(fmt.Sprint("r", i%6), free))
	}
	g.now += agentArrivalWindow
	var last *task
	for i := range 200 {
		id := fmt.Sprint("j", i)
		g.b.Submit(g.now, Submission{ID: id, Queue: holdQueue, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: "r0"}}}, 1)
		last = g.b.jobs[id].tasks[0]
	}
	g.b.observeRacks(g.now)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		g.b.racks.Observe(g.now, last.rack.Key, locality.RackReport{CapacityCPU: 100_000, UsedCPU: 100_000, OtherCPU: 500_000, OtherUsedCPU: 480_000})
		g.b.choose(g.now, last)
	}
}

// The cost of a tick with 60 agents after callers have named as many racks as are learned.
func BenchmarkObserveRacks(b *testing.B) {
	g := &rig{b: New(DefaultSettings("dc", endedAfter), rand.NewSource(1)), now: 10 * time.Second, agents: map[string]AgentID{}}
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait}, 1.5)
	for i := range 60 {
		host := fmt.Sprint("h", i)
		g.connect(host, "1")
		g.heartbeat(host, rackLoadOf(fmt.Sprint("r", i%6), 10_000))
	}
	for i := range 1024 {
		g.b.racks.ShareForAll(g.now, locality.Key{Service: "s", Rack: fmt.Sprint("x", i)}, 1)
	}
	b.ReportAllocs()
	for range b.N {
		g.b.observeRacks(g.now)
	}
}
