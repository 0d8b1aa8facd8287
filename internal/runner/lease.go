package runner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// tokenStep is added to the fencing token when the upstream has seen a higher
// one. It exceeds the steps of a wall clock that was set back between two
// starts of the agent.
const tokenStep = 10_000

// leaseState is what the runner knows of the upstream's clock and lists.
type leaseState struct {
	// clock is the upstream's clock at the agent's time at.
	clock      int64
	clockAt    time.Duration
	clockKnown bool
	// listed is whether the upstream's list of runs has been read in its present
	// life.
	listed bool
	// born is the life that the last list came from.
	startMS int64
	// lastSeen is the number of the last end that was taken note of.
	lastSeen int64
	// acknowledged is the lastSeen that the upstream knows of.
	acknowledged int64
	token        uint64
	// renewedAt is the agent's time when an order with a renewal was last made.
	renewedAt time.Duration
	// asked is when the last question was planned.
	requestedAt time.Duration
	// compared is when the newest list that was compared was asked for.
	comparedRequestAt time.Duration
	// heardAt is when the last list came.
	lastListAt time.Duration
	// dropped is the agent's time from which answers that were asked for count.
	ignoreBefore time.Duration
}

// until returns the end of a lease that begins now on the upstream's clock, or
// 0 if the clock is unknown.
func (l *leaseState) leaseEndMS(now, lease time.Duration) int64 {
	if !l.clockKnown {
		return 0
	}
	return l.clock + int64((now-l.clockAt+lease)/time.Millisecond)
}

func (l *leaseState) raiseToken() { l.token += tokenStep }

// SetToken sets the fencing token of this process.
func (r *Runner) SetToken(token uint64) { r.lease.token = token }

// Token returns the fencing token for orders.
func (r *Runner) Token() uint64 { return r.lease.token }

// Clock handles a reading of the upstream's clock.
func (r *Runner) SetClock(now time.Duration, clockMS int64) {
	r.lease.clock, r.lease.clockAt, r.lease.clockKnown = clockMS, now, true
}

// HoldPlan is how the upstream should be asked for its runs next.
type ListRequest struct {
	// Needed is whether there is a reason to ask.
	Needed bool
	// Until is the lease's new end; 0 leaves it as it is.
	LeaseEndMS int64
	LastSeen   int64
	// Wait is whether the upstream may delay its answer until a run ends.
	Wait    bool
	StartMS int64
}

// ListDue is whether a list that is asked for now would settle something that a
// question which still waits for an end leaves open: a start without an answer, or a
// run after its stop. Tasks whose start was lost are begun anew that much sooner.
func (r *Runner) ListDue(now time.Duration) bool {
	for _, a := range r.active {
		var from time.Duration
		switch {
		case a.phase == phaseStarting:
			from = a.startSentAt + r.settings.StartAnswerTimeout
		case a.phase == phaseStopping && a.stopAnswered && !a.listedAfterStop:
			from = a.stopAnsweredAt
		default:
			continue
		}
		if now > from && (r.lease.requestedAt <= from || now-r.lease.requestedAt >= listRetry) {
			return true
		}
	}
	return false
}

// listRetry is the age of a question without an answer at which it is asked again
// while something waits for it. Upstreams answer in a millisecond.
const listRetry = 20 * time.Millisecond

// PlanHold says how to ask next. The shell calls it after each answer, while
// nothing is needed after each event, and when ListDue says so.
func (r *Runner) NextListRequest(now time.Duration) ListRequest {
	p := ListRequest{LastSeen: r.lease.lastSeen, StartMS: r.lease.startMS}
	due := r.ListDue(now)
	r.lease.requestedAt = now
	busy := false
	stopping := false
	renew := true
	for _, a := range r.active {
		if !a.occupies() {
			continue
		}
		busy = true
		if a.phase == phaseStopping {
			// A run that is known to be stopping ends soon, which ends the wait.
			stopping = stopping || (a.stopAnswered && !a.listedAfterStop)
			if !a.stopAnswered && now-a.stopFirstSentAt > r.settings.StopAnswerTimeout {
				renew = false
			}
		}
	}
	p.Needed = r.upstream != nil && (busy || !r.lease.listed || len(r.foreign) > 0 || r.lease.acknowledged < r.lease.lastSeen)
	if busy && renew {
		p.LeaseEndMS = r.lease.leaseEndMS(now, r.settings.Lease)
		r.lease.renewedAt = now
	}
	p.Wait = busy && !stopping && !due && r.lease.listed && len(r.foreign) == 0
	return p
}

// How a run ended.
type EndKind uint8

// Ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	// HowStopped is a stop or a lease that has run out.
	EndStopped
)

// ListedEnd is an end in the upstream's list.
type EndedRun struct {
	Number  int64
	Attempt wire.LeasedAttempt
	Kind    EndKind
	Text    string
}

