package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// phase tells where an attempt is on its way.
type phase uint8

const (
	// phaseWaiting: in the queue, takes no room.
	phaseWaiting phase = iota
	// phaseStarting: the order to start is on its way.
	phaseStarting
	// phaseRunning: the upstream has confirmed the start.
	phaseRunning
	// phaseStopping: the attempt runs or may run, and has to end.
	phaseStopping
	// phaseEnded: no trace of the attempt is left on the upstream.
	phaseEnded
)

// attempt is one run of a task.
type attempt struct {
	id     wire.LeasedAttempt
	entry  EntryID
	assign wire.Assign
	phase  phase
	state  wire.RunState
	// reason, with ended attempts, tells why.
	reason string
	runTime    time.Duration

	// urgent is the time by which the task should start; startBy is the time
	// after which it must not.
	dueAt, startDeadline time.Duration
	queueIndex           int

	// sentAt is when the order to start was sent.
	startSentAt time.Duration
	// confirmedAt is when the start was confirmed.
	confirmedAt time.Duration
	// stopAt is when the order to stop was first and last sent.
	stopFirstSentAt, stopLastSentAt time.Duration
	// stopRetry is the time from the last order to stop to the next.
	stopRetry time.Duration
	// stopTold is whether the upstream has answered the stop.
	stopAnswered bool
	// seenStopping is whether a list from after that still has the run.
	listedAfterStop bool
	stopAnsweredAt  time.Duration
	// uncertain is set where a new life of the upstream may have run the attempt and
	// forgotten its end, because the first question to it takes note of ends by the
	// numbers of the life before.
	uncertain bool
	// otherClock is set where the start was made for the clock of an earlier life: the
	// present one, if it carries it out, grants its longest lease.
	otherClock bool
	// missing counts the lists in a row that lack a confirmed run.
	missingLists int
	endedAt      time.Duration
}

// occupies is whether the attempt takes room on the upstream.
func (a *attempt) occupies() bool { return a.phase > phaseWaiting && a.phase < phaseEnded }

// foreignRun is a run that this process did not start.
type foreignRun struct {
	stopSentAt time.Duration
}

// Assign handles a task from an entry.
func (r *Runner) Assign(now time.Duration, id EntryID, m wire.Assign) {
	s := r.entry(id)
	s.seen = max(s.seen, m.Seq)
	echo := time.Duration(m.EchoMS) * time.Millisecond
	a := &attempt{
		id: m.Attempt, entry: id, assign: m, state: wire.RunWaiting, queueIndex: -1,
		dueAt: now + time.Duration(m.SlackMS)*time.Millisecond,
	}
	if m.StartWithinMS > 0 {
		a.startDeadline = now + time.Duration(m.StartWithinMS)*time.Millisecond
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
		// A caller has sent its job again, to another entry, which numbers the
		// runs from 1 as well. The upstream tells which it has seen.
	}
	r.attempts[a.id] = a
	r.active = append(r.active, a)
	if reason := r.refusalReason(now, echo, m); reason != "" {
		r.finish(now, a, wire.RunNotStarted, reason, 0)
		return
	}
	s.confirmed = max(s.confirmed, echo)
	if m.OnlyIfFits && !(r.fits(a) && r.queue.goesFirst(a) && !(r.health.suspect && r.Running() > 0)) {
		r.finish(now, a, wire.RunNotStarted, "no-room", 0)
		return
	}
	r.liveByTask[a.id.Task] = a
	r.queue.push(a)
	r.startWaiting(now)
}

// reasonLive is the reason for a task that another attempt still runs.
const reasonLive = "task-is-live"

// refusal tells why a task cannot be taken, or is empty.
func (r *Runner) refusalReason(now, echo time.Duration, m wire.Assign) string {
	switch {
	case now-echo > r.settings.ConfirmationTimeout:
		// The message was held up on the way: the entry may have given the task
		// up, and another entry may run it by now.
		return "stale-order"
	case r.upstream == nil:
		return "no-upstream"
	case r.draining:
		return "agent-leaving"
	case r.upstream.Draining:
		return "draining"
	case !r.ready():
		return "not-ready"
	case r.upstream.Service != m.Service:
		return "other-service"
	case m.CPU > r.upstream.CPU || m.MemMB > r.upstream.MemMB:
		return "too-large"
	case r.liveByTask[m.Attempt.Task] != nil:
		return reasonLive
	}
	return ""
}

