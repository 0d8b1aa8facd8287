package broker

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/brokerapi"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/outcomes"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/runtimes"
	"github.com/damasklb/damasklb/internal/wire"
)

// job is a submission that has not ended, or whose runs may not all have ended.
type job struct {
	sub     Submission
	stats   *runtimes.Stats
	arrived time.Duration
	// waited is the time for which the caller had certainly waited before.
	waited time.Duration
	// waiters are the requests without an answer.
	waiters []Waiter
	// requestedAt is when the last request with the job was read. If it may have been held up, the
	// end of its connection is awaited until heldUntil.
	requestedAt, heldUntil time.Duration
	tasks                  []*task
	openTasks              int
	// longestExpected is the expected run time of the longest task.
	longestExpected time.Duration
	// placed counts the tasks that each agent has or that are planned for it, if a step limits
	// them.
	placed map[*agent]int
	// started is whether a task has started or may have, startedEarlier the same of an earlier
	// submission to this broker.
	started, startedEarlier bool
	// closing is set once the outcome is decided. The job stays until no run is
	// left; pending holds the requests that arrive meanwhile.
	closing bool
	outcome Outcome
	// cutShort is whether a run of the job was preempted or cut short otherwise, or may have
	// been.
	cutShort bool
	// verified is whether agents with old reports were asked for new ones.
	verified bool
	// answered is whether the outcome was sent to the waiters.
	answered bool
	pending  []pendingSubmission
	// earlierLastRun is the highest run number of an earlier submission to this
	// broker, lastRun the highest so far.
	earlierLastRun, lastRun uint64
}

type pendingSubmission struct {
	sub    Submission
	waiter Waiter
	// at is when the request was read.
	at time.Duration
}

// task is one task of a job.
type task struct {
	job   *job
	index int
	spec  TaskSpec
	// expected is the run time expected on a healthy upstream.
	expected time.Duration

	done bool
	// runTime is the run time of a task that is done.
	runTime  time.Duration
	failures int
	// agent has the current attempt; nil if there is none.
	agent      *agent
	run        uint64
	assignedAt time.Duration
	seq        uint64
	started    bool
	startedAt  time.Duration
	// withdrawn is whether a withdrawal of the attempt was sent, onlyIfWaiting
	// whether it applies only to an attempt that still waits, and withdrawnAt when
	// it was last sent.
	withdrawn, onlyIfWaiting bool
	withdrawnAt              time.Duration
	// rejections counts the agents that unexpectedly had no free capacity.
	rejections int
	// avoidHost is the host of the last failure.
	avoidHost string
	// acceptedToWait is whether the task was sent to an agent to wait there for free
	// capacity.
	acceptedToWait bool
	// unplaced is whether the task is in Broker.unplaced, unplacedAt since when.
	unplaced   bool
	unplacedAt time.Duration
	// positions are those in the lists that have the task.
	positions [listKinds]int
	// trial is the trial of the current attempt, trialTime the run time that ends it.
	trial     wire.Trial
	trialTime time.Duration
	// trialRefusals counts the agents that have refused the task for another suspect.
	trialRefusals int
	// lostRuns counts the runs whose end is unknown.
	lostRuns int
	// rack is nil for a task that never waits for a rack.
	rack *locality.Task
	// previous is the last run that has ended, previousAt when the entry learned or concluded it.
	previous   *PreviousRun
	previousAt time.Duration
	// liveAt is the agent that last refused the task because another run of it is live
	// there, nil if there is none; liveRetryAt is when that agent is asked again.
	liveAt      *agent
	liveRetryAt time.Duration
}

func (t *task) attempt() wire.LeasedAttempt {
	return wire.LeasedAttempt{Task: wire.LeasedTask{Job: t.job.sub.ID, Index: uint16(t.index)}, Run: t.run}
}

// Submit handles a request with a job. A copy of a request whose job has no outcome
// yet joins that job.
func (b *Broker) Submit(now time.Duration, sub Submission, w Waiter) {
	b.submit(now, pendingSubmission{sub: sub, waiter: w, at: now})
}

