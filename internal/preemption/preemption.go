// Package preemption decides which runs an upstream stops so that more urgent work starts
// in time.
//
// It handles upstreams whose cores are all in use while work of a higher priority arrives
// that would be late if it waited for a run to end. The work of a stopped run is lost, so
// only runs that have just begun are stopped, only as far as what the urgent work is worth
// exceeds the loss, and within a budget. At lower loads nothing waits that long, and nothing
// is stopped.
//
// The package does no I/O; times are those of the caller's monotonic clock.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Settings are the limits of preemption.
type Settings struct {
	// On enables preemption.
	On bool
	// Budget is the largest share of an upstream's core time over BudgetWindow that may be
	// discarded.
	Budget float64
	// MaxProgress is the share of its expected run time past which a run is not stopped.
	MaxProgress float64
	// StopTime is the usual time from a stop command until the capacity of the run is free,
	// MaxStopTime the longest one of an upstream that answers.
	StopTime, MaxStopTime time.Duration
}

// DefaultSettings returns settings for upstreams that take up to maxStopTime to end a run
// and, on average, half of it. Preemption is off. Of the largest
// progresses of 5% and 15%, neither gave callers significantly more in simulations
// (docs/design/preemption.md).
func DefaultSettings(maxStopTime time.Duration) Settings {
	return Settings{Budget: 0.02, MaxProgress: 0.15, StopTime: maxStopTime / 2, MaxStopTime: maxStopTime}
}

// Validate returns an error that names the setting that is out of range. Off needs none.
func (s Settings) Validate() error {
	switch {
	case !s.On:
		return nil
	case !(s.Budget > 0 && s.Budget <= maxBudget):
		return fault.BadSettings.New("preemption: budget %v, want a share above 0, at most %v", s.Budget, maxBudget)
	case !(s.MaxProgress > 0 && s.MaxProgress <= maxProgress):
		return fault.BadSettings.New("preemption: largest progress %v, want a share above 0, at most %v", s.MaxProgress, maxProgress)
	case s.StopTime < 0 || s.MaxStopTime < s.StopTime:
		return fault.BadSettings.New("preemption: stop time %v of at most %v, want at least 0, and at most the longest stop time", s.StopTime, s.MaxStopTime)
	}
	return nil
}

const (
	// maxBudget and maxProgress bound the settings. A larger budget would take more from
	// the callers of less urgent work than a day of heavy load loses (28%), and a run past
	// half of its time ends about as soon as what it would make room for.
	maxBudget   = 0.2
	maxProgress = 0.5
	// lateLoss is what a job loses of its value if it is late: a late answer keeps a fifth.
	lateLoss = 0.8
	// overdueShare is the share of its expected run time that a run which has exceeded it is
	// assumed to take still. At 0, overdue runs would count as ending at once.
	overdueShare = 0.25
)

// Urgent is a waiting attempt for which runs may be stopped.
type Urgent struct {
	Priority int
	// CPU and MemMB are the capacity that is missing for its start, beside what is free and
	// what becomes free by runs that are being stopped already.
	CPU, MemMB int
	// StartBy is the latest start with which its job ends on time.
	StartBy time.Duration
	// Work is the core time whose value is lost if the attempt starts later.
	Work time.Duration
}

// Run is a run on the upstream that is not being stopped.
type Run struct {
	Priority, CPU, MemMB int
	StartedAt            time.Duration
	// Expected is the run time expected on this upstream.
	Expected time.Duration
	// MayYield is set if the run has started for certain, its job was not preempted before
	// and can still end on time if it restarts.
	MayYield bool
}

// CoreTime returns the time of a single core that cpu thousandths of a core make in d.
func CoreTime(cpu int, d time.Duration) time.Duration { return time.Duration(cpu) * (d / 1000) }

// Wait predicts how long it takes until runs that end have freed the given capacity.
func Wait(now time.Duration, cpu, memMB int, runs []Run) time.Duration {
	type release struct {
		in  time.Duration
		run int
	}
	releases := make([]release, len(runs))
	for i, r := range runs {
		left := r.Expected - (now - r.StartedAt)
		if left <= 0 {
			left = time.Duration(overdueShare * float64(r.Expected))
		}
		releases[i] = release{in: left, run: i}
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.run, b.run)) })
	var wait time.Duration
	for _, r := range releases {
		if cpu <= 0 && memMB <= 0 {
			break
		}
		cpu -= runs[r.run].CPU
		memMB -= runs[r.run].MemMB
		wait = r.in
	}
	return wait
}

