// Package poison decides which jobs crash the upstreams that run them.
//
// All runs that an upstream had when it crashed are suspects. A job is poison if it is the
// only one that was under several crashes which no other job explains. A crash under a
// poison job is explained and clears its other runs. Upstreams that crash at the same time
// have a cause of their own, like a rack without power, so such crashes are weak evidence.
// A queue with several poison jobs is quarantined: its jobs get few upstreams.
//
// The package does no I/O and has no clock. All entries that hear of the same crashes
// reach the same conclusions, so a job that a caller resubmits elsewhere is known there.
package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// retention is how long a crash counts. It exceeds the time for which callers
	// resubmit a job.
	retention = 60 * time.Second
	// maxCrashes bounds the crashes that are retained.
	maxCrashes = 1024
	// minCrashes is the number of unexplained crashes from which a job may be poison,
	// certainCrashes the number from which the ages of its runs do not matter.
	minCrashes     = 2
	certainCrashes = 3
	// maxCrashesUnderTask is the number of crashes under one task, explained or not, at
	// which its job is poison whatever else is known.
	maxCrashesUnderTask = 4
	// coincidenceWindow is the time between the reports of two crashes up to which they
	// may have happened together. A job is found to be poison after it.
	coincidenceWindow = 150 * time.Millisecond
	// cautionWindow is the same for the caution about a queue, which is less grave and
	// more urgent; maxCoincident is the number of other crashes within it up to which it is
	// raised.
	cautionWindow = 40 * time.Millisecond
	maxCoincident = 1
	// uncertainTime is how long a job is poison that may not have run under the crashes.
	uncertainTime = 10 * time.Second
	// ageTolerance and ageToleranceShare are the difference up to which two ages of a
	// run at a crash count as the same.
	ageTolerance      = 15 * time.Millisecond
	ageToleranceShare = 0.2
)

// CrashID identifies the crash of one incarnation of a host's upstream.
type CrashID struct {
	Host    string
	StartMS int64
}

// Run is a run under a crash.
type Run struct {
	Task  wire.LeasedTask
	Queue string
	// Age is the time from its start to the crash; 0 means unknown.
	Age time.Duration
}

type crash struct {
	id        CrashID
	at        time.Duration
	runs      []Run
	explained bool
	// evaluated and cautionEvaluated are set once a window has passed.
	evaluated, cautionEvaluated bool
	// cautious holds the queues that were cautious at the crash and had runs under it.
	// The crash counts only against their jobs.
	cautious []string
}

// countsAgainst reports whether the crash is a reason to suspect a run under it.
func (c *crash) countsAgainst(r Run) bool {
	return !c.explained && (len(c.cautious) == 0 || slices.Contains(c.cautious, r.Queue))
}

func (c *crash) run(t wire.LeasedTask) (Run, bool) {
	i := slices.IndexFunc(c.runs, func(r Run) bool { return r.Task == t })
	if i < 0 {
		return Run{}, false
	}
	return c.runs[i], true
}

// jobRecord holds the crashes under a job.
type jobRecord struct {
	queue   string
	crashes []*crash
	poison  bool
}

// Detector holds the crashes of upstreams and what follows from them. It is not safe for
// concurrent use.
type Detector struct {
	crashes map[CrashID]*crash
	order   []*crash
	jobs    map[string]*jobRecord
	queues  map[string]*queueRecord
	// reported holds the cautions that CautionChanges has returned.
	reported map[string]Caution
}

// New returns an empty ledger.
func New() *Detector {
	return &Detector{crashes: map[CrashID]*crash{}, jobs: map[string]*jobRecord{}, queues: map[string]*queueRecord{}, reported: map[string]Caution{}}
}

// Add handles a report of a crash at the time at, and returns whether the crash is new and
// the jobs that it shows to be poison. Several reports of one crash may each name some of
// its runs.
func (d *Detector) Add(now, at time.Duration, id CrashID, runs []Run) (isNew bool, found []string) {
	d.expire(now)
	if now-at > retention {
		return false, nil
	}
	c := d.crashes[id]
	if isNew = c == nil; isNew {
		c = &crash{id: id, at: at}
		d.crashes[id] = c
		i, _ := slices.BinarySearchFunc(d.order, at, func(o *crash, at time.Duration) int { return cmp.Compare(o.at, at) })
		d.order = slices.Insert(d.order, i, c)
	}
	for _, r := range runs {
		if _, known := c.run(r.Task); known {
			continue
		}
		c.runs = append(c.runs, r)
		c.evaluated, c.cautionEvaluated = false, false
		j := d.jobs[r.Task.Job]
		if j == nil {
			j = &jobRecord{queue: r.Queue}
			d.jobs[r.Task.Job] = j
		}
		if !slices.Contains(j.crashes, c) {
			j.crashes = append(j.crashes, c)
		}
		if j.poison {
			c.explained = true
		}
	}
	if isNew && !c.explained {
		c.cautious = d.extendCaution(c)
	}
	for _, job := range d.overLimit(c) {
		d.markPoison(c.at, job)
		found = append(found, job)
	}
	return isNew, found
}

