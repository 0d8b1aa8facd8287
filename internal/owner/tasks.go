package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// agent is what the entry knows of an agent process.
type agent struct {
	host        string
	incarnation string
	dataCentre  string
	// born is when the process started, by its own age.
	born      time.Duration
	up        bool
	downAt    time.Duration
	upstreams map[string]*upstream
	// open are the attempts that were sent and have no outcome yet.
	open map[wire.TaskID]*job
}

// agentUp notes a link to an agent. A new incarnation has lost all records, so
// what was sent to the old one and not answered stays unknown.
func (c *Core) agentUp(now time.Duration, h wire.Hello) {
	a := c.agents[h.ID]
	if a != nil && a.incarnation != h.Incarnation {
		c.agentReplaced(now, a)
		a = nil
	}
	if a == nil {
		a = &agent{host: h.ID, incarnation: h.Incarnation, upstreams: map[string]*upstream{}, open: map[wire.TaskID]*job{}}
		c.agents[h.ID] = a
	}
	// The agent announces its upstreams again on each link, and may number the
	// starts anew.
	c.dropUpstreams(now, a)
	a.dataCentre = h.DataCentre
	a.up = true
	c.linkedAgents.add(h.ID)
	a.born = now - time.Duration(h.UptimeMS)*time.Millisecond
	if c.m != nil {
		c.send(h.ID, &wire.MapNotice{Version: c.m.Version, Row: c.m.Encode()})
	}
	c.queryOpen(a)
	c.resendFences(h.ID)
}

