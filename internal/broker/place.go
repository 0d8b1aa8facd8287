package broker

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/agentlink"
	"github.com/damasklb/damasklb/internal/capacity"
	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/placement"
	"github.com/damasklb/damasklb/internal/stuck"
	"github.com/damasklb/damasklb/internal/wire"
)

// Placement handles loads from idle to just above capacity: a task goes where it starts at
// once and its job ends on time, and among such upstreams where it is expected to end first.
// The wait at an agent is predicted from the agent's last report and from what was sent to
// it since.
const (
	// avoidAfterRefusal is the time without new tasks for an agent that has
	// refused one for a reason other than load.
	avoidAfterRefusal = 100 * time.Millisecond
	// moveAfter is the time after which a task that still waits is moved to an
	// upstream with free capacity.
	moveAfter = 25 * time.Millisecond
	// minMoveGain is the smallest gain for which a waiting task is moved.
	minMoveGain = 15 * time.Millisecond
	// tooLargeRetryAfter is the delay given to callers whose job exceeds all upstreams.
	tooLargeRetryAfter = 2 * time.Second
)

func (t *task) need() agentlink.Need {
	return agentlink.Need{Service: t.job.sub.Queue.Service, Label: t.spec.RequiredLabel, CPU: t.spec.CPU, MemMB: t.spec.MemMB}
}

// serves reports whether the agent's upstream may run the task.
func (a *agent) serves(t *task) bool { return a.Excludes(t.need()) == "" }

// atJobLimit reports whether the upstream has as many tasks of the job as may run
// there.
func (a *agent) atJobLimit(t *task) bool {
	if t.spec.MaxPerUpstream == 0 {
		return false
	}
	n := t.job.placed[a]
	if t.agent == a {
		n--
	}
	return n >= t.spec.MaxPerUpstream
}

// countPlaced counts a task that is planned for an agent or has left it, if the number of tasks on
// an upstream is limited.
func (j *job) countPlaced(a *agent, t *task, n int) {
	if t.spec.MaxPerUpstream == 0 {
		return
	}
	if j.placed == nil {
		j.placed = map[*agent]int{}
	}
	if j.placed[a] += n; j.placed[a] == 0 {
		delete(j.placed, a)
	}
}

// candidate returns what speaks for and against the agent's upstream for the task. It draws
// no random number.
func (b *Broker) candidate(a *agent, t *task) placement.Candidate {
	m := placement.Match{Task: t.demand(), Avoid: t.avoidHost == a.ID.Host}
	if t.spec.PreferredRack != "" && !a.onRack(t.spec.PreferredRack) {
		m.RunFactor = t.rack.OffRack(b.settings.FarRackFactor)
	}
	if a.DataCentre != b.settings.DataCentre {
		m.Travel = 2 * b.settings.Distance
	}
	return m.Candidate(&a.View)
}

// assess returns what speaks for and against the agent's upstream for the task, or the
// reason why the task cannot be placed there. It changes nothing.
func (b *Broker) assess(now time.Duration, a *agent, t *task) (c placement.Candidate, excluded string) {
	switch {
	case !a.Usable(now, &b.settings.Limits):
		return c, excludedUnusable
	case !a.serves(t):
		return c, excludedOther
	case a.atJobLimit(t):
		return c, excludedJobLimit
	}
	allowed, penalty := b.mayTry(now, a, t)
	if !allowed {
		return c, excludedSuspects
	}
	c = b.candidate(a, t)
	c.Suspect = penalty
	return c, ""
}

// chooseAgent returns the agent where the task is placed best, or nil.
func (b *Broker) chooseAgent(now time.Duration, t *task) (best *agent, chosen placement.Candidate) {
	within := t.job.timeLeft(now)
	for _, a := range b.agentList {
		c, excluded := b.assess(now, a, t)
		if excluded != "" {
			continue
		}
		c.Random = time.Duration(b.random.Int63n(int64(placement.SpreadJitter)))
		if best == nil || c.Better(chosen, within) {
			best, chosen = a, c
		}
	}
	return best, chosen
}

// planned is a planned assignment of a task. Its agent is nil if none can take the task, or if
// hold is set: the task waits at the entry for its rack.
type planned struct {
	task  *task
	agent *agent
	wait  time.Duration
	hold  bool
}

