package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

func newPreemptingRig(t *testing.T) *rig {
	t.Helper()
	g := newRig(t, "a", "b")
	g.b.settings.Preemption = preemption.DefaultSettings(20 * time.Millisecond)
	g.b.settings.Preemption.On = true
	return g
}

func (g *rig) onlyAssign() sent[wire.Assign] {
	g.t.Helper()
	m := messages[wire.Assign](g.takeEffects())
	if len(m) != 1 {
		g.t.Fatalf("%d tasks assigned, want 1", len(m))
	}
	return m[0]
}

// Guards against a second preemption of a job, against a preempted run that counts as a failed
// one (the queue allows two), and against a task that is not placed again.
func TestPreemptedTaskRunsAgain(t *testing.T) {
	g := newPreemptingRig(t)
	g.submit("j1", 1, 1)
	first := g.onlyAssign()
	if !first.message.MayYield {
		t.Error("the first run may not yield")
	}
	g.report(first, wire.RunStarted, "")
	g.report(first, wire.RunStopped, reasons.Preempted)
	second := g.onlyAssign()
	if second.message.MayYield || second.message.Attempt.Run <= first.message.Attempt.Run {
		t.Errorf("second run %+v", second.message)
	}
	g.report(second, wire.RunFailed, "")
	third := g.onlyAssign()
	if third.message.MayYield {
		t.Error("a later run may yield")
	}
	g.report(third, wire.RunFailed, "")
	if a := answers(g.takeEffects()); len(a) != 1 || a[0].Outcome.Kind != Failed {
		t.Errorf("answers %v, want failed after two failed runs", a)
	}
}

// Guards against a preempted job that is refused as not run. The report of its start may be
// lost, and an agent whose upstream has restarted does not know whether it has run.
func TestPreemptedJobHasRun(t *testing.T) {
	for _, state := range []wire.RunState{wire.RunStopped, wire.RunNotStarted} {
		g := newPreemptingRig(t)
		g.submit("j1", 1, 1)
		g.report(g.onlyAssign(), state, reasons.Preempted)
		again := g.onlyAssign()
		g.b.CloseAll(g.now, "entry-leaving")
		g.report(again, wire.RunNotStarted, "withdrawn")
		if a := answers(g.takeEffects()); len(a) != 1 || a[0].Outcome.Kind != Unknown {
			t.Errorf("%v: answers %v, want unknown", state, a)
		}
	}
}

// Guards against runs that may be preempted although the setting is off, nothing is more
// urgent, the job could not restart in time, or an agent has died that may have preempted one.
func TestRunsThatMayNotYield(t *testing.T) {
	urgent := *queue
	urgent.Priority = 0
	short := *queue
	short.LatencyTarget = 20 * time.Millisecond
	for name, prepare := range map[string]func(*rig, *Submission){
		"off":         func(g *rig, _ *Submission) { g.b.settings.Preemption.On = false },
		"most urgent": func(_ *rig, s *Submission) { s.Queue = &urgent },
		"no slack":    func(_ *rig, s *Submission) { s.Queue = &short },
	} {
		g := newPreemptingRig(t)
		sub := Submission{ID: "j1", Queue: queue, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond}}}
		prepare(g, &sub)
		g.b.Submit(g.now, sub, 1)
		if g.onlyAssign().message.MayYield {
			t.Errorf("%s: the run may yield", name)
		}
	}
	g := newPreemptingRig(t)
	g.submit("j1", 1, 1)
	a := g.onlyAssign()
	host := a.agent.Host
	g.report(a, wire.RunStarted, "")
	g.now += 10 * time.Millisecond
	g.connect(host, "2")
	g.heartbeat(host, load(10_000))
	if again := g.onlyAssign(); again.message.MayYield {
		t.Error("the run after the death of an agent may yield")
	}
}

// Guards against a run that may yield although its job could not restart in time if it is stopped
// as late as agents may do so: that is a share of the time that it takes on its upstream, which
// may be slow or off the task's rack.
func TestLatestStopFollowsTheUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		slowness uint32
		rack     string
		want     bool
	}{"healthy": {100, "", true}, "slow": {300, "", false}, "off the rack": {100, "elsewhere", false}} {
		g := newRig(t, "a")
		g.b.settings.Preemption = preemption.DefaultSettings(20 * time.Millisecond)
		g.b.settings.Preemption.On, g.b.settings.Preemption.MaxProgress = true, 0.5
		g.b.settings.FarRackFactor = 3
		g.setRacks(g.b.settings.Locality, 3)
		l := load(10_000)
		l.Slowness = c.slowness
		g.heartbeat("a", l)
		patient := *queue
		patient.Stretch, patient.LatencyTarget = 2, 108*time.Millisecond
		// The slack is 200 ms. A stop at half of the run time leaves 90 ms, or -10 ms if that
		// takes three times as long.
		g.b.Submit(g.now, Submission{ID: "j1", Queue: &patient, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: c.rack}}}, 1)
		if got := g.onlyAssign().message.MayYield; got != c.want {
			t.Errorf("%s: the run may yield: %v, want %v", name, got, c.want)
		}
	}
}
