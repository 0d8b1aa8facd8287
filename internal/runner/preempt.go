package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/wire"
)

// A waiting attempt that would start too late may make runs of lower priority stop that have
// just begun. The stop is like any other: the capacity of the run counts as used until its
// end is listed or its lease has lapsed, and only then the attempt reports its end and its
// task runs again.

// reasonPreempted is the reason of attempts that were stopped for more urgent work.
const reasonPreempted = "preempted"

// maxPreemptingAttempts is the number of waiting attempts for which runs may be stopped at a
// time. Those behind them start after them, too late for a stop to help.
const maxPreemptingAttempts = 8

// preemptState is the runner's state of preemption.
type preemptState struct {
	budget *preemption.Budget
	// slowness is the run time relative to the expected one, in hundredths.
	slowness uint32
	// waiting, runs and running are buffers; running holds the attempts of runs.
	waiting queue
	runs    []preemption.Run
	running []*attempt
}

// Preempted reports, for the log, that a run is stopped for more urgent work.
type Preempted struct {
	Entry   EntryID
	Attempt wire.LeasedAttempt
	For     wire.LeasedAttempt
	// Age is the age of the run, Expected its expected run time, and StartWithin the time
	// within which the urgent attempt has to start.
	Age, Expected, StartWithin time.Duration
	// MissingCPU is the capacity that was missing, BudgetLeft the core time that may still be
	// discarded.
	MissingCPU int
	BudgetLeft time.Duration
}

// PreemptedEnded reports the end of a preempted run. Lost is the core time that was
// discarded; it is 0 for a run that has ended before the stop.
type PreemptedEnded struct {
	Entry   EntryID
	Attempt wire.LeasedAttempt
	Lost    time.Duration
	// StopTime is the time from the stop to its end.
	StopTime time.Duration
}

// preemptForWaiting stops runs for waiting attempts that would otherwise start too late.
func (r *Runner) preemptForWaiting(now time.Duration) {
	s := &r.settings.Preemption
	if !s.On || len(r.queue) == 0 || r.health.suspect || r.cold.at(now) {
		return
	}
	r.preparePreemption(now)
	p := &r.preempt
	cpu, mem := r.preemptionView(now)
	if !preemption.Eligible(now, r.queue[0].assign.Priority, p.runs, p.budget) {
		return
	}
	p.waiting = append(p.waiting[:0], r.queue...)
	slices.SortStableFunc(p.waiting, compareWaiting)
	for _, a := range p.waiting[:min(len(p.waiting), maxPreemptingAttempts)] {
		if r.entrySilent(now, a.entry) {
			// It will not start: this process was paused, or the entry is gone.
			continue
		}
		cpu -= a.assign.CPU
		mem -= a.assign.MemMB
		if cpu >= 0 && mem >= 0 {
			continue
		}
		urgent := preemption.Urgent{
			Priority: a.assign.Priority, CPU: max(-cpu, 0), MemMB: max(-mem, 0), StartBy: a.startBy(),
			Work: preemption.CoreTime(a.assign.CPU, r.preempt.expectedHere(a)),
		}
		yielding, ok := preemption.Choose(now, urgent, p.runs, p.budget)
		if !ok {
			continue
		}
		for _, i := range yielding {
			r.preemptRun(now, p.running[i], a, urgent)
			cpu += p.runs[i].CPU
			mem += p.runs[i].MemMB
		}
		r.preemptionView(now)
	}
	clear(p.waiting)
	clear(p.running)
}

// waitByPreemption returns the wait of a further task of a priority if runs are stopped for it,
// and false if none would be: entries would refuse urgent jobs for a wait that they do not
// have. lacking is the capacity that is missing, and wait how long it takes until that has
// come free by itself.
func (r *Runner) waitByPreemption(now time.Duration, priority, lacking int, wait time.Duration) (time.Duration, bool) {
	s := &r.settings.Preemption
	// The last level holds several priorities, which may be those of the runs as well.
	if !s.On || priority == wire.PriorityLevels-1 || lacking <= 0 || wait <= s.MaxStopTime || r.health.suspect || r.cold.at(now) {
		return 0, false
	}
	r.preparePreemption(now)
	r.preemptionView(now)
	return s.MaxStopTime, preemption.Frees(now, priority, lacking, r.preempt.runs, r.preempt.budget)
}

