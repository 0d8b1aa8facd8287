package dispatch

import (
	"time"
)

const (
	// maxWaitShare is the share of the time left before a deadline that a
	// predicted wait may take. The rest absorbs errors of the prediction; at
	// overload a shorter queue costs no throughput.
	maxWaitShare = 0.3
	// crowdedRatio is the number of running tasks per waiting one below which a
	// slot is better used for other work than for a task that probably misses its
	// deadline.
	crowdedRatio = 4
	// minRetry and maxRetry bound the time after which to retry.
	minRetry = 20 * time.Millisecond
	maxRetry = 30 * time.Second
	// retryJitter spreads the retries of callers that were refused together.
	retryJitter = 0.5
	// noUpstreamRetry is the time within which an upstream renews its announcement.
	noUpstreamRetry = 3 * time.Second
)

// Admit implements Policy.
func (s *Scheduler) Admit(now time.Duration, r AdmitRequest) Decision {
	if s.disabled&Admission != 0 {
		return Decision{Verdict: Admitted}
	}
	d, _ := s.judge(now, r)
	switch d.Verdict {
	case Overloaded, OverQuota:
		s.addRefusedWork(now, r)
		d.RetryAfter = s.jitter(d.RetryAfter)
	case NoUpstream:
		d.RetryAfter = s.jitter(d.RetryAfter)
	}
	return d
}

// judge returns the decision about a job, with the time to retry before the random part, and
// the longest wait that is accepted. It changes nothing, so explanations use it as well.
func (s *Scheduler) judge(now time.Duration, r AdmitRequest) (Decision, time.Duration) {
	k := s.classes[r.Class]
	if s.impossible(now, r, k) {
		return Decision{Verdict: Impossible}, 0
	}
	if k == nil || !served(k) {
		return Decision{Verdict: NoUpstream, RetryAfter: noUpstreamRetry}, 0
	}
	return s.judgeWait(now, r, k)
}

func (s *Scheduler) judgeWait(now time.Duration, r AdmitRequest, k *class) (Decision, time.Duration) {
	left := float64(r.Deadline - now)
	if !k.stale(now) {
		left -= s.lastTaskTime(r, k)
	}
	allowed := maxWaitShare * max(left, 0)
	wait := s.predict(now, r, k)
	d := Decision{Verdict: Admitted, Wait: time.Duration(wait.shared)}
	if wait.capped > wait.shared {
		d.Wait = time.Duration(wait.capped)
	}
	switch c := s.peekCaller(r.Caller); {
	case c.waiting+r.Tasks > c.maxQueue, wait.capped > allowed && wait.capped > wait.shared:
		d.Verdict = OverQuota
	case wait.shared > allowed:
		d.Verdict = Overloaded
	default:
		return d, time.Duration(allowed)
	}
	excess := max(0, float64(d.Wait)-allowed)
	work, rate := s.refusedWork(now, s.peekCaller(r.Caller))
	d.RetryAfter = time.Duration(excess) + time.Duration(min(work/rate, float64(maxRetry)))
	return d, time.Duration(allowed)
}

// refusedWork returns the caller's work that was refused before and is expected to be
// submitted again, and the rate at which the caller's share serves it.
func (s *Scheduler) refusedWork(now time.Duration, c *caller) (work, rate float64) {
	rate = s.capacity() * c.weight / s.activeWeight(c)
	if c.maxSlots > 0 {
		rate = min(rate, float64(c.maxSlots))
	}
	return max(0, c.refusedWork-rate*float64(now-c.refusedAt)), rate
}

// addRefusedWork adds a refused job to that work.
func (s *Scheduler) addRefusedWork(now time.Duration, r AdmitRequest) {
	c := s.peekCaller(r.Caller)
	c.refusedWork, _ = s.refusedWork(now, c)
	c.refusedAt = now
	c.refusedWork += float64(r.Tasks) * s.classes[r.Class].slotTime()
}

// activeWeight returns the sum of the weights of the active callers and c.
func (s *Scheduler) activeWeight(c *caller) float64 {
	sum := 0.0
	if c.index < 0 {
		sum = c.weight
	}
	for _, a := range s.active {
		sum += a.weight
	}
	return sum
}

