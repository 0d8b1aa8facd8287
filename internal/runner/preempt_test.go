package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/wire"
)

// newPreempting returns a runner with a confirmed run of 9 cores, 10 ms old, that is expected
// to take 900 ms.
func newPreempting(t *testing.T, on bool, change func(*wire.Assign)) *Runner {
	t.Helper()
	r := newReady(t)
	r.settings.Preemption = preemption.DefaultSettings(50 * time.Millisecond)
	r.settings.Preemption.On = on
	assign(r, begin, entryA, "long", func(m *wire.Assign) {
		m.CPU, m.ExpectedMS, m.Priority, m.MayYield, m.SlackMS = 9000, 900, 2, true, 1000
		if change != nil {
			change(m)
		}
	})
	r.Started(begin, attemptOf("long", 1), StartAnswer{Outcome: StartAccepted})
	r.TakeEffects()
	return r
}

func assignUrgent(r *Runner, change func(*wire.Assign)) {
	assign(r, begin+10*time.Millisecond, entryB, "urgent", func(m *wire.Assign) {
		m.CPU, m.ExpectedMS, m.SlackMS = 5000, 200, 100
		if change != nil {
			change(m)
		}
	})
}

// Guards against capacity that is used while the end of a preempted run is not certain, and
// against a report of that end before it is.
func TestPreemptedRunOccupiesCapacityUntilItsEndIsListed(t *testing.T) {
	r := newPreempting(t, true, nil)
	assignUrgent(r, nil)
	for _, e := range r.TakeEffects() {
		switch m := e.(type) {
		case StartRun:
			t.Fatal("the urgent attempt starts beside the run")
		case Report:
			if m.State.Final() {
				t.Fatalf("report %v before the end", m)
			}
		}
	}
	if r.attempts[attemptOf("long", 1)].phase != phaseStopping || r.Load(begin, entryA).FreeCPU != 1000 {
		t.Fatal("the run is not being stopped, or its capacity counts as free")
	}
	r.Stopped(begin+12*time.Millisecond, attemptOf("long", 1), true)
	list := RunList{RequestedAt: begin + 13*time.Millisecond, ClockMS: 513, StartMS: incarnation.StartMS, Running: []wire.LeasedAttempt{attemptOf("long", 1)}}
	r.ListReceived(begin+14*time.Millisecond, list)
	if n := len(effects[StartRun](r)); n != 0 {
		t.Fatal("the urgent attempt starts after the answer to the stop, beside the run")
	}
	list.RequestedAt, list.Running = begin+40*time.Millisecond, nil
	list.Ended = []EndedRun{{Number: 1, Attempt: attemptOf("long", 1), Kind: EndStopped}}
	r.ListReceived(begin+41*time.Millisecond, list)
	var started, stopped, ended bool
	for _, e := range r.TakeEffects() {
		switch m := e.(type) {
		case StartRun:
			started = m.Attempt == attemptOf("urgent", 1)
		case Report:
			stopped = stopped || (m.Attempt == attemptOf("long", 1) && m.State == wire.RunStopped && m.Reason == reasonPreempted)
		case PreemptedEnded:
			ended = m.Lost == preemption.CoreTime(9000, 41*time.Millisecond)
		}
	}
	if !started || !stopped || !ended {
		t.Errorf("urgent started %v, run reported as preempted %v, loss counted %v", started, stopped, ended)
	}
}