// HoldAnswer is the upstream's list of runs.
type RunList struct {
	// AskedAt is the agent's time before the question was sent.
	RequestedAt time.Duration
	Request     ListRequest
	ClockMS     int64
	StartMS     int64
	Running     []wire.LeasedAttempt
	Ended       []EndedRun
}

// Held handles the upstream's list of runs.
func (r *Runner) ListReceived(now time.Duration, h RunList) {
	if h.RequestedAt < r.lease.ignoreBefore || (r.upstream != nil && h.StartMS != 0 && h.StartMS < r.upstream.StartMS) {
		return
	}
	if r.checkRestored(now, h.StartMS); r.upstream == nil {
		return
	}
	if r.lease.startMS != h.StartMS {
		if r.lease.startMS != 0 {
			r.newIncarnation(now, UpstreamID{ID: r.upstreamID().ID, StartMS: h.StartMS})
		}
		r.lease.startMS = h.StartMS
	}
	first := !r.lease.listed
	r.lease.lastListAt = now
	r.health.listReceived()
	r.SetClock(now, h.ClockMS)
	r.lease.acknowledged = max(r.lease.acknowledged, h.Request.LastSeen)
	for _, e := range h.Ended {
		r.handleEnd(now, e)
	}
	if first {
		r.reconcileFirst(now, h)
	}
	r.reconcile(now, h)
	r.lease.listed = true
	r.startWaiting(now)
}

// end handles one listed end.
func (r *Runner) handleEnd(now time.Duration, e EndedRun) {
	if e.Number <= r.lease.lastSeen {
		return
	}
	r.lease.lastSeen = e.Number
	delete(r.foreign, e.Attempt)
	a := r.attempts[e.Attempt]
	if a == nil || !a.occupies() {
		return
	}
	ran := now - a.startSentAt
	r.health.addRun(now, a, e.Kind, ran)
	switch e.Kind {
	case EndDone:
		r.finish(now, a, wire.RunDone, a.reason, ran)
	case EndFailed:
		r.finish(now, a, wire.RunFailed, e.Text, ran)
	default:
		if a.reason == "" {
			a.reason = e.Text
		}
		r.finish(now, a, wire.RunStopped, a.reason, ran)
	}
}

// compare brings the runner in line with the list of runs. Lists on different
// connections may overtake each other; an older one says nothing new.
func (r *Runner) reconcile(now time.Duration, h RunList) {
	if h.RequestedAt < r.lease.comparedRequestAt {
		return
	}
	r.lease.comparedRequestAt = h.RequestedAt
	running := make(map[wire.LeasedAttempt]bool, len(h.Running))
	for _, id := range h.Running {
		running[id] = true
		a := r.attempts[id]
		if a != nil && a.stopAnswered && h.RequestedAt >= a.stopAnsweredAt {
			a.listedAfterStop = true
		}
		switch {
		case a == nil || (a.phase == phaseEnded && a.endedAt < h.RequestedAt):
			r.stopForeign(now, id)
		case a.phase == phaseStarting:
			a.phase = phaseRunning
			a.confirmedAt = now
			a.missingLists = 0
		default:
			a.missingLists = 0
		}
	}
	for id := range r.foreign {
		if !running[id] {
			delete(r.foreign, id)
		}
	}
	for _, a := range slices.Clone(r.active) {
		if !a.occupies() || running[a.id] {
			continue
		}
		r.handleMissing(now, a, h)
	}
}

// missing handles an attempt that the list does not have.
func (r *Runner) handleMissing(now time.Duration, a *attempt, h RunList) {
	switch {
	case a.phase == phaseStopping && a.stopAnswered && h.RequestedAt >= a.stopAnsweredAt:
		// Neither running nor ended after the stop: it never started, unless its
		// end was lost between two lives.
		state := wire.RunNotStarted
		if a.uncertain {
			state = wire.RunStopped
		}
		r.finish(now, a, state, a.reason, 0)
	case a.phase == phaseStarting && h.RequestedAt-a.startSentAt > r.settings.StartAnswerTimeout:
		// The order was not carried out so far, and its answer is overdue. A stop
		// of the same run keeps the upstream from starting it later.
		r.stop(now, a, reasonUnanswered)
	case a.phase == phaseRunning && h.RequestedAt > a.startSentAt:
		// A start that was confirmed after the question shows in the next list.
		a.missingLists++
		if a.missingLists >= maxMissingLists {
			r.finish(now, a, wire.RunStopped, "run-vanished", now-a.startSentAt)
		}
	}
}

// missingLists is the number of lists in a row without a confirmed run after
// which the run counts as gone.
const maxMissingLists = 3

