package runner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// tokenStep is added to the fencing token when the upstream has seen a higher one.
// The first token of an agent process comes from the wall clock, and tokenStep exceeds
// the steps by which that clock may have been set back between two starts of the
// agent.
const tokenStep = 10_000

// leaseState is the runner's state of the upstream's clock, lease and lists.
type leaseState struct {
	// clock is the upstream's clock at the agent's time clockAt.
	clock      int64
	clockAt    time.Duration
	clockKnown bool
	// listed is whether a list of runs of the upstream's current incarnation has
	// arrived.
	listed bool
	// startMS identifies the incarnation that the last list came from.
	startMS int64
	// lastSeen is the number of the last end that was processed.
	lastSeen int64
	// acknowledged is the last lastSeen that the upstream has received.
	acknowledged int64
	token        uint64
	// renewedAt is the agent's time when a command or list request with a renewal was
	// last made, renewedBefore that of the one before.
	renewedAt, renewedBefore time.Duration
	// requestedAt is when the last list request was planned.
	requestedAt time.Duration
	// comparedRequestAt is the request time of the newest list that was compared.
	comparedRequestAt time.Duration
	// lastListAt is when the last list arrived.
	lastListAt time.Duration
	// unreadableSince is when the incarnation's first list with unreadable running rows arrived.
	unreadableSince time.Duration
	// ignoreBefore is the agent's time before which requested lists are ignored.
	ignoreBefore time.Duration
}

// leaseEndMS returns the end, on the upstream's clock, of a lease that begins now,
// or 0 if the clock is unknown.
func (l *leaseState) leaseEndMS(now, lease time.Duration) int64 {
	if !l.clockKnown {
		return 0
	}
	return l.clock + int64((now-l.clockAt+lease)/time.Millisecond)
}

// clockTolerance is how far a reading of the upstream's clock may lie behind the expected one. It
// allows for rounding, and for clock rates that differ by 2% since a reading of 100 ms ago.
const clockTolerance = 3 * time.Millisecond

// clockAgrees reports whether an answer to a call made at the time at has the clock that was
// expected then.
func (l *leaseState) clockAgrees(at time.Duration, clockMS int64) bool {
	return l.clockKnown && clockMS > 0 && clockMS >= l.leaseEndMS(at, -clockTolerance)
}

// renewed notes a call with a renewal.
func (l *leaseState) renewed(now time.Duration) {
	l.renewedBefore, l.renewedAt = l.renewedAt, now
}

// notRenewed notes that the call made at the time at reached nobody.
func (l *leaseState) notRenewed(at time.Duration) {
	if at == l.renewedAt && l.renewedBefore > 0 {
		l.renewedAt, l.renewedBefore = l.renewedBefore, 0
	}
}

func (l *leaseState) raiseToken() { l.token += tokenStep }

// SetToken sets the fencing token for commands.
func (r *Runner) SetToken(token uint64) { r.lease.token = token }

// Token returns the fencing token for commands.
func (r *Runner) Token() uint64 { return r.lease.token }

// SetClock handles a reading of the upstream's clock.
func (r *Runner) SetClock(now time.Duration, clockMS int64) {
	r.lease.clock, r.lease.clockAt, r.lease.clockKnown = clockMS, now, true
}

// ListRequest is the next request for the upstream's list of runs.
type ListRequest struct {
	// Needed is whether there is a reason to send the request.
	Needed bool
	// LeaseEndMS is the lease's new end on the upstream's clock; 0 leaves it
	// unchanged.
	LeaseEndMS int64
	// LastSeen is the number of the last end that was processed. The upstream may
	// drop the ends up to it.
	LastSeen int64
	// Wait is whether the upstream may delay its answer until a run ends.
	Wait bool
	// StartMS identifies the incarnation that the last list came from.
	StartMS int64
}

// ListDue reports whether a list requested now would resolve something that a request
// which still waits for a run's end does not: a start without an answer, or a run
// after its stop. Tasks whose start command was lost are restarted sooner that way.
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

// listRetry is the age of an unanswered list request at which it is repeated while
// something depends on it. Upstreams answer within a millisecond.
const listRetry = 20 * time.Millisecond

