package owner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// Submission is a valid request from a caller.
type Submission struct {
	Job      wire.JobID
	Caller   string
	Class    string
	Digest   wire.Digest
	Deadline time.Duration
	Payloads [][]byte
	// Declared is the run time of each task that the caller expects; 0 if unknown.
	Declared time.Duration
	// OpensIn is the time until the first site that may serve the class leaves its
	// quiet hours; 0 if one is open.
	OpensIn time.Duration
	// Problem is why the configuration does not allow the job; empty if it does.
	// The owner applies it, because the job may have been accepted under an earlier
	// configuration and a resubmission must find it.
	Problem Problem
	Detail  string
	// received is when this entry got the submission from its caller.
	received time.Duration
	// expiredRefusalID is the id of the refusal after whose time to retry the
	// submission came, as determined by the entry that received it; 0 if none.
	expiredRefusalID uint64
}

// waiter is a request that gets the job's final answer: a local one or a forward
// of another entry.
type waiter struct {
	token uint64
	peer  string
	id    uint64
}

type taskState uint8

const (
	taskQueued taskState = iota
	taskSent
	taskDone
)

type task struct {
	state    taskState
	attempt  uint32
	payload  []byte
	result   []byte
	upstream dispatch.UpstreamID
	sent     time.Duration
	// assigned is set while the policy counts the open attempt.
	assigned bool
	// incarnation is the agent process that the open attempt was sent to.
	incarnation string
}

type job struct {
	Submission
	epoch     uint64
	tasks     []task
	done      int
	started   int
	witnessed bool
	queued    bool
	waiters   []waiter
	// earlierDeadlines are the deadlines of waiters that stop waiting before the
	// job's own deadline.
	earlierDeadlines map[waiter]time.Duration
	answer           *wire.Answer
	// refusal is set if the answer is not_run. pendingRefusal is set until the
	// refusal is stored at a member and an agent.
	refusal        *refusal
	pendingRefusal *pendingRefusal
}

// addWaiter adds a waiter. It returns false for one that waits already.
func (j *job) addWaiter(w waiter) bool {
	if slices.Contains(j.waiters, w) {
		return false
	}
	j.waiters = append(j.waiters, w)
	return true
}

// jobRecord is the state of a job that is not in Core.jobs. The entry has it as a
// witness or from a takeover.
type jobRecord struct {
	digest wire.Digest
	// epoch is the lowest epoch at which the record is known to have existed.
	epoch uint64
	// answer is the final answer, unless it is a refusal.
	answer *wire.Answer
	// refusal is the last not_run answer. The job may have been accepted again
	// since then if maybeAccepted is set or a forward of this entry is unanswered.
	refusal            *refusal
	maybeAccepted      bool
	unansweredForwards int
	// previousOwner is the previous owner that still runs the job.
	previousOwner string
	taskRecords   map[uint16]agentRecord
	expires       time.Duration
}

// agentRecord is a task record and the agent process that reported it.
type agentRecord struct {
	wire.TaskRecord
	agent       string
	incarnation string
}

// Submit handles a request of a local caller. The answer is a Reply effect.
func (c *Core) Submit(now time.Duration, token uint64, s Submission) {
	s.received = c.arrival(now)
	c.route(now, s, waiter{token: token})
	c.dispatchTasks(now)
}

// route accepts the submission if this entry owns its partition, and sends it
// to the owner otherwise.
func (c *Core) route(now time.Duration, s Submission, w waiter) {
	if c.jobs[s.Job] != nil || c.owns(s.Job.Partition()) {
		c.accept(now, s, w, false)
		return
	}
	c.forward(now, s, w)
}

func (c *Core) owns(p wire.Partition) bool { return c.owned[p] != nil }

