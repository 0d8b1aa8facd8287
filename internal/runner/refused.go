package runner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// ConnectionRefused handles a refused connection to an incarnation of the upstream whose process
// is not known to have ended, or an answer that another incarnation has its address. The process may go on, so
// nothing is started or renewed, and the runs count as ended only when their lease has expired, or
// a list of the next incarnation shows it. The refusal may be handled after that incarnation has
// begun.
func (r *Runner) ConnectionRefused(now, requestedAt time.Duration, id UpstreamID) {
	if !r.refusalCounts(requestedAt, id) {
		return
	}
	if r.refusedSince == 0 {
		r.refusedSince = now
	}
	r.dropWaiting(now, "upstream-gone")
	r.endRefused(now)
}

// refusalCounts reports whether a refused call was for the present incarnation, which has answered
// no list that was requested later.
func (r *Runner) refusalCounts(requestedAt time.Duration, id UpstreamID) bool {
	return r.upstream != nil && r.upstream.UpstreamID == id && requestedAt >= r.lease.comparedRequestAt
}

// endRefused gives up an upstream that refuses connections once no run can be left.
func (r *Runner) endRefused(now time.Duration) {
	if r.refusedSince == 0 || r.upstream == nil {
		return
	}
	for _, a := range r.active {
		if a.occupies() && !r.lapsedAt(now, a) {
			return
		}
	}
	r.UpstreamEnded(now, now, r.upstream.UpstreamID)
}

// UpstreamEnded handles the end of an incarnation's process, and so of all its runs: it has broken
// off a call, refuses connections, and none to it is left open.
func (r *Runner) UpstreamEnded(now, requestedAt time.Duration, id UpstreamID) {
	if !r.refusalCounts(requestedAt, id) {
		return
	}
	r.newIncarnation(now, UpstreamID{ID: r.upstream.ID})
	for _, a := range slices.Clone(r.active) {
		if a.occupies() {
			r.finish(now, a, wire.RunStopped, reasonRestarted, now-a.startSentAt)
		}
	}
	r.dropWaiting(now, "upstream-gone")
	r.upstream = nil
	r.restored = restoredState{}
}
