package dispatch

import (
	"container/heap"
	"math"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

// quantum is the slot time that a caller of weight 1 is granted per round. It
// is a few mean run times, so that short tasks can go first across callers
// within a round.
const quantum = time.Second

// caller holds the queues and the account of one caller.
type caller struct {
	name     string
	weight   float64
	maxSlots int
	maxQueue int

	// buckets by class index, then by range of declared run times.
	buckets [][]*bucket
	// lists are the non-empty waiting lists.
	lists   []*list
	waiting int
	running int

	// deficit is the slot time that the caller may still use in this round. It
	// is charged with the expected run time at the start of a task and
	// corrected by the run time at its end.
	deficit time.Duration
	// leftRound is the scheduler's round when the caller last became inactive.
	leftRound float64
	// refusedWork is the slot time of refused jobs that are expected to be
	// submitted again, as of refusedAt. It is used only to compute retry times.
	refusedWork float64
	refusedAt   time.Duration
	// index is the position among the active callers, or -1.
	index int
	// blockedIn is the scheduler's decision in which no task of the caller could
	// start.
	blockedIn uint64
}

func (s *Scheduler) caller(name string) *caller {
	if c, ok := s.callers[name]; ok {
		return c
	}
	c := s.peekCaller(name)
	s.callers[name] = c
	return c
}

// peekCaller returns a caller; one that is new is not added.
func (s *Scheduler) peekCaller(name string) *caller {
	if c, ok := s.callers[name]; ok {
		return c
	}
	c := &caller{name: name, index: -1}
	s.applyQuota(c)
	return c
}

// defaultMaxQueued is the number of waiting tasks of one caller at one owner
// when none is configured. It bounds memory; admission refuses far earlier.
const defaultMaxQueued = 50_000

// applyQuota sets a caller's limits from the settings. Limits for the whole
// installation are divided by the number of owners, and are at least one,
// because a limit of zero would starve the caller.
func (s *Scheduler) applyQuota(c *caller) {
	q := s.settings.Callers[c.name]
	c.weight = q.Weight
	if c.weight <= 0 {
		c.weight = 1
	}
	c.maxSlots = s.perOwner(q.MaxSlots)
	c.maxQueue = s.perOwner(q.MaxQueued)
	if c.maxQueue == 0 {
		c.maxQueue = defaultMaxQueued
	}
}

func (s *Scheduler) perOwner(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, limit/s.owners())
}

// activate adds a caller that has its first waiting task to the active callers.
// A negative deficit shrinks by the grants of the rounds since the caller became
// inactive, because others were served then; unused deficit is not carried over.
func (s *Scheduler) activate(c *caller) {
	granted := (s.round - c.leftRound) * float64(c.grant())
	c.deficit = time.Duration(min(0, float64(c.deficit)+granted))
	c.index = len(s.active)
	s.active = append(s.active, c)
}

func (s *Scheduler) deactivate(c *caller) {
	last := s.active[len(s.active)-1]
	s.active[c.index] = last
	last.index = c.index
	s.active = s.active[:len(s.active)-1]
	c.index = -1
	c.leftRound = s.round
}

// charge takes slot time from the caller's deficit. A negative time is a refund.
func (c *caller) charge(d time.Duration) {
	c.deficit = min(c.deficit-d, c.grant())
}

// grant returns the slot time that a caller gets in one round.
func (c *caller) grant() time.Duration {
	return max(1, time.Duration(c.weight*float64(quantum)))
}

// maxCandidates is the number of callers among which one decision looks for the
// first task. It bounds the time of a decision.
const maxCandidates = 16

// pick returns the list to serve next in deficit round robin: among the callers
// that have deficit left in this round, the one whose first task has the
// smallest key. It returns nil if nothing can start.
func (s *Scheduler) pick() *list {
	for {
		l, rounds := s.scan()
		if l != nil || math.IsInf(rounds, 1) {
			return l
		}
		s.grantRounds(rounds)
	}
}

// scan returns the best list among the next callers with deficit, from the
// cursor on. If there is none it returns the number of rounds after which a
// caller has deficit again.
func (s *Scheduler) scan() (*list, float64) {
	rounds := math.Inf(1)
	var first *list
	var firstKey time.Duration
	seen := 0
	at := s.cursor - 1
	for range s.active {
		if at++; at >= len(s.active) {
			at = 0
		}
		c := s.active[at]
		if c.blockedIn == s.decision {
			continue
		}
		if c.deficit <= 0 {
			rounds = min(rounds, 1+math.Floor(float64(-c.deficit)/float64(c.grant())))
			continue
		}
		l, k := s.bestList(c)
		if l == nil {
			c.blockedIn = s.decision
			continue
		}
		if seen == 0 {
			s.cursor = at
		}
		if first == nil || k < firstKey {
			first, firstKey = l, k
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	return first, rounds
}

// grantRounds grants the slot time of several rounds at once, so that a large
// negative deficit costs no more time than a small one.
func (s *Scheduler) grantRounds(rounds float64) {
	s.round += rounds
	for _, c := range s.active {
		one := float64(c.grant())
		c.deficit = time.Duration(min(float64(c.deficit)+rounds*one, one))
	}
}

// pickAny returns the list with the smallest key of all callers. It replaces
// pick when fairness is switched off.
func (s *Scheduler) pickAny() *list {
	var first *list
	var firstKey time.Duration
	for _, c := range s.active {
		l, k := s.bestList(c)
		if l == nil {
			continue
		}
		if first == nil || k < firstKey {
			first, firstKey = l, k
		}
	}
	return first
}

// addRunning counts a task that starts or ends against its caller's cap.
func (c *caller) addRunning(d int) {
	c.running += d
	invariant.Check(c.running >= 0, "dispatch_caller_running_not_negative")
}

// overruns is a heap of running tasks. A task that runs longer than the time that
// its caller was charged for is charged again, so that a straggler counts while
// it runs and not only when it ends.
type overruns []*node

func (o overruns) Len() int           { return len(o) }
func (o overruns) Less(i, j int) bool { return o[i].chargedUntil() < o[j].chargedUntil() }

func (o overruns) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].overrunIndex, o[j].overrunIndex = i, j
}

func (o *overruns) Push(x any) {
	n := x.(*node)
	n.overrunIndex = len(*o)
	*o = append(*o, n)
}

func (o *overruns) Pop() any {
	last := (*o)[len(*o)-1]
	(*o)[len(*o)-1] = nil
	*o = (*o)[:len(*o)-1]
	return last
}

func (n *node) chargedUntil() time.Duration { return n.started + n.charged }

// overrunShare is the part of the charged time that is charged again at once.
const overrunShare = 0.5

// minOverrunCharge is the least time charged again.
const minOverrunCharge = 100 * time.Millisecond

func (s *Scheduler) chargeOverruns(now time.Duration) {
	for len(s.overruns) > 0 && s.overruns[0].chargedUntil() <= now {
		n := s.overruns[0]
		more := max(minOverrunCharge, time.Duration(overrunShare*float64(n.charged)))
		n.charged += more
		n.caller.charge(more)
		heap.Fix(&s.overruns, 0)
	}
}