// NextListRequest returns the next list request. The I/O layer calls it after each
// answer, after each event while no request is needed, and when ListDue is true.
func (r *Runner) NextListRequest(now time.Duration) ListRequest {
	request := ListRequest{LastSeen: r.lease.lastSeen, StartMS: r.lease.startMS}
	due := r.ListDue(now)
	r.lease.requestedAt = now
	busy := false
	stopping := false
	for _, a := range r.active {
		if !a.occupies() {
			continue
		}
		busy = true
		if a.phase == phaseStopping {
			// A run that a list has shown after its stop ends soon, and its end
			// completes a waiting request. Before such a list no request waits.
			stopping = stopping || (a.stopAnswered && !a.listedAfterStop)
		}
	}
	request.Needed = r.upstream != nil && (busy || !r.lease.listed || len(r.foreign) > 0 || r.lease.acknowledged < r.lease.lastSeen)
	if busy && r.refusedSince == 0 && r.leaseRenewable(now) {
		request.LeaseEndMS = r.lease.leaseEndMS(now, r.settings.Lease)
		r.lease.renewed(now)
	}
	request.Wait = busy && !stopping && !due && r.lease.listed && len(r.foreign) == 0
	return request
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	// EndStopped is a stop or an expired lease.
	EndStopped
)

// EndedRun is an ended run in the upstream's list.
type EndedRun struct {
	Number  int64
	Attempt wire.LeasedAttempt
	Kind    EndKind
	Text    string
}

// RunList is the upstream's list of runs.
type RunList struct {
	// RequestedAt is the agent's time before the request was sent.
	RequestedAt time.Duration
	Request     ListRequest
	ClockMS     int64
	StartMS     int64
	Running     []wire.LeasedAttempt
	Ended       []EndedRun
	// UnreadableRows is the number of running rows without a readable task, and
	// UnreadableTasks are the tasks of those without a readable run number.
	UnreadableRows  int
	UnreadableTasks []wire.LeasedTask
	// MalformedRows are the texts of all rows that cannot be read, for the log.
	MalformedRows []string
}

// mayHide reports whether a row that cannot be read may be a run of the task.
func (l *RunList) mayHide(task wire.LeasedTask) bool {
	return l.UnreadableRows > 0 || slices.Contains(l.UnreadableTasks, task)
}

// ListReceived handles the upstream's list of runs.
func (r *Runner) ListReceived(now time.Duration, list RunList) {
	if list.RequestedAt < r.lease.ignoreBefore || (r.upstream != nil && list.StartMS != 0 && list.StartMS < r.upstream.StartMS) {
		return
	}
	if r.checkRestored(now, list.StartMS); r.upstream == nil {
		return
	}
	if r.lease.startMS != list.StartMS {
		if r.lease.startMS != 0 {
			r.newIncarnation(now, UpstreamID{ID: r.upstreamID().ID, StartMS: list.StartMS})
		}
		r.lease.startMS = list.StartMS
	}
	r.lapsed = nil
	r.refusedSince = 0
	r.retractCrash(now)
	first := !r.lease.listed
	r.lease.lastListAt = now
	r.health.listReceived()
	r.SetClock(now, list.ClockMS)
	r.lease.acknowledged = max(r.lease.acknowledged, list.Request.LastSeen)
	for _, e := range list.Ended {
		r.handleEnd(now, e)
	}
	if first && r.awaitUnreadable(now, list) {
		return
	}
	if first {
		r.reconcileFirst(now, list)
	}
	r.reconcile(now, list)
	r.lease.listed = true
	r.startWaiting(now)
}

// awaitUnreadable reports whether a first list has rows that may be runs of an earlier process
// of the agent, which nobody can stop. Those end with their lease, which is not renewed
// while this process has no runs; a row that is still listed then is no run.
func (r *Runner) awaitUnreadable(now time.Duration, list RunList) bool {
	if list.UnreadableRows == 0 && len(list.UnreadableTasks) == 0 {
		return false
	}
	if r.lease.unreadableSince == 0 {
		r.lease.unreadableSince = now
	}
	if now-r.lease.unreadableSince > r.settings.CommandTimeout+r.lapse(r.settings.MaxLease) {
		return false
	}
	for _, id := range list.Running {
		if r.attempts[id] == nil {
			r.stopForeign(now, id)
		}
	}
	return true
}

