package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

type parkedRequest struct {
	s         Submission
	w         waiter
	witnessed bool
}

// park keeps a request until more is known of its partition, for a short time.
func (c *Core) park(now time.Duration, o *ownership, s Submission, w waiter, witnessed bool) {
	if o.takeover == nil || now-o.takeover.started >= c.settings.TakeoverWait {
		c.answerUnknown(w, s.Job, "the previous owner of the key and others that could know the job are out of reach", c.settings.TakeoverWait)
		return
	}
	r := parkedRequest{s: s, w: w, witnessed: witnessed}
	if i := o.parkedIndex(w); i >= 0 {
		o.parked[i] = r // a copy that was sent again over a new link
		return
	}
	o.parked = append(o.parked, r)
	c.timers.add(s.Deadline, func(time.Duration) { c.abandonParked(o, w, s.Job) })
}

func (o *ownership) parkedIndex(w waiter) int {
	return slices.IndexFunc(o.parked, func(r parkedRequest) bool { return r.w == w })
}

// abandonParked answers a parked request at its own deadline, which may come
// before the end of the park time.
func (c *Core) abandonParked(o *ownership, w waiter, id wire.JobID) {
	i := o.parkedIndex(w)
	if i < 0 {
		return
	}
	o.parked = slices.Delete(o.parked, i, i+1)
	c.answerUnknown(w, id, "the deadline passed during the takeover of the key", c.settings.TakeoverWait)
}

func (c *Core) unpark(now time.Duration, o *ownership) {
	parked := o.parked
	o.parked = nil
	for _, r := range parked {
		c.accept(now, r.s, r.w, r.witnessed)
	}
}

func (c *Core) unparkAll(now time.Duration, t *takeover) {
	for _, pe := range t.partitions {
		if o := c.own[pe.Partition]; o != nil && o.takeover == t {
			c.unpark(now, o)
		}
	}
}

// resume joins a submission to a job that is known only from its trace.
func (c *Core) resume(now time.Duration, o *ownership, t *trace, s Submission, w waiter, witnessed bool) {
	switch {
	case t.digest != s.Digest:
		c.answer(w, c.keyReused(s.Job))
	case t.answer != nil:
		c.answer(w, t.answer)
	case t.closed() && !o.complete:
		c.park(now, o, s, w, witnessed) // another member may know a later trace
	case t.closed():
		c.repeatRefusal(now, t.refusal, w)
	case t.heldBy != "" && c.peers[t.heldBy]:
		c.forwardHeld(now, s, w, t.heldBy)
	case !o.agentsComplete && !t.whole(len(s.Payloads)):
		c.resumeLater(now, o, s, w, witnessed)
	case t.refusal != nil && len(t.records) == 0 && !t.refusal.renews(s, w):
		c.repeatRefusal(now, t.refusal, w)
	case c.stale(now, s) && !t.whole(len(s.Payloads)):
		c.answerStale(w, s.Job)
	default:
		c.rebuild(now, o, t, s, w, witnessed)
	}
}

// resumeLater waits for what the previous owner or the agents know, or ends the
// request.
func (c *Core) resumeLater(now time.Duration, o *ownership, s Submission, w waiter, witnessed bool) {
	if o.takeover != nil && (o.takeover.fencing || !o.complete || c.handingOver(o.takeover)) {
		c.park(now, o, s, w, witnessed)
		return
	}
	c.answerUnknown(w, s.Job, "the job was accepted by an entry that has stopped", 0)
}

// whole reports whether there is a record of each of n tasks.
func (t *trace) whole(n int) bool { return len(t.records) == n }

// rebuild makes a job from the agents' records and the submission's payloads.
// Tasks without a record have not started and never will for the old owner.
func (c *Core) rebuild(now time.Duration, o *ownership, t *trace, s Submission, w waiter, witnessed bool) {
	j := c.newJob(now, o, s, w, witnessed)
	indexes := slices.Sorted(maps.Keys(t.records))
	for _, i := range indexes {
		if int(i) < len(j.tasks) {
			c.adopt(now, j, int(i), t.records[i])
		}
	}
	if j.answer == nil {
		c.proceed(now, j)
	}
}

// adopt takes the state of one task from its record.
func (c *Core) adopt(now time.Duration, j *job, i int, r heldRecord) {
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
		a.open[r.Task] = j
		if a.up {
			c.send(a.host, &wire.Query{Tasks: []wire.TaskRef{{Task: r.Task, Attempt: r.Attempt}}})
		}
		return
	}
	t.state = taskDone
	j.done++
	c.settle(now, j, t, r.State == wire.TaskDone, r.Payload)
}

// refenceHeld fences the agents for partitions with jobs that a previous owner
// held and which departed before it gave their answers.
func (c *Core) refenceHeld(now time.Duration) {
	gone := map[string][]wire.PartitionEpoch{}
	seen := map[wire.Partition]bool{}
	for _, id := range sortedJobs(c.traces) {
		t, o := c.traces[id], c.own[id.Partition()]
		if t.heldBy == "" || o == nil || c.peers[t.heldBy] {
			continue
		}
		if _, member := c.m.Member(t.heldBy); member {
			continue
		}
		if !seen[id.Partition()] {
			seen[id.Partition()] = true
			gone[t.heldBy] = append(gone[t.heldBy], wire.PartitionEpoch{Partition: id.Partition(), Epoch: o.epoch})
		}
		t.heldBy = ""
	}
	for _, holder := range sortedKeys(gone) {
		c.refence(now, holder, gone[holder])
	}
}

func (c *Core) refence(now time.Duration, holder string, partitions []wire.PartitionEpoch) {
	slices.SortFunc(partitions, func(a, b wire.PartitionEpoch) int { return cmp.Compare(a.Partition, b.Partition) })
	t := c.newTakeover(now, holder, partitions)
	c.noteOwn(t)
	t.fencing = true
	for _, pe := range partitions {
		c.own[pe.Partition].takeover = t
		c.own[pe.Partition].agentsComplete = false
	}
	c.takeovers[t.id] = t
	c.emit(ListAgents{Takeover: t.id})
}
