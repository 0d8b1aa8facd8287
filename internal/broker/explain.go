package broker

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/placement"
	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/runtimes"
	"github.com/damasklb/damasklb/internal/status"
)

// Explanations answer operators who ask where a job would be placed now and why. They call
// the functions that decide, on copies of the agents, and draw no random number, so asking
// changes no later decision.

// The reasons of assess. Explanations replace the first two by the condition that fails.
const (
	excludedUnusable = "unusable"
	excludedOther    = "other-upstream"
	excludedJobLimit = "job-limit-reached"
	excludedSuspects = "kept-apart-after-crashes"
)

// explanation is an explanation in progress.
type explanation struct {
	status.Explanation
	b      *Broker
	now    time.Duration
	agents []*agent
	racks  *locality.Racks
	// limit is the number of candidates that are listed.
	limit int
}

func (b *Broker) newExplanation(now time.Duration, j *job, racks *locality.Racks, detailed, limit int) *explanation {
	x := &explanation{b: b, now: now, limit: limit, racks: racks}
	q := j.sub.Queue
	x.Queue, x.Service, x.Priority = q.Name, q.Service, q.Priority
	x.SlackMS, x.RandomMS, x.Detailed = explain.Milliseconds(j.slack()), explain.Milliseconds(placement.SpreadJitter), detailed
	if caution := b.poison.Caution(now, q.Name); caution != poison.Unrestricted {
		x.Caution = caution.String()
	}
	// Capacity is reserved on copies.
	copies := make([]agent, len(b.agentList))
	for i, a := range b.agentList {
		copies[i] = *a
		copies[i].View = a.View.Clone()
		x.agents = append(x.agents, &copies[i])
	}
	return x
}

// Explain explains the placement of a job that is not submitted, with the candidates for
// the task whose index is detailed, at most limit.
func (b *Broker) Explain(now time.Duration, sub Submission, detailed, limit int) status.Explanation {
	stats := b.stats[sub.Queue.Name]
	if stats == nil {
		stats = &runtimes.Stats{}
	}
	tasks := len(sub.Tasks)
	sub.Tasks = sub.Tasks[:explain.PlannedTasks(tasks, len(b.agentList))]
	racks := b.racks.Clone()
	j := newJob(now, sub, stats, racks)
	x := b.newExplanation(now, j, racks, detailed, limit)
	x.TasksUnplanned = tasks - len(j.tasks)
	var placements []planned
	for _, t := range j.bySize() {
		o, p := x.choose(t, t.rack)
		o.State = "new"
		if p.agent != nil {
			p.agent.reserve(now, t)
		}
		placements = append(placements, p)
		x.Tasks = append(x.Tasks, o)
	}
	slices.SortFunc(x.Tasks, func(x, y status.TaskOutlook) int { return cmp.Compare(x.Index, y.Index) })
	x.Tasks = x.Tasks[:min(len(x.Tasks), explain.MaxTasks)]
	x.TasksOmitted = tasks - len(x.Tasks)
	v := b.judge(now, j, placements)
	for _, a := range b.agentList {
		if v.Action == explain.Verify && x.OutdatedReports < maxQueries && b.reportOutdated(now, a, j) {
			x.OutdatedReports++
		}
	}
	if v.Action == explain.Verify && x.OutdatedReports == 0 {
		v.Action = explain.Refuse
	}
	v.Show(&x.Explanation)
	return x.Explanation
}

// ExplainJob explains a job that waits or runs, or has ended a moment ago. It returns false
// if there is none with this id. A negative detailed means the first task that has not
// started.
func (b *Broker) ExplainJob(now time.Duration, id string, detailed, limit int) (status.Explanation, bool) {
	j := b.jobs[id]
	if j == nil {
		a, ok := b.answers.Get(id)
		if !ok {
			return status.Explanation{}, false
		}
		return status.Explanation{Job: id, State: a.Outcome.Kind.String(), Decision: "none", Reason: a.Outcome.Reason,
			RetryAfterMS: a.Outcome.RetryAfter.Milliseconds()}, true
	}
	if detailed < 0 {
		detailed = max(0, slices.IndexFunc(j.tasks, func(t *task) bool { return !t.done && !t.started }))
	}
	x := b.newExplanation(now, j, b.racks.Clone(), detailed, limit)
	x.Job, x.State, x.Decision, x.WaitLimitMS = id, "queued", "none", explain.Milliseconds(j.startLimit())
	switch {
	case j.closing:
		x.State, x.Reason = "ending", j.outcome.Reason
	case j.started:
		x.State = "running"
	}
	for _, t := range j.tasks {
		if len(x.Tasks) >= explain.MaxTasks && t.index != detailed {
			x.TasksOmitted++
			continue
		}
		x.Tasks = append(x.Tasks, x.live(t))
	}
	return x.Explanation, true
}

