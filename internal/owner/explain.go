package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

// Explanations answer operators who ask whether a job would be accepted now, where its tasks
// could start, and why they wait. They call the functions that decide and change nothing.

// excludedBy returns why a submission is refused whatever the load is, and after what time it
// may be sent again: the configuration does not allow it, or no site opens in time.
func (s *Submission) excludedBy(now time.Duration) (Problem, time.Duration) {
	if s.Problem == "" && s.OpensIn > 0 && now+s.OpensIn >= s.Deadline {
		return ProblemQuietHours, s.OpensIn
	}
	return s.Problem, 0
}

func (s *Submission) admitRequest(tasks int) dispatch.AdmitRequest {
	return dispatch.AdmitRequest{Caller: s.Caller, Class: s.Class, Tasks: tasks, Declared: s.Declared, Deadline: s.Deadline}
}

// refusedBy returns the problem that a verdict of the policy stands for.
func (c *Core) refusedBy(now time.Duration, v dispatch.Verdict) (Problem, bool) {
	problem, refused := verdictProblems[v]
	return problem, refused && !c.awaitsUpstreams(now, v)
}

// Decisions in explanations.
const (
	decisionAccept = "accept"
	decisionRefuse = "refuse"
	decisionWait   = "wait"
	decisionNone   = "none"
)

// The reasons for which no task starts, in explanations, beside those of the policy.
const (
	reasonNoAuthority = "no-authority"
	reasonNoWitness   = "not-witnessed"
	reasonOpensLater  = "quiet-hours"
)

// Explain explains what this entry would decide about a submission with the given number of
// tasks if it owned its key. At most limit upstreams are listed.
func (c *Core) Explain(now time.Duration, s Submission, tasks, limit int) (status.DispatchExplanation, error) {
	policy, ok := c.policy.(dispatch.Explainer)
	if !ok {
		return status.DispatchExplanation{}, fault.Unavailable.New("the dispatch policy explains nothing")
	}
	o := policy.ExplainAdmission(now, s.admitRequest(tasks))
	e := c.explanation(now, policy, &s, o, limit)
	e.Decision = decisionAccept
	problem, retry := s.excludedBy(now)
	byLoad, refused := c.refusedBy(now, o.Verdict)
	switch {
	case !c.authority(now):
		e.Decision, e.Reason = decisionRefuse, reasonNoAuthority
	case problem != "":
		e.Decision, e.Reason, e.Detail, e.RetryAfterMS = decisionRefuse, string(problem), s.Detail, retry.Milliseconds()
	case o.Verdict == dispatch.NoUpstream && c.onlyEvacuated(s.Class):
		e.Decision, e.Reason, e.RetryAfterMS = decisionRefuse, string(ProblemEvacuated), o.RetryAfter.Milliseconds()
	case refused:
		e.Decision, e.Reason, e.RetryAfterMS = decisionRefuse, string(byLoad), o.RetryAfter.Milliseconds()
	}
	if o.WaitLimit > 0 {
		e.WaitMS, e.WaitLimitMS = explain.Milliseconds(o.Wait), explain.Milliseconds(o.WaitLimit)
	}
	return e, nil
}

// ExplainJob explains a job whose key this entry owns.
func (c *Core) ExplainJob(now time.Duration, id wire.JobID, limit int) (status.DispatchExplanation, error) {
	policy, ok := c.policy.(dispatch.Explainer)
	if !ok {
		return status.DispatchExplanation{}, fault.Unavailable.New("the dispatch policy explains nothing")
	}
	j := c.jobs[id]
	if j == nil {
		return status.DispatchExplanation{}, c.jobMissing(id)
	}
	o := policy.ExplainAdmission(now, j.admitRequest(len(j.tasks)))
	e := c.explanation(now, policy, &j.Submission, o, limit)
	e.Job, e.Decision = id.String(), decisionNone
	switch {
	case j.answer != nil && j.answer.NotRun:
		e.State = StateRefused
	case j.answer != nil:
		e.State = "ended"
	case j.pendingRefusal != nil:
		e.State = "being-refused"
	case j.started > 0:
		e.State = StateRunning
	default:
		e.State = "waiting"
	}
	for i := range j.tasks {
		c.explainTask(now, policy, j, i, &e)
	}
	return e, nil
}

