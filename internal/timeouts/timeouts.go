// Package timeouts learns how long the callers of each queue usually wait for an answer, and tells
// by that how long a caller had waited already when it submitted a job.
//
// It handles the load after many hosts were lost at the same time: everything that was lost is
// submitted again, with the time that is left, beside new jobs that can still be on time. Callers
// of new jobs must not be late because of jobs that are late whatever happens.
//
// The package has no clock, network or random source.
package timeouts

import (
	"math"
	"slices"
	"time"
)

const (
	// quantile is the share of a queue's timeouts below the usual ones. Callers vary, so the
	// time that one has waited is counted from the short end of the usual timeouts and is
	// rather underestimated.
	quantile = 0.02
	// minSamples is the number of timeouts from which a queue's own ones count.
	minSamples = 300
	// memory is the number of timeouts over which the usual ones are averaged.
	memory = 4000
	// shortWeight is the weight of a timeout that is below the usual ones. After a loss of many
	// hosts most timeouts are short for a second or two and must not become the usual ones.
	// Callers that wait less for good are learned all the same, within 20 times as many jobs.
	shortWeight = 0.05
	// minShare is the smallest part of the usual timeout by which another one has to be shorter
	// before its caller counts as one that has waited.
	minShare = 0.1
	// bucketRatio is the ratio between the bounds of two buckets, shortest the lower bound of the
	// first one.
	bucketRatio = 1.03
	shortest    = 5 * time.Millisecond
	// buckets covers timeouts of up to 25 minutes.
	buckets = 430
	// maxQueues bounds the queues that are learned.
	maxQueues = 256
)

// Usual holds the usual timeouts of each queue. It is not safe for concurrent use.
type Usual struct{ queues map[string]*queue }

// queue holds a histogram of timeouts, whose counts decay with further ones.
type queue struct {
	counts [buckets]float32
	total  float64
	// sinceDecay is the weight that was added since the counts were last halved.
	sinceDecay float64
	// earlier is the short end of the usual timeouts that another process has learned, 0 if
	// there is none.
	earlier time.Duration
	// usual is the short end of the usual timeouts, 0 while it is not known.
	usual time.Duration
}

// Submitted learns from the timeout of a submission, and returns the time for which its caller
// has certainly waited before; 0 if it may be a new job.
func (u *Usual) Submitted(name string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	q := u.queue(name)
	if q == nil {
		return 0
	}
	waited := q.usual - timeout
	if float64(waited) < minShare*float64(q.usual) {
		waited = 0
	}
	weight := 1.0
	if waited > 0 {
		weight = shortWeight
	}
	q.add(timeout, weight)
	return max(waited, 0)
}

func (u *Usual) queue(name string) *queue {
	q := u.queues[name]
	if q == nil && len(u.queues) < maxQueues {
		if u.queues == nil {
			u.queues = map[string]*queue{}
		}
		q = &queue{}
		u.queues[name] = q
	}
	return q
}

func bucketOf(timeout time.Duration) int {
	i := int(math.Log(float64(timeout)/float64(shortest)) / math.Log(bucketRatio))
	return min(max(i, 0), buckets-1)
}

// recomputeEvery is the weight of the samples after which the usual timeout is computed again.
const recomputeEvery = 50

func (q *queue) add(timeout time.Duration, weight float64) {
	before := int(q.total) / recomputeEvery
	q.counts[bucketOf(timeout)] += float32(weight)
	q.total += weight
	q.sinceDecay += weight
	if q.sinceDecay >= memory/2 {
		for i := range q.counts {
			q.counts[i] /= 2
		}
		q.total /= 2
		q.sinceDecay = 0
	} else if int(q.total)/recomputeEvery == before {
		return
	}
	q.recompute()
}

func (q *queue) recompute() {
	if q.total < minSamples {
		q.usual = q.earlier
		return
	}
	below := 0.0
	for i, n := range q.counts {
		if below += float64(n); below > quantile*q.total {
			q.usual = time.Duration(float64(shortest) * math.Pow(bucketRatio, float64(i)))
			return
		}
	}
}

// Learned returns the short end of the usual timeouts of the queues for which it is known, from
// their jobs or from what was restored.
func (u *Usual) Learned() map[string]time.Duration {
	out := map[string]time.Duration{}
	for name, q := range u.queues {
		if q.usual > 0 {
			out[name] = q.usual
		}
	}
	return out
}

// Restore adds what other processes have learned, each with one map, for the queues that have not
// submitted enough jobs to this process. The median of them counts.
func (u *Usual) Restore(learned []map[string]time.Duration) {
	byQueue := map[string][]time.Duration{}
	for _, l := range learned {
		for name, usual := range l {
			if usual > 0 {
				byQueue[name] = append(byQueue[name], usual)
			}
		}
	}
	for name, values := range byQueue {
		if q := u.queue(name); q != nil {
			slices.Sort(values)
			q.earlier = values[(len(values)-1)/2]
			q.recompute()
		}
	}
}
