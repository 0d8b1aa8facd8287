package dispatch

import (
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

const (
	// wantHorizon is the time within which the credits that come with the results
	// of running tasks serve waiting tasks, so that these need no Want.
	wantHorizon = 220 * time.Millisecond
	// meanRunWindow is the number of runs over which the mean run time is taken.
	meanRunWindow = 200
	// staleCreditAge is the age from which credits are used one per round trip: if
	// another owner has taken the slots, one refusal shows it before more starts
	// are refused. refusalMargin is added to the round trip.
	staleCreditAge = 50 * time.Millisecond
	refusalMargin  = time.Millisecond
)

// upstream is an upstream with its credits.
type upstream struct {
	Upstream
	health
	group *group
	// memberIndex is the position in the group's members; levelIndex is the
	// position among the group's upstreams of the same level, or -1.
	memberIndex, levelIndex int
	level                   int
	inFlight                int
	removed                 bool
	// updated is the time at which the credits arrived.
	updated time.Duration
	// suspect is set while the credits are probably used up by other owners.
	suspect bool
	// pausedUntil is the time until which no further task is sent.
	pausedUntil time.Duration
}

// usable returns the number of tasks that may be sent now, by credits and by the
// limit of an upstream that returns from ejection.
func (u *upstream) usable(now time.Duration) int {
	if now >= u.Expires {
		return 0
	}
	if now < u.pausedUntil {
		return 0
	}
	n := u.Credits
	if u.maxInFlight > 0 {
		n = min(n, u.maxInFlight-u.inFlight)
	}
	return max(n, 0)
}

// spend takes one credit.
func (u *upstream) spend() {
	invariant.Check(u.Credits > 0, "dispatch_credit_spent_once")
	u.Credits--
	u.inFlight++
}

// endTask counts the end of an assignment. It gives no credit back: the agent
// grants each credit, with the message that ends the task.
func (u *upstream) endTask() {
	u.inFlight--
	invariant.Check(u.inFlight >= 0, "dispatch_in_flight_not_negative")
}

// pauseIfStale holds back further starts on an upstream whose credits are old
// until a refusal of the last start would have arrived.
func (s *Scheduler) pauseIfStale(now time.Duration, u *upstream) {
	if s.disabled&StaleCredits != 0 || now-u.updated <= staleCreditAge {
		return
	}
	u.pausedUntil = now + 2*u.group.distance + refusalMargin
	s.paused = append(s.paused, u)
}

// resumePaused updates the levels of the upstreams whose pause is over.
func (s *Scheduler) resumePaused(now time.Duration) {
	paused := s.paused[:0]
	for _, u := range s.paused {
		if u.pausedUntil > now {
			paused = append(paused, u)
			continue
		}
		s.updateLevel(now, u)
	}
	s.paused = paused
}
