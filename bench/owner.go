package main

import (
	"time"

	"gonum.org/v1/gonum/mathext/prng"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// wantDelay is the time for which tasks wait before the owner sends a Want.
	wantDelay = 10 * time.Millisecond
	// wantRunningLimit is the number of the owner's running tasks on an upstream
	// from which on it sends no Want there: their results bring credits for free
	// slots soon enough.
	wantRunningLimit = 1
)

// agentState is the state that an owner has of one agent.
type agentState struct {
	agent    *agent
	upstream dispatch.Upstream
	lastSeq  uint64
	// wanted is the number of slots asked for and not offered yet. answersWant is
	// set if the last credit came while slots were wanted.
	wanted      int
	running     int
	answersWant bool
}

// owner drives the dispatch policy as an entry does: it exchanges credits and
// starts with the agents.
type owner struct {
	sim                *simulation
	index              int
	dataCentre         int
	policy             *dispatch.Scheduler
	agents             []*agentState
	byID               map[dispatch.UpstreamID]*agentState
	jobs               map[wire.JobID]*job
	wantCheckScheduled bool
	source             *prng.SplitMix64
}

func newOwner(sim *simulation, index int, disabled dispatch.Mechanism) *owner {
	src := prng.NewSplitMix64(sim.seed*ownerCount + uint64(index))
	o := &owner{
		sim:        sim,
		index:      index,
		dataCentre: index % sim.site.dataCentres,
		policy:     dispatch.NewWithout(src, disabled),
		byID:       map[dispatch.UpstreamID]*agentState{},
		jobs:       map[wire.JobID]*job{},
		source:     src,
	}
	o.policy.Configure(0, sim.settings(o.dataCentre))
	return o
}

func (o *owner) connect(a *agent) {
	a.owners[o.index] = o
	s := &agentState{agent: a, upstream: dispatch.Upstream{
		ID:         dispatch.UpstreamID{Host: machineName(a.index), Service: "worker"},
		DataCentre: dataCentreName(a.dataCentre),
		Site:       "site",
		Classes:    o.sim.classNames(),
		Slots:      a.slots,
	}}
	o.agents = append(o.agents, s)
	o.byID[s.upstream.ID] = s
	o.onCredit(a.index, a.newCredit(o.index))
}

func (o *owner) submit(j *job) {
	now := o.sim.loop.now
	d := o.policy.Admit(now, dispatch.AdmitRequest{
		Caller:   j.caller,
		Class:    j.class,
		Tasks:    len(j.runTimes),
		Declared: j.declared,
		Deadline: j.deadline,
	})
	if j.retries > 0 {
		o.sim.retries++
	}
	if d.Verdict != dispatch.Admitted {
		o.refuse(j, d)
		return
	}
	if j.retries > 0 {
		o.sim.retriesAdmitted++
	}
	o.jobs[j.id] = j
	for i := range j.runTimes {
		o.policy.Enqueue(now, dispatch.Task{
			ID:        wire.TaskID{Job: j.id, Index: uint16(i)},
			Caller:    j.caller,
			Class:     j.class,
			Declared:  j.declared,
			Deadline:  j.deadline,
			TaskCount: len(j.runTimes),
		})
	}
	o.sim.loop.after(j.deadline-now, func() { o.cancel(j) })
	o.dispatchTasks()
}

// refuse ends a refused job, or submits it again after the delay that the refusal
// gave.
func (o *owner) refuse(j *job, d dispatch.Decision) {
	if j.retries >= o.sim.scenario.retries {
		o.sim.refuse(j)
		return
	}
	j.retries++
	o.sim.loop.after(d.RetryAfter, func() {
		j.deadline += o.sim.loop.now - j.arrival
		j.arrival = o.sim.loop.now
		o.submit(j)
	})
}

// cancel ends a job that is not complete and removes its tasks from the queue.
func (o *owner) cancel(j *job) {
	if j.ended {
		return
	}
	for i := range j.runTimes {
		o.policy.Cancel(o.sim.loop.now, wire.TaskID{Job: j.id, Index: uint16(i)})
	}
	o.sim.endJob(j, false)
}

// dispatchTasks starts all tasks that the credits allow, and cancels the jobs of
// tasks that the policy drops as late.
func (o *owner) dispatchTasks() {
	for {
		a, ok := o.policy.Next(o.sim.loop.now)
		if !ok {
			break
		}
		o.start(a)
	}
	for {
		t, ok := o.policy.Drop(o.sim.loop.now)
		if !ok {
			break
		}
		o.cancel(o.jobs[t.ID.Job])
	}
	o.scheduleWantCheck()
}

