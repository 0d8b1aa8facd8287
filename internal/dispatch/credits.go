package dispatch

import (
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

const (
	// wantHorizon is the time in which the results of running tasks serve waiting
	// tasks without a Want.
	wantHorizon = 220 * time.Millisecond
	// meanRunMemory is the number of runs over which the mean run time is taken.
	meanRunMemory = 200
	// staleTime is the age from which on credits are used one per round trip: if
	// another owner has taken the slots, one refusal tells so before more starts
	// are refused. confirmSlack is added to the round trip.
	staleTime    = 50 * time.Millisecond
	confirmSlack = time.Millisecond
)

// upstream is an upstream with its credits.
type upstream struct {
	Upstream
	health
	group *group
	// member is the position in the group's members; pos is the position among
	// the group's upstreams of the same level, or -1.
	member, pos int
	level       int
	inFlight    int
	gone        bool
	updated     time.Duration
	// suspect is set while the credits are probably used up by other owners.
	suspect bool
	// pausedUntil is the time until which no further task is sent.
	pausedUntil time.Duration
}

// usable is the number of tasks that may be sent now, by credits and by the
// limit of an upstream that returns from ejection.
func (u *upstream) usable(now time.Duration) int {
	if now >= u.Expires {
		return 0
	}
	if now < u.pausedUntil {
		return 0
	}
	n := u.Credits
	if u.limit > 0 {
		n = min(n, u.limit-u.inFlight)
	}
	return max(n, 0)
}

// spend takes one credit.
func (u *upstream) spend() {
	invariant.Check(u.Credits > 0, "dispatch_credit_spent_once")
	u.Credits--
	u.inFlight++
}

// settle ends an assignment. It gives no credit back: the agent grants each
// credit, with the message that ends the task.
func (u *upstream) settle() {
	u.inFlight--
	invariant.Check(u.inFlight >= 0, "dispatch_in_flight_not_negative")
}

// pace holds back further starts on an upstream whose credits are old until a
// refusal of the last start would have arrived.
func (s *Scheduler) pace(now time.Duration, u *upstream) {
	if s.without&StaleCredits != 0 || now-u.updated <= staleTime {
		return
	}
	u.pausedUntil = now + 2*u.group.distance + confirmSlack
	s.paused = append(s.paused, u)
}

// resume files the upstreams again whose pause is over.
func (s *Scheduler) resume(now time.Duration) {
	kept := s.paused[:0]
	for _, u := range s.paused {
		if u.pausedUntil > now {
			kept = append(kept, u)
			continue
		}
		s.rank(now, u)
	}
	s.paused = kept
}