// queryOpen asks what became of the open attempts, because messages on the
// previous link may have been lost.
func (c *Core) queryOpen(a *agent) {
	if len(a.open) == 0 {
		return
	}
	q := &wire.Query{}
	for _, id := range sortedTasks(a.open) {
		j := a.open[id]
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

// agentReplaced ends the jobs with attempts at an agent process that is gone.
func (c *Core) agentReplaced(now time.Duration, a *agent) {
	for _, t := range c.takeovers {
		delete(t.parts, a.host) // the new process numbers its replies anew
	}
	c.dropUpstreams(now, a)
	for _, id := range sortedTasks(a.open) {
		j := a.open[id]
		t := &j.tasks[id.Index]
		c.endAssignment(now, id, t, dispatch.Lost, now-t.sent)
		c.fail(now, j, ProblemOutcomeUnknown, "the agent that ran a task was restarted")
	}
}

// agentLost reports whether the process with the task's open attempt is gone or
// has been out of reach for longer than any of its records is kept.
func (c *Core) agentLost(now time.Duration, t *task) bool {
	a := c.agents[t.upstream.Host]
	return a == nil || a.incarnation != t.incarnation || !a.up && now-a.downAt >= c.unknownWindow(false)
}

// pump sends tasks while there are credits, then tells agents what waits.
func (c *Core) pump(now time.Duration) {
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
	c.dropHopeless(now)
	c.checkWantsLater(now)
}

// dropHopeless ends the jobs with waiting tasks that can no longer end before
// their deadline, so that their callers hear of it at once.
func (c *Core) dropHopeless(now time.Duration) {
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
	ag := c.agents[a.Upstream.Host]
	valid := j != nil && j.answer == nil && ag != nil && ag.upstreams[a.Upstream.Service] != nil
	invariant.Check(valid, "tasks of open jobs start on known upstreams", "task", a.Task.ID, "upstream", a.Upstream)
	if !valid {
		return
	}
	t := &j.tasks[a.Task.ID.Index]
	invariant.Check(t.state == taskQueued, "a task has one open attempt", "task", a.Task.ID)
	if t.state != taskQueued {
		return
	}
	u := ag.upstreams[a.Upstream.Service]
	seq := u.account.Start()
	t.state = taskSent
	t.assigned = true
	t.attempt++
	t.upstream, t.incarnation, t.sent = a.Upstream, ag.incarnation, now
	j.started++
	ag.open[a.Task.ID] = j
	c.counters.Starts++
	c.send(ag.host, &wire.Start{
		Task: a.Task.ID, Attempt: t.attempt, Epoch: j.epoch, Upstream: a.Upstream.Service, Seq: seq,
		Class: j.Class, Caller: j.Caller, Digest: j.Digest, TaskCount: uint16(len(j.tasks)),
		DeadlineMS: remainingMS(j.Deadline, now), Payload: t.payload,
	})
}

func remainingMS(deadline, now time.Duration) uint32 {
	return uint32(max((deadline-now)/time.Millisecond, 0))
}

// openAttempt returns the job and task of an open attempt, or nil if the
// message is late or doubled.
func (c *Core) openAttempt(host string, id wire.TaskID, attempt uint32) (*job, *task) {
	a := c.agents[host]
	if a == nil {
		return nil, nil
	}
	j := a.open[id]
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
	c.noteClosed(now, host, m)
	c.applyCredit(now, host, &m.Credit)
	j, t := c.openAttempt(host, m.Task, m.Attempt)
	if j == nil {
		return
	}
	c.counters.NotStarted++
	delete(c.agents[host].open, m.Task)
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
}

// noteClosed keeps work away from a site until its quiet hours end.
func (c *Core) noteClosed(now time.Duration, host string, m *wire.NotStarted) {
	a := c.agents[host]
	if m.Reason != wire.ReasonQuietHours || a == nil {
		return
	}
	if u := a.upstreams[m.Credit.Upstream]; u != nil {
		u.closedUntil = now + time.Duration(m.OpensMS)*time.Millisecond
	}
}

// fencedByAgent ends a job whose partition another entry has taken over. The
// tasks that have started go on; nothing more starts from here.
func (c *Core) fencedByAgent(now time.Duration, j *job) {
	c.emit(ReadMap{})
	// The successor may know the job from a witness and run it, so not even a
	// job without a start may be called not run.
	c.fail(now, j, ProblemOutcomeUnknown, "another entry has taken the key over")
}

func (c *Core) result(now time.Duration, host string, m *wire.Result) {
	c.applyCredit(now, host, &m.Credit)
	c.taskEnded(now, host, m.Task, m.Attempt, m.OK, m.Payload, time.Duration(m.RunUS)*time.Microsecond)
	c.pump(now)
	c.returnUnused(now, host, m.Credit.Upstream)
}

func (c *Core) taskEnded(now time.Duration, host string, id wire.TaskID, attempt uint32, ok bool, payload []byte, ran time.Duration) {
	j, t := c.openAttempt(host, id, attempt)
	if j == nil {
		return
	}
	delete(c.agents[host].open, id)
	t.state = taskDone
	j.done++
	kind := dispatch.Succeeded
	if !ok {
		kind = dispatch.Failed
	}
	c.endAssignment(now, id, t, kind, ran)
	c.settle(now, j, t, ok, payload)
}

// endAssignment tells the policy about the end of an assignment of its own.
// Tasks adopted from a previous owner were assigned by another policy.
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

// settle records a task's outcome in its job and ends the job if it was the
// last one or has failed.
func (c *Core) settle(now time.Duration, j *job, t *task, ok bool, payload []byte) {
	if j.answer != nil {
		return
	}
	if !ok {
		c.fail(now, j, ProblemTaskFailed, string(payload))
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
	c.finish(now, j, completeAnswer(j.Job, payloads))
}

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

// Busy reports whether an agent has open attempts, so that it should be heard of.
func (c *Core) HasOpenAttempts(host string) bool {
	a := c.agents[host]
	return a != nil && len(a.open) > 0
}

// Upstreams returns the number of upstreams that are known now.
func (c *Core) UpstreamCount() int {
	n := 0
	for _, a := range c.agents {
		n += len(a.upstreams)
	}
	return n
}
