package protocoltest

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// callers submit jobs, resubmit each up to three times and cancel some.
type callers struct {
	sim      *simulation
	count    int
	token    uint64
	jobs     map[string]*jobState
	requests map[uint64]*request
	// complete, final and refused count the answers, to show that runs do work.
	complete, final, refused int
}

type jobState struct {
	id       wire.JobID
	name     string
	payloads [][]byte
	first    time.Duration
	submits  []time.Duration
}

// request is one submission or lookup at one entry.
type request struct {
	token      uint64
	job        *jobState
	entry      *entryProc
	receivedAt time.Duration
	timeout    time.Duration
	digest     wire.Digest
	payloads   [][]byte
	lookup     bool
	// received is set when the entry has begun to handle the request.
	received bool
	// excused is set if the entry was paused or killed: no answer is required then.
	excused bool
	answer  *wire.Answer
}

// answerGrace is how long after its deadline an answer may come.
const answerGrace = 500 * time.Millisecond

func (c *callers) newJob() *jobState {
	c.count++
	j := &jobState{name: fmt.Sprintf("key-%d", c.count), first: c.sim.now}
	j.id = wire.NewJobID("caller", j.name)
	for i := range 1 + c.sim.rng.IntN(5) {
		j.payloads = append(j.payloads, fmt.Appendf(nil, `"%s/%d"`, j.name, i))
	}
	c.jobs[j.id.String()] = j
	return j
}

// submitNext submits a new job and schedules its resubmissions and the next job.
func (c *callers) submitNext() {
	if !c.sim.faultsActive {
		return
	}
	c.sim.after(c.sim.randomBetween(0, 400*time.Millisecond), c.submitNext)
	j := c.newJob()
	c.submit(j, j.payloads, c.deadline())
	for range c.sim.rng.IntN(4) {
		payloads := j.payloads
		if c.sim.chance(5) {
			payloads = [][]byte{[]byte(`"another body"`)}
		}
		again := c.sim.randomBetween(0, 3*time.Second)
		if c.sim.chance(30) {
			again = c.sim.randomBetween(0, resubmissionTime)
		}
		c.sim.after(again, func() { c.submit(j, payloads, c.deadline()) })
	}
	if c.sim.chance(5) {
		c.sim.after(c.sim.randomBetween(0, 2*time.Second), func() { c.cancel(j) })
	}
}

func (c *callers) deadline() time.Duration {
	return c.sim.randomBetween(500*time.Millisecond, 5*time.Second)
}

func (c *callers) newRequest(j *jobState, deadline time.Duration) *request {
	ids := sortedKeys(c.sim.entries)
	if len(ids) == 0 {
		return nil
	}
	return c.newRequestAt(c.sim.entries[pick(c.sim, ids)], j, deadline)
}

func (c *callers) newRequestAt(e *entryProc, j *jobState, deadline time.Duration) *request {
	c.token++
	r := &request{token: c.token, job: j, entry: e, timeout: deadline, excused: e.paused}
	c.requests[r.token] = r
	return r
}

func (c *callers) submit(j *jobState, payloads [][]byte, deadline time.Duration) {
	if r := c.newRequest(j, deadline); r != nil {
		c.send(r, payloads)
	}
}

// send submits at the request's entry. The submission counts from the moment when
// the entry begins to handle it.
func (c *callers) send(r *request, payloads [][]byte) {
	e, j := r.entry, r.job
	r.payloads = payloads
	h := sha256.New()
	for _, p := range payloads {
		h.Write(p)
	}
	copy(r.digest[:], h.Sum(nil))
	e.post(func() {
		r.receivedAt, r.received = c.sim.now, true
		j.submits = append(j.submits, r.receivedAt)
		c.sim.trace("submit %s %s at %s token %d partition %d", j.name, j.id, e.id, r.token, j.id.Partition())
		e.core.Submit(e.clock(), r.token, owner.Submission{
			Job: j.id, Caller: "caller", Class: class, Digest: r.digest, Deadline: e.clock() + r.timeout, Payloads: payloads,
		})
		c.sim.after(r.timeout+answerGrace, func() { c.sim.check.overdue(r) })
	})
}

func (c *callers) cancel(j *jobState) {
	r := c.newRequest(j, time.Second)
	if r == nil {
		return
	}
	r.lookup = true
	r.entry.post(func() {
		r.receivedAt, r.received = c.sim.now, true
		r.entry.core.Lookup(r.entry.clock(), r.token, j.id, "caller", true, r.entry.clock()+r.timeout)
		c.sim.after(r.timeout+answerGrace, func() { c.sim.check.overdue(r) })
	})
}

func (c *callers) answered(e *entryProc, token uint64, a *wire.Answer) {
	r := c.requests[token]
	if r == nil || r.answer != nil || r.entry != e {
		c.sim.check.fail("one final answer", "token %d got another answer: %s", token, a.Body)
		return
	}
	c.sim.trace("answer token %d at %s: %s", token, e.id, a.Body)
	r.answer = a
	c.final++
	c.sim.check.answered(r, a)
}

// excuse marks the requests at an entry that was paused or killed.
func (c *callers) excuse(e *entryProc) {
	for _, r := range c.requests {
		if r.entry == e {
			r.excused = true
		}
	}
}

func (c *callers) hasPending(e *entryProc) bool {
	for _, r := range c.requests {
		if r.entry == e && r.received && r.answer == nil {
			return true
		}
	}
	return false
}

func bodyOf(a *wire.Answer) string {
	if a == nil {
		return "no answer"
	}
	return string(a.Body)
}

func isComplete(a *wire.Answer) bool {
	var body owner.CompleteBody
	return a.Status == 200 && json.Unmarshal(a.Body, &body) == nil && body.State == owner.StateComplete
}
