package dispatch

import (
	"math"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

const (
	// longRunTime is the expected run time above which a task is long work: most
	// tasks last 50 ms to 1 s.
	longRunTime = time.Second
	// longShare is the share of the slots that long work may hold while short work
	// waits.
	longShare = 0.25
	// shortReserveFactor is the number of slots kept free of long work per task of
	// short work that waited or ran at its recent peak.
	shortReserveFactor = 1.25
	// shortPeakHalfLife is the half-life of that peak.
	shortPeakHalfLife = 10 * time.Second
	// stragglerFactor is how many times the 95th percentile of its class a task
	// runs before it counts as a straggler.
	stragglerFactor = 1.5
)

// longWork counts long work, and the short work that it must leave slots for.
type longWork struct {
	longWaiting int
	// longRunning counts long tasks that run and are not stragglers.
	longRunning int
	// shortPeak is the recent peak of short tasks that wait or run.
	shortPeak   float64
	shortPeakAt time.Duration
	// longLimit is the number of slots that long work may hold now.
	longLimit int
}

// updateShortPeak raises the recent peak of short work to the present amount.
func (s *Scheduler) updateShortPeak(now time.Duration) {
	short := float64(s.waiting - s.longWaiting + s.running - s.longWithStragglers)
	if short >= s.decayedPeak(now) {
		s.shortPeak, s.shortPeakAt = short, now
	}
}

func (s *Scheduler) decayedPeak(now time.Duration) float64 {
	return s.shortPeak * math.Exp2(-float64(now-s.shortPeakAt)/float64(shortPeakHalfLife))
}

// updateLongLimit computes the number of slots that long work may hold now.
// While short work waits it is a fixed share; otherwise long work may also use
// the slots that short work has not needed recently.
func (s *Scheduler) updateLongLimit(now time.Duration) {
	slots := max(s.equalShare(), float64(s.running))
	limit := longShare * slots
	if s.waiting == s.longWaiting {
		limit = max(limit, slots-shortReserveFactor*s.decayedPeak(now))
	}
	s.longLimit = max(1, int(limit))
	if s.longRunning >= s.longLimit {
		s.findStragglers(now)
	}
}

func (s *Scheduler) longAtLimit() bool {
	return s.disabled&LongShare == 0 && s.longRunning >= s.longLimit
}

// findStragglers stops counting the long tasks that run far longer than the
// rest of their class, so that a few of them cannot block all long work.
func (s *Scheduler) findStragglers(now time.Duration) {
	if s.disabled&Stragglers != 0 {
		return
	}
	for _, k := range s.classList {
		if !k.learned() {
			continue
		}
		after := time.Duration(stragglerFactor * float64(k.p95))
		for k.long.head != nil && now-k.long.head.started > after {
			n := k.long.head
			n.straggler = true
			s.removeLongRunning(n)
		}
	}
}

func (s *Scheduler) addLongRunning(n *node) {
	s.longRunning++
	s.class(n.task.Class).long.push(n)
}

func (s *Scheduler) removeLongRunning(n *node) {
	n.list.remove(n)
	s.longRunning--
	invariant.Check(s.longRunning >= 0, "dispatch_long_running_not_negative")
}