// Withdraw handles an entry that takes a task back.
func (r *Runner) Withdraw(now time.Duration, id EntryID, m wire.Withdraw) {
	a := r.attempts[m.Attempt]
	switch {
	case a != nil && a.entry != id:
		r.reportReplaced(id, m.Attempt)
	case a == nil:
		// The order may still be on its way on an older link: make sure that it
		// starts nothing.
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

// Resume answers an entry's question for the state of its attempts.
func (r *Runner) Resume(now time.Duration, id EntryID, m wire.Resume) {
	asked := make(map[wire.LeasedAttempt]bool, len(m.Attempts))
	for _, ref := range m.Attempts {
		asked[ref] = true
		a := r.attempts[ref]
		switch {
		case a == nil:
			r.Withdraw(now, id, wire.Withdraw{Attempt: ref})
		case a.entry != id:
			r.reportReplaced(id, ref)
		default:
			r.report(a)
		}
	}
	for _, a := range slices.Clone(r.active) {
		if a.entry == id && !a.state.Final() && !asked[a.id] {
			r.Withdraw(now, id, wire.Withdraw{Attempt: a.id})
		}
	}
}

// replaced tells an entry that its attempt has ended: another entry's attempt with
// the same number has taken its place, which happens only after the end.
func (r *Runner) reportReplaced(id EntryID, ref wire.LeasedAttempt) {
	r.emit(Report{Entry: id, Attempt: ref, State: wire.RunNotStarted, Reason: "replaced"})
}

// startWaiting starts tasks in order while they fit.
func (r *Runner) startWaiting(now time.Duration) {
	if !r.ready() {
		return
	}
	for len(r.queue) > 0 && r.fits(r.queue[0]) && !(r.health.suspect && r.Running() > 0) {
		r.start(now, r.queue[0])
	}
}

func (r *Runner) fits(a *attempt) bool {
	return r.usedCPU+a.assign.CPU <= r.upstream.CPU && r.usedMem+a.assign.MemMB <= r.upstream.MemMB
}

func (r *Runner) start(now time.Duration, a *attempt) {
	if r.entrySilent(now, a.entry) {
		r.finish(now, a, wire.RunNotStarted, "entry-silent", 0)
		return
	}
	r.queue.remove(a)
	a.phase = phaseStarting
	a.state = wire.RunStarted
	a.startSentAt = now
	r.lease.renewedAt = now
	r.usedCPU += a.assign.CPU
	r.usedMem += a.assign.MemMB
	invariant.Check(r.usedCPU <= r.upstream.CPU && r.usedMem <= r.upstream.MemMB, "runner_within_capacity",
		"cpu", r.usedCPU, "capacity", r.upstream.CPU)
	r.emit(StartRun{Upstream: r.upstream.UpstreamID, Attempt: a.id, Spec: a.assign.Spec, LeaseEndMS: r.lease.leaseEndMS(now, r.settings.Lease)})
	r.emit(Decision{Entry: a.entry, Attempt: a.id, Action: "start", FreeCPU: r.upstream.CPU - r.usedCPU, Waited: now - (a.dueAt - time.Duration(a.assign.SlackMS)*time.Millisecond)})
	r.report(a)
}

// reasonUnanswered is the reason of an attempt whose start got no answer and was
// made void.
const reasonUnanswered = "start-unanswered"

// Started handles the upstream's answer to a start.
func (r *Runner) Started(now time.Duration, id wire.LeasedAttempt, answer StartAnswer) {
	a := r.attempts[id]
	if a == nil || !a.occupies() {
		return
	}
	switch answer.Outcome {
	case StartAccepted:
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
			// Nothing of the known life is left; the new one will announce itself.
			r.UpstreamEnded(now)
		}
	case StartUnanswered:
		// The order may be carried out at any time before its own deadline. A
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

// finish ends an attempt: nothing of it runs on the upstream or ever will.
func (r *Runner) finish(now time.Duration, a *attempt, state wire.RunState, reason string, ran time.Duration) {
	if a.occupies() {
		r.usedCPU -= a.assign.CPU
		r.usedMem -= a.assign.MemMB
	}
	r.queue.remove(a)
	a.phase = phaseEnded
	a.state = state
	a.reason = reason
	a.runTime = ran
	a.endedAt = now
	if r.liveByTask[a.id.Task] == a {
		delete(r.liveByTask, a.id.Task)
	}
	r.active = slices.DeleteFunc(r.active, func(o *attempt) bool { return o == a })
	r.ended = append(r.ended, endedAttempt{attempt: a, at: now})
	r.report(a)
}

func (r *Runner) report(a *attempt) {
	r.emit(Report{Entry: a.entry, Attempt: a.id, State: a.state, Reason: a.reason, RunTime: a.runTime})
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
