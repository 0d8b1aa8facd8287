package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/wire"
)

// rackBusy returns the load of an agent on the rack r1 without free capacity, on which a task of
// 4 cores is predicted to wait.
func rackBusy(wait time.Duration) wire.Load {
	l := rackLoadOf("r1", 0)
	l.TaskCPU = 4000
	for i := range l.WaitMS {
		l.WaitMS[i], l.ReleaseRate[i] = uint16(wait/time.Millisecond), 100_000
	}
	return l
}

// newAdaptiveRig returns newRackRig with the product's rule and the given wait at the rack.
func newAdaptiveRig(t *testing.T, farFactor float64, wait time.Duration) *rig {
	g := newRackRig(t)
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait}, farFactor)
	g.heartbeat("a", rackBusy(wait))
	g.heartbeat("b", rackLoadOf("r2", 10_000))
	g.takeEffects()
	return g
}

// rackedJob returns a job of a task of 100 ms that prefers the rack r1 and has a slack of 112 ms.
func rackedJob(id string) Submission {
	sub := shape(1, TaskSpec{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: "r1"})
	sub.ID, sub.Queue = id, queue
	return sub
}

// Guards against a surplus at a hot spot that waits for as long as a job may at admission, as
// if no run off the rack were on time.
func TestSurplusOfAHotSpotDoesNotUseItsSlack(t *testing.T) {
	g := newAdaptiveRig(t, 1.5, 10*time.Millisecond)
	key := locality.Key{Service: "s", Rack: "r1"}
	for i := range 200 {
		g.b.racks.Placed(g.now, key, i%3 == 0, 100*time.Millisecond)
	}
	g.b.observeRacks(g.now)
	g.b.Submit(g.now, rackedJob("j"), 1)
	g.wantAssign(g.takeEffects(), "b", locality.ReasonWaitTooLong, false)
}

// Guards against a wait, mostly at a slow rack, after which a run off it is late: the wait ends
// while such a run, with the time to move the task, is on time.
func TestWaitLeavesTimeForOtherCapacity(t *testing.T) {
	waited := 0
	for slowness := uint32(60); slowness <= 200; slowness += 10 {
		for _, factor := range []float64{1.2, 1.5, 1.7, 1.9, 2, 3} {
			for wait := 2 * time.Millisecond; wait < 30*time.Millisecond; wait += 9 * time.Millisecond {
				g := newAdaptiveRig(t, factor, wait)
				l := rackBusy(wait)
				l.Slowness = slowness
				g.heartbeat("a", l)
				g.b.Submit(g.now, rackedJob("j"), 1)
				task := g.b.jobs["j"].tasks[0]
				far := g.b.rackOptions(g.now, task).Far.Scored
				late := far.Score() > task.job.timeLeft(g.now+locality.MoveTime)
				if d := rackDecisions(g.takeEffects()); late || len(d) != 1 || d[0].Agent != "a" || task.rack.WaitUntil == 0 {
					continue
				}
				waited++
				if left := task.job.timeLeft(task.rack.WaitUntil + locality.MoveTime); far.End() > left {
					t.Errorf("slowness %d, factor %.1f, predicted wait %v: a run off the rack after the wait takes %v, %v are left", slowness, factor, wait, far.End(), left)
				}
			}
		}
	}
	if waited == 0 {
		t.Error("no task waited")
	}
}

// Guards against a task that loses its turn at an upstream of its rack on each report of another
// one that is free but fails, or that may not run it: it would be sent back each time.
func TestTaskDoesNotMoveToARackmateThatItAvoids(t *testing.T) {
	for _, free := range []string{"fails", "works"} {
		g := newAdaptiveRig(t, 1.5, 10*time.Millisecond)
		g.b.Submit(g.now, rackedJob("j"), 1)
		g.wantAssign(g.takeEffects(), "a", locality.ReasonWaitPays, false)
		g.connect("c", "1")
		g.now += 2 * minQueued
		l := rackLoadOf("r1", 10_000)
		if free == "fails" {
			l.FailurePercent = 100
		}
		for range 3 {
			g.heartbeat("c", l)
			g.now += minQueued
		}
		if n := len(messages[wire.Withdraw](g.takeEffects())); (n > 0) == (free == "fails") {
			t.Errorf("%d withdrawals for a free upstream of the rack that %s", n, free)
		}
	}
}

// Guards against a refusal of a job whose task is to wait shortly for the first of several
// upstreams to become free, because the wait at one of them alone would be too long.
func TestAdmissionRestsOnTheWaitAtTheWholeRack(t *testing.T) {
	g := newAdaptiveRig(t, 1.2, 60*time.Millisecond)
	key := locality.Key{Service: "s", Rack: "r1"}
	for range 100 {
		g.b.racks.Released(g.now, key, 4000)
		g.b.racks.Placed(g.now, key, true, 100*time.Millisecond)
	}
	x := g.b.Explain(g.now, rackedJob("j"), 0, 10)
	g.b.Submit(g.now, rackedJob("j"), 1)
	d := g.wantAssign(g.takeEffects(), "a", locality.ReasonWaitPays, false)
	if d.Wait >= 60*time.Millisecond || x.Tasks[0].WaitMS != explain.Milliseconds(d.Wait) || x.Decision != "place" {
		t.Errorf("a wait of %v, explained are %+v", d.Wait, x.Tasks[0])
	}
}

