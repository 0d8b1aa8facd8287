package dispatch

import (
	"math"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// A cumulative sum test (CUSUM, Page's test) detects upstreams that fail: each
// outcome adds the logarithm of how much more likely it is on an upstream that
// fails almost everything than on one that fails as often as its peers do with
// the same class. The test needs few failures when peers seldom fail, and many
// when the class itself fails often.
const (
	// brokenRatio is the failure ratio of a broken upstream.
	brokenRatio = 0.9
	// minPeerRatio and maxPeerRatio bound the failure ratio assumed for peers. At
	// the lower bound two failures in a row eject.
	minPeerRatio = 0.003
	maxPeerRatio = 0.8
	// priorRatio is the failure ratio assumed before any outcome.
	priorRatio = 0.02
	// outcomeWindow is the number of outcomes over which ratios are taken.
	outcomeWindow = 200
	// priorOutcomes is the weight of priorRatio, in outcomes.
	priorOutcomes = 20
	// ejectThreshold is the sum at which an upstream is ejected: a likelihood ratio
	// of e^11 to 1.
	ejectThreshold = 11
	// maxEjectedShare is the share of the upstreams of a class that may be
	// ejected at a time.
	maxEjectedShare = 1.0 / 3
	// minProbeInterval and maxProbeInterval bound the time between probes, which
	// doubles with each failed probe and each further ejection.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = 60 * time.Second
	// probeStarts is the number of this owner's starts between two probes of an
	// upstream that fails, unless maxProbeInterval has passed. It keeps the work
	// lost to probes under 0.1%.
	probeStarts = 5000
	// probesToReturn is the number of successful probes that end an ejection.
	probesToReturn = 2
)

// health holds the failure statistics and the ejection state of an upstream.
type health struct {
	// cusum is the cumulative sum of the test.
	cusum float64
	// ended and failed count outcomes by class, with decay.
	ended, failed []float64
	// lastFailed is the job of the last failure. More failures of the same job do
	// not count, because the job itself may be at fault.
	lastFailed wire.JobID

	ejected bool
	// probeAt is the earliest time of the next probe.
	probeAt time.Duration
	// startsAtFailure is the scheduler's count of starts at the last failure that
	// set probeAt, and failedAt is its time.
	startsAtFailure uint64
	failedAt        time.Duration
	backoff         time.Duration
	probesPassed    int
	// maxInFlight is the number of tasks allowed at a time; 0 means no limit.
	maxInFlight int
	// successesToDouble is the number of successes left until maxInFlight doubles.
	successesToDouble int
}

func (h *health) grow(classes int) {
	for len(h.ended) < classes {
		h.ended = append(h.ended, 0)
		h.failed = append(h.failed, 0)
	}
}

// updateHealth updates an upstream's health with an outcome.
func (s *Scheduler) updateHealth(now time.Duration, u *upstream, t *Task, failed bool) {
	if u.removed {
		return
	}
	k := s.class(t.Class)
	u.health.grow(len(s.classList))
	if failed && u.lastFailed == t.ID.Job && t.TaskCount > 1 && !u.ejected {
		return
	}
	u.cusum = max(0, u.cusum+s.logLikelihoodRatio(u, k, failed))
	u.countOutcome(k, failed)
	if failed {
		u.lastFailed = t.ID.Job
	}
	if s.disabled&Ejection != 0 {
		return
	}
	switch {
	case u.ejected:
		s.handleProbe(now, u, failed)
	case u.cusum >= ejectThreshold:
		s.eject(now, u)
	case u.maxInFlight > 0:
		u.raiseLimit(failed)
	}
}

// logLikelihoodRatio returns the logarithm of the likelihood of an outcome on a
// broken upstream relative to one that fails as often as its peers.
func (s *Scheduler) logLikelihoodRatio(u *upstream, k *class, failed bool) float64 {
	peers := (k.failed - u.failed[k.index] + priorOutcomes*priorRatio) /
		(k.ended - u.ended[k.index] + priorOutcomes)
	peers = min(max(peers, minPeerRatio), maxPeerRatio)
	if failed {
		return math.Log(brokenRatio / peers)
	}
	return math.Log((1 - brokenRatio) / (1 - peers))
}

// countOutcome adds an outcome to the class's ratio and the upstream's part in
// it.
func (u *upstream) countOutcome(k *class, failed bool) {
	const decay = 1 - 1.0/outcomeWindow
	part := u.ended[k.index]
	k.ended -= part * (1 - decay)
	u.ended[k.index] = part * decay
	part = u.failed[k.index]
	k.failed -= part * (1 - decay)
	u.failed[k.index] = part * decay
	k.ended++
	u.ended[k.index]++
	if failed {
		k.failed++
		u.failed[k.index]++
	}
}

// removeOutcomes takes the part of a removed upstream out of the ratios.
func (s *Scheduler) removeOutcomes(u *upstream) {
	for i, n := range u.ended {
		s.classList[i].ended = max(0, s.classList[i].ended-n)
		s.classList[i].failed = max(0, s.classList[i].failed-u.failed[i])
	}
}

func (s *Scheduler) eject(now time.Duration, u *upstream) {
	if !s.mayEject(u) {
		u.maxInFlight = 1
		u.successesToDouble = probesToReturn
		return
	}
	u.ejected = true
	u.probesPassed = 0
	u.maxInFlight = 1
	u.backoff = min(max(2*u.backoff, minProbeInterval), maxProbeInterval)
	s.delayProbe(now, u)
	s.ejected = append(s.ejected, u)
	s.slots -= u.Slots
	u.group.slots -= u.Slots
}

// mayEject reports whether the ejected share of each class stays within its cap
// if the upstream is ejected. The last upstream of a class is never ejected.
func (s *Scheduler) mayEject(u *upstream) bool {
	for _, k := range u.group.classes {
		total, ejected := 0, 0
		for _, g := range k.groups {
			total += len(g.members)
			for _, m := range g.members {
				if m.ejected {
					ejected++
				}
			}
		}
		if total < 2 || ejected+1 > max(1, int(maxEjectedShare*float64(total))) {
			return false
		}
	}
	return true
}

// handleProbe handles the outcome of a task on an ejected upstream. Tasks that
// were sent before the ejection count as well.
func (s *Scheduler) handleProbe(now time.Duration, u *upstream, failed bool) {
	if failed {
		u.probesPassed = 0
		if now >= u.probeAt {
			u.backoff = min(2*u.backoff, maxProbeInterval)
			s.delayProbe(now, u)
		}
		return
	}
	u.probesPassed++
	if u.probesPassed >= probesToReturn {
		s.endEjection(u)
	}
}

func (s *Scheduler) delayProbe(now time.Duration, u *upstream) {
	u.probeAt = now + u.backoff
	u.startsAtFailure = s.starts
	u.failedAt = now
}

// probeDue reports whether an ejected upstream may get a task. After a successful
// probe the next one follows at once.
func (s *Scheduler) probeDue(now time.Duration, u *upstream) bool {
	if u.probesPassed > 0 {
		return true
	}
	return now >= u.probeAt && (s.starts-u.startsAtFailure >= probeStarts || now-u.failedAt >= maxProbeInterval)
}

// endEjection ends an ejection. The upstream starts with one task at a time and
// gets more as tasks succeed, so that its return causes no burst.
func (s *Scheduler) endEjection(u *upstream) {
	for i, e := range s.ejected {
		if e == u {
			s.ejected = append(s.ejected[:i], s.ejected[i+1:]...)
			break
		}
	}
	u.ejected = false
	u.cusum = 0
	u.maxInFlight = 1
	u.successesToDouble = 1
	s.slots += u.Slots
	u.group.slots += u.Slots
}

// ejectionRetention is the time for which an ejection is recorded after its
// upstream was removed.
const ejectionRetention = 10 * time.Minute

// recordEjection records that a removed upstream was ejected, so that it cannot
// lose this state by announcing itself again.
func (s *Scheduler) recordEjection(now time.Duration, u *upstream) {
	for id, at := range s.removedEjected {
		if now-at > ejectionRetention {
			delete(s.removedEjected, id)
		}
	}
	if u.ejected {
		s.removedEjected[u.ID] = now
	}
}

// applyFormerEjection lets an upstream that was removed while ejected start with
// one task at a time, and with a sum at which the next failure ejects it.
func (s *Scheduler) applyFormerEjection(u *upstream) {
	if _, ok := s.removedEjected[u.ID]; !ok {
		return
	}
	delete(s.removedEjected, u.ID)
	u.maxInFlight = 1
	u.successesToDouble = probesToReturn
	u.cusum = ejectThreshold
}

// raiseLimit raises the limit of an upstream with each success.
func (u *upstream) raiseLimit(failed bool) {
	if failed {
		return
	}
	u.successesToDouble--
	if u.successesToDouble > 0 {
		return
	}
	u.maxInFlight *= 2
	u.successesToDouble = u.maxInFlight
	if u.maxInFlight >= u.Slots {
		u.maxInFlight = 0
		u.backoff = 0
	}
}

// dueProbe returns an ejected upstream that may be probed by one task.
func (s *Scheduler) dueProbe(now time.Duration) *upstream {
	for _, u := range s.ejected {
		if s.probeDue(now, u) && u.inFlight == 0 && u.usable(now) > 0 {
			return u
		}
	}
	return nil
}