// handleEnd handles an ended run in a list.
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
	switch {
	case !r.cold.at(a.startSentAt):
		r.health.addRun(now, a, e.Kind, ran)
	case e.Kind == EndDone:
		r.cold.addRun(ran, a.assign.ExpectedMS)
	}
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

// reconcile updates the attempts from the list of runs. Lists on different connections
// may overtake each other; one that was requested before the last one is ignored.
func (r *Runner) reconcile(now time.Duration, list RunList) {
	if list.RequestedAt < r.lease.comparedRequestAt {
		return
	}
	r.lease.comparedRequestAt = list.RequestedAt
	running := make(map[wire.LeasedAttempt]bool, len(list.Running))
	for _, id := range list.Running {
		running[id] = true
		a := r.attempts[id]
		if a != nil && a.stopAnswered && list.RequestedAt >= a.stopAnsweredAt {
			a.listedAfterStop = true
		}
		switch {
		case a == nil || (a.phase == phaseEnded && a.endedAt < list.RequestedAt):
			if a != nil && r.foreign[id] == nil {
				r.emit(RunFound{Attempt: id, State: a.state, Reason: a.reason, Age: now - a.endedAt})
			}
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
		if !running[id] && !list.mayHide(id.Task) {
			delete(r.foreign, id)
		}
	}
	for _, a := range slices.Clone(r.active) {
		if !a.occupies() || running[a.id] || list.mayHide(a.id.Task) {
			continue
		}
		r.handleMissing(now, a, list)
	}
}

// handleMissing handles an attempt that the list lacks.
func (r *Runner) handleMissing(now time.Duration, a *attempt, list RunList) {
	switch {
	case a.phase == phaseStopping && a.stopAnswered && list.RequestedAt >= a.stopAnsweredAt:
		// Neither running nor ended after the stop: it never started, unless its
		// end was lost between two incarnations.
		state := wire.RunNotStarted
		if a.uncertain {
			state = wire.RunStopped
		}
		r.finish(now, a, state, a.reason, 0)
	case a.phase == phaseStarting && list.RequestedAt-a.startSentAt > r.settings.StartAnswerTimeout:
		// The command was not carried out so far, and its answer is overdue. A stop
		// of the same run keeps the upstream from starting it later.
		r.stop(now, a, reasonUnanswered)
	case a.phase == phaseRunning && list.RequestedAt > a.confirmedAt:
		// A list that was requested before the confirmation may be older than the start.
		a.missingLists++
		if a.missingLists >= maxMissingLists {
			r.finish(now, a, wire.RunStopped, "run-vanished", now-a.startSentAt)
		}
	}
}

// maxMissingLists is the number of consecutive lists without a confirmed run after
// which the run has ended.
const maxMissingLists = 3

func (r *Runner) stopForeign(now time.Duration, id wire.LeasedAttempt) {
	if r.foreign[id] != nil {
		return
	}
	r.foreign[id] = &foreignRun{foundAt: now, stopSentAt: now}
	r.emit(Decision{Attempt: id, Action: "stop", Reason: "unknown-run", FreeCPU: r.freeCPU()})
	r.emit(StopRun{Upstream: r.upstreamID(), Attempt: id})
}

// newIncarnation handles a new incarnation of the upstream, which may have the ID of
// the old one. A command that was in flight may have reached either, so the attempts
// are resolved by the first list of the new incarnation; until then nothing is
// started.
func (r *Runner) newIncarnation(now time.Duration, next UpstreamID) {
	r.recordCrash(now, next)
	r.refusedSince = 0
	r.emit(UpstreamRestarted{Old: r.upstreamID(), New: next})
	r.foreign = map[wire.LeasedAttempt]*foreignRun{}
	// A higher token keeps the new incarnation, whose clock has started anew, from
	// carrying out commands that were made for the old one.
	r.lease = leaseState{token: r.lease.token + 1, renewedAt: r.lease.renewedAt, ignoreBefore: now}
	r.health = health{speedWeight: r.health.speedWeight, speedLogSum: r.health.speedLogSum}
}

// reconcileFirst handles the first list of an incarnation: attempts that it lacks have
// ended with an earlier incarnation, or their start command is still in flight.
func (r *Runner) reconcileFirst(now time.Duration, list RunList) {
	running := make(map[wire.LeasedAttempt]bool, len(list.Running))
	for _, id := range list.Running {
		running[id] = true
	}
	for _, a := range slices.Clone(r.active) {
		switch {
		case !a.occupies():
			continue
		case running[a.id] && a.phase == phaseStopping:
			// The stop may have been accepted by the earlier incarnation.
			a.stopAnswered, a.listedAfterStop = false, false
			r.sendStop(now, a)
		case running[a.id] || list.mayHide(a.id.Task):
		case a.phase == phaseRunning && a.confirmedAt < list.RequestedAt:
			r.finish(now, a, wire.RunStopped, reasonRestarted, now-a.startSentAt)
		case a.phase == phaseStarting:
			a.uncertain = true
			r.stop(now, a, reasonRestarted)
		case a.phase == phaseStopping:
			a.uncertain = true
			// The stop may have reached the earlier incarnation.
			a.stopAnswered, a.listedAfterStop = false, false
			r.sendStop(now, a)
		}
		a.otherClock = true
	}
}

// reasonRestarted is the reason of attempts that ended with their upstream.
const reasonRestarted = "upstream-restarted"

// UpstreamRestarted reports a new incarnation of the upstream, for the log.
type UpstreamRestarted struct{ Old, New UpstreamID }

// UpstreamID returns the upstream's current incarnation.
func (r *Runner) UpstreamID() UpstreamID { return r.upstreamID() }

// HeartbeatClock handles the upstream's clock in a heartbeat. A heartbeat may have
// waited at a paused agent, so a recent reading takes precedence.
func (r *Runner) HeartbeatClock(now time.Duration, clockMS int64) {
	if clockMS > 0 && (!r.lease.clockKnown || now-r.lease.clockAt > clockReadingMaxAge) {
		r.SetClock(now, clockMS)
	}
}

// clockReadingMaxAge is the age from which a reading of the upstream's clock is
// replaced by a heartbeat's. With clock rates that differ by 2% it is off by 20 ms.
const clockReadingMaxAge = time.Second

// Fenced handles an upstream that has seen a higher token.
func (r *Runner) Fenced() { r.lease.raiseToken() }

// maxClockRatio bounds the length of a lease on the agent's clock if the upstream's
// clock runs at a rate that differs by 2%.
const maxClockRatio = 1.03

// lapseMargin is added to the end of a lease for the upstream's own delay.
const lapseMargin = 60 * time.Millisecond

// ListFailed handles a list request without an answer. Runs whose lease was last
// renewed longer ago than it lasts have ended with it.
func (r *Runner) ListFailed(now time.Duration) {
	if now-r.lease.renewedAt <= r.lapse(r.settings.Lease) {
		return
	}
	for _, a := range slices.Clone(r.active) {
		if a.occupies() && r.lapsedAt(now, a) {
			r.runLapsed(a)
			r.finish(now, a, wire.RunStopped, "lease-lapsed", now-a.startSentAt)
		}
	}
	r.dropWaiting(now, "upstream-silent")
	r.lease.listed = false
}

// lapsedAt reports whether the lease of an attempt has certainly expired.
func (r *Runner) lapsedAt(now time.Duration, a *attempt) bool {
	return now-r.lease.renewedAt > r.lapseOf(a) && !r.earlierRenewalMayHold(now)
}

// lapse returns the time after its renewal by which a lease has certainly expired.
func (r *Runner) lapse(lease time.Duration) time.Duration {
	return time.Duration(maxClockRatio*float64(lease)) + lapseMargin
}

// earlierRenewalMayHold reports whether a list request to the earlier incarnation, with the end of a
// lease on its clock, may have got the longest lease of the present one. It holds for all runs,
// those included that were started later.
func (r *Runner) earlierRenewalMayHold(now time.Duration) bool {
	return r.lease.ignoreBefore > 0 && now-r.lease.ignoreBefore <= r.settings.CommandTimeout+r.lapse(r.settings.MaxLease)
}

// lapseOf returns the same for an attempt. Without a list requested after its start, and
// without the expected clock in the answer to it, the start and the renewals since may have
// reached a new incarnation of the upstream, whose clock is behind: they are granted the longest
// lease.
func (r *Runner) lapseOf(a *attempt) time.Duration {
	if a.otherClock || (!a.clockConfirmed && a.startSentAt >= r.lease.comparedRequestAt) {
		return r.settings.CommandTimeout + r.lapse(r.settings.MaxLease)
	}
	return r.lapse(r.settings.Lease)
}
