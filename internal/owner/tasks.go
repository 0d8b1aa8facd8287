package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// agent is the entry's state of an agent process.
type agent struct {
	host        string
	incarnation string
	dataCentre  string
	// startedAt is when the process started, according to the uptime that it reported.
	startedAt time.Duration
	up        bool
	downAt    time.Duration
	upstreams map[string]*upstream
	// openAttempts are the attempts that were sent and have no outcome yet.
	openAttempts map[wire.TaskID]*job
}

// agentUp handles a new link to an agent. A new incarnation has lost all records,
// so the outcome of open attempts at the old one stays unknown.
func (c *Core) agentUp(now time.Duration, h wire.Hello) {
	a := c.agents[h.ID]
	if a != nil && a.incarnation != h.Incarnation {
		c.agentReplaced(now, a)
		a = nil
	}
	if a == nil {
		a = &agent{host: h.ID, incarnation: h.Incarnation, upstreams: map[string]*upstream{}, openAttempts: map[wire.TaskID]*job{}}
		c.agents[h.ID] = a
	}
	// The agent announces its upstreams again on each link, and may restart the
	// numbering of starts.
	c.dropUpstreams(now, a)
	a.dataCentre = h.DataCentre
	a.up = true
	c.linkedAgents.add(h.ID)
	a.startedAt = now - time.Duration(h.UptimeMS)*time.Millisecond
	if c.m != nil {
		c.send(h.ID, &wire.MapNotice{Version: c.m.Version, Row: c.m.Encode()})
	}
	c.queryOpen(a)
	c.resendFences(h.ID)
}

// queryOpen queries the outcome of the open attempts, because messages on the
// previous link may have been lost.
func (c *Core) queryOpen(a *agent) {
	if len(a.openAttempts) == 0 {
		return
	}
	q := &wire.Query{}
	for _, id := range sortedTasks(a.openAttempts) {
		j := a.openAttempts[id]
		q.Tasks = append(q.Tasks, wire.TaskRef{Task: id, Attempt: j.tasks[id.Index].attempt})
	}
	c.send(a.host, q)
}

func (c *Core) agentDown(now time.Duration, host string) {
	a := c.agents[host]
	if a == nil {
		return
	}
	a.up = false
	c.linkedAgents.remove(host)
	a.downAt = now
	c.dropUpstreams(now, a)
}

func (c *Core) dropUpstreams(now time.Duration, a *agent) {
	for _, service := range sortedKeys(a.upstreams) {
		c.upstreamDown(now, a.host, service)
	}
}

// agentReplaced ends the jobs with open attempts at an agent process that has ended.
func (c *Core) agentReplaced(now time.Duration, a *agent) {
	for _, t := range c.takeovers {
		delete(t.replies, a.host) // the new process restarts the numbering of replies
	}
	c.dropUpstreams(now, a)
	for _, id := range sortedTasks(a.openAttempts) {
		j := a.openAttempts[id]
		t := &j.tasks[id.Index]
		c.endAssignment(now, id, t, dispatch.Lost, now-t.sent)
		c.fail(now, j, ProblemOutcomeUnknown, "the agent that ran a task was restarted")
	}
}

// agentLost reports whether the process with the task's open attempt has ended or
// has been unreachable for longer than it retains any record.
func (c *Core) agentLost(now time.Duration, t *task) bool {
	a := c.agents[t.upstream.Host]
	return a == nil || a.incarnation != t.incarnation || !a.up && now-a.downAt >= c.uncertaintyWindow(false)
}

// dispatchTasks sends tasks while there are credits. It then drops tasks that are
// too late and schedules Wants for those that wait.
func (c *Core) dispatchTasks(now time.Duration) {
	if !c.authority(now) {
		return
	}
	for {
		a, ok := c.policy.Next(now)
		if !ok {
			break
		}
		c.waiting--
		c.startTask(now, a)
	}
	c.dropLate(now)
	c.scheduleWantCheck(now)
}

