package runner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// An upstream refuses connections when its process has ended, and behind a cut that resets and
// refuses them while its runs go on. The two cannot be told apart, so a refusal ends no run. It
// shows that nothing can be started, and is reported as a crash until the incarnation answers again.

// ConnectionRefused handles a refused connection to an incarnation of the upstream, or an answer
// that another incarnation has its address. Nothing is started or renewed from then on. The runs
// count as ended only when their lease has expired, or a list of the next incarnation shows it. The
// refusal may be handled after that incarnation has begun.
func (r *Runner) ConnectionRefused(now, requestedAt time.Duration, id UpstreamID) {
	if !r.refusalCounts(requestedAt, id) {
		return
	}
	r.lease.notRenewed(requestedAt)
	if r.refusedSince == 0 {
		r.recordCrash(now, UpstreamID{ID: id.ID})
		r.refusedSince = now
	}
	r.dropWaiting(now, reasonGone)
	r.endRefused(now)
}

// reasonGone is the reason of attempts whose upstream refuses connections.
const reasonGone = "upstream-gone"

// refusalCounts reports whether a refused call was for the present incarnation, which has answered
// no list that was requested later.
func (r *Runner) refusalCounts(requestedAt time.Duration, id UpstreamID) bool {
	return r.upstream != nil && r.upstream.UpstreamID == id && requestedAt >= r.lease.comparedRequestAt
}

// endRefused ends the runs on an upstream that refuses connections whose lease has expired. The
// upstream is retained until its announcement is too old, because it may answer again.
func (r *Runner) endRefused(now time.Duration) {
	if r.refusedSince == 0 || r.upstream == nil {
		return
	}
	for _, a := range slices.Clone(r.active) {
		if a.occupies() && r.lapsedAt(now, a) {
			r.finish(now, a, wire.RunStopped, reasonGone, now-a.startSentAt)
		}
	}
	if !r.gone() {
		return
	}
	// The next list may come from another incarnation, with capacity that is not known yet.
	r.lease.listed = false
	if r.restored.active || now-r.announcedAt > r.settings.AnnouncementMaxAge {
		r.newIncarnation(now, UpstreamID{ID: r.upstream.ID})
		r.upstream = nil
		r.restored = restoredState{}
	}
}

// gone reports whether the upstream refuses connections and none of its runs is left.
func (r *Runner) gone() bool { return r.refusedSince > 0 && r.Running() == 0 }