// Guards against a task that stays in the queue of its rack, the only capacity at its submission,
// after other capacity has appeared, until a run there is late.
func TestTaskLeavesTheOnlyRackForNewCapacity(t *testing.T) {
	g := newAdaptiveRig(t, 1.5, 30*time.Millisecond)
	g.b.Disconnected(g.agents["b"])
	g.b.Submit(g.now, rackedJob("j"), 1)
	g.wantAssign(g.takeEffects(), "a", locality.ReasonOnlyRack, false)
	left := g.b.jobs["j"].timeLeft(g.now)
	g.connect("c", "1")
	for begin := g.now; g.now < begin+left-160*time.Millisecond; {
		g.now += 20 * time.Millisecond
		g.heartbeat("a", rackBusy(400*time.Millisecond))
		g.heartbeat("c", rackLoadOf("r2", 10_000))
		g.b.Tick(g.now)
		if len(messages[wire.Withdraw](g.takeEffects())) > 0 {
			return
		}
	}
	t.Error("the task still waits at its rack")
}

// Guards against an entry that acts on a hold whose time has passed while the process was paused:
// it first learns which callers have left.
func TestHeldTaskAfterAPause(t *testing.T) {
	for _, left := range []bool{false, true} {
		g := newRackRig(t)
		g.holdJob("j")
		g.now += g.b.settings.HeartbeatTimeout
		g.b.ProcessResumed(g.now)
		if left {
			g.b.CallerLeft(g.now, "j", 1)
		}
		report := func() int {
			g.heartbeat("a", rackLoadOf("r1", 10_000))
			g.heartbeat("b", rackLoadOf("r2", 10_000))
			g.b.Tick(g.now)
			return len(messages[wire.Assign](g.takeEffects()))
		}
		for end := g.now + g.b.settings.ResumeDelay; g.now < end; g.now += 5 * time.Millisecond {
			if n := report(); n > 0 {
				t.Fatalf("%d assignments before the delay after the pause has passed", n)
			}
		}
		n := 0
		for end := g.now + agentArrivalWindow; g.now < end; g.now += 5 * time.Millisecond {
			n += report()
		}
		if (n == 1) == left {
			t.Errorf("%d assignments after the delay; the caller has left: %v", n, left)
		}
	}
}

// Guards against a hold that goes on, or a run for a caller that may have left, after a pause in
// which the entry was out of touch.
func TestHeldTaskAfterALongPause(t *testing.T) {
	g := newRackRig(t)
	g.holdJob("j")
	g.now += 600 * time.Millisecond
	g.b.ProcessResumed(g.now)
	var effects []Effect
	for end := g.now + g.b.settings.ResumeDelay + agentArrivalWindow; g.now < end; g.now += 5 * time.Millisecond {
		g.heartbeat("a", rackLoadOf("r1", 10_000))
		g.heartbeat("b", rackLoadOf("r2", 10_000))
		g.b.Tick(g.now)
		effects = append(effects, g.takeEffects()...)
	}
	if n := len(messages[wire.Assign](effects)); n != 0 {
		t.Errorf("%d assignments", n)
	}
	if a := answers(effects); len(a) != 1 || a[0].Outcome.Kind != Refused {
		t.Errorf("answers %+v, want a refusal", a)
	}
}

// Guards against inputs of agents and callers that end the process or give a wait that is no
// number.
func TestRackDecisionTakesMalformedInputs(t *testing.T) {
	for _, cpu := range []int{0, 1, 4000, 1 << 30} {
		for _, l := range []wire.Load{
			{Ready: true, Service: "s"},
			{Ready: true, Service: "s", Labels: []string{"r1", "r1", ""}, CapacityCPU: -1, FreeCPU: 1 << 40, Slowness: 1 << 31, FailurePercent: 1 << 31},
			{Ready: true, Service: "s", Labels: []string{"r1"}, CapacityCPU: 1, FreeCPU: -1 << 40, QueuedWork: [wire.PriorityLevels]uint32{1 << 31, 1 << 31}},
		} {
			g := newAdaptiveRig(t, 1.5, 10*time.Millisecond)
			for _, h := range []string{"a", "b"} {
				g.heartbeat(h, l)
			}
			for i, rack := range []string{"r1", "", "none"} {
				sub := Submission{ID: string(rune('j' + i)), Queue: queue, Tasks: []TaskSpec{{CPU: cpu, PreferredRack: rack}, {CPU: cpu, PreferredRack: rack}}}
				x := g.b.Explain(g.now, sub, 0, 10)
				g.b.Submit(g.now, sub, 1)
				for _, o := range x.Tasks {
					if !(o.WaitMS >= 0) {
						t.Errorf("a wait of %v for %d of cpu at %+v", o.WaitMS, cpu, l)
					}
				}
			}
			for range 5 {
				g.now += 20 * time.Millisecond
				g.b.Tick(g.now)
				for _, a := range messages[wire.Assign](g.takeEffects()) {
					for _, state := range []wire.RunState{wire.RunStarted, wire.RunDone} {
						g.b.Report(g.now, a.agent, wire.RunReport{Attempt: a.message.Attempt, State: state, Load: l})
					}
				}
				g.heartbeat("a", l)
			}
		}
	}
}
