package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// ownership is the state of a partition that this entry owns.
type ownership struct {
	epoch uint64
	// complete: the job records are complete, so a key without one is new.
	complete bool
	// agentsComplete: the agents' task records are complete, so a task without one
	// has not started.
	agentsComplete bool
	takeover       *takeover
	deferred       []deferredRequest
}

// releasedPartition is the state of a partition that this entry has given up.
type releasedPartition struct {
	epoch    uint64
	complete bool
	// awaitedOwner is the earlier owner that had not reported its jobs yet, if not
	// complete.
	awaitedOwner membership.OwnerEpoch
	// claimed is set once the new owner has fenced the partition.
	claimed bool
}

// takeover collects the job and task records of other processes for partitions that
// came from one owner.
type takeover struct {
	id           uint64
	previous     string
	partitions   []wire.PartitionEpoch
	started      time.Duration
	entryReplied map[string]bool
	// repliedAt is when each entry replied and so had the takeover's map.
	repliedAt map[string]time.Duration
	// awaitedOwner is the owner whose complete list of jobs is needed: the previous
	// one or, if that has handed over without such a list, the owner before it.
	awaitedOwner map[wire.Partition]membership.OwnerEpoch
	// skipped are the later owners that were awaited before the awaited one.
	skipped map[wire.Partition][]string
	// handedOverEpochs are the partitions of which each entry has reported all jobs
	// up to the end of its ownership, with the epoch of this ownership.
	handedOverEpochs map[string]map[wire.Partition]uint64
	// reported are the jobs that each entry has reported.
	reported map[string]map[wire.JobID]bool
	// ownLists is what this entry itself knows as an earlier owner.
	ownLists *wire.FenceReply
	// fencingAgents is set if the agents have to reply as well.
	fencingAgents bool
	agentsListed  bool
	agentRows     map[string]AgentRow
	// agentReplies has the incarnation of each agent that has replied.
	agentReplies map[string]string
	// replies are the replies of which parts have come.
	replies map[string]*replyParts
}

func (c *Core) newTakeover(now time.Duration, previous string, partitions []wire.PartitionEpoch) *takeover {
	t := &takeover{
		id: c.newID(), previous: previous, partitions: partitions, started: now,
		entryReplied: map[string]bool{}, repliedAt: map[string]time.Duration{}, replies: map[string]*replyParts{},
		awaitedOwner: map[wire.Partition]membership.OwnerEpoch{}, skipped: map[wire.Partition][]string{}, handedOverEpochs: map[string]map[wire.Partition]uint64{},
		reported: map[string]map[wire.JobID]bool{}, agentReplies: map[string]string{},
	}
	for _, pe := range partitions {
		t.awaitedOwner[pe.Partition] = membership.OwnerEpoch{Owner: previous, Epoch: c.m.Partitions[pe.Partition].PreviousEpoch}
	}
	return t
}

// startTakeover starts the takeover of partitions from their previous owner. Those
// that never had an owner are complete at once.
func (c *Core) startTakeover(now time.Duration, previous string, partitions []wire.PartitionEpoch) {
	t := c.newTakeover(now, previous, partitions)
	c.recordOwnLists(t)
	for _, pe := range partitions {
		delete(c.released, pe.Partition)
		o := &ownership{epoch: pe.Epoch, takeover: t}
		c.owned[pe.Partition] = o
		if previous == "" {
			o.complete, o.agentsComplete, o.takeover = true, true, nil
		}
	}
	if previous == "" {
		return
	}
	c.takeovers[t.id] = t
	c.counters.Takeovers++
	message := &wire.Fence{ID: t.id, Partitions: partitions}
	for _, member := range c.m.Members {
		if member.ID != c.self.ID {
			c.send(member.ID, message)
		}
	}
	if _, member := c.m.Member(previous); !member && c.peers[previous] {
		c.send(previous, message) // a leaving entry still replies
	}
	c.reviewTakeover(now, t)
}

func (c *Core) reviewTakeovers(now time.Duration) {
	for _, id := range sortedKeys(c.takeovers) {
		c.reviewTakeover(now, c.takeovers[id])
	}
}

