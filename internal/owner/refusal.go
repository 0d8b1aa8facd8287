package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// refusal is an answer with not_run. It is given only after one other member
// and one agent keep it, both at the owner's epoch: a successor that treats keys
// without a trace as new has heard all of one of the two sets, so it either
// knows the refusal or had taken over before, in which case it was not given.
type refusal struct {
	// id names the refusal to other entries.
	id     uint64
	answer *wire.Answer
	// retryAt is the time until which every copy of the request gets the answer.
	retryAt time.Duration
	// learned is set if another entry gave it, or nobody has got it yet. Its time
	// to retry then begins with each answer, because it is not known exactly when
	// it began.
	learned bool
}

func (c *Core) newRefusal(a *wire.Answer, retryAt time.Duration) *refusal {
	return &refusal{id: c.id(), answer: a, retryAt: retryAt}
}

// retryTime is how long a not_run answer is repeated, with an allowance for the
// caller's clock. One without a time to retry is repeated as long as any other
// answer.
func (c *Core) retryTime(a *wire.Answer) time.Duration {
	if a.RetryAfterMS == 0 {
		return c.settings.ResubmissionWindow
	}
	retry := time.Duration(float64(a.RetryAfterMS)*clockRateMargin) * time.Millisecond
	return min(c.settings.ResubmissionWindow, retry+time.Millisecond)
}

// renews reports whether a submission came after the refusal's time to retry.
// For one that another entry has received, that entry tells.
func (r *refusal) renews(s Submission, w waiter) bool {
	if w.peer == "" {
		return s.received >= r.retryAt
	}
	return s.renews == r.id
}

// repeatRefusal answers a copy of a refused request. Once the time to retry has
// passed, another copy may run, so a copy that came before gets the refusal
// without not_run. How old a copy is that another entry has received, and how
// long it was on its way, only that entry can tell.
func (c *Core) repeatRefusal(now time.Duration, r *refusal, w waiter) {
	answer := c.refusalAt(now, r)
	if w.peer == "" || answer == r.answer {
		c.answer(w, answer)
		return
	}
	expired := uint64((now - r.retryAt) / time.Millisecond)
	c.send(w.peer, &wire.ForwardReply{ID: w.id, Answer: answer, RefusalID: r.id, ExpiredMS: expired})
}

// refusalAt returns what can be said now of a job that was refused.
func (c *Core) refusalAt(now time.Duration, r *refusal) *wire.Answer {
	if now >= r.retryAt {
		return withoutNotRun(r.answer)
	}
	retry := c.retryTime(r.answer)
	// By the caller's clock the time may have passed already.
	nearlyOver := float64(r.retryAt-now) <= float64(retry)*(1-1/(clockRateMargin*clockRateMargin))+float64(time.Millisecond)
	if r.learned || nearlyOver {
		r.retryAt = max(r.retryAt, now+retry)
	}
	return r.answer
}

// younger reports whether a submission that was received at the given time came
// after a moment that lies expiredMS before the sending of the message.
func younger(now, received time.Duration, expiredMS uint64) bool {
	age := time.Duration(float64(now-received) * clockRateMargin)
	return age < time.Duration(expiredMS)*time.Millisecond
}

// shelve turns a refused job into a trace when its key has another owner, which
// may accept the job again. What comes back with the key is then merged.
func (c *Core) shelve(now time.Duration, j *job) {
	delete(c.jobs, j.Job)
	t := c.traces[j.Job]
	if t == nil {
		t = &trace{digest: j.Digest, epoch: j.epoch}
		c.traces[j.Job] = t
		c.expireTrace(j.Job, t, now+c.settings.ResubmissionWindow)
	}
	t.refusal = j.refusal
	t.refusal.learned = true
}

func (c *Core) shelveAll(now time.Duration, p wire.Partition) {
	refused := map[wire.JobID]*job{}
	for id, j := range c.jobs {
		if id.Partition() == p && j.refusal != nil {
			refused[id] = j
		}
	}
	for _, id := range sortedJobs(refused) {
		c.shelve(now, refused[id])
	}
}

// sealTries bounds the attempts to have a refusal kept, WitnessTimeout apart.
const sealTries = 2

// seal is a refusal that is not certain yet.
type seal struct {
	answer  *wire.Answer
	witness bool
	agent   bool
}

// refuse ends a job of which nothing has started. The answer waits until a
// member and an agent keep it.
func (c *Core) refuse(now time.Duration, j *job, a *wire.Answer) {
	if j.answer != nil || j.seal != nil {
		return
	}
	c.dropQueued(now, j)
	j.seal = &seal{answer: a, witness: len(c.m.Members) < 2 && c.current(j)}
	c.trySeal(now, j, "", "", sealTries)
}

func (c *Core) trySeal(now time.Duration, j *job, peer, host string, tries int) {
	if j.seal == nil || j.answer != nil {
		return
	}
	if tries == 0 {
		c.breakSeal(j)
		return
	}
	trace := wire.JobRecord{Job: j.Job, Digest: j.Digest, Epoch: j.epoch, Answer: j.seal.answer}
	trace.RetryMS = uint64(c.retryTime(j.seal.answer) / time.Millisecond)
	if peer = c.nextPeer(peer); peer != "" && !j.seal.witness {
		c.callWitness(now, peer, []wire.JobRecord{trace}, func(now time.Duration, refused bool) {
			_, member := c.m.Member(peer)
			c.sealed(now, j, refused, member, false)
		})
	}
	if host = c.nextAgent(host); host != "" && !j.seal.agent {
		incarnation := c.agents[host].incarnation
		c.callWitness(now, host, []wire.JobRecord{trace}, func(now time.Duration, refused bool) {
			c.sealed(now, j, refused, false, c.agents[host].incarnation == incarnation)
		})
	}
	c.timers.add(now+c.settings.WitnessTimeout, func(now time.Duration) { c.trySeal(now, j, peer, host, tries-1) })
}

// sealed notes that a member or an agent keeps the refusal, or will not because
// the key has been taken over.
func (c *Core) sealed(now time.Duration, j *job, refused, witness, agent bool) {
	if j.seal == nil || j.answer != nil {
		return
	}
	if refused {
		c.emit(ReadMap{})
		c.breakSeal(j)
		return
	}
	j.seal.witness = j.seal.witness || witness
	j.seal.agent = j.seal.agent || agent
	if j.seal.witness && j.seal.agent {
		c.finish(now, j, j.seal.answer)
	}
}

// current reports whether the job was accepted under the present ownership of
// its key. An older job is finished as a previous owner's: others may know more
// of it, and a single member has no say in it.
func (c *Core) current(j *job) bool {
	o := c.own[j.Job.Partition()]
	return o != nil && o.epoch == j.epoch
}

// breakSeal gives the refusal without not_run. No job is left behind, so that a
// later copy of the request may still run: nothing of this one has started.
func (c *Core) breakSeal(j *job) {
	a := withoutNotRun(j.seal.answer)
	c.counters.OutcomeUnknown++
	delete(c.jobs, j.Job)
	j.answer = a
	for _, w := range j.waiters {
		c.answer(w, a)
	}
	j.waiters = nil
}