func (o *owner) start(a dispatch.Assignment) {
	s := o.byID[a.Upstream]
	s.lastSeq++
	s.running++
	s.upstream.Credits--
	s.wanted = 0
	r := startRequest{job: o.jobs[a.Task.ID.Job], task: int(a.Task.ID.Index), seq: s.lastSeq}
	o.sendToAgent(s, func(g *agent) { g.onStart(o.index, r) })
}

func (o *owner) sendToAgent(s *agentState, deliver func(*agent)) {
	o.sim.send(o.dataCentre, s.agent.dataCentre, func() { deliver(s.agent) })
}

func (o *owner) onResult(from int, r startRequest, ok bool, runTime time.Duration, c credit) {
	o.applyCredit(from, c)
	kind := dispatch.Succeeded
	if !ok {
		kind = dispatch.Failed
	}
	o.taskFinished(from, r, kind, runTime)
	if !ok {
		o.sim.failures++
		o.cancel(r.job)
	} else if r.job.tasksLeft--; r.job.tasksLeft == 0 && !r.job.ended {
		o.sim.endJob(r.job, true)
	}
	o.dispatchTasks()
	o.withdrawUnusedWant(from)
}

func (o *owner) onNotStarted(from int, r startRequest, c credit) {
	o.applyCredit(from, c)
	o.taskFinished(from, r, dispatch.NotStarted, 0)
	if !r.job.ended {
		o.policy.Enqueue(o.sim.loop.now, dispatch.Task{
			ID:        r.id(),
			Caller:    r.job.caller,
			Class:     r.job.class,
			Declared:  r.job.declared,
			Deadline:  r.job.deadline,
			TaskCount: len(r.job.runTimes),
			Arrival:   r.job.arrival,
		})
	}
	o.dispatchTasks()
}

func (o *owner) taskFinished(from int, r startRequest, kind dispatch.OutcomeKind, runTime time.Duration) {
	o.agents[from].running--
	o.policy.Finished(o.sim.loop.now, dispatch.Outcome{
		Task:     r.id(),
		Upstream: o.agents[from].upstream.ID,
		Kind:     kind,
		RunTime:  runTime,
	})
}

func (o *owner) onCredit(from int, c credit) {
	o.applyCredit(from, c)
	o.dispatchTasks()
	o.withdrawUnusedWant(from)
}

// applyCredit replaces the credits of an upstream. It subtracts the starts that
// the agent had not received when it sent the credit.
func (o *owner) applyCredit(from int, c credit) {
	s := o.agents[from]
	s.answersWant = s.wanted > 0
	s.wanted = max(0, s.wanted-c.count)
	s.upstream.Credits = max(0, c.count-int(s.lastSeq-c.lastSeq))
	s.upstream.Expires = o.sim.loop.now + c.ttl
	o.policy.UpdateUpstream(o.sim.loop.now, s.upstream)
}

// withdrawUnusedWant withdraws the want at an agent that has offered a slot if no
// task waits for it.
func (o *owner) withdrawUnusedWant(from int) {
	s := o.agents[from]
	if s.answersWant && s.upstream.Credits > 0 && o.policy.Waiting(o.sim.loop.now, s.upstream.ID) == 0 {
		o.sendWant(s, 0)
	}
}

func (o *owner) sendWant(s *agentState, count int) {
	s.wanted = count
	o.sim.wants++
	o.sendToAgent(s, func(g *agent) { g.onWant(o.index, count) })
}

func (o *owner) scheduleWantCheck() {
	if o.wantCheckScheduled || !o.anyWaiting() {
		return
	}
	o.wantCheckScheduled = true
	o.sim.loop.after(wantDelay, o.checkWants)
}

func (o *owner) anyWaiting() bool {
	if o.policy.Queued() == 0 {
		return false
	}
	for _, s := range o.agents {
		if o.policy.Waiting(o.sim.loop.now, s.upstream.ID) > 0 {
			return true
		}
	}
	return false
}

// checkWants asks the agents for the slots that are needed beyond those asked for
// already, starting with a random agent.
func (o *owner) checkWants() {
	o.wantCheckScheduled = false
	o.dispatchTasks()
	requested := 0
	for _, s := range o.agents {
		requested += s.wanted
	}
	first := int(o.source.Uint64() % uint64(len(o.agents)))
	for i := range o.agents {
		s := o.agents[(first+i)%len(o.agents)]
		need := o.policy.Demand(o.sim.loop.now, s.upstream.ID) - requested
		if need <= 0 || s.wanted > 0 || s.running >= wantRunningLimit {
			continue
		}
		n := max(1, need/len(o.agents))
		requested += n
		o.sendWant(s, n)
	}
}
