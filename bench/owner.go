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
	enoughRunning = 1
)

// link is what an owner keeps of one agent.
type link struct {
	agent *agent
	view  dispatch.Upstream
	sent  uint64
	// want is the number of slots asked for and not offered yet; asked is set
	// when the last offer was an answer to a want.
	want    int
	running int
	asked   bool
}

// owner drives the dispatch policy as an entry does.
type owner struct {
	run        *run
	index      int
	dataCentre int
	policy     *dispatch.Scheduler
	links      []*link
	byID       map[dispatch.UpstreamID]*link
	jobs       map[wire.JobID]*job
	checking   bool
	source     *prng.SplitMix64
}

func newOwner(r *run, index int, off dispatch.Mechanism) *owner {
	src := prng.NewSplitMix64(r.seed*ownerCount + uint64(index))
	o := &owner{
		run:        r,
		index:      index,
		dataCentre: index % r.site.dataCentres,
		policy:     dispatch.NewWithout(src, off),
		byID:       map[dispatch.UpstreamID]*link{},
		jobs:       map[wire.JobID]*job{},
		source:     src,
	}
	o.policy.Configure(0, r.settings(o.dataCentre))
	return o
}

func (o *owner) connect(a *agent) {
	a.owners[o.index] = o
	l := &link{agent: a, view: dispatch.Upstream{
		ID:         dispatch.UpstreamID{Host: machineName(a.index), Service: "worker"},
		DataCentre: dataCentreName(a.dataCentre),
		Site:       "site",
		Classes:    o.run.classNames(),
		Slots:      a.slots,
	}}
	o.links = append(o.links, l)
	o.byID[l.view.ID] = l
	o.onCredit(a.index, a.credit(o.index))
}

func (o *owner) submit(j *job) {
	now := o.run.loop.now
	d := o.policy.Admit(now, dispatch.AdmitRequest{
		Caller:   j.caller,
		Class:    j.class,
		Tasks:    len(j.service),
		Declared: j.declared,
		Deadline: j.deadline,
	})
	if j.tries > 0 {
		o.run.retries++
	}
	if d.Verdict != dispatch.Admitted {
		o.refuse(j, d)
		return
	}
	if j.tries > 0 {
		o.run.retriesAdmitted++
	}
	o.jobs[j.id] = j
	for i := range j.service {
		o.policy.Enqueue(now, dispatch.Task{
			ID:        wire.TaskID{Job: j.id, Index: uint16(i)},
			Caller:    j.caller,
			Class:     j.class,
			Declared:  j.declared,
			Deadline:  j.deadline,
			TaskCount: len(j.service),
		})
	}
	o.run.loop.after(j.deadline-now, func() { o.cancel(j) })
	o.pump()
}

// refuse ends a job or submits it again later.
func (o *owner) refuse(j *job, d dispatch.Decision) {
	if j.tries >= o.run.scenario.retries {
		o.run.refuse(j)
		return
	}
	j.tries++
	o.run.loop.after(d.RetryAfter, func() {
		j.deadline += o.run.loop.now - j.arrive
		j.arrive = o.run.loop.now
		o.submit(j)
	})
}

// cancel ends a job that is not complete and takes its tasks from the queue.
func (o *owner) cancel(j *job) {
	if j.ended {
		return
	}
	for i := range j.service {
		o.policy.Cancel(o.run.loop.now, wire.TaskID{Job: j.id, Index: uint16(i)})
	}
	o.run.end(j, false)
}

// pump starts all tasks that credits allow, and gives up late ones.
func (o *owner) pump() {
	for {
		a, ok := o.policy.Next(o.run.loop.now)
		if !ok {
			break
		}
		o.start(a)
	}
	for {
		t, ok := o.policy.Drop(o.run.loop.now)
		if !ok {
			break
		}
		o.cancel(o.jobs[t.ID.Job])
	}
	o.checkWantsLater()
}

