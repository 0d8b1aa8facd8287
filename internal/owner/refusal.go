package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// refusal is an answer with not_run. It is given only after one other member and
// one agent have stored it, both at the owner's epoch. A successor that treats keys
// without a job record as new has replies from all members or from all agents, so
// it either has the refusal or had taken over before, in which case the refusal was
// not given.
type refusal struct {
	// id identifies the refusal in messages to other entries.
	id     uint64
	answer *wire.Answer
	// retryAt is the time until which every copy of the request gets the answer.
	retryAt time.Duration
	// retryStartUncertain is set if another entry gave the refusal, or no request
	// has got it yet. Its time to retry then starts anew with each answer, because
	// it is not known exactly when it started.
	retryStartUncertain bool
}

func (c *Core) newRefusal(a *wire.Answer, retryAt time.Duration) *refusal {
	return &refusal{id: c.newID(), answer: a, retryAt: retryAt}
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

// retriedBy reports whether a submission came after the refusal's time to retry.
// For a submission that another entry has received, that entry determines it.
func (r *refusal) retriedBy(s Submission, w waiter) bool {
	if w.peer == "" {
		return s.received >= r.retryAt
	}
	return s.expiredRefusalID == r.id
}

// repeatRefusal answers a copy of a refused request. Once the time to retry has
// passed, another copy may run, so a copy that came before gets the refusal
// without not_run. If another entry has received the copy, only that entry can
// determine how old the copy is and how long it was in transit.
func (c *Core) repeatRefusal(now time.Duration, r *refusal, w waiter) {
	answer := c.refusalAt(now, r)
	if w.peer == "" || answer == r.answer {
		c.answer(w, answer)
		return
	}
	expired := uint64((now - r.retryAt) / time.Millisecond)
	c.send(w.peer, &wire.ForwardReply{ID: w.id, Answer: answer, RefusalID: r.id, ExpiredMS: expired})
}

// refusalAt returns the answer that holds now for a job that was refused: the
// refusal or, after its time to retry, the refusal without not_run.
func (c *Core) refusalAt(now time.Duration, r *refusal) *wire.Answer {
	if now >= r.retryAt {
		return withoutNotRun(r.answer)
	}
	retry := c.retryTime(r.answer)
	// By the caller's clock the time may have passed already.
	nearlyOver := float64(r.retryAt-now) <= float64(retry)*(1-1/(clockRateMargin*clockRateMargin))+float64(time.Millisecond)
	if r.retryStartUncertain || nearlyOver {
		r.retryAt = max(r.retryAt, now+retry)
	}
	return r.answer
}

// receivedAfter reports whether a submission that was received at the given time
// came after the moment that lies expiredMS before the sending of the message that
// is handled now.
func receivedAfter(now, received time.Duration, expiredMS uint64) bool {
	age := time.Duration(float64(now-received) * clockRateMargin)
	return age < time.Duration(expiredMS)*time.Millisecond
}

// replaceByRecord replaces a refused job by a job record when its key has another
// owner, which may accept the job again. If the key returns to this entry, what is
// reported about the job is merged into the record.
func (c *Core) replaceByRecord(now time.Duration, j *job) {
	delete(c.jobs, j.Job)
	record := c.records[j.Job]
	if record == nil {
		record = &jobRecord{digest: j.Digest, epoch: j.epoch}
		c.records[j.Job] = record
		c.scheduleRecordExpiry(j.Job, record, now+c.settings.ResubmissionWindow)
	}
	record.refusal = j.refusal
	record.refusal.retryStartUncertain = true
}

func (c *Core) replaceRefusedByRecords(now time.Duration, p wire.Partition) {
	refused := map[wire.JobID]*job{}
	for id, j := range c.jobs {
		if id.Partition() == p && j.refusal != nil {
			refused[id] = j
		}
	}
	for _, id := range sortedJobs(refused) {
		c.replaceByRecord(now, refused[id])
	}
}

// maxStoreAttempts bounds the attempts to have a refusal stored. They are
// WitnessTimeout apart.
const maxStoreAttempts = 2

// pendingRefusal is a refusal that is not stored at a member and an agent yet.
type pendingRefusal struct {
	answer         *wire.Answer
	storedByMember bool
	storedByAgent  bool
}

// refuse ends a job of which nothing has started. The answer is given once a
// member and an agent have stored it.
func (c *Core) refuse(now time.Duration, j *job, a *wire.Answer) {
	if j.answer != nil || j.pendingRefusal != nil {
		return
	}
	c.dropQueued(now, j)
	j.pendingRefusal = &pendingRefusal{answer: a, storedByMember: len(c.m.Members) < 2 && c.current(j)}
	c.storeRefusal(now, j, "", "", maxStoreAttempts)
}

func (c *Core) storeRefusal(now time.Duration, j *job, peer, host string, tries int) {
	if j.pendingRefusal == nil || j.answer != nil {
		return
	}
	if tries == 0 {
		c.abandonRefusal(j)
		return
	}
	record := wire.JobRecord{Job: j.Job, Digest: j.Digest, Epoch: j.epoch, Answer: j.pendingRefusal.answer}
	record.RetryMS = uint64(c.retryTime(j.pendingRefusal.answer) / time.Millisecond)
	if peer = c.nextPeer(peer); peer != "" && !j.pendingRefusal.storedByMember {
		c.callWitness(now, peer, []wire.JobRecord{record}, func(now time.Duration, refused bool) {
			_, member := c.m.Member(peer)
			c.refusalStored(now, j, refused, member, false)
		})
	}
	if host = c.nextAgent(host); host != "" && !j.pendingRefusal.storedByAgent {
		incarnation := c.agents[host].incarnation
		c.callWitness(now, host, []wire.JobRecord{record}, func(now time.Duration, refused bool) {
			c.refusalStored(now, j, refused, false, c.agents[host].incarnation == incarnation)
		})
	}
	c.timers.add(now+c.settings.WitnessTimeout, func(now time.Duration) { c.storeRefusal(now, j, peer, host, tries-1) })
}

// refusalStored handles the reply of a member or an agent: it has stored the
// refusal, or declines because the key has been taken over.
func (c *Core) refusalStored(now time.Duration, j *job, refused, witness, agent bool) {
	if j.pendingRefusal == nil || j.answer != nil {
		return
	}
	if refused {
		c.emit(ReadMap{})
		c.abandonRefusal(j)
		return
	}
	j.pendingRefusal.storedByMember = j.pendingRefusal.storedByMember || witness
	j.pendingRefusal.storedByAgent = j.pendingRefusal.storedByAgent || agent
	if j.pendingRefusal.storedByMember && j.pendingRefusal.storedByAgent {
		c.finish(now, j, j.pendingRefusal.answer)
	}
}

// current reports whether the job was accepted under the present ownership of its
// key. An older job is finished as that of a previous owner: other entries may have
// a later state of it, and it needs a witness even if the map has a single member.
func (c *Core) current(j *job) bool {
	o := c.owned[j.Job.Partition()]
	return o != nil && o.epoch == j.epoch
}

// abandonRefusal gives the refusal without not_run. It deletes the job, so that a
// later copy of the request may still run: nothing of this one has started.
func (c *Core) abandonRefusal(j *job) {
	a := withoutNotRun(j.pendingRefusal.answer)
	c.counters.OutcomeUnknown++
	delete(c.jobs, j.Job)
	j.answer = a
	for _, w := range j.waiters {
		c.answer(w, a)
	}
	j.waiters = nil
}
