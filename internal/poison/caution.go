package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// cautionTime is how long a queue stays cautious after a crash under one of its jobs,
	// quarantineTime how long it stays quarantined.
	cautionTime    = 6 * time.Second
	quarantineTime = 4 * time.Second
	// quarantineWindow is the time in which an unexplained crash under a queue's job and a
	// poison job quarantine the queue, or quarantineAfter poison jobs.
	quarantineWindow = 10 * time.Second
	quarantineAfter  = 2
)

// Caution is how carefully new jobs of a queue have to be placed.
type Caution uint8

// Levels of caution.
const (
	// Unrestricted: the queue had no poison job of late.
	Unrestricted Caution = iota
	// Separated: the queue's jobs should run on a few upstreams, apart from others.
	Separated
	// Quarantined: the queue's jobs may run nowhere else.
	Quarantined
)

func (c Caution) String() string {
	switch c {
	case Separated:
		return "separated"
	case Quarantined:
		return "quarantined"
	}
	return "unrestricted"
}

type queueRecord struct {
	// culprits holds the jobs that crashes within quarantineWindow showed to be at fault, and
	// when.
	culprits map[string]time.Duration
	// cautiousUntil is the end of the caution, quarantinedUntil that of the quarantine.
	cautiousUntil, quarantinedUntil time.Duration
}

// raiseCaution makes the queue of a job cautious from the time of a crash under it on, or more
// so. Several crashes under one job count once.
func (d *Detector) raiseCaution(at time.Duration, job string) {
	queue := d.jobs[job].queue
	q := d.queues[queue]
	if q == nil {
		q = &queueRecord{culprits: map[string]time.Duration{}}
		d.queues[queue] = q
	}
	maps.DeleteFunc(q.culprits, func(_ string, before time.Duration) bool { return at-before > quarantineWindow })
	q.culprits[job] = at
	if at < q.quarantinedUntil || len(q.culprits) >= quarantineAfter || d.unexplainedUnder(at, queue, job) {
		q.quarantinedUntil = max(q.quarantinedUntil, at+quarantineTime)
	}
	q.cautiousUntil = max(q.cautiousUntil, at+cautionTime)
}

// unexplainedUnder reports whether a crash under another job of the queue, not long before or
// after at, is unexplained.
func (d *Detector) unexplainedUnder(at time.Duration, queue, job string) bool {
	return slices.ContainsFunc(d.order, func(c *crash) bool {
		return !c.explained && !slices.Contains(d.jobs[job].crashes, c) && (at-c.at).Abs() <= quarantineWindow && c.underQueue(queue)
	})
}

func (c *crash) underQueue(queue string) bool {
	return slices.ContainsFunc(c.runs, func(r Run) bool { return r.Queue == queue })
}

// extendCaution keeps the queues cautious that had runs under one more crash, quarantines them,
// and returns them.
func (d *Detector) extendCaution(c *crash) []string {
	var out []string
	for name, q := range d.queues {
		if c.at < q.cautiousUntil && c.underQueue(name) {
			q.cautiousUntil = max(q.cautiousUntil, c.at+cautionTime)
			q.quarantinedUntil = max(q.quarantinedUntil, c.at+quarantineTime)
			out = append(out, name)
		}
	}
	return out
}

// Caution returns how new jobs of a queue have to be placed.
func (d *Detector) Caution(now time.Duration, queue string) Caution {
	q := d.queues[queue]
	switch {
	case q == nil || now >= q.cautiousUntil:
		return Unrestricted
	case now < q.quarantinedUntil:
		return Quarantined
	}
	return Separated
}

// Queues returns the queues that are cautious or were so of late, in order.
func (d *Detector) Queues() []string { return slices.Sorted(maps.Keys(d.queues)) }

// AnyCaution reports whether any queue is not Unrestricted.
func (d *Detector) AnyCaution(now time.Duration) bool {
	for _, q := range d.queues {
		if now < q.cautiousUntil {
			return true
		}
	}
	return false
}

// Cautions returns the queues that are cautious, with their level.
func (d *Detector) Cautions(now time.Duration) map[string]string {
	out := map[string]string{}
	for queue := range d.queues {
		if c := d.Caution(now, queue); c != Unrestricted {
			out[queue] = c.String()
		}
	}
	return out
}

// CautionChange is a queue with a new level of caution.
type CautionChange struct {
	Queue   string
	Caution Caution
}

// CautionChanges returns the queues whose caution has changed since the last call, in order.
func (d *Detector) CautionChanges(now time.Duration) []CautionChange {
	var out []CautionChange
	for _, queue := range d.Queues() {
		if c := d.Caution(now, queue); c != d.reported[queue] {
			out = append(out, CautionChange{Queue: queue, Caution: c})
			d.reported[queue] = c
			if c == Unrestricted {
				delete(d.reported, queue)
			}
		}
	}
	return out
}