// preparePreemption sets what decisions about preemption rest on.
func (r *Runner) preparePreemption(now time.Duration) {
	p := &r.preempt
	if p.budget == nil {
		p.budget = preemption.NewBudget(r.settings.Preemption)
	}
	p.budget.SetCapacity(r.upstream.CPU)
	p.slowness = r.slowness(now)
}

// preemptionView fills the buffers with the runs that are not being stopped, and returns the
// capacity that is free or becomes free by those that are.
func (r *Runner) preemptionView(now time.Duration) (cpu, mem int) {
	p := &r.preempt
	p.runs, p.running = p.runs[:0], p.running[:0]
	cpu, mem = r.upstream.CPU-r.usedCPU, r.upstream.MemMB-r.usedMem
	for _, a := range r.active {
		switch {
		case a.phase == phaseStopping:
			cpu += a.assign.CPU
			mem += a.assign.MemMB
		case a.occupies():
			p.running = append(p.running, a)
			p.runs = append(p.runs, preemption.Run{
				Priority: a.assign.Priority, CPU: a.assign.CPU, MemMB: a.assign.MemMB,
				StartedAt: a.startSentAt, Expected: r.preempt.expectedHere(a),
				// A run that may crash its upstream is evidence, and the stop of a start
				// without an answer takes long. The entry has allowed the stop for the wait
				// that it predicted; the run may have started later.
				MayYield: a.assign.MayYield && a.phase == phaseRunning && a.assign.Trial == wire.TrialNone &&
					r.settings.Preemption.CanRestart(now, a.dueAt),
			})
		}
	}
	return cpu, mem
}

func (r *Runner) preemptRun(now time.Duration, run, urgent *attempt, u preemption.Urgent) {
	age := now - run.startSentAt
	run.charged = preemption.CoreTime(run.assign.CPU, age+r.settings.Preemption.StopTime)
	r.emit(Preempted{
		Entry: run.entry, Attempt: run.id, For: urgent.id, Age: age, Expected: r.preempt.expectedHere(run),
		StartWithin: u.StartBy - now, MissingCPU: u.CPU, BudgetLeft: r.preempt.budget.Left(now),
	})
	r.stop(now, run, reasonPreempted)
}

// preemptedEnded corrects the budget at the end of a preempted run.
func (r *Runner) preemptedEnded(now time.Duration, a *attempt) {
	if a.charged == 0 {
		return
	}
	var lost time.Duration
	if a.state == wire.RunStopped {
		lost = preemption.CoreTime(a.assign.CPU, now-a.startSentAt)
	}
	r.preempt.budget.Correct(a.stopFirstSentAt, lost-a.charged)
	a.charged = 0
	r.emit(PreemptedEnded{Entry: a.entry, Attempt: a.id, Lost: lost, StopTime: now - a.stopFirstSentAt})
}

// expectedHere returns the attempt's expected run time at the upstream's present speed.
func (p *preemptState) expectedHere(a *attempt) time.Duration {
	return time.Duration(a.assign.ExpectedMS) * time.Duration(p.slowness) * time.Millisecond / 100
}

// startBy returns the latest start with which the attempt is of full use to its caller.
func (a *attempt) startBy() time.Duration {
	if a.startDeadline > 0 {
		return min(a.dueAt, a.startDeadline)
	}
	return a.dueAt
}

// compareWaiting orders waiting attempts as the queue does.
func compareWaiting(x, y *attempt) int {
	return cmp.Or(cmp.Compare(x.assign.Priority, y.assign.Priority), cmp.Compare(x.dueAt, y.dueAt), x.id.Compare(y.id))
}