// Retract forgets a crash that has not happened, and returns whether it was known. Cautions that
// were raised for it last as long as others.
func (d *Detector) Retract(id CrashID) bool {
	c := d.crashes[id]
	if c == nil {
		return false
	}
	d.order = slices.DeleteFunc(d.order, func(o *crash) bool { return o == c })
	d.forget(c)
	return true
}

// Evaluate returns the jobs that are shown to be poison by crashes whose coincidenceWindow
// has passed.
func (d *Detector) Evaluate(now time.Duration) []string {
	var found []string
	for _, c := range d.order {
		if !c.cautionEvaluated && now-c.at > cautionWindow {
			c.cautionEvaluated = true
			if jobs, coincident := d.culprits(c, cautionWindow); coincident <= maxCoincident {
				for _, job := range jobs {
					d.raiseCaution(c.at, job)
				}
			}
		}
		if !c.evaluated && now-c.at > coincidenceWindow {
			c.evaluated = true
			if jobs, coincident := d.culprits(c, coincidenceWindow); coincident == 0 {
				for _, job := range jobs {
					d.markPoison(c.at, job)
					found = append(found, job)
				}
			}
		}
	}
	return found
}

// overLimit returns the jobs of a crash with a task that was under maxCrashesUnderTask crashes.
func (d *Detector) overLimit(c *crash) []string {
	var out []string
	for _, r := range c.runs {
		job := r.Task.Job
		if !d.jobs[job].poison && d.under(r.Task) >= maxCrashesUnderTask && !slices.Contains(out, job) {
			out = append(out, job)
		}
	}
	return out
}

// culprits returns the jobs that a crash shows to be at fault, and the number of crashes that
// coincide with it and weaken this.
func (d *Detector) culprits(c *crash, window time.Duration) (jobs []string, coincident int) {
	most := 0
	var suspects, sameAge []string
	for _, r := range c.runs {
		job := r.Task.Job
		if d.jobs[job].poison || !c.countsAgainst(r) {
			continue
		}
		n, _ := d.Suspicion(r.Task)
		if n > most {
			most, suspects, sameAge, coincident = n, nil, nil, 0
		}
		if n < most {
			continue
		}
		coincident = max(coincident, d.coincident(c, r.Task, window))
		if !slices.Contains(suspects, job) {
			suspects = append(suspects, job)
		}
		if d.agesAgree(c, r) && !slices.Contains(sameAge, job) {
			sameAge = append(sameAge, job)
		}
	}
	switch {
	case most >= minCrashes && len(sameAge) == 1 && len(c.cautious) == 0:
		return sameAge, coincident
	case most >= minCrashes && len(suspects) == 1 && len(c.cautious) > 0 && c.onlyJobOfQueue(suspects[0], d.jobs[suspects[0]].queue):
		// Beside another job of a cautious queue it is not clear which one did it.
		return suspects, coincident
	case most >= certainCrashes && len(sameAge) > 0:
		return sameAge, coincident
	case most >= certainCrashes:
		return suspects, coincident
	}
	return nil, 0
}

// coincident returns the number of other upstreams that crashed together with that of c,
// without a run of the task and for no known reason.
func (d *Detector) coincident(c *crash, t wire.LeasedTask, window time.Duration) int {
	n := 0
	for _, other := range slices.Backward(d.order) {
		if c.at-other.at > window {
			break
		}
		if _, own := other.run(t); other != c && !own && !other.explained && (other.at-c.at).Abs() <= window {
			n++
		}
	}
	return n
}

// under returns the number of crashes under a task.
func (d *Detector) under(t wire.LeasedTask) int {
	n := 0
	for _, c := range d.jobs[t.Job].crashes {
		if _, ok := c.run(t); ok {
			n++
		}
	}
	return n
}