func (b *Broker) submit(now time.Duration, p pendingSubmission) {
	sub, w := p.sub, p.waiter
	if j := b.jobs[sub.ID]; j != nil {
		if !j.closing {
			j.waiters = append(j.waiters, w)
			j.requestedAt = p.at
			return
		}
		// Runs of the earlier submission may be left. The new one waits for
		// their end, so that no task runs twice at the same time.
		j.pending = append(j.pending, p)
		return
	}
	earlier, _ := b.answers.Get(sub.ID)
	if earlier.Final() {
		b.emit(Answer{Waiter: w, Job: sub.ID, Outcome: earlier.Outcome})
		return
	}
	if b.poison.IsPoison(now, sub.ID) {
		b.emit(Answer{Waiter: w, Job: sub.ID, Outcome: b.poisonOutcome(sub.ID)})
		return
	}
	j := newJob(now, sub, b.statsOf(sub.Queue.Name), b.racks)
	j.waiters, j.earlierLastRun, j.lastRun, j.startedEarlier = []Waiter{w}, earlier.LastRun, earlier.LastRun, earlier.Started
	j.requestedAt = p.at
	if b.absence.HeldUp(now) {
		j.heldUntil = now + b.settings.ResumeDelay
	}
	b.noteTimeout(j)
	// Another entry may have run it.
	j.started = b.poison.HasRun(sub.ID)
	b.jobs[sub.ID] = j
	if b.giveUpSuspect(now, j) {
		return
	}
	b.countArrival(now, j)
	if refusal, refused := b.admit(now, j); refused {
		delete(b.jobs, sub.ID)
		if j.started || j.startedEarlier {
			refusal.Kind = Unknown
		}
		b.answer(j, w, refusal)
	}
}

// answer answers a waiter of a job. The waiter leaves the job, so that nothing that follows
// answers it again.
func (b *Broker) answer(j *job, w Waiter, o Outcome) {
	j.waiters = slices.DeleteFunc(j.waiters, func(other Waiter) bool { return other == w })
	b.emit(Answer{Waiter: w, Job: j.sub.ID, Outcome: o})
}

func newJob(now time.Duration, sub Submission, stats *runtimes.Stats, racks *locality.Racks) *job {
	j := &job{sub: sub, stats: stats, arrived: now, openTasks: len(sub.Tasks)}
	for i, spec := range sub.Tasks {
		spec.Estimate = min(spec.Estimate, brokerapi.MaxEstimate)
		expected := stats.Expected(spec.Estimate)
		j.longestExpected = max(j.longestExpected, expected)
		j.tasks = append(j.tasks, &task{job: j, index: i, spec: spec, expected: expected,
			rack: racks.NewTask(sub.Queue.Name, locality.Key{Service: sub.Queue.Service, Rack: spec.PreferredRack}, spec.CPU)})
	}
	return j
}

// CallerLeft handles a request whose caller no longer waits. A job for which no
// caller waits is given up.
func (b *Broker) CallerLeft(now time.Duration, id string, w Waiter) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	j.pending = slices.DeleteFunc(j.pending, func(p pendingSubmission) bool { return p.waiter == w })
	j.waiters = slices.DeleteFunc(j.waiters, func(o Waiter) bool { return o == w })
	if len(j.waiters) == 0 && !j.closing {
		b.close(now, j, callerLeft)
	}
}

// callerLeft is the outcome of a job for which no caller waits.
var callerLeft = Outcome{Kind: Unknown, Reason: "caller-left"}

// Cancel ends a job at its caller's request.
func (b *Broker) Cancel(now time.Duration, id string) bool {
	j := b.jobs[id]
	if j == nil || j.closing {
		return false
	}
	b.close(now, j, Outcome{Kind: Unknown, Reason: "cancelled"})
	return true
}

// CloseAll gives up all jobs, as the entry shuts down.
func (b *Broker) CloseAll(now time.Duration, reason string) {
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		if j := b.jobs[id]; j != nil && !j.closing {
			b.close(now, j, Outcome{Kind: Refused, Reason: reason, RetryAfter: minRetryAfter})
		}
	}
}

// close sets a job's outcome and withdraws its tasks.
func (b *Broker) close(now time.Duration, j *job, o Outcome) {
	if j.closing {
		return
	}
	j.closing = true
	j.outcome = o
	// No task of it is assigned any more.
	j.sub.Spec = ""
	for _, t := range j.tasks {
		b.releaseTask(t)
		if t.agent != nil {
			b.withdraw(now, t, false)
		}
	}
	b.resolve(now, j)
}