// dropLate ends the jobs with waiting tasks that can no longer end before their
// deadline, so that their callers get the answer at once.
func (c *Core) dropLate(now time.Duration) {
	d, ok := c.policy.(dispatch.Dropper)
	if !ok {
		return
	}
	for {
		t, ok := d.Drop(now)
		if !ok {
			return
		}
		c.waiting--
		if j := c.jobs[t.ID.Job]; j != nil {
			c.endLate(now, j, "a waiting task can no longer end before the deadline")
		}
	}
}

func (c *Core) startTask(now time.Duration, a dispatch.Assignment) {
	j := c.jobs[a.Task.ID.Job]
	agent := c.agents[a.Upstream.Host]
	valid := j != nil && j.answer == nil && agent != nil && agent.upstreams[a.Upstream.Service] != nil
	invariant.Check(valid, "tasks of open jobs start on known upstreams", "task", a.Task.ID, "upstream", a.Upstream)
	if !valid {
		return
	}
	t := &j.tasks[a.Task.ID.Index]
	invariant.Check(t.state == taskQueued, "a task has one open attempt", "task", a.Task.ID)
	if t.state != taskQueued {
		return
	}
	u := agent.upstreams[a.Upstream.Service]
	seq := u.account.Start()
	t.state = taskSent
	t.assigned = true
	t.attempt++
	t.upstream, t.incarnation, t.sent = a.Upstream, agent.incarnation, now
	j.started++
	agent.openAttempts[a.Task.ID] = j
	c.counters.Starts++
	c.send(agent.host, &wire.Start{
		Task: a.Task.ID, Attempt: t.attempt, Epoch: j.epoch, Upstream: a.Upstream.Service, Seq: seq,
		Class: j.Class, Caller: j.Caller, Digest: j.Digest, TaskCount: uint16(len(j.tasks)),
		DeadlineMS: remainingMS(j.Deadline, now), Payload: t.payload,
	})
}

func remainingMS(deadline, now time.Duration) uint32 {
	return uint32(max((deadline-now)/time.Millisecond, 0))
}

// openAttempt returns the job and task of an open attempt, or nil if the
// message is late or a duplicate.
func (c *Core) openAttempt(host string, id wire.TaskID, attempt uint32) (*job, *task) {
	a := c.agents[host]
	if a == nil {
		return nil, nil
	}
	j := a.openAttempts[id]
	if j == nil || int(id.Index) >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[id.Index]
	if t.state != taskSent || t.attempt != attempt {
		return nil, nil
	}
	return j, t
}

func (c *Core) notStarted(now time.Duration, host string, m *wire.NotStarted) {
	c.recordQuietHours(now, host, m)
	c.applyCredit(now, host, &m.Credit)
	j, t := c.openAttempt(host, m.Task, m.Attempt)
	if j == nil {
		return
	}
	c.counters.NotStarted++
	delete(c.agents[host].openAttempts, m.Task)
	t.state = taskQueued
	j.started--
	c.endAssignment(now, m.Task, t, dispatch.NotStarted, 0)
	if j.answer != nil {
		return
	}
	if m.Reason == wire.ReasonFenced {
		c.fencedByAgent(now, j)
		return
	}
	c.enqueue(now, j, int(m.Task.Index))
	c.refuseIfEvacuated(now, j)
}

// recordQuietHours stops starts at an upstream until the quiet hours of its site end.
func (c *Core) recordQuietHours(now time.Duration, host string, m *wire.NotStarted) {
	a := c.agents[host]
	if m.Reason != wire.ReasonQuietHours || a == nil {
		return
	}
	if u := a.upstreams[m.Credit.Upstream]; u != nil {
		u.quietUntil = now + time.Duration(m.OpensMS)*time.Millisecond
	}
}