// accept joins the submission to its job or makes a new job. witnessed means that
// the sender of the submission has a job record at the present epoch.
func (c *Core) accept(now time.Duration, s Submission, w waiter, witnessed bool) {
	j := c.jobs[s.Job]
	if j != nil && j.refusal != nil && j.refusal.retriedBy(s, w) && c.owns(s.Job.Partition()) {
		delete(c.jobs, s.Job)
		j = nil
	}
	if j != nil {
		c.join(now, j, s, w)
		return
	}
	o := c.owned[s.Job.Partition()]
	if !c.authority(now) {
		c.answerUnknown(w, s.Job, "this entry cannot confirm that it still owns the key", c.settings.TakeoverWait)
		return
	}
	if record := c.records[s.Job]; record != nil && !(record.refused() && record.refusal.retriedBy(s, w)) {
		c.resume(now, o, record, s, w, witnessed)
		return
	}
	if !o.complete {
		c.deferRequest(now, o, s, w, witnessed)
		return
	}
	if c.stale(now, s) {
		c.answerStale(w, s.Job)
		return
	}
	c.admit(now, o, s, w, witnessed)
}

func (c *Core) join(now time.Duration, j *job, s Submission, w waiter) {
	switch {
	case j.Digest != s.Digest:
		c.answer(w, c.keyReused(s.Job))
		return
	case j.refusal != nil:
		c.repeatRefusal(now, j.refusal, w)
		return
	case j.answer != nil:
		c.answer(w, j.answer)
		return
	}
	// A request that is sent again over a new link keeps its first deadline.
	if added := j.addWaiter(w); added && s.Deadline < j.Deadline {
		if j.earlierDeadlines == nil {
			j.earlierDeadlines = map[waiter]time.Duration{}
		}
		j.earlierDeadlines[w] = s.Deadline
		c.timers.add(s.Deadline, func(now time.Duration) { c.stopWaiting(j, w) })
	}
}

// stopWaiting answers a copy of a request at its own deadline, while the job
// continues until a later one.
func (c *Core) stopWaiting(j *job, w waiter) {
	i := slices.Index(j.waiters, w)
	if i < 0 {
		return
	}
	j.waiters = slices.Delete(j.waiters, i, i+1)
	c.answerUnknown(w, j.Job, "the request's deadline passed while an earlier request for the job goes on", c.settings.TakeoverWait)
}

// keyReused returns the answer to a submission with another body than that of its
// job. It does not end the job.
func (c *Core) keyReused(id wire.JobID) *wire.Answer {
	a := ProblemAnswer(ProblemKeyReused, id.String(), "", false, 0, 0)
	a.Transient = true
	return a
}

// admit asks the policy and makes a new job.
func (c *Core) admit(now time.Duration, o *ownership, s Submission, w waiter, witnessed bool) {
	j := c.newJob(now, o, s, w, witnessed)
	if problem, retry := s.excludedBy(now); problem != "" {
		c.refuse(now, j, ProblemAnswer(problem, s.Job.String(), s.Detail, true, 0, retry))
		return
	}
	d := c.policy.Admit(now, s.admitRequest(len(s.Payloads)))
	if d.Verdict == dispatch.NoUpstream && c.onlyEvacuated(s.Class) {
		c.refuse(now, j, ProblemAnswer(ProblemEvacuated, s.Job.String(), "", true, 0, d.RetryAfter))
		return
	}
	if problem, refused := c.refusedBy(now, d.Verdict); refused {
		c.refuse(now, j, ProblemAnswer(problem, s.Job.String(), "", true, 0, d.RetryAfter))
		return
	}
	c.counters.Accepted++
	c.queueWhenWitnessed(now, j)
}

// upstreamGrace is the time within which agents connect to an entry that has joined.
const upstreamGrace = 2 * time.Second

// awaitsUpstreams reports whether a job should be queued although no upstream is
// known, because the entry has joined recently and agents may not have connected
// yet.
func (c *Core) awaitsUpstreams(now time.Duration, v dispatch.Verdict) bool {
	return v == dispatch.NoUpstream && now-c.joined < upstreamGrace
}

var verdictProblems = map[dispatch.Verdict]Problem{
	dispatch.Overloaded: ProblemOverload,
	dispatch.OverQuota:  ProblemOverQuota,
	dispatch.NoUpstream: ProblemNoUpstream,
	dispatch.Impossible: ProblemImpossible,
}

