package protocoltest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// checker checks a run from outside the cores. It keeps the first failure, which
// ends the run.
type checker struct {
	sim     *simulation
	failure string
	starts  map[wire.TaskID]taskStart
	byJob   map[wire.JobID][]taskStart
	refused map[wire.JobID][]refusal
	// refusalIssuedAt is when an owner first issued a refusal, by its body.
	refusalIssuedAt map[string]time.Duration
	fences          map[string]*[wire.PartitionCount]uint64
	grants          map[[2]string]grant
	// tableReadAt and peerConfirmedAt record, independently of the cores, what each
	// entry's authority depends on: its last read of the map and its peers' last
	// confirmations.
	tableReadAt     map[string]time.Duration
	peerConfirmedAt map[string]map[string]time.Duration
	// evacuations holds the newest state that has reached each agent process, recorded
	// independently of the cores. empty is the data centre in which nothing may start at
	// all, because its evacuation was requested long ago and no fault is active.
	evacuations map[string]*wire.Evacuations
	empty       string
	// startsIn counts the starts by data centre.
	startsIn map[string]int
}

type taskStart struct {
	at    time.Duration
	agent string
	epoch uint64
	// result is the answer of the upstream. It is different for each start.
	result []byte
	digest wire.Digest
}

// refusal is an answer with not_run that a caller has received. Its retry time
// counts from when the owner first issued it; until then, a copy of the request
// gets the same refusal.
type refusal struct {
	at    time.Duration
	retry time.Duration
}

type grant struct {
	at   time.Duration
	left int
}

func newChecker(sim *simulation) *checker {
	return &checker{
		sim: sim, starts: map[wire.TaskID]taskStart{}, byJob: map[wire.JobID][]taskStart{}, refused: map[wire.JobID][]refusal{},
		refusalIssuedAt: map[string]time.Duration{},
		fences:          map[string]*[wire.PartitionCount]uint64{}, grants: map[[2]string]grant{},
		tableReadAt: map[string]time.Duration{}, peerConfirmedAt: map[string]map[string]time.Duration{},
		evacuations: map[string]*wire.Evacuations{}, startsIn: map[string]int{},
	}
}

func (c *checker) fail(check, format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf("%s: %s (at %s, step %d)", check, fmt.Sprintf(format, args...), c.sim.now, c.sim.steps)
		c.sim.trace("FAILED %s", c.failure)
	}
}

// result returns the upstream's answer to a start. It contains the number of the
// start, so that it differs from that of any other start.
func (c *checker) result(s *wire.Start) []byte {
	return c.starts[s.Task].result
}

// started checks a task start at an agent.
func (c *checker) started(a *agentProc, s *wire.Start) {
	c.sim.trace("run %s epoch %d attempt %d at %s", s.Task, s.Epoch, s.Attempt, a.id)
	if old, twice := c.starts[s.Task]; twice {
		c.fail("at most once", "task %s started at %s at %s and again at %s", s.Task, old.agent, old.at, a.id)
	}
	st := taskStart{at: c.sim.now, agent: a.id, epoch: s.Epoch, digest: s.Digest}
	st.result = fmt.Appendf(nil, `{"run":%d,"payload":%s}`, len(c.starts), s.Payload)
	c.starts[s.Task] = st
	c.byJob[s.Task.Job] = append(c.byJob[s.Task.Job], st)
	if fence := c.fences[a.id]; fence != nil && s.Epoch < fence[s.Task.Job.Partition()] {
		c.fail("no start below a fence", "task %s epoch %d fence %d at %s", s.Task, s.Epoch, fence[s.Task.Job.Partition()], a.id)
	}
	c.checkEvacuation(a, s)
	if a.draining {
		c.fail("no start after drain", "task %s at %s", s.Task, a.id)
	}
	if r, found := c.contradictedRefusal(s.Task.Job, c.sim.now); found {
		c.fail("not_run is true", "task %s started after a refusal at %s with retry after %s", s.Task, r.at, r.retry)
	}
}

// spent checks the credit of a start.
func (c *checker) spent(a *agentProc, entry string, s *wire.Start) {
	key := [2]string{a.id, entry}
	g, ok := c.grants[key]
	if !ok || a.clock()-g.at >= creditTTL || g.left <= 0 {
		c.fail("no start on an expired or spent credit", "task %s of %s at %s, credit of %s, %d left", s.Task, entry, a.id, a.clock()-g.at, g.left)
	}
	g.left--
	c.grants[key] = g
}

// contradictedRefusal finds a refusal that a start at the given time contradicts:
// the job was not submitted again after the refusal's retry time.
func (c *checker) contradictedRefusal(id wire.JobID, at time.Duration) (refusal, bool) {
	for _, r := range c.refused[id] {
		if r.at <= at && !c.submittedBetween(id, r.at+r.retry, at) {
			return r, true
		}
	}
	return refusal{}, false
}