func served(k *class) bool {
	for _, g := range k.groups {
		if len(g.members) > 0 {
			return true
		}
	}
	return false
}

// impossible reports whether the job can never run: its class is not configured,
// it has more tasks than its caller may queue, or it cannot end before its
// deadline on idle upstreams.
func (s *Scheduler) impossible(now time.Duration, r AdmitRequest, k *class) bool {
	if len(s.settings.Classes) > 0 {
		if _, ok := s.settings.Classes[r.Class]; !ok {
			return true
		}
	}
	if q := s.settings.Callers[r.Caller].MaxQueued; q > 0 && r.Tasks > s.perOwner(q) {
		return true
	}
	return s.minJobTime(now, r, k) > r.Deadline-now
}

// minJobTime returns a time in which the job almost surely cannot end: the 5th
// percentile of the class once it is learned, times the number of rounds that the
// job's tasks need on the slots of the class; otherwise the declared run time
// divided by declaredError.
func (s *Scheduler) minJobTime(now time.Duration, r AdmitRequest, k *class) time.Duration {
	if k == nil || !k.learned() || k.stale(now) {
		return r.Declared / declaredError
	}
	rounds := 1
	if slots := s.classSlots(k); slots > 0 {
		rounds = (r.Tasks + slots - 1) / slots
	}
	return k.p5 * time.Duration(rounds)
}

// lastTaskTime returns the time that the job's last task takes from its start.
func (s *Scheduler) lastTaskTime(r AdmitRequest, k *class) float64 {
	if !k.learned() {
		return float64(s.expectedRunTime(r, k))
	}
	if r.Tasks > 1 {
		return float64(k.p90)
	}
	return float64(max(s.expectedRunTime(r, k), k.median))
}

// expectedRunTime returns the expected run time of a request's tasks.
func (s *Scheduler) expectedRunTime(r AdmitRequest, k *class) time.Duration {
	c := s.callers[r.Caller]
	at := declaredRange(r.Declared)
	if c != nil && k.index < len(c.buckets) && at < len(c.buckets[k.index]) && c.buckets[k.index][at] != nil {
		return c.buckets[k.index][at].expected
	}
	b := bucket{class: k, declared: r.Declared, factor: 1}
	b.update(s)
	return b.expected
}

func (s *Scheduler) classSlots(k *class) int {
	n := 0
	for _, g := range k.groups {
		n += g.slots
	}
	return n
}

// prediction is the time until the last task of a job starts: as limited by the
// capacity that is shared with others, and by the caller's own cap on slots.
type prediction struct{ shared, capped float64 }

// predict computes the wait under generalised processor sharing: a caller with
// less waiting work per weight than this one is served completely in the
// meantime, the others get as much service per weight as this one.
func (s *Scheduler) predict(now time.Duration, r AdmitRequest, k *class) prediction {
	expected := s.expectedRunTime(r, k)
	jobWork := float64(max(0, r.Tasks-s.unclaimedCredits(k))) * k.slotTime()
	if r.Tasks == 1 {
		// A single task waits for the next free slot, not for its own run time.
		jobWork /= 2
	}
	all := func(b *bucket) bool { return b.class.active() || b.class == k }
	capacity := s.capacity()
	if expected <= longRunTime && s.disabled&LongShare == 0 {
		// Long work does not delay short work, except that it holds at most its
		// share of the slots.
		all = func(b *bucket) bool { return !b.long && (b.class.active() || b.class == k) }
		capacity -= min(longShare*capacity, float64(s.longRunning+s.longWaiting))
	}
	tasks := float64(jobSizes[sizeRange(r.Tasks)].typical)
	penalty := s.penalty(expected, tasks, r.Deadline-now)
	p := prediction{shared: s.sharedWait(r, penalty, jobWork, capacity, all)}
	if slots := s.classSlots(k); slots < s.slots {
		same := func(b *bucket) bool { return b.class == k }
		p.shared = max(p.shared, s.sharedWait(r, penalty, jobWork, float64(slots)/float64(s.owners()), same))
	}
	if expected > longRunTime && s.disabled&LongShare == 0 && s.waiting > s.longWaiting {
		long := func(b *bucket) bool { return b.long }
		p.shared = max(p.shared, s.sharedWait(r, penalty, jobWork, max(1, longShare*s.capacity()), long))
	}
	if c := s.peekCaller(r.Caller); c.maxSlots > 0 {
		overCap := max(0, r.Tasks-max(0, c.maxSlots-c.running))
		work := s.workAhead(c, penalty, all) + float64(overCap)*k.slotTime()
		p.capped = work / float64(c.maxSlots)
	}
	return p
}

