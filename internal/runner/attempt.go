package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/wire"
)

// phase is the stage of an attempt's life cycle.
type phase uint8

const (
	// phaseWaiting: in the queue, occupies no capacity.
	phaseWaiting phase = iota
	// phaseStarting: the start command has no answer yet.
	phaseStarting
	// phaseRunning: the upstream has confirmed the start.
	phaseRunning
	// phaseStopping: the attempt runs or may run, and has to end.
	phaseStopping
	// phaseEnded: nothing of the attempt runs on the upstream or will.
	phaseEnded
)

// attempt is one run of a task.
type attempt struct {
	id     wire.LeasedAttempt
	entry  EntryID
	assign wire.Assign
	phase  phase
	state  wire.RunState
	// reason is why the attempt is stopped or has ended.
	reason  string
	runTime time.Duration

	// dueAt is the time by which the task should start; startDeadline is the time
	// after which it must not start, or 0 if there is none.
	dueAt, startDeadline time.Duration
	queueIndex           int

	// startSentAt is when the start command was sent, startedFor the incarnation that it was
	// for.
	startSentAt time.Duration
	startedFor  UpstreamID
	// confirmedAt is when the start was confirmed.
	confirmedAt time.Duration
	// stopFirstSentAt and stopLastSentAt are when the stop command was first and last
	// sent.
	stopFirstSentAt, stopLastSentAt time.Duration
	// stopRetry is the time from the last stop command to the next.
	stopRetry time.Duration
	// stopAnswered is whether the upstream has answered the stop command.
	stopAnswered bool
	// listedAfterStop is whether a list requested after that answer still has the run.
	listedAfterStop bool
	stopAnsweredAt  time.Duration
	// uncertain is set if a new incarnation of the upstream may have run the attempt
	// and dropped its end, because the first list request to it acknowledges ends by
	// the numbers of the incarnation before.
	uncertain bool
	// otherClock is set if the start command was made for the clock of an earlier
	// incarnation: if the current one carries it out, it grants its longest lease.
	otherClock bool
	// clockConfirmed is set if the answer to the start had the clock that the command was made
	// for, so that the run holds no longer lease than it asked for.
	clockConfirmed bool
	// missingLists counts the consecutive lists that lack a confirmed run.
	missingLists int
	endedAt      time.Duration
	// endedUpstream is the upstream's incarnation, listAge and leaseAge the ages of the last
	// list and renewal, when the attempt ended.
	endedUpstream     UpstreamID
	listAge, leaseAge time.Duration
	// retainsSpec is whether the spec counts in Runner.specBytes.
	retainsSpec bool
	// charged is the core time that was charged to the budget when it was preempted.
	charged time.Duration
}

type endedAttempt struct {
	attempt *attempt
	at      time.Duration
}

// barredAttempt is an attempt that an entry has withdrawn while another entry's ended run had its
// number. A late Assign of it starts nothing.
type barredAttempt struct {
	entry   EntryID
	attempt wire.LeasedAttempt
}

// occupies reports whether the attempt occupies capacity of the upstream.
func (a *attempt) occupies() bool { return a.phase > phaseWaiting && a.phase < phaseEnded }

// foreignRun is a run that this process did not start.
type foreignRun struct {
	foundAt, stopSentAt time.Duration
}

