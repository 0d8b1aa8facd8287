package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// ownership is the state of a partition that this entry owns.
type ownership struct {
	epoch uint64
	// complete: a key without a trace is known to be new.
	complete bool
	// agentsComplete: a task without a record is known not to have started.
	agentsComplete bool
	takeover       *takeover
	deferred       []deferredRequest
}

type releasedPartition struct {
	epoch    uint64
	complete bool
	// awaited is the owner whose jobs were not known yet, if not complete.
	awaitedOwner membership.OwnerEpoch
	claimed      bool
}

// takeover collects what others know of partitions that came from one owner.
type takeover struct {
	id           uint64
	previous     string
	partitions   []wire.PartitionEpoch
	started      time.Duration
	entryReplied map[string]bool
	// repliedAt is when each member replied and so had the takeover's map.
	repliedAt map[string]time.Duration
	// awaiting is the owner whose complete list of jobs is needed: the previous
	// one or, if that has handed over without one, the owner before it.
	awaitedOwner map[wire.Partition]membership.OwnerEpoch
	// passed are the owners that led to the awaited one.
	skipped map[wire.Partition][]string
	// owned are the partitions of which each entry has given all jobs up to the
	// end of its ownership at an epoch.
	handedOverEpochs map[string]map[wire.Partition]uint64
	// handed are the jobs that each entry has told of.
	reported map[string]map[wire.JobID]bool
	// own is what this entry could tell as an earlier owner.
	ownLists *wire.FenceReply
	// fencing tells that the agents have to answer as well.
	fencingAgents bool
	agentsListed  bool
	agentRows     map[string]AgentRow
	agentReplies  map[string]string
	// parts are the replies that have come in part.
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

// gain starts the takeover of partitions. Those that never had an owner are
// complete at once.
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
		c.send(previous, message) // a leaving entry still answers
	}
	c.reviewTakeover(now, t)
}

func (c *Core) reviewTakeovers(now time.Duration) {
	for _, id := range sortedKeys(c.takeovers) {
		c.reviewTakeover(now, c.takeovers[id])
	}
}

// reviewTakeover decides what is known by now.
func (c *Core) reviewTakeover(now time.Duration, t *takeover) {
	c.fenceAgents(t)
	agents := c.agentRecordsComplete(now, t)
	members := c.membersReplied(t)
	open := 0
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
			open++
		}
	}
	if open == 0 {
		delete(c.takeovers, t.id)
	}
}

// escalate fences the agents if the previous owner will not hand over.
func (c *Core) fenceAgents(t *takeover) {
	if t.fencingAgents || c.handingOver(t) || t.allHandedOver() {
		return
	}
	t.fencingAgents = true
	c.emit(ListAgents{Takeover: t.id})
}

// handingOver reports whether the previous owner is a member, or leaves the map
// with a link to this entry, and has yet to tell of its jobs.
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

// agentComplete reports whether every registered agent has answered and none
// has lost records within the unknown window.
func (c *Core) agentRecordsComplete(now time.Duration, t *takeover) bool {
	if !t.fencingAgents || !t.agentsListed {
		return false
	}
	window := c.uncertaintyWindow(false)
	for host, row := range t.agentRows {
		a := c.agents[host]
		if row.Left || t.agentReplies[host] == "" || t.agentReplies[host] != a.incarnation || row.Incarnation != a.incarnation {
			return false
		}
		if row.Replaced && now-a.startedAt < window {
			return false
		}
	}
	return true
}

// knownAt returns when the unknown window of a partition ends. The previous
// owner acts for the authority time after one member of its map has stopped to
// confirm that map. Only a member that had joined by a version that the previous
// owner has seen is sure to be in it; without one that has replied, its members may all be on
// the other side of a partition and go on confirming each other.
func (c *Core) uncertainUntil(t *takeover, p wire.Partition) time.Duration {
	end := t.started + c.uncertaintyWindow(!c.left(t.previous))
	for _, member := range c.m.Members {
		if member.Joined > c.m.Partitions[p].PreviousSaw || member.ID == t.previous {
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

// unknownWindow is the time from the last confirmation of the previous owner's
// map, or from the new map if its members may go on confirming it, after which
// it cannot start a task and no resubmission of an earlier job is expected.
func (c *Core) uncertaintyWindow(isolated bool) time.Duration {
	authority := c.settings.Authority
	if isolated {
		authority = c.settings.PeerAuthority
	}
	window := authority + c.settings.CreditLife + c.settings.Window
	return time.Duration(float64(window) * clockRateMargin)
}

func (c *Core) tickTakeovers(now time.Duration) {
	for _, id := range sortedKeys(c.takeovers) {
		t := c.takeovers[id]
		c.reviewTakeover(now, t)
		if now-t.started >= c.settings.ParkTime {
			c.retryAllDeferred(now, t)
		}
	}
}
