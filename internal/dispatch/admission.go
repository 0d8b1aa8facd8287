package dispatch

import (
	"time"
)

const (
	// slack is the share of the time left before a deadline that a predicted
	// wait may take. The rest absorbs errors of the prediction; at overload a
	// shorter queue costs no throughput.
	slack = 0.3
	// crowded is the number of running tasks per waiting one below which a slot
	// is worth more to other work than to a task that is probably late.
	crowded = 4
	// minRetry and maxRetry bound the time after which to retry.
	minRetry = 20 * time.Millisecond
	maxRetry = 30 * time.Second
	// retryJitter spreads the retries of callers that were refused together.
	retryJitter = 0.5
	// noUpstreamRetry is the time within which an upstream's announce is renewed.
	noUpstreamRetry = 3 * time.Second
)

// Admit implements Policy.
func (s *Scheduler) Admit(now time.Duration, r AdmitRequest) Decision {
	if s.without&Admission != 0 {
		return Decision{Verdict: Admitted}
	}
	k := s.classes[r.Class]
	if s.impossible(now, r, k) {
		return Decision{Verdict: Impossible}
	}
	if k == nil || !served(k) {
		return Decision{Verdict: NoUpstream, RetryAfter: s.jitter(noUpstreamRetry)}
	}
	return s.admitByWait(now, r, k)
}

func (s *Scheduler) admitByWait(now time.Duration, r AdmitRequest, k *class) Decision {
	left := float64(r.Deadline - now)
	if !k.stale(now) {
		left -= s.idleTime(r, k)
	}
	allowed := slack * max(left, 0)
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
		return d
	}
	excess := max(0, float64(d.Wait)-allowed)
	d.RetryAfter = s.jitter(time.Duration(excess) + s.returning(now, r, k))
	return d
}

// returning is the time in which the caller's share serves its work that was
// refused before and will come back. It adds the refused job to that work.
func (s *Scheduler) returning(now time.Duration, r AdmitRequest, k *class) time.Duration {
	c := s.peekCaller(r.Caller)
	rate := s.capacity() * c.weight / s.activeWeight(c)
	if c.maxSlots > 0 {
		rate = min(rate, float64(c.maxSlots))
	}
	c.refusedWork = max(0, c.refusedWork-rate*float64(now-c.refusedAt))
	c.refusedAt = now
	ahead := c.refusedWork / rate
	c.refusedWork += float64(r.Tasks) * k.slotTime()
	return time.Duration(min(ahead, float64(maxRetry)))
}

// activeWeight is the sum of the weights of the active callers and c.
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

// impossible is whether the job can never run: its class is not configured, it
// has more tasks than its caller may queue, or it cannot end before its
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
	return s.leastTime(now, r, k) > r.Deadline-now
}

// leastTime is a time in which the job almost surely cannot end: the low
// quantile of the class once it is learned, otherwise the declared run time
// divided by how far off declarations are.
func (s *Scheduler) leastTime(now time.Duration, r AdmitRequest, k *class) time.Duration {
	if k == nil || !k.learned() || k.stale(now) {
		return r.Declared / declaredError
	}
	rounds := 1
	if slots := s.classSlots(k); slots > 0 {
		rounds = (r.Tasks + slots - 1) / slots
	}
	return k.low * time.Duration(rounds)
}

// idleTime is the time that the job's last task takes from its start on.
func (s *Scheduler) idleTime(r AdmitRequest, k *class) float64 {
	if !k.learned() {
		return float64(s.expect(r, k))
	}
	if r.Tasks > 1 {
		return float64(k.high)
	}
	return float64(max(s.expect(r, k), k.median))
}

// expect is the expected run time of a request's tasks.
func (s *Scheduler) expect(r AdmitRequest, k *class) time.Duration {
	c := s.callers[r.Caller]
	at := declaredRange(r.Declared)
	if c != nil && k.index < len(c.cells) && at < len(c.cells[k.index]) && c.cells[k.index][at] != nil {
		return c.cells[k.index][at].expected
	}
	e := cell{class: k, declared: r.Declared, factor: 1}
	e.update(s)
	return e.expected
}

func (s *Scheduler) classSlots(k *class) int {
	n := 0
	for _, g := range k.groups {
		n += g.slots
	}
	return n
}

// prediction is the time until the last task of a job starts: by the capacity
// that is shared with others, and by the caller's own cap on slots.
type prediction struct{ shared, capped float64 }