// Guards against stops that are not allowed: with preemption off, of runs of an older entry, of
// runs that have not started for certain or may crash their upstream, for attempts that another
// upstream may take, and on a suspected upstream.
func TestRunsThatAreNotPreempted(t *testing.T) {
	none := func(*wire.Assign) {}
	for name, c := range map[string]struct {
		on           bool
		long, urgent func(*wire.Assign)
		prepare      func(*Runner)
		stops        int
	}{
		"preempted":         {true, none, none, func(*Runner) {}, 1},
		"off":               {false, none, none, func(*Runner) {}, 0},
		"older entry":       {true, func(m *wire.Assign) { m.MayYield = false }, none, func(*Runner) {}, 0},
		"suspect":           {true, func(m *wire.Assign) { m.Trial = wire.TrialBesideOthers }, none, func(*Runner) {}, 0},
		"offer":             {true, none, func(m *wire.Assign) { m.OnlyIfFits = true }, func(*Runner) {}, 0},
		"start unconfirmed": {true, none, none, func(r *Runner) { r.attempts[attemptOf("long", 1)].phase = phaseStarting }, 0},
		"upstream suspect":  {true, none, none, func(r *Runner) { r.health.suspect = true }, 0},
	} {
		r := newPreempting(t, c.on, c.long)
		c.prepare(r)
		assignUrgent(r, c.urgent)
		if n := len(effects[StopRun](r)); n != c.stops {
			t.Errorf("%s: %d stops, want %d", name, n, c.stops)
		}
	}
}

// Guards against a second run that is stopped for an attempt for which one is stopped already,
// and against a run that ends by itself before its stop and still counts as discarded.
func TestOneStopPerUrgentAttempt(t *testing.T) {
	r := newPreempting(t, true, func(m *wire.Assign) { m.CPU = 5000 })
	assign(r, begin, entryA, "long2", func(m *wire.Assign) {
		m.CPU, m.ExpectedMS, m.Priority, m.MayYield, m.SlackMS = 5000, 900, 2, true, 1000
	})
	r.Started(begin, attemptOf("long2", 1), StartAnswer{Outcome: StartAccepted})
	r.TakeEffects()
	assignUrgent(r, nil)
	r.Confirm(entryA, begin+20*time.Millisecond)
	r.Tick(begin + 20*time.Millisecond)
	stops := effects[StopRun](r)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	left := r.preempt.budget.Left(begin + 20*time.Millisecond)
	r.ListReceived(begin+22*time.Millisecond, RunList{RequestedAt: begin + 21*time.Millisecond, ClockMS: 521, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: stops[0].Attempt, Kind: EndDone}}})
	if m := effects[PreemptedEnded](r); len(m) != 1 || m[0].Lost != 0 {
		t.Errorf("ends %v, want one without a loss", m)
	}
	if r.preempt.budget.Left(begin+22*time.Millisecond) <= left {
		t.Error("the charge of a run that has ended by itself is not taken back")
	}
}

// Guards against a run that is stopped, right after a pause of the agent, for an attempt that will
// not start because its entry is silent.
func TestNoPreemptionForASilentEntry(t *testing.T) {
	r := newPreempting(t, false, nil)
	assignUrgent(r, nil)
	r.settings.Preemption.On = true
	confirmed := r.entries[entryB].confirmedAt
	r.entries[entryB].confirmedAt = 0
	r.startWaiting(begin + 11*time.Millisecond)
	if n := len(effects[StopRun](r)); n != 0 {
		t.Errorf("%d stops for a silent entry", n)
	}
	r.entries[entryB].confirmedAt = confirmed
	r.startWaiting(begin + 12*time.Millisecond)
	if n := len(effects[StopRun](r)); n != 1 {
		t.Errorf("%d stops for a present entry, want 1", n)
	}
}

// Guards against the stop of a run whose job can no longer restart in time: its entry had allowed
// it for the predicted wait, and it has waited longer.
func TestRunThatStartedLateIsNotPreempted(t *testing.T) {
	for slackMS, stops := range map[int]int{90: 0, 400: 1} {
		r := newReady(t)
		r.settings.Preemption = preemption.DefaultSettings(50 * time.Millisecond)
		r.settings.Preemption.On = true
		assign(r, begin, entryA, "long", func(m *wire.Assign) {
			m.CPU, m.ExpectedMS, m.Priority, m.MayYield, m.SlackMS = 9000, 900, 2, true, slackMS
		})
		r.Started(begin, attemptOf("long", 1), StartAnswer{Outcome: StartAccepted})
		r.TakeEffects()
		assignUrgent(r, nil)
		if n := len(effects[StopRun](r)); n != stops {
			t.Errorf("%d ms of slack: %d stops, want %d", slackMS, n, stops)
		}
	}
}
