package owner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// mapReadInterval is the interval at which the map row is read. With tens of
// entries this stays below 100 reads a second; the table allows two thousand.
const mapReadInterval = 500 * time.Millisecond

// propose requests a write of the next map. One write is open at a time.
func (c *Core) propose(next *membership.Map) {
	if next == nil || c.committing {
		return
	}
	c.committing = true
	c.emit(CommitMap{Next: next})
}

// CommitEnded records that the write requested by CommitMap is over, whatever its
// outcome. A MapRead reports what is in the table.
func (c *Core) CommitEnded() { c.committing = false }

// MapRead handles the map in the table, read at the time asked or later. A nil
// map means that there is none.
func (c *Core) MapRead(now, asked time.Duration, m *membership.Map) {
	if m == nil {
		if c.m == nil && !c.leaving {
			c.propose(membership.Next(nil, membership.Change{Add: []membership.Member{c.self}}))
		}
		return
	}
	if c.m == nil || m.Version >= c.m.Version {
		c.mapReadAt = max(c.mapReadAt, asked)
	}
	c.applyMap(now, m)
	c.joinMap()
	c.dispatchTasks(now)
}

// joinMap adds this entry to the map, in place of an earlier process of its host.
func (c *Core) joinMap() {
	if c.leaving || c.m == nil {
		return
	}
	if _, member := c.m.Member(c.self.ID); member {
		return
	}
	change := membership.Change{Add: []membership.Member{c.self}}
	for _, member := range c.m.Members {
		if member.Host == c.self.Host {
			change.Remove = append(change.Remove, member.ID)
		}
	}
	c.propose(membership.Next(c.m, change))
}

// Leave removes the entry from the map. Open jobs continue until HandedOver
// reports true.
func (c *Core) Drain(now time.Duration) {
	c.leaving = true
	c.leaveMap()
	c.dispatchTasks(now)
}

func (c *Core) leaveMap() {
	if c.m == nil {
		return
	}
	if _, member := c.m.Member(c.self.ID); member {
		c.propose(membership.Next(c.m, membership.Change{Remove: []string{c.self.ID}, Left: true}))
	}
}

// HandedOver reports whether a leaving entry has handed everything over: it is not in
// the map, its successors have its jobs, and no request waits for an answer.
func (c *Core) HandedOver() bool {
	if c.m == nil {
		return true
	}
	if _, member := c.m.Member(c.self.ID); member || len(c.forwards) > 0 {
		return false
	}
	for _, j := range c.jobs {
		if j.answer == nil {
			return false
		}
	}
	for _, call := range c.witnesses {
		if c.peers[call.peer] {
			return false
		}
	}
	return len(c.m.Members) == 0 || !c.unclaimed()
}

// unclaimed reports whether a partition that was released has not been fenced
// by its new owner.
func (c *Core) unclaimed() bool {
	for _, r := range c.released {
		if !r.claimed {
			return true
		}
	}
	return false
}

// EntryRowRead handles the result of a read of a member's row.
func (c *Core) EntryRowRead(now time.Duration, id string, renewal uint64, found bool) {
	c.detector.RowRead(now, id, renewal, found)
}

func (c *Core) tickMembers(now time.Duration) {
	if now >= c.nextMapRead {
		c.nextMapRead = now + mapReadInterval
		c.emit(ReadMap{})
	}
	if c.m == nil {
		return
	}
	if c.leaving {
		c.leaveMap()
		return
	}
	for _, id := range c.detector.Suspects(now) {
		c.emit(ReadEntryRow{ID: id})
	}
	if _, member := c.m.Member(c.self.ID); !member {
		return
	}
	if stopped := c.detector.Stopped(now); len(stopped) > 0 {
		c.propose(membership.Next(c.m, membership.Change{Remove: stopped}))
	}
}

// mapNotice applies a newer map from a peer. Only reads of the table renew the
// entry's authority.
func (c *Core) mapNotice(now time.Duration, m *wire.MapNotice) {
	if c.m != nil && m.Version <= c.m.Version {
		return
	}
	next, err := membership.Decode(m.Row)
	if err != nil || next.Version != m.Version {
		return
	}
	c.applyMap(now, next)
}