func (c *checker) submittedBetween(id wire.JobID, from, to time.Duration) bool {
	for _, at := range c.sim.callers.jobs[id.String()].submits {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// granted records the credits that an agent sends.
func (c *checker) granted(a *agentProc, s ledger.Send) {
	var credit *wire.Credit
	switch m := s.Message.(type) {
	case *wire.Credit:
		credit = m
	case *wire.UpstreamUp:
		credit = &m.Credit
	case *wire.Result:
		credit = &m.Credit
	case *wire.NotStarted:
		credit = &m.Credit
	}
	if credit != nil && credit.Upstream == service {
		c.grants[[2]string{a.id, s.Entry}] = grant{at: a.clock(), left: credit.Count}
	}
}

func (c *checker) fenced(a *agentProc, epochs []wire.PartitionEpoch) {
	fence := c.fences[a.id]
	if fence == nil {
		fence = &[wire.PartitionCount]uint64{}
		c.fences[a.id] = fence
	}
	for _, pe := range epochs {
		fence[pe.Partition] = max(fence[pe.Partition], pe.Epoch)
	}
}

func (c *checker) mapRead(e *entryProc, requestedAt time.Duration, version uint64) {
	if version >= e.mapVersion() {
		c.tableReadAt[e.id] = max(c.tableReadAt[e.id], requestedAt)
	}
}

func (c *checker) confirmed(e *entryProc, id string, sent time.Duration, version uint64) {
	if version > e.mapVersion() {
		return
	}
	if c.peerConfirmedAt[e.id] == nil {
		c.peerConfirmedAt[e.id] = map[string]time.Duration{}
	}
	c.peerConfirmedAt[e.id][id] = max(c.peerConfirmedAt[e.id][id], sent)
}

// startSent checks that an entry sends a start only with authority.
func (c *checker) startSent(e *entryProc, s *wire.Start) {
	now := e.clock()
	if now-c.tableReadAt[e.id] < authorityTimeout {
		return
	}
	authorised := now-c.tableReadAt[e.id] < peerAuthorityTimeout
	for _, member := range e.core.Map().Members {
		at, ok := c.peerConfirmedAt[e.id][member.ID]
		authorised = authorised && (member.ID == e.id || ok && now-at < authorityTimeout)
	}
	if !authorised {
		c.fail("no start without authority", "entry %s task %s", e.id, s.Task)
	}
}

func (c *checker) answered(r *request, a *wire.Answer) {
	id := r.job.id
	if isComplete(a) && !r.lookup {
		c.sim.callers.complete++
		c.complete(r, a)
	}
	if !a.NotRun {
		return
	}
	c.sim.callers.refused++
	var body owner.ProblemBody
	if err := json.Unmarshal(a.Body, &body); err != nil || !body.NotRun {
		c.fail("not_run is true", "answer and body differ: %s", a.Body)
	}
	ref := refusal{at: c.refusalIssuedAt[string(a.Body)], retry: time.Duration(a.RetryAfterMS) * time.Millisecond}
	for _, s := range c.byJob[id] {
		if !c.submittedBetween(id, ref.at+ref.retry, s.at) {
			c.fail("not_run is true", "job %s is called not run, but a task started at %s: %s", id, s.at, a.Body)
		}
	}
	c.refused[id] = append(c.refused[id], ref)
}

// refusalIssued records that an entry issues a refusal itself; it is not called for
// one that the entry relays. After the retry time it is another refusal with the
// same body.
func (c *checker) refusalIssued(a *wire.Answer) {
	if a == nil || !a.NotRun {
		return
	}
	first, known := c.refusalIssuedAt[string(a.Body)]
	if !known || c.sim.now >= first+time.Duration(a.RetryAfterMS)*time.Millisecond {
		c.refusalIssuedAt[string(a.Body)] = c.sim.now
	}
}

// complete compares a complete answer with what the upstreams have answered.
func (c *checker) complete(r *request, a *wire.Answer) {
	results := make([]owner.Result, len(r.payloads))
	for i := range results {
		s, ok := c.starts[wire.TaskID{Job: r.job.id, Index: uint16(i)}]
		if !ok || s.digest != r.digest {
			c.fail("complete answer", "job %s has no start of task %d with the request's body: %s", r.job.id, i, a.Body)
			return
		}
		results[i] = owner.Result{Index: i, Payload: s.result}
	}
	want, err := json.Marshal(owner.CompleteBody{ID: r.job.id.String(), State: owner.StateComplete, Results: results})
	if err != nil || !bytes.Equal(append(want, '\n'), a.Body) {
		c.fail("complete answer", "job %s: %s, the upstreams gave %s", r.job.id, a.Body, want)
	}
}

// overdue checks that a request has its answer. Requests at an entry that was
// killed or paused are excused.
func (c *checker) overdue(r *request) {
	if r.answer == nil && !r.excused {
		c.fail("one final answer", "token %d at %s for %s has none after its deadline", r.token, r.entry.id, r.job.name)
	}
}
