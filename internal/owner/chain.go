package owner

import (
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// handedOver reports whether the owners before this one have reported all jobs of
// the partition.
func (t *takeover) handedOver(p wire.Partition) bool {
	before := t.awaitedOwner[p]
	epoch, ok := t.handedOverEpochs[before.Owner][p]
	return ok && epoch == before.Epoch
}

// allHandedOver reports whether handedOver is true of all partitions.
func (t *takeover) allHandedOver() bool {
	for _, pe := range t.partitions {
		if !t.handedOver(pe.Partition) {
			return false
		}
	}
	return true
}

// mergePartitionLists applies what the sender of a complete reply reports about
// its partitions. A sender that lacks the reply of the owner before it names that
// owner, whose reply is then needed; the sender itself has accepted no new job
// meanwhile. A sender that never took a partition over has accepted none at all.
func (c *Core) mergePartitionLists(t *takeover, from string, lists *wire.FenceReply) {
	t.handedOverEpochs[from] = map[wire.Partition]uint64{}
	for _, pe := range lists.Owned {
		t.handedOverEpochs[from][pe.Partition] = pe.Epoch
	}
	for _, a := range lists.Incomplete {
		if t.awaitedOwner[a.Partition] == (membership.OwnerEpoch{Owner: from, Epoch: a.SenderEpoch}) {
			t.awaitPredecessor(a.Partition, membership.OwnerEpoch{Owner: a.Owner, Epoch: a.Epoch})
		}
	}
	for _, pe := range lists.NotOwnedSince {
		awaited := t.awaitedOwner[pe.Partition]
		if awaited.Owner != from || awaited.Epoch <= pe.Epoch {
			continue
		}
		if before, ok := c.m.Partitions[pe.Partition].OwnerBefore(awaited); ok {
			t.awaitPredecessor(pe.Partition, before)
		}
	}
}

// awaitPredecessor replaces the awaited owner of a partition by the owner before it.
func (t *takeover) awaitPredecessor(p wire.Partition, before membership.OwnerEpoch) {
	t.skipped[p] = append(t.skipped[p], t.awaitedOwner[p].Owner)
	t.awaitedOwner[p] = before
}

// mergeAllPartitionLists applies all lists that have come. It repeats this, because
// a list may count only after another one has named its sender.
func (c *Core) mergeAllPartitionLists(t *takeover) {
	for range maxPredecessors {
		c.mergePartitionLists(t, c.self.ID, t.ownLists)
		for _, from := range sortedKeys(t.replies) {
			if p := t.replies[from]; p.complete() {
				c.mergePartitionLists(t, from, p.lists)
			}
		}
	}
}

// maxPredecessors bounds the number of successive earlier owners that are awaited.
const maxPredecessors = 4

// addPartitionTo adds to lists what this entry can report about a partition that
// it has released or never took over.
func (c *Core) addPartitionTo(lists *wire.FenceReply, p wire.Partition) {
	r := c.released[p]
	switch {
	case r == nil:
		lists.NotOwnedSince = append(lists.NotOwnedSince, wire.PartitionEpoch{Partition: p})
		return
	case r.complete:
		lists.Owned = append(lists.Owned, wire.PartitionEpoch{Partition: p, Epoch: r.epoch})
	case r.awaitedOwner.Owner != "":
		lists.Incomplete = append(lists.Incomplete, wire.IncompletePartition{
			Partition: p, Owner: r.awaitedOwner.Owner, Epoch: r.awaitedOwner.Epoch, SenderEpoch: r.epoch,
		})
	}
	lists.NotOwnedSince = append(lists.NotOwnedSince, wire.PartitionEpoch{Partition: p, Epoch: r.epoch})
}

// recordOwnLists stores what this entry itself knows from an earlier ownership. It
// counts if the owner after it was still waiting for this entry's reply.
func (c *Core) recordOwnLists(t *takeover) {
	lists := &wire.FenceReply{}
	for _, pe := range t.partitions {
		c.addPartitionTo(lists, pe.Partition)
	}
	t.ownLists = lists
}

func (t *takeover) recordReported(from string, id wire.JobID) {
	if t.reported[from] == nil {
		t.reported[from] = map[wire.JobID]bool{}
	}
	t.reported[from][id] = true
}

// dropUnaccepted drops the records of jobs that none of the owners before this one
// has accepted: these owners have reported all of their jobs, and these jobs are not
// among them. The requests were in transit, and with a record they would look like
// jobs of an unknown state.
func (c *Core) dropUnaccepted(t *takeover) {
	for id, record := range c.records {
		p := id.Partition()
		o := c.owned[p]
		if o == nil || o.takeover != t || !t.handedOver(p) || t.awaitedOwner[p].Owner == c.self.ID {
			continue
		}
		if !t.accepted(id) && record.answer == nil && record.refusal == nil && len(record.taskRecords) == 0 {
			delete(c.records, id)
		}
	}
}

// accepted reports whether one of the owners that have replied has reported the job.
func (t *takeover) accepted(id wire.JobID) bool {
	p := id.Partition()
	for _, owner := range append([]string{t.awaitedOwner[p].Owner}, t.skipped[p]...) {
		if t.reported[owner][id] {
			return true
		}
	}
	return false
}