// explainTask adds a task to the explanation of its job. The first one that waits gives the
// reason for which the job waits.
func (c *Core) explainTask(now time.Duration, policy dispatch.Explainer, j *job, i int, e *status.DispatchExplanation) {
	t := &j.tasks[i]
	shown := status.DispatchTask{Index: i, State: "done"}
	switch t.state {
	case taskSent:
		shown.State, shown.Upstream, shown.ForMS = "sent", t.upstream.Host+"/"+t.upstream.Service, (now - t.sent).Milliseconds()
	case taskQueued:
		shown.State = "waiting"
		if j.answer == nil && e.Decision == decisionNone {
			e.Decision = decisionWait
			switch {
			case !c.authority(now):
				e.Reason = reasonNoAuthority
			case !j.queued:
				e.Reason = reasonNoWitness
			default:
				e.Reason = policy.ExplainWaiting(now, wire.TaskID{Job: j.Job, Index: uint16(i)})
			}
		}
	}
	if len(e.Tasks) == explain.MaxTasks {
		e.TasksOmitted++
		return
	}
	e.Tasks = append(e.Tasks, shown)
}

// jobMissing returns why this entry cannot explain a job.
func (c *Core) jobMissing(id wire.JobID) error {
	p := int(id.Partition())
	if !c.owns(id.Partition()) && c.m != nil && p < len(c.m.Partitions) && c.m.Partitions[p].Owner != "" {
		return fault.NotOwner.New("job: entry %s owns the key of %s; ask it", c.m.Partitions[p].Owner, id).WithProperty(fault.Field, "job")
	}
	return fault.UnknownJob.New("job: %s neither waits nor runs here", id).WithProperty(fault.Field, "job")
}

// explanation returns what is common to explanations: the load and the upstreams.
func (c *Core) explanation(now time.Duration, policy dispatch.Explainer, s *Submission, o dispatch.AdmissionOutlook, limit int) status.DispatchExplanation {
	load := policy.ExplainLoad(s.Caller, s.Class)
	e := status.DispatchExplanation{
		Entry: c.self.ID, Class: s.Class, Caller: s.Caller, ExpectedMS: explain.Milliseconds(o.Expected), Slots: load.Slots,
		Waiting: load.Waiting, Running: load.Running, CallerWaiting: load.CallerWaiting, CallerRunning: load.CallerRunning,
	}
	upstreams, excluded := policy.ExplainUpstreams(now, s.Class)
	e.CandidatesOmitted = max(0, len(upstreams)-limit)
	for _, u := range upstreams[:len(upstreams)-e.CandidatesOmitted] {
		e.Candidates = append(e.Candidates, status.DispatchCandidate{
			Upstream: u.ID.Host + "/" + u.ID.Service, Site: u.Site, DataCentre: u.DataCentre,
			CostMS: explain.Milliseconds(u.Distance + u.Refusals), DistanceMS: explain.Milliseconds(u.Distance),
			RefusalsMS: explain.Milliseconds(u.Refusals), Credits: u.Usable, MayWin: u.MayWin, Probe: u.Probe,
		})
	}
	var list explain.Candidates
	for _, x := range excluded {
		reason := x.Reason
		if a := c.agents[x.Upstream.Host]; a != nil && a.upstreams[x.Upstream.Service] != nil && now < a.upstreams[x.Upstream.Service].quietUntil {
			reason = reasonOpensLater
		}
		list.Exclude(x.Upstream.Host+"/"+x.Upstream.Service, reason)
	}
	e.Excluded = list.Excluded()
	return e
}