func (r *Runner) stopForeign(now time.Duration, id wire.LeasedAttempt) {
	if r.foreign[id] != nil {
		return
	}
	r.foreign[id] = &foreignRun{stopSentAt: now}
	r.emit(Decision{Attempt: id, Action: "stop", Reason: "unknown-run", FreeCPU: r.freeCPU()})
	r.emit(StopRun{Upstream: r.upstreamID(), Attempt: id})
}

// newLife handles a new life of the upstream, which may have the id of the old
// one. An order that was under way may have reached either, so the attempts are
// sorted out by the first list of the new life; until then nothing is started.
func (r *Runner) newIncarnation(now time.Duration, next UpstreamID) {
	r.emit(UpstreamRestarted{Old: r.upstreamID(), New: next})
	r.foreign = map[wire.LeasedAttempt]*foreignRun{}
	// A higher token keeps the new life, whose clock has started anew, from
	// carrying out orders that were made for the old one.
	r.lease = leaseState{token: r.lease.token + 1, renewedAt: r.lease.renewedAt, ignoreBefore: now}
	r.health = health{}
}

// sortOut handles the first list of a life: attempts that it lacks have ended
// with an earlier one, or their order is still under way.
func (r *Runner) reconcileFirst(now time.Duration, h RunList) {
	running := make(map[wire.LeasedAttempt]bool, len(h.Running))
	for _, id := range h.Running {
		running[id] = true
	}
	for _, a := range slices.Clone(r.active) {
		switch {
		case !a.occupies():
			continue
		case running[a.id]:
		case a.phase == phaseRunning && a.confirmedAt < h.RequestedAt:
			r.finish(now, a, wire.RunStopped, reasonRestarted, now-a.startSentAt)
		case a.phase == phaseStarting:
			a.uncertain = true
			r.stop(now, a, reasonRestarted)
		case a.phase == phaseStopping:
			a.uncertain = true
			// The stop may have been told to the earlier life.
			a.stopAnswered, a.listedAfterStop = false, false
			r.sendStop(now, a)
		}
		a.otherClock = true
	}
}

// reasonRestarted is the reason of attempts that ended with their upstream.
const reasonRestarted = "upstream-restarted"

// UpstreamRestarted is a new life of the upstream, for the log.
type UpstreamRestarted struct{ Old, New UpstreamID }

// Vanished handles an upstream whose address refuses connections: its process
// has ended, and all runs with it.
func (r *Runner) UpstreamEnded(now time.Duration) {
	if r.upstream == nil {
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

// Identity returns the upstream's present life.
func (r *Runner) UpstreamID() UpstreamID { return r.upstreamID() }

// BeatClock handles the upstream's clock in a heartbeat. A heartbeat may have
// waited at a paused agent, so a recent reading goes before it.
func (r *Runner) HeartbeatClock(now time.Duration, clockMS int64) {
	if clockMS > 0 && (!r.lease.clockKnown || now-r.lease.clockAt > clockReadingMaxAge) {
		r.SetClock(now, clockMS)
	}
}

// clockReadingLife is the age from which a reading of the upstream's clock is
// replaced by a heartbeat's. At a rate difference of 2% it is off by 20 ms.
const clockReadingMaxAge = time.Second

// Fenced handles an upstream that has seen a higher token.
func (r *Runner) Fenced() { r.lease.raiseToken() }

// clockRate bounds the length of a lease on the agent's clock, when the
// upstream's runs at a rate that differs by 2%.
const maxClockRatio = 1.03

// lapseMargin is added to the end of a lease for the upstream's own delay.
const lapseMargin = 60 * time.Millisecond

// HoldFailed handles a question to the upstream without an answer. Runs whose
// lease has not been renewed for longer than it lasts have lapsed.
func (r *Runner) ListFailed(now time.Duration) {
	if now-r.lease.renewedAt <= r.lapse(r.settings.Lease) {
		return
	}
	for _, a := range slices.Clone(r.active) {
		if a.occupies() && now-r.lease.renewedAt > r.lapseOf(a) {
			r.finish(now, a, wire.RunStopped, "lease-lapsed", now-a.startSentAt)
		}
	}
	r.dropWaiting(now, "upstream-silent")
	r.lease.listed = false
}

// lapse is the time after its renewal at which a lease has ended for certain.
func (r *Runner) lapse(lease time.Duration) time.Duration {
	return time.Duration(maxClockRatio*float64(lease)) + lapseMargin
}

// lapseOf is the same for an attempt. Without a list that was asked for after its
// start, the start and the renewals since may have reached a new life of the
// upstream, whose clock is behind: they are granted the longest lease.
func (r *Runner) lapseOf(a *attempt) time.Duration {
	if a.otherClock || a.startSentAt >= r.lease.comparedRequestAt {
		return r.settings.CommandTimeout + r.lapse(r.settings.MaxLease)
	}
	return r.lapse(r.settings.Lease)
}
