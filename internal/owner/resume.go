package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

type deferredRequest struct {
	s         Submission
	w         waiter
	witnessed bool
}

// deferRequest defers a request until more job records of its partition have come,
// at most for TakeoverWait.
func (c *Core) deferRequest(now time.Duration, o *ownership, s Submission, w waiter, witnessed bool) {
	if o.takeover == nil || now-o.takeover.started >= c.settings.TakeoverWait {
		c.answerUnknown(w, s.Job, "the previous owner of the key and others that could know the job are out of reach", c.settings.TakeoverWait)
		return
	}
	r := deferredRequest{s: s, w: w, witnessed: witnessed}
	if i := o.deferredIndex(w); i >= 0 {
		o.deferred[i] = r // the same request, sent again over a new link
		return
	}
	o.deferred = append(o.deferred, r)
	c.timers.add(s.Deadline, func(time.Duration) { c.expireDeferred(o, w, s.Job) })
}

func (o *ownership) deferredIndex(w waiter) int {
	return slices.IndexFunc(o.deferred, func(r deferredRequest) bool { return r.w == w })
}

// expireDeferred answers a deferred request at its own deadline, which may come
// before TakeoverWait is over.
func (c *Core) expireDeferred(o *ownership, w waiter, id wire.JobID) {
	i := o.deferredIndex(w)
	if i < 0 {
		return
	}
	o.deferred = slices.Delete(o.deferred, i, i+1)
	c.answerUnknown(w, id, "the deadline passed during the takeover of the key", c.settings.TakeoverWait)
}

func (c *Core) retryDeferred(now time.Duration, o *ownership) {
	deferred := o.deferred
	o.deferred = nil
	for _, r := range deferred {
		c.accept(now, r.s, r.w, r.witnessed)
	}
}

func (c *Core) retryAllDeferred(now time.Duration, t *takeover) {
	for _, pe := range t.partitions {
		if o := c.owned[pe.Partition]; o != nil && o.takeover == t {
			c.retryDeferred(now, o)
		}
	}
}

// resume joins a submission to a job of which this entry has only a record.
func (c *Core) resume(now time.Duration, o *ownership, record *jobRecord, s Submission, w waiter, witnessed bool) {
	switch {
	case record.digest != s.Digest:
		c.answer(w, c.keyReused(s.Job))
	case record.answer != nil:
		c.answer(w, record.answer)
	case record.refused() && !o.complete:
		c.deferRequest(now, o, s, w, witnessed) // another member may have a later record
	case record.refused():
		c.repeatRefusal(now, record.refusal, w)
	case record.previousOwner != "" && c.peers[record.previousOwner]:
		c.forwardToPreviousOwner(now, s, w, record.previousOwner)
	case !o.agentsComplete && !record.hasAllTasks(len(s.Payloads)):
		c.resumeLater(now, o, s, w, witnessed)
	case record.refusal != nil && len(record.taskRecords) == 0 && !record.refusal.retriedBy(s, w):
		c.repeatRefusal(now, record.refusal, w)
	case c.stale(now, s) && !record.hasAllTasks(len(s.Payloads)):
		c.answerStale(w, s.Job)
	default:
		c.rebuild(now, o, record, s, w, witnessed)
	}
}

// resumeLater defers the request if the previous owner or agents may still report
// records of the job, and ends it otherwise.
func (c *Core) resumeLater(now time.Duration, o *ownership, s Submission, w waiter, witnessed bool) {
	if o.takeover != nil && (o.takeover.fencingAgents || !o.complete || c.handingOver(o.takeover)) {
		c.deferRequest(now, o, s, w, witnessed)
		return
	}
	c.answerUnknown(w, s.Job, "the job was accepted by an entry that has stopped", 0)
}

// hasAllTasks reports whether there is a record of each of n tasks.
func (r *jobRecord) hasAllTasks(n int) bool {
	for i := range n {
		if _, ok := r.taskRecords[uint16(i)]; !ok {
			return false
		}
	}
	return true
}

// rebuild makes a job from the agents' task records and the submission's payloads.
// Tasks without a record have not started, and agents no longer start them for the
// old owner.
func (c *Core) rebuild(now time.Duration, o *ownership, record *jobRecord, s Submission, w waiter, witnessed bool) {
	j := c.newJob(now, o, s, w, witnessed)
	indexes := slices.Sorted(maps.Keys(record.taskRecords))
	for _, i := range indexes {
		if int(i) < len(j.tasks) {
			c.restoreTask(now, j, int(i), record.taskRecords[i])
		}
	}
	if j.answer == nil {
		c.queueWhenWitnessed(now, j)
	}
}

// restoreTask sets the state of one task from its record.
func (c *Core) restoreTask(now time.Duration, j *job, i int, r agentRecord) {
	t := &j.tasks[i]
	a := c.agents[r.agent]
	t.attempt, t.sent, t.incarnation = r.Attempt, now, r.incarnation
	t.upstream = dispatch.UpstreamID{Host: r.agent}
	j.started++
	if r.State == wire.TaskRunning {
		t.state = taskSent
		if a == nil || a.incarnation != r.incarnation {
			c.fail(now, j, ProblemOutcomeUnknown, "the agent that ran a task was restarted")
			return
		}
		a.openAttempts[r.Task] = j
		if a.up {
			c.send(a.host, &wire.Query{Tasks: []wire.TaskRef{{Task: r.Task, Attempt: r.Attempt}}})
		}
		return
	}
	t.state = taskDone
	j.done++
	c.recordOutcome(now, j, t, r.State == wire.TaskDone, r.Payload)
}

// refenceDeparted fences the agents for partitions with jobs whose previous owner
// still ran them and departed before it gave their answers.
func (c *Core) refenceDeparted(now time.Duration) {
	departed := map[string][]wire.PartitionEpoch{}
	seen := map[wire.Partition]bool{}
	for _, id := range sortedJobs(c.records) {
		record, o := c.records[id], c.owned[id.Partition()]
		if record.previousOwner == "" || o == nil || c.peers[record.previousOwner] {
			continue
		}
		if _, member := c.m.Member(record.previousOwner); member {
			continue
		}
		if !seen[id.Partition()] {
			seen[id.Partition()] = true
			departed[record.previousOwner] = append(departed[record.previousOwner], wire.PartitionEpoch{Partition: id.Partition(), Epoch: o.epoch})
		}
		record.previousOwner = ""
	}
	for _, previousOwner := range sortedKeys(departed) {
		c.refence(now, previousOwner, departed[previousOwner])
	}
}

func (c *Core) refence(now time.Duration, previousOwner string, partitions []wire.PartitionEpoch) {
	slices.SortFunc(partitions, func(a, b wire.PartitionEpoch) int { return cmp.Compare(a.Partition, b.Partition) })
	t := c.newTakeover(now, previousOwner, partitions)
	c.recordOwnLists(t)
	t.fencingAgents = true
	for _, pe := range partitions {
		c.owned[pe.Partition].takeover = t
		c.owned[pe.Partition].agentsComplete = false
	}
	c.takeovers[t.id] = t
	c.emit(ListAgents{Takeover: t.id})
}