// reviewTakeover determines which partitions' records are complete by now, and
// retries their deferred requests.
func (c *Core) reviewTakeover(now time.Duration, t *takeover) {
	c.fenceAgents(t)
	agents := c.agentRecordsComplete(now, t)
	members := c.membersReplied(t)
	unfinished := 0
	for _, pe := range t.partitions {
		o := c.owned[pe.Partition]
		if o == nil || o.takeover != t {
			continue
		}
		expired := now >= c.uncertainUntil(t, pe.Partition)
		witnesses := members && c.m.WitnessesIntact(pe.Partition)
		wasComplete, wasAgents := o.complete, o.agentsComplete
		o.complete = o.complete || t.handedOver(pe.Partition) || witnesses || agents || expired
		o.agentsComplete = o.agentsComplete || agents
		if !wasComplete && o.complete {
			c.counters.TakeoverTime = now - t.started
		}
		if o.complete != wasComplete || o.agentsComplete != wasAgents {
			c.retryDeferred(now, o)
		}
		if !o.complete || c.handingOver(t) || t.fencingAgents && !o.agentsComplete && !expired {
			unfinished++
		}
	}
	if unfinished == 0 {
		delete(c.takeovers, t.id)
	}
}

// fenceAgents starts to fence the agents if the previous owner will not hand over.
func (c *Core) fenceAgents(t *takeover) {
	if t.fencingAgents || c.handingOver(t) || t.allHandedOver() {
		return
	}
	t.fencingAgents = true
	c.emit(ListAgents{Takeover: t.id})
}

// handingOver reports whether the previous owner is a member, or leaves the map
// with a link to this entry, and has not reported its jobs yet.
func (c *Core) handingOver(t *takeover) bool {
	_, live := c.m.Member(t.previous)
	leaving := c.peers[t.previous] && c.left(t.previous)
	return (live || leaving) && !t.entryReplied[t.previous]
}

// left reports whether a departed member removed itself and so still hands over.
func (c *Core) left(id string) bool {
	for _, d := range c.m.Departed {
		if d.ID == id {
			return d.Left
		}
	}
	return false
}

func (c *Core) membersReplied(t *takeover) bool {
	for _, member := range c.m.Members {
		if member.ID != c.self.ID && !t.entryReplied[member.ID] {
			return false
		}
	}
	return true
}

// agentRecordsComplete reports whether every registered agent has replied and none
// has lost records within the uncertainty window.
func (c *Core) agentRecordsComplete(now time.Duration, t *takeover) bool {
	if !t.fencingAgents || !t.agentsListed {
		return false
	}
	window := c.uncertaintyWindow(false)
	for host, row := range t.agentRows {
		a := c.agents[host]
		if row.Left || row.Unreadable || t.agentReplies[host] == "" || t.agentReplies[host] != a.incarnation || row.Incarnation != a.incarnation {
			return false
		}
		if row.Replaced && now-a.startedAt < window {
			return false
		}
	}
	return true
}

// uncertainUntil returns when the uncertainty window of a partition ends. The
// previous owner acts for the authority time after one member of its map has
// stopped confirming that map. Only a member that had joined by a version that the
// previous owner has seen is certain to be in that map. If none of these has
// replied, the members of the map may all be on the other side of a network
// partition and continue to confirm the map to each other.
func (c *Core) uncertainUntil(t *takeover, p wire.Partition) time.Duration {
	end := t.started + c.uncertaintyWindow(!c.left(t.previous))
	for _, member := range c.m.Members {
		if member.Joined > c.m.Partitions[p].PreviousSeenVersion || member.ID == t.previous {
			continue
		}
		switch {
		case member.ID == c.self.ID:
			end = min(end, t.started+c.uncertaintyWindow(false))
		case t.entryReplied[member.ID]:
			end = min(end, t.repliedAt[member.ID]+c.uncertaintyWindow(false))
		}
	}
	return end
}

// uncertaintyWindow is the time after which the previous owner cannot start a task
// and no resubmission of an earlier job is expected. It counts from the last
// confirmation of the previous owner's map. isolated means that the members of that
// map may be isolated from this entry and continue to confirm the map; the time
// then counts from the new map.
func (c *Core) uncertaintyWindow(isolated bool) time.Duration {
	authority := c.settings.AuthorityTimeout
	if isolated {
		authority = c.settings.PeerAuthorityTimeout
	}
	window := authority + c.settings.CreditTTL + c.settings.ResubmissionWindow
	return time.Duration(float64(window) * clockRateMargin)
}

func (c *Core) tickTakeovers(now time.Duration) {
	for _, id := range sortedKeys(c.takeovers) {
		t := c.takeovers[id]
		c.reviewTakeover(now, t)
		if now-t.started >= c.settings.TakeoverWait {
			c.retryAllDeferred(now, t)
		}
	}
}