// plan chooses agents for all tasks of a job and reserves their capacity. The largest tasks
// choose first, because small ones fit in what they leave.
func (b *Broker) plan(now time.Duration, j *job) []planned {
	placements := make([]planned, len(j.tasks))
	for i, t := range j.bySize() {
		a, c, hold := b.choose(now, t)
		placements[i] = planned{task: t, agent: a, wait: c.Wait, hold: hold}
		if a != nil {
			a.reserve(now, t)
		}
	}
	return placements
}

// bySize returns the job's tasks in the order in which they choose.
func (j *job) bySize() []*task {
	return slices.SortedStableFunc(slices.Values(j.tasks), func(x, y *task) int {
		return cmp.Compare(y.spec.CPU, x.spec.CPU)
	})
}

// exceedsAll reports whether the task is larger than each known upstream of its service,
// those included that are down.
func (b *Broker) exceedsAll(now time.Duration, t *task) bool {
	if now < startupGrace || now < b.agentsExpectedUntil {
		return false
	}
	return agentlink.ExceedsAll(b.links(), t.need())
}

// cancelPlan releases the reserved capacity.
func cancelPlan(placements []planned) {
	for i := len(placements) - 1; i >= 0; i-- {
		if a := placements[i].agent; a != nil {
			t := placements[i].task
			t.job.countPlaced(a, t, -1)
			a.View.CancelLast()
		}
	}
}

// reserve counts a task against the agent's free capacity until a report includes
// it.
func (a *agent) reserve(now time.Duration, t *task) {
	t.job.countPlaced(a, t, 1)
	d := t.demand()
	d.Expected = t.rack.RunTime(t.expected)
	t.seq = a.View.Reserve(now, d)
}

func (t *task) demand() capacity.Task {
	return capacity.Task{CPU: t.spec.CPU, MemMB: t.spec.MemMB, Priority: t.job.sub.Queue.Priority, Expected: t.expected}
}

// place assigns a task to an agent, or retains it until one can take it. It is for
// retained tasks and for tasks whose attempt has ended.
func (b *Broker) place(now time.Duration, t *task) {
	if b.held(now, t.job) {
		b.retainTask(now, t)
		return
	}
	if t.liveAt != nil {
		b.placeWhereLive(now, t)
		return
	}
	a, chosen, hold := b.choose(now, t)
	if hold {
		b.hold(now, t)
		return
	}
	switch v := b.judgeTask(now, t, a, chosen.Wait); v.Action {
	case explain.Hold:
		b.retainTask(now, t)
	case explain.Refuse:
		b.releaseTask(t)
		b.close(now, t.job, b.refusal(v))
	default:
		if !b.callersWait(now, t.job) {
			return
		}
		b.releaseTask(t)
		a.reserve(now, t)
		b.assign(now, a, t, chosen.Wait)
	}
}

// held reports whether no task of the job may be placed yet, because it is not known whether its
// callers wait.
func (b *Broker) held(now time.Duration, j *job) bool { return b.suspended(now) || now < j.heldUntil }

// callersWait ends the requests of callers that have left and reports whether any caller waits
// for the job. Their departure may not have been handled yet, while the job runs elsewhere. A job
// whose callers may have left while the entry was out of touch is given up.
func (b *Broker) callersWait(now time.Duration, j *job) bool {
	if b.absence.MayHaveLeft(j.requestedAt) && !j.closing {
		b.emit(Decision{Job: j.sub.ID, Action: "give-up", Reason: reasonOutOfTouch, Wait: now - j.requestedAt})
		b.close(now, j, Outcome{Kind: Refused, Reason: reasonOutOfTouch, RetryAfter: b.jitter(minRetryAfter)})
	}
	for _, w := range slices.Clone(j.waiters) {
		if !b.callerWaits(w) {
			// The request's own goroutine may not notice the end of the connection.
			b.answer(j, w, callerLeft)
			b.CallerLeft(now, j.sub.ID, w)
		}
	}
	return !j.closing
}

func (b *Broker) callerWaits(w Waiter) bool {
	return b.settings.CallerWaits == nil || b.settings.CallerWaits(w)
}

// placeWhereLive assigns a task to the agent that has reported another run of it as live.
// The agent takes it once that run has ended. If the agent is gone, the end of the run is
// uncertain and the job is given up.
func (b *Broker) placeWhereLive(now time.Duration, t *task) {
	a := t.liveAt
	switch {
	case b.agents[a.key] != a:
		b.releaseTask(t)
		b.close(now, t.job, Outcome{Kind: Unknown, Reason: "live-elsewhere"})
	case now < t.liveRetryAt || !a.Usable(now, &b.settings.Limits):
		b.retainTask(now, t)
	default:
		if !b.callersWait(now, t.job) {
			return
		}
		b.releaseTask(t)
		a.reserve(now, t)
		b.assign(now, a, t, liveRetry)
	}
}

