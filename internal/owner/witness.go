package owner

import (
	"slices"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// witnessCall is an open request to a peer to keep traces.
type witnessCall struct {
	peer string
	done func(now time.Duration, refused bool)
}

// askWitness has a peer keep a trace of the job and queues the job when the
// peer has acknowledged it.
func (c *Core) askWitness(now time.Duration, j *job) {
	c.askWitnessAfter(now, j, "")
}

// askWitnessAfter asks the next linked member after the given one.
func (c *Core) askWitnessAfter(now time.Duration, j *job, last string) {
	if j.witnessed || j.answer != nil || j.seal != nil {
		return
	}
	if len(c.m.Members) < 2 && c.current(j) {
		c.queue(now, j)
		return
	}
	peer := c.nextPeer(last)
	c.timers.add(now+c.settings.WitnessTimeout, func(now time.Duration) { c.askWitnessAfter(now, j, peer) })
	if peer == "" {
		return
	}
	traces := []wire.JobRecord{{Job: j.Job, Digest: j.Digest, Epoch: j.epoch}}
	c.callWitness(now, peer, traces, func(now time.Duration, refused bool) {
		if refused {
			c.emit(ReadMap{})
			return
		}
		if _, member := c.m.Member(peer); member {
			j.witnessed = true
			c.queue(now, j)
		}
	})
}

func (c *Core) callWitness(now time.Duration, peer string, traces []wire.JobRecord, done func(now time.Duration, refused bool)) {
	id := c.id()
	c.witnesses[id] = &witnessCall{peer: peer, done: done}
	c.timers.add(now+rebaseTimeout, func(time.Duration) { delete(c.witnesses, id) })
	c.send(peer, &wire.Witness{ID: id, JobRecords: traces})
}

// witness keeps traces for their owner. It refuses as a whole if one of them is
// below the fence, because its owner has been replaced. An answer that says what
// has run stays true after that, a refusal does not.
func (c *Core) witness(now time.Duration, from string, m *wire.Witness) {
	for _, t := range m.JobRecords {
		if t.Epoch < c.fences[t.Job.Partition()] && (t.Answer == nil || t.Answer.NotRun) {
			c.send(from, &wire.WitnessAck{ID: m.ID, Refused: true})
			return
		}
	}
	for _, t := range m.JobRecords {
		c.mergeTrace(now, from, t)
	}
	c.send(from, &wire.WitnessAck{ID: m.ID})
}

func (c *Core) witnessAck(now time.Duration, from string, m *wire.WitnessAck) {
	call := c.witnesses[m.ID]
	if call == nil || call.peer != from {
		return
	}
	delete(c.witnesses, m.ID)
	call.done(now, m.Refused)
}

// mergeTrace adds what another entry knows of a job to what is known here.
func (c *Core) mergeTrace(now time.Duration, from string, w wire.JobRecord) {
	if j := c.jobs[w.Job]; j != nil && c.current(j) {
		return
	}
	keep := now + c.settings.MaxDeadline + c.settings.ResubmissionWindow
	t := c.traces[w.Job]
	if t == nil {
		t = &trace{digest: w.Digest, epoch: w.Epoch}
		c.traces[w.Job] = t
		c.expireTrace(w.Job, t, keep)
	}
	t.epoch = min(t.epoch, w.Epoch)
	t.expires = max(t.expires, keep)
	switch {
	case w.Answer == nil:
		t.open = true
		if w.StillRunning && t.answer == nil {
			t.heldBy = from
		}
	case w.Answer.NotRun:
		c.mergeRefusal(now, from, t, w)
	default:
		c.keepAnswer(now, w.Job, w.Digest, w.Answer)
	}
}

// mergeRefusal adds a refusal. It does not cover a trace without an answer: the
// job may have been accepted again since. One from the holder of the job does.
func (c *Core) mergeRefusal(now time.Duration, from string, t *trace, w wire.JobRecord) {
	if t.heldBy == from && !w.MaybeAccepted {
		t.heldBy, t.open = "", false
	}
	t.open = t.open || w.MaybeAccepted
	retryAt := now + time.Duration(w.RetryMS)*time.Millisecond
	if t.refusal == nil || t.refusal.retryAt < retryAt {
		t.refusal = c.newRefusal(w.Answer, retryAt)
		t.refusal.learned = true
	}
}

// closed reports whether the job was refused and not accepted again since.
func (t *trace) closed() bool {
	return t.refusal != nil && t.answer == nil && !t.open && t.unanswered == 0 && len(t.records) == 0
}

// tellSuccessor gives the answer of a job to the entry that owns its key by now.
func (c *Core) tellSuccessor(now time.Duration, j *job) {
	if c.m == nil || c.owns(j.Job.Partition()) || j.answer.Transient {
		return
	}
	state := c.m.Partitions[j.Job.Partition()]
	if state.Owner == "" || state.Owner == c.self.ID {
		return
	}
	trace := wire.JobRecord{Job: j.Job, Digest: j.Digest, Epoch: state.Epoch, Answer: j.answer}
	describeRefusal(&trace, now, j.refusal, false)
	c.callWitness(now, state.Owner, []wire.JobRecord{trace}, func(time.Duration, bool) {})
}

// rebase is the renewal of the base of owned partitions: one peer gets traces
// of all jobs, then the map records that nothing older is needed.
type rebase struct {
	peer       string
	partitions []wire.PartitionEpoch
	members    []string
	pending    int
	started    time.Duration
}

const rebaseTimeout = 2 * time.Second

// tickRebase renews the base where a witness has departed or there was none.
func (c *Core) tickRebase(now time.Duration) {
	if c.rebase != nil && now-c.rebase.started > rebaseTimeout {
		c.rebase = nil
	}
	if c.rebase != nil || c.m == nil || c.leaving || c.commit || !c.authority(now) {
		return
	}
	var due []wire.PartitionEpoch
	for p, o := range c.own {
		if o.complete && c.m.NeedsRebase(p) {
			due = append(due, wire.PartitionEpoch{Partition: p, Epoch: o.epoch})
		}
	}
	peer := c.nextPeer("")
	if len(due) == 0 || peer == "" {
		return
	}
	sort.Slice(due, func(i, k int) bool { return due[i].Partition < due[k].Partition })
	c.startRebase(now, peer, due)
}

func (c *Core) startRebase(now time.Duration, peer string, due []wire.PartitionEpoch) {
	r := &rebase{peer: peer, partitions: due, started: now}
	for _, member := range c.m.Members {
		r.members = append(r.members, member.ID)
	}
	c.rebase = r
	for part := range slices.Chunk(c.snapshot(now, due), c.settings.JobRecordsPerMessage) {
		r.pending++
		c.callWitness(now, peer, part, func(now time.Duration, refused bool) { c.rebaseAcked(r, refused) })
	}
	if r.pending == 0 {
		c.commitRebase(r)
	}
}

// snapshot returns traces of everything that is known of the partitions.
func (c *Core) snapshot(now time.Duration, partitions []wire.PartitionEpoch) []wire.JobRecord {
	epochs := map[wire.Partition]uint64{}
	for _, pe := range partitions {
		epochs[pe.Partition] = pe.Epoch
	}
	var traces []wire.JobRecord
	for _, id := range sortedJobs(c.jobs) {
		j := c.jobs[id]
		if epoch, ok := epochs[id.Partition()]; ok {
			trace := wire.JobRecord{Job: id, Digest: j.Digest, Epoch: epoch}
			describeRefusal(&trace, now, j.refusal, false)
			traces = append(traces, trace)
		}
	}
	for _, id := range sortedJobs(c.traces) {
		t := c.traces[id]
		if epoch, ok := epochs[id.Partition()]; ok {
			trace := wire.JobRecord{Job: id, Digest: t.digest, Epoch: epoch}
			if t.answer == nil {
				describeRefusal(&trace, now, t.refusal, !t.closed())
			}
			traces = append(traces, trace)
		}
	}
	return traces
}

// describeRefusal adds a refusal to a trace. Other answers stay with their owner
// and the agents, to keep the message small.
func describeRefusal(w *wire.JobRecord, now time.Duration, r *refusal, open bool) {
	if r == nil {
		return
	}
	w.Answer, w.MaybeAccepted = r.answer, open
	w.RetryMS = uint64(max(r.retryAt-now, 0) / time.Millisecond)
}

func (c *Core) rebaseAcked(r *rebase, refused bool) {
	if c.rebase != r {
		return
	}
	if refused {
		c.rebase = nil
		c.emit(ReadMap{})
		return
	}
	r.pending--
	if r.pending == 0 {
		c.commitRebase(r)
	}
}

// commitRebase writes the new base, unless a member has departed since the
// snapshot: the departed one may have been the only witness of a later job.
func (c *Core) commitRebase(r *rebase) {
	c.rebase = nil
	for _, id := range r.members {
		if _, ok := c.m.Member(id); !ok {
			return
		}
	}
	c.propose(membership.Rebase(c.m, c.self.ID, r.partitions))
}
