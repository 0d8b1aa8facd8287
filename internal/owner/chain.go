package owner

import (
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// handedOver reports whether the owners before this one have given all jobs of
// the partition.
func (t *takeover) handedOver(p wire.Partition) bool {
	before := t.awaiting[p]
	epoch, ok := t.owned[before.Owner][p]
	return ok && epoch == before.Epoch
}

// allHandedOver reports the same of all partitions.
func (t *takeover) allHandedOver() bool {
	for _, pe := range t.partitions {
		if !t.handedOver(pe.Partition) {
			return false
		}
	}
	return true
}

// noteLists notes what the sender of a whole reply says of its partitions. One
// that has not heard the owner before it names that one, which has to be heard
// then; it has accepted no new job meanwhile. One that never took a partition
// has accepted none at all.
func (c *Core) noteLists(t *takeover, from string, lists *wire.FenceReply) {
	t.owned[from] = map[wire.Partition]uint64{}
	for _, pe := range lists.Owned {
		t.owned[from][pe.Partition] = pe.Epoch
	}
	for _, a := range lists.Incomplete {
		if t.awaiting[a.Partition] == (membership.OwnerEpoch{Owner: from, Epoch: a.SenderEpoch}) {
			t.await(a.Partition, membership.OwnerEpoch{Owner: a.Owner, Epoch: a.Epoch})
		}
	}
	for _, pe := range lists.NotOwnedSince {
		awaiting := t.awaiting[pe.Partition]
		if awaiting.Owner != from || awaiting.Epoch <= pe.Epoch {
			continue
		}
		if before, ok := c.m.Partitions[pe.Partition].OwnerBefore(awaiting); ok {
			t.await(pe.Partition, before)
		}
	}
}

// await follows the owners of a partition one step backwards.
func (t *takeover) await(p wire.Partition, before membership.OwnerEpoch) {
	t.passed[p] = append(t.passed[p], t.awaiting[p].Owner)
	t.awaiting[p] = before
}

// noteAll notes all lists that have come. A list may only say something once
// another one has named its sender.
func (c *Core) noteAll(t *takeover) {
	for range maxChain {
		c.noteLists(t, c.self.ID, t.own)
		for _, from := range sortedKeys(t.parts) {
			if p := t.parts[from]; p.complete() {
				c.noteLists(t, from, p.lists)
			}
		}
	}
}

// maxChain bounds the owners that are followed backwards.
const maxChain = 4

// listOf adds what this entry can tell of a partition that it has released, or
// never took.
func (c *Core) listOf(lists *wire.FenceReply, p wire.Partition) {
	r := c.released[p]
	switch {
	case r == nil:
		lists.NotOwnedSince = append(lists.NotOwnedSince, wire.PartitionEpoch{Partition: p})
		return
	case r.complete:
		lists.Owned = append(lists.Owned, wire.PartitionEpoch{Partition: p, Epoch: r.epoch})
	case r.awaited.Owner != "":
		lists.Incomplete = append(lists.Incomplete, wire.IncompletePartition{
			Partition: p, Owner: r.awaited.Owner, Epoch: r.awaited.Epoch, SenderEpoch: r.epoch,
		})
	}
	lists.NotOwnedSince = append(lists.NotOwnedSince, wire.PartitionEpoch{Partition: p, Epoch: r.epoch})
}

// noteOwn notes what this entry itself knows from an earlier ownership, which
// counts if the owner after it was still waiting for it.
func (c *Core) noteOwn(t *takeover) {
	lists := &wire.FenceReply{}
	for _, pe := range t.partitions {
		c.listOf(lists, pe.Partition)
	}
	t.own = lists
}

func (t *takeover) noteHanded(from string, id wire.JobID) {
	if t.handed[from] == nil {
		t.handed[from] = map[wire.JobID]bool{}
	}
	t.handed[from][id] = true
}

// dropUnaccepted drops traces of jobs that the owners before this one, which have
// given all of their jobs, do not know: none has accepted them. Their requests were
// on the way, and a trace would make them look like jobs of an unknown state.
func (c *Core) dropUnaccepted(t *takeover) {
	for id, known := range c.traces {
		p := id.Partition()
		o := c.own[p]
		if o == nil || o.takeover != t || !t.handedOver(p) || t.awaiting[p].Owner == c.self.ID {
			continue
		}
		if !t.accepted(id) && known.answer == nil && known.refusal == nil && len(known.records) == 0 {
			delete(c.traces, id)
		}
	}
}

// accepted reports whether one of the owners that were heard knows the job.
func (t *takeover) accepted(id wire.JobID) bool {
	p := id.Partition()
	for _, owner := range append([]string{t.awaiting[p].Owner}, t.passed[p]...) {
		if t.handed[owner][id] {
			return true
		}
	}
	return false
}