// Assign handles a task from an entry.
func (r *Runner) Assign(now time.Duration, id EntryID, m wire.Assign) {
	s := r.entry(id)
	s.lastSeq = max(s.lastSeq, m.Seq)
	echo := time.Duration(m.EchoMS) * time.Millisecond
	a := &attempt{
		id: m.Attempt, entry: id, assign: m, state: wire.RunWaiting, queueIndex: -1,
		dueAt: now + time.Duration(m.SlackMS)*time.Millisecond,
	}
	if m.StartWithinMS > 0 {
		a.startDeadline = now + time.Duration(m.StartWithinMS)*time.Millisecond
	}
	if r.barred[barredAttempt{id, a.id}] > 0 {
		r.emit(Report{Entry: id, Attempt: a.id, State: wire.RunStopped, Reason: reasonReplaced})
		return
	}
	if old := r.attempts[a.id]; old != nil {
		switch {
		case old.entry == id:
			r.report(old)
			return
		case !old.state.Final():
			r.emit(Report{Entry: id, Attempt: a.id, State: wire.RunNotStarted, Reason: reasonLive})
			return
		}
		// A caller has resubmitted its job to another entry, which numbers the runs
		// from 1 as well. The upstream refuses a run number that it has seen.
	}
	r.attempts[a.id] = a
	r.active = append(r.active, a)
	if reason := r.refusalReason(now, echo, m); reason != "" {
		r.finish(now, a, wire.RunNotStarted, reason, 0)
		return
	}
	s.confirmedAt = max(s.confirmedAt, echo)
	if r.trialConflicts(now, a) {
		r.finish(now, a, wire.RunNotStarted, "trial-limit", 0)
		return
	}
	if !r.specFits(len(m.Spec)) {
		r.finish(now, a, wire.RunNotStarted, reasons.NoMemory, 0)
		return
	}
	r.specBytes += len(m.Spec)
	a.retainsSpec = true
	if m.OnlyIfFits && !(r.leaseRenewable(now) && r.fits(now, a) && r.queue.goesFirst(a) && !(r.health.suspect && r.Running() > 0)) {
		r.finish(now, a, wire.RunNotStarted, "no-room", 0)
		return
	}
	r.liveByTask[a.id.Task] = a
	r.queue.push(a)
	r.startWaiting(now)
	if a.phase == phaseWaiting {
		// The entry takes an agent that does not react to an Assign for unreachable.
		r.report(a)
	}
}

// reasonReplaced is the reason of an attempt whose record another entry's has replaced.
const reasonReplaced = "replaced"

// reasonLive is the reason for refusing a task that has another live attempt.
const reasonLive = "task-is-live"

// refusalReason returns why a task cannot be taken, or an empty string.
func (r *Runner) refusalReason(now, echo time.Duration, m wire.Assign) string {
	switch {
	case now-echo > r.settings.ConfirmationTimeout:
		// The message was delayed: the entry may have given the task up, and another
		// entry may run it by now.
		return "stale-order"
	case r.upstream == nil:
		return "no-upstream"
	case r.draining:
		return "agent-leaving"
	case r.upstream.Draining:
		return "draining"
	case r.evacuated():
		return reasonEvacuated
	case !r.mayStart(now):
		return "not-ready"
	case r.upstream.Service != m.Service:
		return "other-service"
	case m.CPU < 0 || m.MemMB < 0:
		return "invalid-size"
	case m.CPU > r.upstream.CPU || m.MemMB > r.upstream.MemMB:
		return reasonTooLarge
	case r.liveByTask[m.Attempt.Task] != nil:
		return reasonLive
	}
	return ""
}

// reasonTooLarge is the reason for refusing a task that exceeds the upstream's capacity.
const reasonTooLarge = "too-large"

// returnTooLarge refuses the waiting tasks that exceed the upstream's capacity, which may have
// shrunk.
func (r *Runner) returnTooLarge(now time.Duration) {
	for _, a := range slices.Clone(r.queue) {
		if a.assign.CPU > r.upstream.CPU || a.assign.MemMB > r.upstream.MemMB {
			r.finish(now, a, wire.RunNotStarted, reasonTooLarge, 0)
		}
	}
}

// Withdraw handles an entry's withdrawal of a task.
func (r *Runner) Withdraw(now time.Duration, id EntryID, m wire.Withdraw) {
	a := r.attempts[m.Attempt]
	switch {
	case a != nil && a.entry != id:
		r.reportReplaced(id, a)
		if a.state.Final() {
			r.barred[barredAttempt{id, m.Attempt}] = now
		}
	case a == nil:
		// The Assign may still arrive on an older link: make sure that it starts
		// nothing.
		a = &attempt{id: m.Attempt, entry: id, queueIndex: -1}
		r.attempts[m.Attempt] = a
		r.finish(now, a, wire.RunNotStarted, "withdrawn", 0)
	case a.state.Final():
		r.report(a)
	case a.phase == phaseWaiting:
		r.finish(now, a, wire.RunNotStarted, "withdrawn", 0)
	case !m.OnlyIfWaiting:
		r.stop(now, a, "withdrawn")
	}
	r.startWaiting(now)
}

// Resume reports the state of an entry's attempts after a reconnection. The entry
// lists the attempts that it knows; all others of the entry are withdrawn.
func (r *Runner) Resume(now time.Duration, id EntryID, m wire.Resume) {
	listed := make(map[wire.LeasedAttempt]bool, len(m.Attempts))
	for _, ref := range m.Attempts {
		listed[ref] = true
		a := r.attempts[ref]
		switch {
		case a == nil:
			r.Withdraw(now, id, wire.Withdraw{Attempt: ref})
		case a.entry != id:
			r.reportReplaced(id, a)
		default:
			r.report(a)
		}
	}
	for _, a := range slices.Clone(r.active) {
		if a.entry == id && !a.state.Final() && !listed[a.id] {
			r.Withdraw(now, id, wire.Withdraw{Attempt: a.id})
		}
	}
}

