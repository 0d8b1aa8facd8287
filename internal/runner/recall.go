package runner

import "time"

// An agent process that has just started would have to wait for its upstream's next
// heartbeat, more than a second, to know its capacity. Recall answers restarts of
// agents, above all of all at once: it takes what an earlier process of the agent has
// stored, and the first list of runs shows whether that is still the same life.

// recalled is what the runner knows from an earlier process only.
type restoredState struct {
	active bool
	at     time.Duration
	// expired is set RecallLife later.
	expired bool
}

// Recall handles the announcement that an earlier process of the agent has stored.
// It counts until the upstream announces itself, and for RecallLife at most.
func (r *Runner) Restore(now time.Duration, a Announcement) {
	if r.upstream != nil || r.announced || a.StartMS == 0 {
		return
	}
	a.Seq = 0
	r.upstream = &a
	r.restored = restoredState{active: true, at: now}
	r.emit(Restored{UpstreamID: a.UpstreamID, Draining: a.Draining})
}

// trusted is whether the announcement may be acted on. A recalled one counts for the
// life that the list of runs comes from. After RecallLife the upstream may be leaving
// without the agent's knowledge.
func (r *Runner) announcementValid() bool {
	return !r.restored.active || (r.lease.startMS == r.upstream.StartMS && !r.restored.expired)
}

// checkRecalled forgets a recalled announcement when the first list shows another
// life. It has started nothing by then.
func (r *Runner) checkRestored(now time.Duration, born int64) {
	if r.restored.active && r.lease.startMS == 0 && born != r.upstream.StartMS {
		r.newIncarnation(now, UpstreamID{StartMS: born})
		r.dropWaiting(now, "upstream-restarted")
		r.upstream = nil
		r.restored = restoredState{}
	}
}

// expireRecalled stops new starts when no announcement has come.
func (r *Runner) expireRestored(now time.Duration) {
	if r.restored.active && !r.restored.expired && now-r.restored.at > r.settings.RestoredMaxAge {
		r.restored.expired = true
		r.dropWaiting(now, "no-heartbeat")
	}
}

// Recalled says that an earlier process's announcement is used, for the log.
type Restored struct {
	UpstreamID
	Draining bool
}
