package owner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/evacuation"
)

// KnownEvacuations returns a copy of what the entry knows of evacuations.
func (c *Core) KnownEvacuations() *evacuation.Tracker { return c.evacuations.Clone() }

// Evacuations handles an update of the evacuation requests and returns the changes that took
// effect. The upstreams of an evacuated data centre are withdrawn from the policy, so that
// nothing is placed there and admission counts on what is left; slots that wait there for
// this entry's tasks are returned. Running tasks go on to their end.
func (c *Core) Evacuations(now time.Duration, u evacuation.Update) []evacuation.Change {
	was := c.evacuations.Clone()
	changes := c.evacuations.Apply(now, u)
	for _, host := range sortedKeys(c.agents) {
		a := c.agents[host]
		evacuated := c.evacuations.Evacuated(a.dataCentre)
		if evacuated == was.Evacuated(a.dataCentre) {
			continue
		}
		for _, service := range sortedKeys(a.upstreams) {
			if evacuated {
				c.withdrawUpstream(now, a.upstreams[service])
			} else {
				c.offerUpstream(now, a, a.upstreams[service])
			}
		}
	}
	if slices.ContainsFunc(changes, func(ch evacuation.Change) bool { return !ch.Deleted }) {
		c.refuseEvacuated(now)
	}
	c.dispatchTasks(now)
	return changes
}

func (c *Core) withdrawUpstream(now time.Duration, u *upstream) {
	c.policy.RemoveUpstream(now, u.info.ID)
	if u.account.Wanting() {
		u.account.RecordWant(0)
		c.sendWant(u, 0)
	}
}

// refuseEvacuated refuses the waiting jobs that only evacuated upstreams could serve.
func (c *Core) refuseEvacuated(now time.Duration) {
	for _, id := range sortedJobs(c.jobs) {
		c.refuseIfEvacuated(now, c.jobs[id])
	}
}

// refuseIfEvacuated refuses a waiting job that nothing has started of and that only
// evacuated upstreams could serve: nothing is held until its deadline. A job of which tasks
// have started waits on, because a refusal would not be true.
func (c *Core) refuseIfEvacuated(now time.Duration, j *job) {
	waits := j.queued && j.started == 0 && j.answer == nil && j.pendingRefusal == nil
	if !waits || c.evacuations.Empty() || !c.onlyEvacuated(j.Class) {
		return
	}
	d := c.policy.Admit(now, dispatch.AdmitRequest{
		Caller: j.Caller, Class: j.Class, Tasks: len(j.tasks), Declared: j.Declared, Deadline: j.Deadline,
	})
	if d.Verdict == dispatch.NoUpstream {
		c.refuse(now, j, ProblemAnswer(ProblemEvacuated, j.Job.String(), "", true, 0, d.RetryAfter))
	}
}

// onlyEvacuated reports whether the linked upstreams that serve a class are all in data
// centres that are being evacuated. It is false if there is none.
func (c *Core) onlyEvacuated(class string) bool {
	found := false
	for _, a := range c.agents {
		for _, u := range a.upstreams {
			if !slices.Contains(u.info.Classes, class) {
				continue
			}
			if !c.evacuations.Evacuated(a.dataCentre) {
				return false
			}
			found = true
		}
	}
	return found
}