// agesAgree reports whether the run was as old at the crash as an earlier run of its task
// at another unexplained one: a task that crashes its upstreams does so at the same point.
func (d *Detector) agesAgree(c *crash, r Run) bool {
	for _, other := range d.jobs[r.Task.Job].crashes {
		before, ok := other.run(r.Task)
		if other == c || !ok || !other.countsAgainst(before) || before.Age == 0 || r.Age == 0 {
			continue
		}
		tolerance := ageTolerance + time.Duration(ageToleranceShare*float64(max(before.Age, r.Age)))
		if (before.Age - r.Age).Abs() <= tolerance {
			return true
		}
	}
	return false
}

// markPoison marks a job as one that crashes upstreams, which explains the crashes under it.
func (d *Detector) markPoison(at time.Duration, job string) {
	j := d.jobs[job]
	j.poison = true
	for _, c := range j.crashes {
		c.explained = true
	}
	d.raiseCaution(at, job)
}

// IsPoison reports whether the job crashes upstreams. If that is not certain, it holds until
// uncertainTime after the last crash.
func (d *Detector) IsPoison(now time.Duration, job string) bool {
	j := d.jobs[job]
	if j == nil || !j.poison {
		return false
	}
	if last := j.crashes[len(j.crashes)-1]; now-last.at > uncertainTime && !d.IsCertain(job) {
		j.poison = false
	}
	return j.poison
}

// IsCertain reports whether upstreams crashed under certain runs of one of the job's tasks at
// least twice. Runs whose start was not confirmed may not have been there.
func (d *Detector) IsCertain(job string) bool {
	j := d.jobs[job]
	if j == nil {
		return false
	}
	confirmed := map[wire.LeasedTask]int{}
	for _, c := range j.crashes {
		for _, r := range c.runs {
			if r.Task.Job == job && r.Age > 0 {
				confirmed[r.Task]++
				if confirmed[r.Task] >= minCrashes {
					return true
				}
			}
		}
	}
	return false
}

// HasRun reports whether the job was under a crash: it has run, whoever ordered it.
func (d *Detector) HasRun(job string) bool { return d.jobs[job] != nil }

// Crashes returns the number of crashes under a job.
func (d *Detector) Crashes(job string) int {
	if j := d.jobs[job]; j != nil {
		return len(j.crashes)
	}
	return 0
}

// Suspicion returns the number of unexplained crashes under a task, and its highest age at
// one of them.
func (d *Detector) Suspicion(t wire.LeasedTask) (crashes int, age time.Duration) {
	j := d.jobs[t.Job]
	if j == nil {
		return 0, 0
	}
	for _, c := range j.crashes {
		if r, ok := c.run(t); ok && c.countsAgainst(r) {
			crashes++
			age = max(age, r.Age)
		}
	}
	return crashes, age
}

// SoleSuspect reports whether an unexplained crash was under no other job of the job's queue.
func (d *Detector) SoleSuspect(job string) bool {
	j := d.jobs[job]
	if j == nil {
		return false
	}
	return slices.ContainsFunc(j.crashes, func(c *crash) bool {
		return c.countsAgainst(Run{Queue: j.queue}) && c.onlyJobOfQueue(job, j.queue)
	})
}

// onlyJobOfQueue reports whether the crash was under no other job of the queue.
func (c *crash) onlyJobOfQueue(job, queue string) bool {
	return !slices.ContainsFunc(c.runs, func(r Run) bool { return r.Queue == queue && r.Task.Job != job })
}

// Pending reports whether a crash under a task is not evaluated yet that may lead to its job's
// verdict. Until then the task should not run.
func (d *Detector) Pending(t wire.LeasedTask) bool {
	j := d.jobs[t.Job]
	if j == nil || len(j.crashes) < minCrashes {
		return false
	}
	return slices.ContainsFunc(j.crashes, func(c *crash) bool {
		_, ok := c.run(t)
		return ok && !c.evaluated
	})
}

// expire drops crashes that no longer count.
func (d *Detector) expire(now time.Duration) {
	for len(d.order) > 0 && (now-d.order[0].at > retention || len(d.order) > maxCrashes) {
		c := d.order[0]
		d.order = d.order[1:]
		d.forget(c)
	}
	for name, q := range d.queues {
		if now-q.cautiousUntil > retention {
			delete(d.queues, name)
		}
	}
}

// forget removes a crash from the records of its jobs.
func (d *Detector) forget(c *crash) {
	delete(d.crashes, c.id)
	for _, r := range c.runs {
		j := d.jobs[r.Task.Job]
		if j == nil {
			continue
		}
		if j.crashes = slices.DeleteFunc(j.crashes, func(o *crash) bool { return o == c }); len(j.crashes) == 0 {
			delete(d.jobs, r.Task.Job)
		}
	}
}
