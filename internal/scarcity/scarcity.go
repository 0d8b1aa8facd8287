// Package scarcity decides which jobs are refused while demand exceeds the capacity of a
// service.
//
// It handles loads of queues of unequal priority somewhat above what the upstreams can serve,
// such as a burst of long work of the last priority. What is admitted beyond the capacity
// waits, and then all that waits ends late. So the work that does not fit is refused at its
// arrival, the least urgent first, and the rest keeps short waits. A service all of whose jobs
// have the same priority, and one that is not short of capacity, is left alone.
//
// Each entry decides by itself. The measure is the headroom of all upstreams as agents report
// it, which includes the work of all entries, so no entry has to know the demand at the others.
//
// The package does no I/O; times are those of the caller's monotonic clock.
package scarcity

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// learnFor is the time since a controller's first arrival before which it refuses
	// nothing: a restarted entry knows neither the priorities nor the run times.
	learnFor = 500 * time.Millisecond
	// snapshotMaxAge is the age above which a snapshot no longer counts. Agents report at
	// least every 200 ms.
	snapshotMaxAge = 500 * time.Millisecond
	// enterAfter is the time for which headroom has to be short before scarcity begins: longer
	// than the peaks of a demand that fits, and shorter than a burst needs to fill all queues.
	// leaveAfter is the time for which there has to be enough for all before scarcity ends; demand
	// near the capacity crosses that limit often.
	enterAfter = 60 * time.Millisecond
	leaveAfter = 300 * time.Millisecond
	// priorityExpiry is the time without arrivals after which a priority no longer counts. An entry
	// with few callers has gaps of seconds between jobs of one priority.
	priorityExpiry = 10 * time.Second
	// runTimeWeight is the weight of a job in the mean run time of its priority: the last 20 jobs
	// or so count, which is less than a second of arrivals at an entry under load.
	runTimeWeight = 0.05
	// rounding is the error of a sum of shares that still counts as a whole job.
	rounding = 1e-9
	// minRetryAfter is the shortest retry delay, before a random part is added.
	minRetryAfter = 500 * time.Millisecond
)

// MinFloor is the smallest floor that may be set. Below it a queue would be starved.
const MinFloor = 0.1

// Settings are the limits of admission under scarcity.
type Settings struct {
	// Off disables it.
	Off bool
	// Floor is the share of its jobs that a queue keeps, however much urgent work there is.
	Floor float64
	// FullHeadroom is the headroom, as a share of the capacity, from which all jobs of the
	// last priority are admitted; below it their share falls to nothing over Range. Each more
	// urgent priority begins Step below the one after it.
	FullHeadroom, Range, Step float64
}

// DefaultSettings returns the default limits. Two fifths of the jobs are what the least urgent queue
// keeps while it would otherwise lose most of them. A step of twice the range cuts a priority only
// once all less urgent ones are at their floor.
func DefaultSettings() Settings {
	return Settings{Floor: 0.4, FullHeadroom: -0.1, Range: 0.2, Step: 0.4}
}

// Job is a job that arrives.
type Job struct {
	Queue    string
	Priority int
	// Expected is the expected run time of its longest task.
	Expected time.Duration
}

// Verdict is a decision about a job and what it rests on.
type Verdict struct {
	Refuse bool
	// RetryAfter is the retry delay of a refusal, before a random part is added.
	RetryAfter time.Duration
	// Headroom is the share of the capacity that is free less what waits, Share the share of
	// the priority's jobs that is admitted.
	Headroom, Share float64
}

// level is what is known of a priority.
type level struct {
	// priority is one of those that agents distinguish in their reports (wire.PriorityLevel).
	// Work that waits would otherwise count once for each priority that is reported as the last.
	priority int
	// expected is the mean expected run time of its jobs.
	expected time.Duration
	seenAt   time.Duration
}

// Controller decides for one service. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	// levels holds the priorities that have arrived, the most urgent first.
	levels []level
	// credits is the part of a job of each queue that was not admitted yet. Each job that is
	// decided adds the share that is admitted, so that shares hold exactly and do not depend on
	// the size of jobs.
	credits map[string]float64
	// learnedAt is when the controller begins to refuse; 0 means that nothing has arrived.
	learnedAt time.Duration

	snapshot   Snapshot
	observedAt time.Duration
	scarce     bool
	// crossedAt is since when the headroom calls for the other state than scarce; 0 means that
	// it does not.
	crossedAt time.Duration
	// reported is what Observe has reported last.
	reported bool
}

// New returns a controller that has seen no job and no report.
func New(s Settings) *Controller { return &Controller{settings: s, credits: map[string]float64{}} }

// ObservedAt returns the time of the last snapshot.
func (c *Controller) ObservedAt() time.Duration { return c.observedAt }