// reportReplaced answers an entry that asks for an attempt whose number another entry's
// attempt has. While that one is live, the asker's was refused for it. Afterwards the
// asker's may have run and ended before its record was replaced.
func (r *Runner) reportReplaced(id EntryID, present *attempt) {
	m := Report{Entry: id, Attempt: present.id, State: wire.RunStopped, Reason: reasonReplaced}
	if !present.state.Final() {
		m.State, m.Reason = wire.RunNotStarted, reasonLive
	}
	r.emit(m)
}

// startWaiting starts waiting tasks in the queue's order while they fit. Each start renews the
// lease.
func (r *Runner) startWaiting(now time.Duration) {
	if !r.mayStart(now) || !r.leaseRenewable(now) {
		return
	}
	for len(r.queue) > 0 && r.fits(now, r.queue[0]) && !(r.health.suspect && r.Running() > 0) {
		r.start(now, r.queue[0])
	}
	r.preemptForWaiting(now)
}

// fits reports whether an attempt may start beside what runs. A cold upstream takes one at
// least.
func (r *Runner) fits(now time.Duration, a *attempt) bool {
	if r.usedCPU+a.assign.CPU > r.upstream.CPU || r.usedMem+a.assign.MemMB > r.upstream.MemMB {
		return false
	}
	return r.usedCPU == 0 || r.usedCPU+a.assign.CPU <= r.usableCPU(now)
}

func (r *Runner) start(now time.Duration, a *attempt) {
	if r.entrySilent(now, a.entry) {
		r.finish(now, a, wire.RunNotStarted, "entry-silent", 0)
		return
	}
	r.queue.remove(a)
	a.phase = phaseStarting
	a.state = wire.RunStarted
	a.startSentAt, a.startedFor = now, r.upstream.UpstreamID
	r.lease.renewed(now)
	r.usedCPU += a.assign.CPU
	r.usedMem += a.assign.MemMB
	r.startRates.add(now, a.assign.Priority, a.assign.CPU)
	invariant.Check(!r.evacuated(), "runner_nothing_starts_in_evacuated_data_centre", "data_centre", r.settings.DataCentre)
	invariant.Check(r.usedCPU <= r.upstream.CPU && r.usedMem <= r.upstream.MemMB, "runner_within_capacity",
		"cpu", r.usedCPU, "capacity", r.upstream.CPU)
	basis := &StartBasis{Upstream: r.upstream.UpstreamID, Token: r.lease.token, LeaseEndMS: r.lease.leaseEndMS(now, r.settings.Lease),
		ConfirmationAge: now - r.entry(a.entry).confirmedAt}
	r.emit(StartRun{Upstream: basis.Upstream, Attempt: a.id, Spec: a.assign.Spec, LeaseEndMS: basis.LeaseEndMS, SentAt: now})
	r.emit(Decision{Entry: a.entry, Attempt: a.id, Action: "start", FreeCPU: r.upstream.CPU - r.usedCPU, Start: basis,
		Waited: now - (a.dueAt - time.Duration(a.assign.SlackMS)*time.Millisecond)})
	r.report(a)
}

// reasonUnanswered is the reason of an attempt whose start got no answer and was
// made void.
const reasonUnanswered = "start-unanswered"

// Started handles the upstream's answer to a start.
func (r *Runner) Started(now time.Duration, id wire.LeasedAttempt, answer StartAnswer) {
	a := r.attempts[id]
	if a == nil || !a.occupies() || (answer.SentAt > 0 && answer.SentAt != a.startSentAt) {
		return
	}
	r.dropSpec(a)
	clockAgrees := r.lease.clockAgrees(a.startSentAt, answer.ClockMS)
	if answer.ClockMS > 0 && a.startedFor == r.upstreamID() {
		r.SetClock(now, answer.ClockMS)
	}
	switch answer.Outcome {
	case StartAccepted:
		a.clockConfirmed = clockAgrees
		if a.phase == phaseStarting {
			a.phase = phaseRunning
			a.confirmedAt = now
		}
	case StartRefused:
		r.finish(now, a, wire.RunNotStarted, "upstream-"+answer.Reason, 0)
		switch answer.Reason {
		case ReasonFence:
			r.lease.raiseToken()
		case ReasonOtherIncarnation:
			// The incarnation meant has ended; the new one will announce itself.
			r.ConnectionRefused(now, a.startSentAt, a.startedFor)
		}
	case StartUnanswered:
		// The command may be carried out at any time before its own deadline. A
		// stop of the same run keeps the upstream from starting it later.
		if a.phase == phaseStarting {
			r.stop(now, a, reasonUnanswered)
		}
	}
	r.startWaiting(now)
}