// unclaimedCredits returns the number of credits that no waiting task will use.
// Tasks that are held back, by the share of long work or because their class is
// not active, do not count as waiting.
func (s *Scheduler) unclaimedCredits(k *class) int {
	n := 0
	for _, other := range s.classList {
		switch {
		case !other.active() && other != k:
		case s.longAtLimit():
			n -= other.waiting - other.longWaiting
		default:
			n -= other.waiting
		}
	}
	for _, g := range k.groups {
		n += g.credits
	}
	return max(0, n)
}

// sharedWait returns the time in which the given number of slots serves this
// caller's work up to the end of the job and the part of the other callers' work
// that is served in the meantime. include selects the buckets that count.
func (s *Scheduler) sharedWait(r AdmitRequest, penalty time.Duration, jobWork, slots float64, include func(*bucket) bool) float64 {
	self := s.peekCaller(r.Caller)
	ownWork := jobWork + s.workAhead(self, penalty, include)
	total := ownWork
	for _, c := range s.active {
		if c != self {
			total += min(s.waitingWork(c, include), ownWork*c.weight/self.weight)
		}
	}
	return total / max(slots, 1)
}

// waitingWork returns the slot time of a caller's waiting tasks.
func (s *Scheduler) waitingWork(c *caller, include func(*bucket) bool) float64 {
	sum := 0.0
	for _, l := range c.lists {
		if include(l.bucket) {
			sum += float64(l.size) * float64(l.bucket.expected)
		}
	}
	return sum
}

// workAhead returns the part of a caller's waiting work that is served before a
// new job with the given penalty.
func (s *Scheduler) workAhead(c *caller, penalty time.Duration, include func(*bucket) bool) float64 {
	sum := 0.0
	for _, l := range c.lists {
		if include(l.bucket) {
			sum += s.shareAhead(l, penalty) * float64(l.size) * float64(l.bucket.expected)
		}
	}
	return sum
}

// shareAhead returns the share of a list that a new job with the given penalty
// does not pass, assuming that the arrivals in the list are evenly spread.
func (s *Scheduler) shareAhead(l *list, penalty time.Duration) float64 {
	passed := s.sortKey(l) - l.head.task.Arrival - penalty
	if passed <= 0 {
		return 1
	}
	span := l.tail.task.Arrival - l.head.task.Arrival
	if span <= passed {
		return 0
	}
	return 1 - float64(passed)/float64(span)
}

// retryTime bounds a time to retry.
func retryTime(d time.Duration) time.Duration { return min(max(d, minRetry), maxRetry) }

func (s *Scheduler) jitter(d time.Duration) time.Duration {
	d = retryTime(d)
	return d + time.Duration(retryJitter*s.rand.Float64()*float64(d))
}

// tooLate reports whether a task can probably not end before its deadline. Once
// the run times of its class are learned, the task is assumed to need the median,
// or its expected run time if that is less, and the 90th percentile while enough
// other work waits to use the slot.
func (s *Scheduler) tooLate(now time.Duration, n *node) bool {
	if s.disabled&LateDrop != 0 {
		return false
	}
	k := n.list.bucket.class
	need := time.Duration(0)
	if k.learned() && !k.stale(now) {
		need = min(k.median, n.list.bucket.expected)
		if s.waiting > s.running/crowdedRatio {
			need = k.p90
		}
	}
	return now+need > n.task.Deadline
}

// Drop implements Dropper.
func (s *Scheduler) Drop(now time.Duration) (Task, bool) {
	n := s.late.head
	if n == nil {
		return Task{}, false
	}
	t := n.task
	s.release(n)
	return t, true
}
