package owner

import (
	"slices"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// witnessCall is an open request to a peer to store job records.
type witnessCall struct {
	peer string
	done func(now time.Duration, refused bool)
}

// askWitness asks a peer to store a record of the job and queues the job when the
// peer has acknowledged it.
func (c *Core) askWitness(now time.Duration, j *job) {
	c.askWitnessAfter(now, j, "")
}

// askWitnessAfter asks the linked member that follows the given one.
func (c *Core) askWitnessAfter(now time.Duration, j *job, last string) {
	if j.witnessed || j.answer != nil || j.pendingRefusal != nil {
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
	records := []wire.JobRecord{{Job: j.Job, Digest: j.Digest, Epoch: j.epoch}}
	c.callWitness(now, peer, records, func(now time.Duration, refused bool) {
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

func (c *Core) callWitness(now time.Duration, peer string, records []wire.JobRecord, done func(now time.Duration, refused bool)) {
	id := c.newID()
	c.witnesses[id] = &witnessCall{peer: peer, done: done}
	c.timers.add(now+rebaseTimeout, func(time.Duration) { delete(c.witnesses, id) })
	c.send(peer, &wire.Witness{ID: id, JobRecords: records})
}

// witness stores job records for their owner. It refuses all of them if one is
// below the fence, because its owner has been replaced. An answer that states what
// has run stays true after that, a refusal does not.
func (c *Core) witness(now time.Duration, from string, m *wire.Witness) {
	for _, reported := range m.JobRecords {
		if reported.Epoch < c.fences[reported.Job.Partition()] && (reported.Answer == nil || reported.Answer.NotRun) {
			c.send(from, &wire.WitnessAck{ID: m.ID, Refused: true})
			return
		}
	}
	for _, reported := range m.JobRecords {
		c.mergeRecord(now, from, reported)
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

// mergeRecord merges another entry's record of a job into the record here.
func (c *Core) mergeRecord(now time.Duration, from string, reported wire.JobRecord) {
	if j := c.jobs[reported.Job]; j != nil && c.current(j) {
		return
	}
	expires := now + c.settings.MaxDeadline + c.settings.ResubmissionWindow
	record := c.records[reported.Job]
	if record == nil {
		record = &jobRecord{digest: reported.Digest, epoch: reported.Epoch}
		c.records[reported.Job] = record
		c.scheduleRecordExpiry(reported.Job, record, expires)
	}
	record.epoch = min(record.epoch, reported.Epoch)
	record.expires = max(record.expires, expires)
	switch {
	case reported.Answer == nil:
		record.maybeAccepted = true
		if reported.StillRunning && record.answer == nil {
			record.previousOwner = from
		}
	case reported.Answer.NotRun:
		c.mergeRefusal(now, from, record, reported)
	default:
		c.recordAnswer(now, reported.Job, reported.Digest, reported.Answer)
	}
}

// mergeRefusal adds a refusal. It does not resolve a record without an answer: the
// job may have been accepted again since the refusal. A refusal from the previous
// owner that ran the job does.
func (c *Core) mergeRefusal(now time.Duration, from string, record *jobRecord, reported wire.JobRecord) {
	if record.previousOwner == from && !reported.MaybeAccepted {
		record.previousOwner, record.maybeAccepted = "", false
	}
	record.maybeAccepted = record.maybeAccepted || reported.MaybeAccepted
	retryAt := now + time.Duration(reported.RetryMS)*time.Millisecond
	if record.refusal == nil || record.refusal.retryAt < retryAt {
		record.refusal = c.newRefusal(reported.Answer, retryAt)
		record.refusal.retryStartUncertain = true
	}
}

// refused reports whether the job was refused and not accepted again since.
func (r *jobRecord) refused() bool {
	return r.refusal != nil && r.answer == nil && !r.maybeAccepted && r.unansweredForwards == 0 && len(r.taskRecords) == 0
}

// notifySuccessor sends the answer of a job to the entry that now owns its key.
func (c *Core) notifySuccessor(now time.Duration, j *job) {
	if c.m == nil || c.owns(j.Job.Partition()) || j.answer.Transient {
		return
	}
	state := c.m.Partitions[j.Job.Partition()]
	if state.Owner == "" || state.Owner == c.self.ID {
		return
	}
	record := wire.JobRecord{Job: j.Job, Digest: j.Digest, Epoch: state.Epoch, Answer: j.answer}
	addRefusal(&record, now, j.refusal, false)
	c.callWitness(now, state.Owner, []wire.JobRecord{record}, func(time.Duration, bool) {})
}

// rebase is the renewal of the base of owned partitions: one peer gets records of
// all jobs, then the map states that no older records are needed.
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
	if c.rebase != nil || c.m == nil || c.leaving || c.committing || !c.authority(now) {
		return
	}
	var due []wire.PartitionEpoch
	for p, o := range c.owned {
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

// snapshot returns records of all jobs of the partitions.
func (c *Core) snapshot(now time.Duration, partitions []wire.PartitionEpoch) []wire.JobRecord {
	epochs := map[wire.Partition]uint64{}
	for _, pe := range partitions {
		epochs[pe.Partition] = pe.Epoch
	}
	var records []wire.JobRecord
	for _, id := range sortedJobs(c.jobs) {
		j := c.jobs[id]
		if epoch, ok := epochs[id.Partition()]; ok {
			record := wire.JobRecord{Job: id, Digest: j.Digest, Epoch: epoch}
			addRefusal(&record, now, j.refusal, false)
			records = append(records, record)
		}
	}
	for _, id := range sortedJobs(c.records) {
		stored := c.records[id]
		if epoch, ok := epochs[id.Partition()]; ok {
			record := wire.JobRecord{Job: id, Digest: stored.digest, Epoch: epoch}
			if stored.answer == nil {
				addRefusal(&record, now, stored.refusal, !stored.refused())
			}
			records = append(records, record)
		}
	}
	return records
}

// addRefusal adds a refusal to a record. Other answers stay with their owner and
// the agents, to keep the message small.
func addRefusal(record *wire.JobRecord, now time.Duration, r *refusal, maybeAccepted bool) {
	if r == nil {
		return
	}
	record.Answer, record.MaybeAccepted = r.answer, maybeAccepted
	record.RetryMS = uint64(max(r.retryAt-now, 0) / time.Millisecond)
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