// Observe handles a new snapshot of the service's usable upstreams.
// It reports whether scarcity has begun or ended.
func (c *Controller) Observe(now time.Duration, s Snapshot) (changed bool) {
	c.update(now, s)
	was := c.reported
	c.reported = c.Scarce(now)
	return c.reported != was
}

func (c *Controller) update(now time.Duration, s Snapshot) {
	if now-c.observedAt > snapshotMaxAge {
		// Nothing is known of the time between, as after a pause of the process.
		c.scarce, c.crossedAt = false, 0
	}
	c.snapshot, c.observedAt = s, now
	if len(c.levels) < 2 || s.Capacity <= 0 {
		c.scarce, c.crossedAt = false, 0
		return
	}
	last := len(c.levels) - 1
	short := c.headroom(last) < c.settings.FullHeadroom
	switch {
	case short == c.scarce:
		c.crossedAt = 0
	case c.crossedAt == 0:
		c.crossedAt = now
	case short && now-c.crossedAt >= enterAfter, !short && now-c.crossedAt >= leaveAfter:
		c.scarce, c.crossedAt = short, 0
	}
}

// Arrived handles the arrival of a job, whether it is admitted or not.
func (c *Controller) Arrived(now time.Duration, j Job) {
	if c.learnedAt == 0 {
		c.learnedAt = now + learnFor
	}
	c.levels = slices.DeleteFunc(c.levels, func(l level) bool { return now-l.seenAt > priorityExpiry })
	l := c.level(j)
	l.seenAt = now
	l.expected += time.Duration(runTimeWeight * float64(j.Expected-l.expected))
}

// level returns the state of the job's priority.
func (c *Controller) level(j Job) *level {
	priority := wire.PriorityLevel(j.Priority)
	i, found := slices.BinarySearchFunc(c.levels, priority, func(l level, p int) int { return l.priority - p })
	if !found {
		c.levels = slices.Insert(c.levels, i, level{priority: priority, expected: j.Expected})
	}
	return &c.levels[i]
}

// index returns the position of a job's priority in levels, -1 if it is not there.
func (c *Controller) index(priority int) int {
	return slices.IndexFunc(c.levels, func(l level) bool { return l.priority == wire.PriorityLevel(priority) })
}

// Headroom returns the share of the service's capacity that is free, less what waits at any
// priority, as of the last snapshot.
func (c *Controller) Headroom() float64 {
	if c.snapshot.Capacity <= 0 {
		return 0
	}
	return c.headroom(len(c.levels) - 1)
}

// headroom returns the share of the capacity that is free, less what waits at the level and
// above it.
func (c *Controller) headroom(index int) float64 {
	waiting := 0.0
	for _, l := range c.levels[:index+1] {
		waiting += c.snapshot.waiting(l.priority, l.expected)
	}
	return (float64(c.snapshot.Free) - waiting) / float64(c.snapshot.Capacity)
}

// share returns the share of a priority's jobs that is admitted now.
func (c *Controller) share(now time.Duration, priority int) float64 {
	i := c.index(priority)
	if !c.Scarce(now) || i <= 0 {
		return 1
	}
	full := c.settings.FullHeadroom - float64(len(c.levels)-1-i)*c.settings.Step
	return min(max(1-(full-c.headroom(i))/c.settings.Range, c.settings.Floor), 1)
}

// Scarce reports whether the service is short of capacity.
func (c *Controller) Scarce(now time.Duration) bool {
	return !c.settings.Off && c.scarce && now >= c.learnedAt && now-c.observedAt <= snapshotMaxAge
}

// Judge decides about a job. It changes nothing, so that explanations use it as well.
func (c *Controller) Judge(now time.Duration, j Job) Verdict {
	i := c.index(j.Priority)
	if i <= 0 || !c.Scarce(now) {
		return Verdict{Share: 1}
	}
	v := Verdict{Headroom: c.headroom(i), Share: c.share(now, j.Priority)}
	if c.credits[j.Queue]+v.Share < 1-rounding {
		// The smaller the share, the later the next attempt, so that retries do not add to the
		// demand in proportion to it. More urgent work has the larger share and is back sooner.
		v.Refuse, v.RetryAfter = true, time.Duration(float64(minRetryAfter)/v.Share).Round(time.Millisecond)
	}
	return v
}

// Decided handles the decision about a job. Jobs that are refused for another reason do not
// count.
func (c *Controller) Decided(now time.Duration, j Job, admitted bool) {
	credit := c.credits[j.Queue] + c.share(now, j.Priority)
	if admitted {
		credit--
	}
	c.credits[j.Queue] = min(max(credit, 0), 1)
}