// restartTime is what the second start of a preempted task takes beside the stop: the report
// of its end, the choice of another upstream and a short wait there.
const restartTime = 40 * time.Millisecond

// LatestRestart returns the longest time from the start of a run until its task starts again, if
// the run is stopped.
func (s *Settings) LatestRestart(expected time.Duration) time.Duration {
	return time.Duration(s.MaxProgress*float64(expected)) + s.MaxStopTime + restartTime
}

// CanRestart reports whether a task that has to start by a time can do so if its run is stopped
// now.
func (s *Settings) CanRestart(now, startBy time.Duration) bool {
	return now+s.MaxStopTime+restartTime <= startBy
}

// yields reports whether the run may be stopped for work of the given priority.
func (r *Run) yields(now time.Duration, priority int, s *Settings) bool {
	return r.MayYield && r.Priority > priority &&
		float64(now-r.StartedAt) <= s.MaxProgress*float64(r.Expected)
}

// loss is the core time that is discarded if the run is stopped now.
func (r *Run) loss(now time.Duration, s *Settings) time.Duration {
	return CoreTime(r.CPU, now-r.StartedAt+s.StopTime)
}

// Eligible reports whether any run may be stopped for work of the given priority. It is a
// cheap test before the others.
func Eligible(now time.Duration, priority int, runs []Run, b *Budget) bool {
	return slices.ContainsFunc(runs, func(r Run) bool { return r.yields(now, priority, &b.settings) })
}

// Frees reports whether the runs that may be stopped for work of the given priority, within the
// budget, hold the given capacity.
func Frees(now time.Duration, priority, cpu int, runs []Run, b *Budget) bool {
	var loss time.Duration
	for i := range runs {
		if r := &runs[i]; cpu > 0 && r.yields(now, priority, &b.settings) {
			cpu -= r.CPU
			loss += r.loss(now, &b.settings)
		}
	}
	return cpu <= 0 && loss <= b.Left(now)
}

// Choose returns the indices of the runs to stop for the urgent attempt, and false if none
// are to be stopped: because the attempt is on time if it waits, or late in any case, or
// because the loss exceeds the gain or the budget. It chooses the single run with the
// smallest loss that is large enough, or else the youngest runs, and charges the loss to the
// budget.
func Choose(now time.Duration, urgent Urgent, runs []Run, b *Budget) (yielding []int, ok bool) {
	s := &b.settings
	if !s.On || now+s.MaxStopTime > urgent.StartBy || now+Wait(now, urgent.CPU, urgent.MemMB, runs) <= urgent.StartBy {
		return nil, false
	}
	yielding = smallestLoss(now, urgent, runs, s)
	var loss time.Duration
	for _, i := range yielding {
		loss += runs[i].loss(now, s)
	}
	if len(yielding) == 0 || float64(loss) >= lateLoss*float64(urgent.Work) || loss > b.Left(now) {
		return nil, false
	}
	b.Charge(now, loss)
	return yielding, true
}

// smallestLoss returns runs that free the missing capacity, or none.
func smallestLoss(now time.Duration, urgent Urgent, runs []Run, s *Settings) []int {
	candidates := make([]int, 0, len(runs))
	single := -1
	for i := range runs {
		r := &runs[i]
		if !r.yields(now, urgent.Priority, s) {
			continue
		}
		candidates = append(candidates, i)
		if r.CPU >= urgent.CPU && r.MemMB >= urgent.MemMB && (single < 0 || r.loss(now, s) < runs[single].loss(now, s)) {
			single = i
		}
	}
	if single >= 0 {
		return []int{single}
	}
	slices.SortStableFunc(candidates, func(x, y int) int { return cmp.Compare(runs[y].StartedAt, runs[x].StartedAt) })
	cpu, mem := urgent.CPU, urgent.MemMB
	for n, i := range candidates {
		cpu -= runs[i].CPU
		mem -= runs[i].MemMB
		if cpu <= 0 && mem <= 0 {
			return candidates[:n+1]
		}
	}
	return nil
}