func (c *Core) newJob(now time.Duration, o *ownership, s Submission, w waiter, witnessed bool) *job {
	j := &job{Submission: s, epoch: o.epoch, tasks: make([]task, len(s.Payloads)), witnessed: witnessed}
	for i := range j.tasks {
		j.tasks[i].payload = s.Payloads[i]
	}
	j.addWaiter(w)
	c.jobs[s.Job] = j
	delete(c.records, s.Job)
	c.timers.add(s.Deadline, func(now time.Duration) { c.endAtDeadline(now, j) })
	return j
}

// queueWhenWitnessed queues the job's tasks once a witness has a record of the job.
// A single member has no witness to ask.
func (c *Core) queueWhenWitnessed(now time.Duration, j *job) {
	if !j.witnessed && len(c.m.Members) > 1 {
		c.askWitness(now, j)
		return
	}
	c.queue(now, j)
}

func (c *Core) queue(now time.Duration, j *job) {
	if j.queued || j.answer != nil || j.pendingRefusal != nil {
		return
	}
	j.queued = true
	defer c.refuseIfEvacuated(now, j)
	for i := range j.tasks {
		if j.tasks[i].state == taskQueued {
			c.enqueue(now, j, i)
		}
	}
}

func (c *Core) enqueue(now time.Duration, j *job, i int) {
	c.waiting++
	c.policy.Enqueue(now, dispatch.Task{
		ID: wire.TaskID{Job: j.Job, Index: uint16(i)}, Caller: j.Caller, Class: j.Class,
		Declared: j.Declared, Deadline: j.Deadline, TaskCount: len(j.tasks), Arrival: j.received,
	})
}

// finish gives the final answer to all waiters and removes the job's waiting tasks.
func (c *Core) finish(now time.Duration, j *job, a *wire.Answer) {
	if j.answer != nil {
		return
	}
	invariant.Check(!a.NotRun || j.started == 0, "not_run only if nothing has started", "job", j.Job)
	j.answer = a
	c.countAnswer(a)
	c.dropQueued(now, j)
	for i := range j.tasks {
		j.tasks[i].payload, j.tasks[i].result = nil, nil
	}
	j.Payloads = nil
	if a.NotRun {
		j.refusal = c.newRefusal(a, now+c.retryTime(a))
		j.refusal.retryStartUncertain = len(j.waiters) == 0
		j.tasks = nil
	}
	for _, w := range j.waiters {
		c.answer(w, a)
	}
	j.waiters = nil
	c.notifySuccessor(now, j)
	if j.refusal != nil && !c.current(j) {
		c.replaceByRecord(now, j)
	}
	c.timers.add(now+c.settings.ResubmissionWindow, func(now time.Duration) { c.removeJob(now, j) })
}

// dropQueued removes the job's waiting tasks from the policy.
func (c *Core) dropQueued(now time.Duration, j *job) {
	for i := range j.tasks {
		if j.queued && j.tasks[i].state == taskQueued {
			if c.policy.Cancel(now, wire.TaskID{Job: j.Job, Index: uint16(i)}) {
				c.waiting--
			}
		}
	}
}

func (c *Core) countAnswer(a *wire.Answer) {
	switch {
	case a.Status == 200:
		c.counters.Complete++
	case a.NotRun:
		c.counters.Refused++
	default:
		c.counters.Failed++
	}
}

// endAtDeadline ends a job whose deadline has passed: its caller waits no longer.
func (c *Core) endAtDeadline(now time.Duration, j *job) {
	detail := "the deadline passed"
	switch {
	case j.started > 0:
	case j.queued:
		detail = "no slot became free before the deadline"
	default:
		detail = "no other entry acknowledged the job before the deadline"
	}
	c.endLate(now, j, detail)
}

// lateRetryAfter is the time to retry for a job that got no slot in time.
const lateRetryAfter = time.Second