// applyMap puts a newer map in force.
func (c *Core) applyMap(now time.Duration, m *membership.Map) {
	if c.m != nil && m.Version <= c.m.Version {
		return
	}
	old := c.m
	c.m = m
	if !isMember(old, c.self.ID) && isMember(m, c.self.ID) {
		c.joined = now
	}
	var others []string
	for _, member := range m.Members {
		if member.ID != c.self.ID {
			others = append(others, member.ID)
		}
	}
	c.detector.SetMembers(now, others)
	c.updateLinkedMembers()
	// The map is sent before the fences: a member that replies to a fence no longer
	// confirms the previous map.
	c.publishMap()
	// Forwards that are made while the map is applied are sent then already.
	before := c.nextID
	c.applyPartitions(now)
	c.reviewTakeovers(now)
	c.refenceDeparted(now)
	for _, id := range sortedKeys(c.forwards) {
		if f := c.forwards[id]; f != nil && id <= before {
			c.reviewForward(now, f)
		}
	}
}

func isMember(m *membership.Map, id string) bool {
	if m == nil {
		return false
	}
	_, ok := m.Member(id)
	return ok
}

// reviewForward sends a request again if its owner or epoch has changed.
func (c *Core) reviewForward(now time.Duration, f *forward) {
	if f.previousOwner != "" {
		if _, member := c.m.Member(f.previousOwner); member || c.peers[f.previousOwner] {
			return
		}
		f.previousOwner = ""
	}
	c.sendForward(now, f)
}

func (c *Core) applyPartitions(now time.Duration) {
	gained := map[string][]wire.PartitionEpoch{}
	for i := range c.m.Partitions {
		p, state := wire.Partition(i), c.m.Partitions[i]
		c.fences[p] = max(c.fences[p], state.Epoch)
		o := c.owned[p]
		if o != nil && (state.Owner != c.self.ID || state.Epoch != o.epoch) {
			c.release(now, p, o)
			o = nil
		}
		// A successor may have fenced the epoch before this map came.
		if o == nil && state.Owner == c.self.ID && state.Epoch >= c.fences[p] {
			gained[state.Previous] = append(gained[state.Previous], wire.PartitionEpoch{Partition: p, Epoch: state.Epoch})
		}
	}
	previous := make([]string, 0, len(gained))
	for id := range gained {
		previous = append(previous, id)
	}
	slices.Sort(previous)
	for _, id := range previous {
		c.startTakeover(now, id, gained[id])
	}
}

// release gives up a partition. Its open jobs are finished here; deferred requests
// and jobs that wait for a witness are redirected to the new owner.
func (c *Core) release(now time.Duration, p wire.Partition, o *ownership) {
	delete(c.owned, p)
	c.released[p] = &releasedPartition{epoch: o.epoch, complete: o.complete}
	if !o.complete && o.takeover != nil {
		c.released[p].awaitedOwner = o.takeover.awaitedOwner[p]
	}
	c.replaceRefusedByRecords(now, p)
	c.redirectUnqueued(now, p)
	deferred := o.deferred
	o.deferred = nil
	for _, r := range deferred {
		c.redirect(now, r.s, r.w)
	}
}

// redirect sends a request to the new owner. For a request of another entry, it
// replies to that entry, which sends it to the new owner.
func (c *Core) redirect(now time.Duration, s Submission, w waiter) {
	if w.peer != "" {
		c.replyNotOwner(w.peer, w.id)
		return
	}
	c.forward(now, s, w)
}

// redirectUnqueued gives up jobs that still wait for a witness. None of their tasks
// has started, and no member would store a record of them at the old epoch.
func (c *Core) redirectUnqueued(now time.Duration, p wire.Partition) {
	unqueued := map[wire.JobID]*job{}
	for id, j := range c.jobs {
		if id.Partition() == p && !j.queued && j.started == 0 && j.done == 0 && j.answer == nil && j.pendingRefusal == nil {
			unqueued[id] = j
		}
	}
	for _, id := range sortedJobs(unqueued) {
		j := unqueued[id]
		delete(c.jobs, id)
		// With an answer set, timers and late acknowledgements of the job do nothing.
		j.answer = &wire.Answer{Transient: true}
		waiters := j.waiters
		j.waiters = nil
		for _, w := range waiters {
			s := j.Submission
			if d, earlier := j.earlierDeadlines[w]; earlier {
				s.Deadline = d
			}
			c.redirect(now, s, w)
		}
	}
}

func (c *Core) publishMap() {
	notice := &wire.MapNotice{Version: c.m.Version, Row: c.m.Encode()}
	for _, peer := range sortedKeys(c.peers) {
		c.send(peer, notice)
	}
	for _, host := range sortedKeys(c.agents) {
		if c.agents[host].up {
			c.send(host, notice)
		}
	}
}