func (o *owner) start(a dispatch.Assignment) {
	l := o.byID[a.Upstream]
	l.sent++
	l.running++
	l.view.Credits--
	l.want = 0
	r := startRequest{job: o.jobs[a.Task.ID.Job], task: int(a.Task.ID.Index), seq: l.sent}
	o.toAgent(l, func(g *agent) { g.onStart(o.index, r) })
}

func (o *owner) toAgent(l *link, deliver func(*agent)) {
	o.run.send(o.dataCentre, l.agent.dataCentre, func() { deliver(l.agent) })
}

func (o *owner) onResult(from int, r startRequest, ok bool, ran time.Duration, c credit) {
	o.take(from, c)
	kind := dispatch.Succeeded
	if !ok {
		kind = dispatch.Failed
	}
	o.finished(from, r, kind, ran)
	if !ok {
		o.run.failures++
		o.cancel(r.job)
	} else if r.job.left--; r.job.left == 0 && !r.job.ended {
		o.run.end(r.job, true)
	}
	o.pump()
	o.returnUnused(from)
}

func (o *owner) onNotStarted(from int, r startRequest, c credit) {
	o.take(from, c)
	o.finished(from, r, dispatch.NotStarted, 0)
	if !r.job.ended {
		o.policy.Enqueue(o.run.loop.now, dispatch.Task{
			ID:        r.id(),
			Caller:    r.job.caller,
			Class:     r.job.class,
			Declared:  r.job.declared,
			Deadline:  r.job.deadline,
			TaskCount: len(r.job.service),
			Arrival:   r.job.arrive,
		})
	}
	o.pump()
}

func (o *owner) finished(from int, r startRequest, kind dispatch.OutcomeKind, ran time.Duration) {
	o.links[from].running--
	o.policy.Finished(o.run.loop.now, dispatch.Outcome{
		Task:     r.id(),
		Upstream: o.links[from].view.ID,
		Kind:     kind,
		RunTime:  ran,
	})
}

func (o *owner) onCredit(from int, c credit) {
	o.take(from, c)
	o.pump()
	o.returnUnused(from)
}

// take replaces the credits of an upstream. Starts that the agent had not seen
// when it sent them are subtracted.
func (o *owner) take(from int, c credit) {
	l := o.links[from]
	l.asked = l.want > 0
	l.want = max(0, l.want-c.count)
	l.view.Credits = max(0, c.count-int(l.sent-c.seen))
	l.view.Expires = o.run.loop.now + c.life
	o.policy.UpdateUpstream(o.run.loop.now, l.view)
}

// returnUnused withdraws the want of an owner that was offered a slot and has
// nothing to start on it.
func (o *owner) returnUnused(from int) {
	l := o.links[from]
	if l.asked && l.view.Credits > 0 && o.policy.Waiting(o.run.loop.now, l.view.ID) == 0 {
		o.sendWant(l, 0)
	}
}

func (o *owner) sendWant(l *link, count int) {
	l.want = count
	o.run.wants++
	o.toAgent(l, func(g *agent) { g.onWant(o.index, count) })
}

func (o *owner) checkWantsLater() {
	if o.checking || !o.anyWaiting() {
		return
	}
	o.checking = true
	o.run.loop.after(wantDelay, o.checkWants)
}

func (o *owner) anyWaiting() bool {
	if o.policy.Queued() == 0 {
		return false
	}
	for _, l := range o.links {
		if o.policy.Waiting(o.run.loop.now, l.view.ID) > 0 {
			return true
		}
	}
	return false
}

// checkWants asks for the slots that are needed beyond those asked for already,
// beginning at a random agent.
func (o *owner) checkWants() {
	o.checking = false
	o.pump()
	asked := 0
	for _, l := range o.links {
		asked += l.want
	}
	first := int(o.source.Uint64() % uint64(len(o.links)))
	for i := range o.links {
		l := o.links[(first+i)%len(o.links)]
		need := o.policy.Demand(o.run.loop.now, l.view.ID) - asked
		if need <= 0 || l.want > 0 || l.running >= enoughRunning {
			continue
		}
		n := max(1, need/len(o.links))
		asked += n
		o.sendWant(l, n)
	}
}