// endLate ends a job that cannot be completed in time. It is refused as not run
// if none of its tasks was sent to an agent.
func (c *Core) endLate(now time.Duration, j *job, detail string) {
	if j.answer != nil || j.pendingRefusal != nil {
		return
	}
	if j.started == 0 {
		c.refuse(now, j, ProblemAnswer(ProblemOverload, j.Job.String(), detail, true, 0, lateRetryAfter))
		return
	}
	c.finish(now, j, ProblemAnswer(ProblemDeadline, j.Job.String(), detail, false, j.started, 0))
}

func (c *Core) fail(now time.Duration, j *job, p Problem, detail string) {
	if p == ProblemOutcomeUnknown {
		c.counters.OutcomeUnknown++
	}
	c.finish(now, j, ProblemAnswer(p, j.Job.String(), detail, false, j.started, 0))
}

func (c *Core) answer(w waiter, a *wire.Answer) {
	if w.peer != "" {
		c.send(w.peer, &wire.ForwardReply{ID: w.id, Answer: a})
		return
	}
	c.emit(Reply{Token: w.token, Answer: a})
}

// answerUnknown refuses a request whose key may belong to a job that runs or
// has run. It creates no job, so a later copy may get a more definite answer.
func (c *Core) answerUnknown(w waiter, id wire.JobID, detail string, retryAfter time.Duration) {
	c.counters.OutcomeUnknown++
	a := ProblemAnswer(ProblemOutcomeUnknown, id.String(), detail, false, 0, retryAfter)
	a.Transient = true
	c.answer(w, a)
}

// Lookup returns the state of a local caller's job, or cancels the job.
func (c *Core) Lookup(now time.Duration, token uint64, job wire.JobID, caller string, cancel bool, until time.Duration) {
	w := waiter{token: token}
	if c.jobs[job] != nil || c.owns(job.Partition()) {
		c.lookup(now, w, &wire.Lookup{Job: job, Caller: caller, Cancel: cancel})
	} else {
		c.forwardLookup(now, w, job, caller, cancel, until)
	}
	c.dispatchTasks(now)
}

func (c *Core) lookup(now time.Duration, w waiter, m *wire.Lookup) {
	j := c.jobs[m.Job]
	if j == nil {
		if record := c.records[m.Job]; record != nil {
			c.lookupRecord(now, w, m.Job, record)
			return
		}
		if o := c.owned[m.Job.Partition()]; o == nil || !o.complete {
			c.answerUnknown(w, m.Job, "the previous owner of the key has not told of its jobs yet", c.settings.TakeoverWait)
			return
		}
		c.answer(w, ProblemAnswer(ProblemNotFound, m.Job.String(), "", false, 0, 0))
		return
	}
	if j.Caller != m.Caller {
		c.answer(w, ProblemAnswer(ProblemNotFound, m.Job.String(), "", false, 0, 0))
		return
	}
	if m.Cancel {
		c.cancel(now, j)
	}
	if m.Cancel && j.answer == nil {
		j.addWaiter(w) // answered when it is certain that nothing runs
		return
	}
	switch {
	case j.answer == nil:
		c.answer(w, runningAnswer(j.Job))
	case j.refusal != nil:
		c.answer(w, c.refusalAt(now, j.refusal))
	default:
		c.answer(w, j.answer)
	}
}

func (c *Core) lookupRecord(now time.Duration, w waiter, id wire.JobID, record *jobRecord) {
	if record.answer != nil {
		c.answer(w, record.answer)
		return
	}
	// Until the job records are complete, another member may have a later record.
	if o := c.owned[id.Partition()]; record.refused() && o != nil && o.complete {
		c.answer(w, c.refusalAt(now, record.refusal))
		return
	}
	c.answer(w, ProblemAnswer(ProblemOutcomeUnknown, id.String(), "the job was accepted by an entry that has stopped", false, 0, 0))
}

// cancel ends a job. Running tasks continue, and the answer gives their number.
func (c *Core) cancel(now time.Duration, j *job) {
	if j.answer != nil || j.pendingRefusal != nil {
		return
	}
	a := ProblemAnswer(ProblemCancelled, j.Job.String(), "", j.started == 0, j.started, 0)
	if a.NotRun {
		c.refuse(now, j, a)
		return
	}
	c.finish(now, j, a)
}
