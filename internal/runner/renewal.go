package runner

import "time"

// A lease covers all runs on the upstream: a renewal, by a list request or by a start, renews
// it for each of them. So it may be renewed only as long as each run is permitted, whatever
// tick or stop is late.

// leaseRenewable reports whether the lease may be renewed now.
func (r *Runner) leaseRenewable(now time.Duration) bool {
	for _, f := range r.foreign {
		if now-f.foundAt > r.settings.StopAnswerTimeout {
			return false
		}
	}
	for _, a := range r.active {
		if a.occupies() && !a.stopAnswered && now > r.renewableUntil(a) {
			return false
		}
	}
	return true
}

// renewableUntil returns the time until which the lease may be renewed for an attempt whose
// stop the upstream has not accepted.
func (r *Runner) renewableUntil(a *attempt) time.Duration {
	var confirmedAt time.Duration
	if s := r.entries[a.entry]; s != nil {
		confirmedAt = s.confirmedAt
	}
	until := confirmedAt + r.settings.ConfirmationTimeout + r.settings.StopAnswerTimeout
	if a.phase == phaseStopping {
		until = min(until, a.stopFirstSentAt+r.settings.StopAnswerTimeout)
	}
	return until
}
