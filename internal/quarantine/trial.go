package quarantine

import (
	"time"

	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// separationPenalty is added for an upstream outside the quarantine for a queue
	// that is to be separated, and for one inside for all others. It is below the waits
	// for which jobs are refused, so a job is not refused while any upstream is free.
	separationPenalty = 8 * time.Millisecond
	// trialPenalty is added for an upstream with a suspect of another job, and for a
	// suspect for an upstream outside the quarantine.
	trialPenalty = 20 * time.Millisecond
	// trialFactor and trialMargin give the run time after which a run is no suspect: it
	// has outlived the age at which its upstream crashed.
	trialFactor = 2
	trialMargin = 50 * time.Millisecond
	// maxApartOffers is the number of agents that may refuse a suspect because they have
	// another, before it may run beside one.
	maxApartOffers = 2
)

// Task is a task that is to be placed.
type Task struct {
	ID    wire.LeasedTask
	Queue string
	// Expected is its run time on a healthy upstream, Refusals the number of agents that have
	// refused it for another suspect.
	Expected time.Duration
	Refusals int
}

// Trial returns how the task has to run if upstreams have crashed under it, and for how long it
// stays a suspect. Of the many suspects of a first crash, usually one is at fault: they are
// only spread, unless other jobs of their queue are poison.
func (t *Task) Trial(now time.Duration, d *poison.Detector) (wire.Trial, time.Duration) {
	crashes, age := d.Suspicion(t.ID)
	if crashes == 0 {
		return wire.TrialNone, 0
	}
	suspectFor := trialFactor*max(age, t.Expected) + trialMargin
	switch {
	case crashes > 1 || d.Caution(now, t.Queue) != poison.Unrestricted:
		return wire.TrialAlone, suspectFor
	case t.Refusals < maxApartOffers:
		return wire.TrialApart, suspectFor
	}
	return wire.TrialBesideOthers, suspectFor
}

// MayRun reports whether the task, in a trial, may run on an upstream inside or outside the
// quarantine, and the penalty for it.
func (t *Task) MayRun(now time.Duration, d *poison.Detector, trial wire.Trial, quarantined bool) (bool, time.Duration) {
	var penalty time.Duration
	if trial == wire.TrialAlone && d.Pending(t.ID) {
		return false, 0
	}
	if d.AnyCaution(now) {
		switch caution := d.Caution(now, t.Queue); {
		case !quarantined && (caution == poison.Quarantined || (caution == poison.Separated && trial != wire.TrialNone)):
			return false, 0
		case (caution == poison.Unrestricted) == quarantined:
			penalty += separationPenalty
		}
	}
	if trial != wire.TrialNone && !quarantined {
		penalty += trialPenalty
	}
	return true, penalty
}

// MayRunBeside reports whether a task in a trial may run beside suspects of other jobs, and the
// penalty for it. other is the strictest of their trials.
func MayRunBeside(trial, other wire.Trial) (bool, time.Duration) {
	if trial != wire.TrialNone && max(trial, other) == wire.TrialAlone {
		return false, 0
	}
	return true, trialPenalty
}