func (b *Broker) withdraw(now time.Duration, t *task, onlyIfWaiting bool) {
	t.withdrawn, t.onlyIfWaiting, t.withdrawnAt = true, onlyIfWaiting, now
	b.send(t.agent, &wire.Withdraw{Attempt: t.attempt(), OnlyIfWaiting: onlyIfWaiting})
}

// withdrawRetry is the time after which a withdrawal without an effect is sent
// again, because the first may have been lost with its link.
const withdrawRetry = 100 * time.Millisecond

// retryWithdrawals resends withdrawals that have had no effect. Otherwise a run
// whose withdrawal was lost would continue, because its entry confirms all runs.
func (b *Broker) retryWithdrawals(now time.Duration) {
	for _, a := range b.agentList {
		for t := range a.tasks.all() {
			if t.withdrawn && now-t.withdrawnAt >= withdrawRetry {
				b.withdraw(now, t, t.onlyIfWaiting)
			}
		}
	}
}

// resolve answers a job whose outcome is decided as soon as the answer is certain,
// and removes the job once no run is left.
func (b *Broker) resolve(now time.Duration, j *job) {
	if !j.closing {
		return
	}
	unfinished := 0
	for _, t := range j.tasks {
		if t.agent != nil {
			unfinished++
		}
	}
	if j.outcome.Kind == Refused && (j.started || j.startedEarlier) {
		j.outcome.Kind = Unknown
	}
	// A refusal states that nothing has run, so it waits for each agent's
	// confirmation, one round trip. All other answers are sent at once.
	if !j.answered && (j.outcome.Kind != Refused || unfinished == 0) {
		j.answered = true
		for _, w := range slices.Clone(j.waiters) {
			b.answer(j, w, j.outcome)
		}
	}
	if unfinished > 0 {
		return
	}
	invariant.Check(j.answered, "broker_closed_job_answered", "job", j.sub.ID)
	delete(b.jobs, j.sub.ID)
	b.answers.Add(j.sub.ID, outcomes.Ended{Outcome: j.outcome, LastRun: j.lastRun, Started: j.started || j.startedEarlier}, now+b.settings.AnswerRetention)
	for _, p := range j.pending {
		if !b.callerWaits(p.waiter) {
			b.emit(Answer{Waiter: p.waiter, Job: j.sub.ID, Outcome: callerLeft})
			continue
		}
		b.submit(now, p)
	}
}

// Report handles an agent's report about an attempt.
func (b *Broker) Report(now time.Duration, id AgentID, m wire.RunReport) {
	a := b.agents[id.Host]
	if a == nil || a.ID != id {
		return
	}
	b.heard(now)
	a.View.Report(m.Load)
	defer b.reported(now, a)
	t := b.taskOf(m.Attempt)
	if t == nil || t.agent != a {
		if !m.State.Final() {
			b.noteRunBeside(now, a, m)
			b.send(a, &wire.Withdraw{Attempt: m.Attempt})
		}
		return
	}
	switch m.State {
	case wire.RunWaiting:
	case wire.RunStarted:
		t.liveAt = nil
		if !t.started {
			t.started, t.startedAt = true, now
			b.racks.Started(now, t.rack, now-t.assignedAt, t.expected)
			t.job.started = true
		}
		if t.onlyIfWaiting {
			// It started before the withdrawal arrived.
			t.withdrawn = false
		}
	default:
		b.attemptEnded(now, t, m)
	}
}

func (b *Broker) taskOf(ref wire.LeasedAttempt) *task {
	j := b.jobs[ref.Task.Job]
	if j == nil || int(ref.Task.Index) >= len(j.tasks) {
		return nil
	}
	t := j.tasks[ref.Task.Index]
	if t.run != ref.Run {
		return nil
	}
	return t
}

