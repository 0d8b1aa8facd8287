package runner

import "time"

// An agent process that has just started would have to wait for its upstream's next
// heartbeat, more than a second, to know its capacity. Restore avoids this wait after
// restarts of agents, above all of all at once: it uses the announcement that an
// earlier process of the agent has stored, and the first list of runs shows whether
// the upstream is still the same incarnation.

// restoredState is the state of an announcement that comes from an earlier process.
type restoredState struct {
	active bool
	at     time.Duration
	// expired is set RestoredMaxAge later.
	expired bool
}

// Restore handles the announcement that an earlier process of the agent has stored.
// It is used until the upstream announces itself, and for RestoredMaxAge at most.
func (r *Runner) Restore(now time.Duration, a Announcement) {
	if r.upstream != nil || r.announced || a.StartMS == 0 {
		return
	}
	a.Seq = 0
	r.upstream = &a
	r.restored = restoredState{active: true, at: now}
	r.emit(Restored{UpstreamID: a.UpstreamID, Draining: a.Draining})
}

// announcementValid reports whether the announcement may be acted on: it comes from the incarnation
// that the list of runs comes from, as the next one may have other capacity and labels. After
// RestoredMaxAge a restored one is invalid, because the upstream may be leaving without the agent's
// knowledge.
func (r *Runner) announcementValid() bool {
	return r.lease.startMS == r.upstream.StartMS && !(r.restored.active && r.restored.expired)
}

// checkRestored drops a restored announcement if the first list comes from another
// incarnation. No task has been started from it by then.
func (r *Runner) checkRestored(now time.Duration, born int64) {
	if r.restored.active && r.lease.startMS == 0 && born != r.upstream.StartMS {
		r.newIncarnation(now, UpstreamID{StartMS: born})
		r.dropWaiting(now, "upstream-restarted")
		r.upstream = nil
		r.restored = restoredState{}
	}
}

// expireRestored stops new starts if no announcement of the upstream has come.
func (r *Runner) expireRestored(now time.Duration) {
	if r.restored.active && !r.restored.expired && now-r.restored.at > r.settings.RestoredMaxAge {
		r.restored.expired = true
		r.dropWaiting(now, "no-heartbeat")
	}
}

// Restored reports that an earlier process's announcement is used, for the log.
type Restored struct {
	UpstreamID
	Draining bool
}