// predict computes the wait as generalised processor sharing would give it: a
// caller with less waiting work per weight than this one is served completely
// in the meantime, the others as much per weight as this one.
func (s *Scheduler) predict(now time.Duration, r AdmitRequest, k *class) prediction {
	expected := s.expect(r, k)
	own := float64(max(0, r.Tasks-s.free(k))) * k.slotTime()
	if r.Tasks == 1 {
		// One task starts with the next slot that is free, not with its own work.
		own /= 2
	}
	all := func(e *cell) bool { return e.class.moving() || e.class == k }
	capacity := s.capacity()
	if expected <= longRun && s.without&LongShare == 0 {
		// Long work does not stand before short work; it keeps its share of the
		// slots at most.
		all = func(e *cell) bool { return !e.long && (e.class.moving() || e.class == k) }
		capacity -= min(longShare*capacity, float64(s.longRunning+s.longWaiting))
	}
	tasks := float64(jobSizes[sizeRange(r.Tasks)].typical)
	penalty := s.penalty(expected, tasks, r.Deadline-now)
	p := prediction{shared: s.share(r, penalty, own, capacity, all)}
	if slots := s.classSlots(k); slots < s.slots {
		same := func(e *cell) bool { return e.class == k }
		p.shared = max(p.shared, s.share(r, penalty, own, float64(slots)/float64(s.owners()), same))
	}
	if expected > longRun && s.without&LongShare == 0 && s.waiting > s.longWaiting {
		long := func(e *cell) bool { return e.long }
		p.shared = max(p.shared, s.share(r, penalty, own, max(1, longShare*s.capacity()), long))
	}
	if c := s.peekCaller(r.Caller); c.maxSlots > 0 {
		beyond := max(0, r.Tasks-max(0, c.maxSlots-c.running))
		work := s.ahead(c, penalty, all) + float64(beyond)*k.slotTime()
		p.capped = work / float64(c.maxSlots)
	}
	return p
}

// free is the number of credits that no waiting task has a claim on. Tasks that
// are held back, by the share of long work or because their class does not move,
// have none.
func (s *Scheduler) free(k *class) int {
	n := 0
	for _, c := range s.classList {
		switch {
		case !c.moving() && c != k:
		case s.longFull():
			n -= c.waiting - c.longWaiting
		default:
			n -= c.waiting
		}
	}
	for _, g := range k.groups {
		n += g.credits
	}
	return max(0, n)
}

// share returns the time in which slots serve this caller's work ahead of the
// job and the part of the others' work that is served meanwhile.
func (s *Scheduler) share(r AdmitRequest, penalty time.Duration, own, slots float64, in func(*cell) bool) float64 {
	self := s.peekCaller(r.Caller)
	mine := own + s.ahead(self, penalty, in)
	total := mine
	for _, c := range s.active {
		if c != self {
			total += min(s.work(c, in), mine*c.weight/self.weight)
		}
	}
	return total / max(slots, 1)
}

// work is the slot time of a caller's waiting tasks.
func (s *Scheduler) work(c *caller, in func(*cell) bool) float64 {
	sum := 0.0
	for _, l := range c.lists {
		if in(l.cell) {
			sum += float64(l.size) * float64(l.cell.expected)
		}
	}
	return sum
}

// ahead is the part of a caller's waiting work that is served before a new job
// with the given penalty.
func (s *Scheduler) ahead(c *caller, own time.Duration, in func(*cell) bool) float64 {
	sum := 0.0
	for _, l := range c.lists {
		if in(l.cell) {
			sum += s.shareAhead(l, own) * float64(l.size) * float64(l.cell.expected)
		}
	}
	return sum
}

// shareAhead is the share of a list that a younger job with its own penalty does
// not pass, taking arrivals in the list as evenly spread.
func (s *Scheduler) shareAhead(l *list, own time.Duration) float64 {
	passed := s.key(l) - l.head.task.Arrival - own
	if passed <= 0 {
		return 1
	}
	span := l.tail.task.Arrival - l.head.task.Arrival
	if span <= passed {
		return 0
	}
	return 1 - float64(passed)/float64(span)
}

func (s *Scheduler) jitter(d time.Duration) time.Duration {
	d = min(max(d, minRetry), maxRetry)
	return d + time.Duration(retryJitter*s.rand.Float64()*float64(d))
}

// tooLate is whether a task can no longer end before its deadline, judged by
// the median run time of its class once that is learned, and by the high
// quantile while enough other work waits to use the slot.
func (s *Scheduler) tooLate(now time.Duration, n *node) bool {
	if s.without&LateDrop != 0 {
		return false
	}
	k := n.list.cell.class
	need := time.Duration(0)
	if k.learned() && !k.stale(now) {
		need = min(k.median, n.list.cell.expected)
		if s.waiting > s.running/crowded {
			need = k.high
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