// live explains a task of a job that waits or runs.
func (x *explanation) live(t *task) status.TaskOutlook {
	if t.done || t.started {
		o := status.TaskOutlook{Index: t.index, State: "done", ExpectedMS: explain.Milliseconds(t.expected)}
		if t.started {
			o.State, o.Agent, o.ForMS = "running", t.agent.ID.Host, (x.now - t.startedAt).Milliseconds()
		}
		return o
	}
	rack := t.rack
	if rack != nil {
		c := *rack
		rack = &c
	}
	o, p := x.choose(t, rack)
	if t.agent != nil {
		o.State, o.Agent, o.ForMS = "waiting", t.agent.ID.Host, (x.now - t.assignedAt).Milliseconds()
		return o
	}
	o.State = "held"
	if t.unplaced {
		o.ForMS = (x.now - t.unplacedAt).Milliseconds()
	}
	var v explain.Verdict
	if p.hold {
		v = explain.HoldFor(rack.Decision.Reason)
	} else {
		v = x.b.judgeTask(x.now, t, p.agent, p.wait)
	}
	switch {
	case t.job.closing:
		return o
	case x.b.held(x.now, t.job):
		v = explain.HoldFor(reasonResuming)
	case t.liveAt != nil:
		v = explain.HoldFor(reasons.Live)
	case !t.unplaced:
		v = explain.Verdict{Action: explain.Verify, Reason: reasonOverload}
	}
	if v.Action == explain.Place {
		d := t.demand()
		d.Expected = rack.RunTime(t.expected)
		p.agent.View.Reserve(x.now, d)
	}
	o.Decision, o.Reason = string(v.Action), v.Reason
	v.Show(&x.Explanation)
	return o
}

// choose returns where a task would go, and with which plan. rack is the state of its wait for
// a rack, which changes. If the task is the detailed one, its candidates are added.
func (x *explanation) choose(t *task, rack *locality.Task) (o status.TaskOutlook, p planned) {
	if rack != nil {
		x.racks.LearnFactor(rack)
		// The factor off the rack is part of what is assessed.
		own := t.rack
		t.rack = rack
		defer func() { t.rack = own }()
	}
	var found explain.Candidates
	var best option
	var sides rackOptions
	detailed := t.index == x.Detailed
	within := t.job.timeLeft(x.now)
	for _, a := range x.agents {
		c, excluded := x.b.assess(x.now, a, t)
		if excluded == "" {
			sides.Prefer(a.onRack(t.spec.PreferredRack), a, c, within)
			best.Prefer(a, c, within)
		}
		switch {
		case !detailed:
		case excluded != "":
			found.Exclude(a.ID.Host, x.b.excludedBecause(x.now, a, t, excluded))
		default:
			cpu, mem, _ := a.View.Free(x.Priority)
			found.Add(explain.Candidate{Scored: c, OnRack: a.onRack(t.spec.PreferredRack), Candidate: status.Candidate{
				Host: a.ID.Host, DataCentre: a.DataCentre, FreeCPU: cpu, FreeMem: mem, ReportAgeMS: (x.now - a.ReportAt).Milliseconds(),
			}})
		}
	}
	o = status.TaskOutlook{Index: t.index, ExpectedMS: explain.Milliseconds(t.expected)}
	if rack != nil {
		in := x.b.rackInput(x.now, t, sides)
		mayNear, mayFar := x.racks.Possible(rack, in, x.b.heldCPU(t), placement.SpreadJitter)
		d := x.racks.Choose(rack, in, x.b.heldCPU(t))
		best, p.hold = sides.Chosen(d)
		found.ByRack(best.Agent != nil, rack.Near, mayNear, mayFar)
		o.Reason = d.Reason
		if p.hold {
			o.Decision = string(explain.Hold)
		}
	}
	if detailed {
		found.Finish(&x.Explanation, x.limit, within, placement.SpreadJitter)
	}
	if best.Agent != nil {
		o.Choice, o.WaitMS, o.ScoreMS = best.Agent.ID.Host, explain.Milliseconds(best.Scored.Wait), explain.Milliseconds(best.Scored.Score())
	}
	p.task, p.agent, p.wait = t, best.Agent, best.Scored.Wait
	return o, p
}

// excludedBecause names the condition behind a reason of assess.
func (b *Broker) excludedBecause(now time.Duration, a *agent, t *task, excluded string) string {
	switch {
	case excluded == excludedUnusable:
		return a.State(now, &b.settings.Limits)
	case excluded == excludedOther:
		return a.Excludes(t.need())
	}
	return excluded
}

// AgentStates returns the state of the agents for operators, at most limit, and the number
// of the others.
func (b *Broker) AgentStates(now time.Duration, limit int) (out []status.HostedAgent, omitted int) {
	limit = min(limit, len(b.agentList))
	for _, a := range b.agentList[:limit] {
		s := a.Status(now, &b.settings.Limits)
		s.Quarantined, s.Suspects, s.Tasks = a.quarantined, a.suspects, a.tasks.count
		out = append(out, s)
	}
	return out, len(b.agentList) - limit
}

// CautiousQueues returns the queues whose jobs are kept apart after crashes of upstreams.
func (b *Broker) CautiousQueues(now time.Duration) map[string]string { return b.poison.Cautions(now) }

// HeldTasks returns the number of tasks that wait for an agent that can take them.
func (b *Broker) HeldTasks() int { return b.unplaced.count }