// attemptEnded handles the end of a task's attempt.
func (b *Broker) attemptEnded(now time.Duration, t *task, m wire.RunReport) {
	a := t.agent
	j := t.job
	withdrawn := t.withdrawn
	b.racks.Ended(now, t.rack, t.started, a.View.Load.Labels)
	t.notePrevious(now, m.State.String(), m.Reason)
	b.detach(t)
	t.liveAt = nil
	if m.State != wire.RunNotStarted || reasons.MayHaveRun(m.Reason) {
		j.started = true
	}
	b.noteCutShort(now, t, a, m)
	switch m.State {
	case wire.RunDone:
		b.succeeded(now, t, a, m)
	case wire.RunFailed:
		b.failed(now, t, a, m)
	case wire.RunNotStarted:
		b.notStarted(now, t, a, m, withdrawn)
	default:
		if m.Reason != reasons.Preempted {
			crashes, _ := b.poison.Suspicion(m.Attempt.Task)
			b.emit(Decision{Job: j.sub.ID, Index: t.index, Run: m.Attempt.Run, Agent: a.ID.Host, Action: "cut-short", Reason: m.Reason, Crashes: crashes})
		}
		if reasons.EndUnknown(m.Reason) && !withdrawn {
			b.runLost(now, t)
		}
		b.placeAgain(now, t)
	}
	b.resolve(now, j)
}

func (b *Broker) succeeded(now time.Duration, t *task, a *agent, m wire.RunReport) {
	j := t.job
	t.done = true
	t.runTime = time.Duration(m.RanMS) * time.Millisecond
	j.openTasks--
	j.stats.Add(b.racks.RunTimeOnRack(t.rack, t.runTime, float64(t.expected)*a.View.Slowdown()), t.spec.Estimate, a.View.Load.Slowness)
	if j.openTasks == 0 && !j.closing {
		b.close(now, j, Outcome{Kind: Completed})
	}
}

func (b *Broker) failed(now time.Duration, t *task, a *agent, m wire.RunReport) {
	j := t.job
	t.failures++
	t.avoidHost = a.ID.Host
	b.emit(Decision{Job: j.sub.ID, Index: t.index, Run: m.Attempt.Run, Agent: a.ID.Host, Action: "task-failed", Reason: m.Reason})
	if t.failures >= j.sub.Queue.MaxAttempts {
		b.close(now, j, Outcome{Kind: Failed, Reason: "attempts-used"})
		return
	}
	b.placeAgain(now, t)
}

// notStarted handles an attempt that never ran.
func (b *Broker) notStarted(now time.Duration, t *task, a *agent, m wire.RunReport, withdrawn bool) {
	j := t.job
	if m.Reason == reasons.Live {
		b.emit(Decision{Job: j.sub.ID, Index: t.index, Run: m.Attempt.Run, Agent: a.ID.Host, Action: "not-started", Reason: m.Reason})
		t.liveAt, t.liveRetryAt = a, now+liveRetry
		b.placeAgain(now, t)
		return
	}
	if withdrawn && !j.closing {
		t.rejections = 0
		b.placeAgain(now, t)
		return
	}
	if m.Reason == reasons.TrialLimit {
		t.trialRefusals++
		b.placeAgain(now, t)
		return
	}
	if m.Reason == reasons.NoRoom {
		t.rejections++
		b.placeAgain(now, t)
		return
	}
	b.emit(Decision{Job: j.sub.ID, Index: t.index, Run: m.Attempt.Run, Agent: a.ID.Host, Action: "not-started", Reason: m.Reason})
	if m.Reason == reasons.NoMemory && j.started && !j.closing && !t.done {
		// The agent would refuse it again at once.
		b.retainTask(now, t)
		return
	}
	if (m.Reason == reasons.TooLate || m.Reason == reasons.NoMemory) && !j.started && !j.closing {
		b.close(now, j, Outcome{Kind: Refused, Reason: "overload", RetryAfter: b.retryAfter(j)})
		return
	}
	if reasons.AgentWide(m.Reason) {
		a.AvoidUntil = now + avoidAfterRefusal
	}
	b.placeAgain(now, t)
}

// liveRetry is the time after which an agent that has refused a task as live is asked
// again.
const liveRetry = 25 * time.Millisecond

// placeAgain places a task after its attempt has ended, unless its job is closing or
// the task is done.
func (b *Broker) placeAgain(now time.Duration, t *task) {
	if t.job.closing || t.done || b.giveUpSuspect(now, t.job) {
		return
	}
	b.place(now, t)
}