// fencedByAgent ends a job whose partition another entry has taken over. The
// tasks that have started continue; this entry starts no more of them.
func (c *Core) fencedByAgent(now time.Duration, j *job) {
	c.emit(ReadMap{})
	// The successor may have the job's record from a witness and run it, so the
	// answer has no not_run even if no task has started.
	c.fail(now, j, ProblemOutcomeUnknown, "another entry has taken the key over")
}

func (c *Core) result(now time.Duration, host string, m *wire.Result) {
	c.applyCredit(now, host, &m.Credit)
	c.taskEnded(now, host, m.Task, m.Attempt, m.OK, m.Payload, time.Duration(m.RunUS)*time.Microsecond)
	c.dispatchTasks(now)
	c.returnUnused(now, host, m.Credit.Upstream)
}

func (c *Core) taskEnded(now time.Duration, host string, id wire.TaskID, attempt uint32, ok bool, payload []byte, ran time.Duration) {
	j, t := c.openAttempt(host, id, attempt)
	if j == nil {
		return
	}
	delete(c.agents[host].openAttempts, id)
	t.state = taskDone
	j.done++
	outcome := dispatch.Succeeded
	if !ok {
		outcome = dispatch.Failed
	}
	c.endAssignment(now, id, t, outcome, ran)
	c.recordOutcome(now, j, t, ok, payload)
}

// endAssignment notifies the policy of the end of an assignment that it made.
// Tasks restored from the records of a previous owner's attempts were assigned by
// another policy.
func (c *Core) endAssignment(now time.Duration, id wire.TaskID, t *task, kind dispatch.OutcomeKind, ran time.Duration) {
	if !t.assigned {
		return
	}
	t.assigned = false
	if a := c.agents[t.upstream.Host]; a != nil && a.upstreams[t.upstream.Service] != nil {
		a.upstreams[t.upstream.Service].account.End()
	}
	c.policy.Finished(now, dispatch.Outcome{Task: id, Upstream: t.upstream, Kind: kind, RunTime: ran})
}

// recordOutcome records a task's outcome in its job and ends the job if the task
// was the last one or has failed.
func (c *Core) recordOutcome(now time.Duration, j *job, t *task, ok bool, payload []byte) {
	if j.answer != nil {
		return
	}
	if !ok {
		c.fail(now, j, ProblemTaskFailed, string(payload))
		return
	}
	if len(payload) == 0 {
		c.fail(now, j, ProblemTaskFailed, invalidResult)
		return
	}
	t.result = payload
	if j.done < len(j.tasks) {
		return
	}
	payloads := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		invariant.Check(j.tasks[i].result != nil, "a complete answer has every result", "job", j.Job)
		payloads[i] = j.tasks[i].result
	}
	if a := completeAnswer(j.Job, payloads); a != nil {
		c.finish(now, j, a)
		return
	}
	c.fail(now, j, ProblemTaskFailed, invalidResult)
}

// invalidResult is the detail of a job with a result that agents do not send.
const invalidResult = "an agent reported a result that is not valid JSON"

func (c *Core) queryReply(now time.Duration, host string, m *wire.QueryReply) {
	for _, r := range m.Records {
		switch r.State {
		case wire.TaskDone, wire.TaskFailed:
			c.taskEnded(now, host, r.Task, r.Attempt, r.State == wire.TaskDone, r.Payload, time.Duration(r.RunUS)*time.Microsecond)
		case wire.TaskVoid:
			c.notStarted(now, host, &wire.NotStarted{Task: r.Task, Attempt: r.Attempt, Reason: wire.ReasonVoid})
		}
	}
}

// HasOpenAttempts reports whether an agent has open attempts, so that the entry must detect a
// silent link to it soon.
func (c *Core) HasOpenAttempts(host string) bool {
	a := c.agents[host]
	return a != nil && len(a.openAttempts) > 0
}

// UpstreamCount returns the number of announced upstreams of linked agents.
func (c *Core) UpstreamCount() int {
	n := 0
	for _, a := range c.agents {
		n += len(a.upstreams)
	}
	return n
}