// maxOffers is the number of rejected offers to agents that seemed to have free
// capacity after which a task waits at one.
const maxOffers = 4

// assign sends a task to an agent whose capacity is reserved.
func (b *Broker) assign(now time.Duration, a *agent, t *task, wait time.Duration) {
	j := t.job
	t.run = max(t.run, j.earlierLastRun) + 1
	j.lastRun = max(j.lastRun, t.run)
	t.agent = a
	t.assignedAt = now
	t.acceptedToWait = t.acceptedToWait || wait > 0
	a.tasks.add(t)
	a.ConfirmedAt = now
	m := &wire.Assign{
		Attempt: t.attempt(), Service: j.sub.Queue.Service, Spec: j.sub.Spec,
		CPU: t.spec.CPU, MemMB: t.spec.MemMB, Priority: j.sub.Queue.Priority,
		ExpectedMS: uint32(t.rack.RunTime(t.expected) / time.Millisecond), EchoMS: a.EchoMS, Seq: t.seq,
		Queue:   j.sub.Queue.Name,
		SlackMS: int((j.arrived + j.slack() - now) / time.Millisecond),
	}
	b.beginTrial(now, a, t, m)
	m.MayYield = b.mayYield(now, t, wait)
	if wait == 0 && t.rejections < maxOffers {
		m.OnlyIfFits = true
	}
	if !j.started {
		m.StartWithinMS = uint32(max(j.arrived+j.startLimit()-now, time.Millisecond) / time.Millisecond)
	}
	b.send(a, m)
	d := Decision{Job: j.sub.ID, Index: t.index, Run: t.run, Agent: a.ID.Host, Action: "assign",
		Wait: wait, ReportAge: now - a.HeartbeatAt, FreeCPU: a.View.Load.FreeCPU}
	d.Reason, d.Rack = b.racks.Assigned(now, t.rack)
	if t.previous != nil {
		p := *t.previous
		p.Age = now - t.previousAt
		d.Previous = &p
	}
	b.emit(d)
}

// moveWaiting withdraws tasks that still wait from busy agents while others have
// free capacity.
func (b *Broker) moveWaiting(now time.Duration) {
	for _, a := range b.agentList {
		for t := range a.tasks.all() {
			if t.started || t.withdrawn || now-t.assignedAt < moveAfter || t.job.closing {
				continue
			}
			b.move(now, a, t)
		}
	}
}

func (b *Broker) move(now time.Duration, a *agent, t *task) {
	if t.rack != nil {
		b.moveRacked(now, a, t)
		return
	}
	best, chosen := b.chooseAgent(now, t)
	if best == nil || best == a || chosen.Wait > 0 {
		return
	}
	if here := b.candidate(a, t); here.Score()-chosen.Score() < minMoveGain && a.Usable(now, &b.settings.Limits) {
		return
	}
	b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Agent: a.ID.Host, Action: "withdraw", Reason: "moved",
		Wait: now - t.assignedAt, ReportAge: now - best.HeartbeatAt, FreeCPU: best.View.Load.FreeCPU})
	b.withdraw(now, t, true)
}

// reassignStuck withdraws overdue runs from stuck upstreams, so that their tasks run
// elsewhere.
func (b *Broker) reassignStuck(now time.Duration) {
	for _, a := range b.agentList {
		if !a.View.Load.Stuck {
			continue
		}
		for t := range a.tasks.all() {
			if !t.started || t.withdrawn || now-t.startedAt < t.reassignAfter(now) || t.job.closing {
				continue
			}
			b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Agent: a.ID.Host, Action: "withdraw", Reason: "stuck",
				Wait: now - t.startedAt, ReportAge: now - a.HeartbeatAt})
			b.withdraw(now, t, false)
		}
	}
}

// reassignAfter returns the run time from which a run on a stuck upstream is stopped.
func (t *task) reassignAfter(now time.Duration) time.Duration {
	var siblings stuck.Siblings
	for _, other := range t.job.tasks {
		switch {
		case other.done:
			siblings.Ended(other.runTime)
		case other.started && !other.agent.View.Load.Stuck:
			siblings.Running(now - other.startedAt)
		}
	}
	return siblings.ReassignAfter(t.rack.RunTime(t.expected))
}
