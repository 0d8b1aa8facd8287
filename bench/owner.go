package main

import (
	"time"

	"gonum.org/v1/gonum/mathext/prng"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// wantDelay is the time from which on waiting tasks are worth a Want.
	wantDelay = 10 * time.Millisecond
	// enoughRunning is the number of running tasks on an upstream at which their
	// results bring its free slots soon enough without a Want.
	wantRunningLimit = 1
)

// link is what an owner keeps of one agent.
type agentState struct {
	agent    *agent
	upstream dispatch.Upstream
	lastSeq  uint64
	// want is the number of slots asked for and not offered yet; asked is set
	// when the last offer was an answer to a want.
	wanted      int
	running     int
	answersWant bool
}

// owner drives the dispatch policy as an entry does.
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

func newOwner(r *simulation, index int, off dispatch.Mechanism) *owner {
	src := prng.NewSplitMix64(r.seed*ownerCount + uint64(index))
	o := &owner{
		sim:        r,
		index:      index,
		dataCentre: index % r.site.dataCentres,
		policy:     dispatch.NewWithout(src, off),
		byID:       map[dispatch.UpstreamID]*agentState{},
		jobs:       map[wire.JobID]*job{},
		source:     src,
	}
	o.policy.Configure(0, r.settings(o.dataCentre))
	return o
}

func (o *owner) connect(a *agent) {
	a.owners[o.index] = o
	l := &agentState{agent: a, upstream: dispatch.Upstream{
		ID:         dispatch.UpstreamID{Host: machineName(a.index), Service: "worker"},
		DataCentre: dataCentreName(a.dataCentre),
		Site:       "site",
		Classes:    o.sim.classNames(),
		Slots:      a.slots,
	}}
	o.agents = append(o.agents, l)
	o.byID[l.upstream.ID] = l
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

// refuse ends a job or submits it again later.
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

// cancel ends a job that is not complete and takes its tasks from the queue.
func (o *owner) cancel(j *job) {
	if j.ended {
		return
	}
	for i := range j.runTimes {
		o.policy.Cancel(o.sim.loop.now, wire.TaskID{Job: j.id, Index: uint16(i)})
	}
	o.sim.endJob(j, false)
}

// pump starts all tasks that credits allow, and gives up late ones.
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
	l := o.byID[a.Upstream]
	l.lastSeq++
	l.running++
	l.upstream.Credits--
	l.wanted = 0
	r := startRequest{job: o.jobs[a.Task.ID.Job], task: int(a.Task.ID.Index), seq: l.lastSeq}
	o.sendToAgent(l, func(g *agent) { g.onStart(o.index, r) })
}

func (o *owner) sendToAgent(l *agentState, deliver func(*agent)) {
	o.sim.send(o.dataCentre, l.agent.dataCentre, func() { deliver(l.agent) })
}

func (o *owner) onResult(from int, r startRequest, ok bool, ran time.Duration, c credit) {
	o.applyCredit(from, c)
	kind := dispatch.Succeeded
	if !ok {
		kind = dispatch.Failed
	}
	o.taskFinished(from, r, kind, ran)
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

func (o *owner) taskFinished(from int, r startRequest, kind dispatch.OutcomeKind, ran time.Duration) {
	o.agents[from].running--
	o.policy.Finished(o.sim.loop.now, dispatch.Outcome{
		Task:     r.id(),
		Upstream: o.agents[from].upstream.ID,
		Kind:     kind,
		RunTime:  ran,
	})
}

func (o *owner) onCredit(from int, c credit) {
	o.applyCredit(from, c)
	o.dispatchTasks()
	o.withdrawUnusedWant(from)
}

// take replaces the credits of an upstream. Starts that the agent had not seen
// when it sent them are subtracted.
func (o *owner) applyCredit(from int, c credit) {
	l := o.agents[from]
	l.answersWant = l.wanted > 0
	l.wanted = max(0, l.wanted-c.count)
	l.upstream.Credits = max(0, c.count-int(l.lastSeq-c.lastSeq))
	l.upstream.Expires = o.sim.loop.now + c.ttl
	o.policy.UpdateUpstream(o.sim.loop.now, l.upstream)
}

// returnUnused withdraws the want of an owner that was offered a slot and has
// nothing to start on it.
func (o *owner) withdrawUnusedWant(from int) {
	l := o.agents[from]
	if l.answersWant && l.upstream.Credits > 0 && o.policy.Waiting(o.sim.loop.now, l.upstream.ID) == 0 {
		o.sendWant(l, 0)
	}
}

func (o *owner) sendWant(l *agentState, count int) {
	l.wanted = count
	o.sim.wants++
	o.sendToAgent(l, func(g *agent) { g.onWant(o.index, count) })
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
	for _, l := range o.agents {
		if o.policy.Waiting(o.sim.loop.now, l.upstream.ID) > 0 {
			return true
		}
	}
	return false
}

// checkWants asks for the slots that are needed beyond those asked for already,
// beginning at a random agent.
func (o *owner) checkWants() {
	o.wantCheckScheduled = false
	o.dispatchTasks()
	asked := 0
	for _, l := range o.agents {
		asked += l.wanted
	}
	first := int(o.source.Uint64() % uint64(len(o.agents)))
	for i := range o.agents {
		l := o.agents[(first+i)%len(o.agents)]
		need := o.policy.Demand(o.sim.loop.now, l.upstream.ID) - asked
		if need <= 0 || l.wanted > 0 || l.running >= wantRunningLimit {
			continue
		}
		n := max(1, need/len(o.agents))
		asked += n
		o.sendWant(l, n)
	}
}
