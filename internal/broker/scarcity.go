package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/scarcity"
)

// snapshotInterval is the time between two sums over the agents' reports. It is a small part
// of the age of reports.
const snapshotInterval = 10 * time.Millisecond

func (j *job) demand() scarcity.Job {
	return scarcity.Job{Queue: j.sub.Queue.Name, Priority: j.sub.Queue.Priority, Expected: j.longestExpected}
}

// countArrival handles the arrival of a job as far as admission under scarcity is concerned.
func (b *Broker) countArrival(now time.Duration, j *job) {
	service := j.sub.Queue.Service
	c := b.scarcity[service]
	if c == nil {
		c = scarcity.New(b.settings.Scarcity)
		b.scarcity[service] = c
	}
	if now-c.ObservedAt() >= snapshotInterval {
		var s scarcity.Snapshot
		for _, a := range b.agentList {
			if l := &a.View.Load; l.Service == service && !l.Stuck && a.Usable(now, &b.settings.Limits) {
				free, _, _ := a.View.Free(0)
				s.Add(l, free)
			}
		}
		if c.Observe(now, s) {
			d := Decision{Action: "scarcity-ends", Reason: service, Headroom: c.Headroom()}
			if c.Scarce(now) {
				d.Action = "scarcity-begins"
			}
			b.emit(d)
		}
	}
	c.Arrived(now, j.demand())
}

// judgeScarcity decides whether a job is refused because more urgent work needs the capacity.
// The refusal is verified first: reports that are a few tens of milliseconds old do not show the
// capacity that has become free since. Jobs that may have run have been admitted.
func (b *Broker) judgeScarcity(now time.Duration, j *job) (explain.Verdict, bool) {
	c := b.scarcity[j.sub.Queue.Service]
	if c == nil || j.started {
		return explain.Verdict{}, false
	}
	s := c.Judge(now, j.demand())
	v := explain.RefuseFor(reasonScarcity, s.RetryAfter)
	v.Headroom, v.Share = s.Headroom, s.Share
	if !j.verified {
		v.Action = explain.Verify
	}
	return v, s.Refuse
}

// countDecision handles the decision about a job.
func (b *Broker) countDecision(now time.Duration, j *job, v explain.Verdict) {
	admitted := v.Action == explain.Place
	if c := b.scarcity[j.sub.Queue.Service]; c != nil && (admitted || v.Reason == reasonScarcity) {
		c.Decided(now, j.demand(), admitted)
	}
}

// ScarcityStates returns the state of admission under scarcity of each service.
func (b *Broker) ScarcityStates(now time.Duration) map[string]scarcity.State {
	states := map[string]scarcity.State{}
	for service, c := range b.scarcity {
		states[service] = c.State(now)
	}
	return states
}