// stop begins to end an attempt that runs or may run.
func (r *Runner) stop(now time.Duration, a *attempt, reason string) {
	if a.phase == phaseStopping {
		return
	}
	a.phase = phaseStopping
	a.reason = reason
	a.stopFirstSentAt = now
	a.stopRetry = r.settings.StopRetry
	r.emit(Decision{Entry: a.entry, Attempt: a.id, Action: "stop", Reason: reason, FreeCPU: r.freeCPU(), Waited: now - a.startSentAt})
	r.sendStop(now, a)
}

func (r *Runner) freeCPU() int {
	if r.upstream == nil {
		return 0
	}
	return max(0, r.upstream.CPU-r.usedCPU)
}

func (r *Runner) sendStop(now time.Duration, a *attempt) {
	a.stopLastSentAt = now
	r.emit(StopRun{Upstream: r.upstreamID(), Attempt: a.id})
}

func (r *Runner) upstreamID() UpstreamID {
	if r.upstream == nil {
		return UpstreamID{}
	}
	return r.upstream.UpstreamID
}

func (r *Runner) retryStops(now time.Duration) {
	for _, a := range r.active {
		if a.phase == phaseStopping && !a.stopAnswered && now-a.stopLastSentAt >= a.stopRetry {
			a.stopRetry = min(2*a.stopRetry, r.settings.StopRetryMax)
			r.sendStop(now, a)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(r.foreign), wire.LeasedAttempt.Compare) {
		f := r.foreign[id]
		if now-f.stopSentAt >= r.settings.StopRetryMax {
			f.stopSentAt = now
			r.emit(StopRun{Upstream: r.upstreamID(), Attempt: id})
		}
	}
}

// Stopped handles the upstream's answer to a stop.
func (r *Runner) Stopped(now time.Duration, id wire.LeasedAttempt, answered bool) {
	a := r.attempts[id]
	if a == nil || a.phase != phaseStopping || !answered || a.stopAnswered {
		return
	}
	a.stopAnswered = true
	a.stopAnsweredAt = now
}

// finish ends an attempt of which nothing runs on the upstream or ever will.
func (r *Runner) finish(now time.Duration, a *attempt, state wire.RunState, reason string, ran time.Duration) {
	if a.occupies() {
		r.usedCPU -= a.assign.CPU
		r.usedMem -= a.assign.MemMB
	}
	r.queue.remove(a)
	r.dropSpec(a)
	a.phase = phaseEnded
	a.state = state
	a.reason = reason
	a.runTime = ran
	a.endedAt = now
	a.endedUpstream, a.listAge, a.leaseAge = r.upstreamID(), now-r.lease.lastListAt, now-r.lease.renewedAt
	r.preemptedEnded(now, a)
	if r.liveByTask[a.id.Task] == a {
		delete(r.liveByTask, a.id.Task)
	}
	r.active = slices.DeleteFunc(r.active, func(o *attempt) bool { return o == a })
	r.ended = append(r.ended, endedAttempt{attempt: a, at: now})
	r.report(a)
}

func (r *Runner) report(a *attempt) {
	r.emit(Report{Entry: a.entry, Attempt: a.id, State: a.state, Reason: a.reason, RunTime: a.runTime,
		ListAge: a.listAge, LeaseAge: a.leaseAge, Upstream: a.endedUpstream})
}

func (r *Runner) dropWaiting(now time.Duration, reason string) {
	for len(r.queue) > 0 {
		a := r.queue[0]
		r.finish(now, a, wire.RunNotStarted, reason, 0)
	}
}

func (r *Runner) expireWaiting(now time.Duration) {
	for i := 0; i < len(r.queue); {
		a := r.queue[i]
		if a.startDeadline == 0 || now <= a.startDeadline {
			i++
			continue
		}
		r.finish(now, a, wire.RunNotStarted, "too-late", 0)
		i = 0
	}
}
