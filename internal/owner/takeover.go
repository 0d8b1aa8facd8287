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
	parked         []parkedRequest
}

type releasedPartition struct {
	epoch    uint64
	complete bool
	// awaited is the owner whose jobs were not known yet, if not complete.
	awaited membership.OwnerEpoch
	claimed bool
}

// takeover collects what others know of partitions that came from one owner.
type takeover struct {
	id         uint64
	previous   string
	partitions []wire.PartitionEpoch
	started    time.Duration
	replied    map[string]bool
	// repliedAt is when each member replied and so had the takeover's map.
	repliedAt map[string]time.Duration
	// awaiting is the owner whose complete list of jobs is needed: the previous
	// one or, if that has handed over without one, the owner before it.
	awaiting map[wire.Partition]membership.OwnerEpoch
	// passed are the owners that led to the awaited one.
	passed map[wire.Partition][]string
	// owned are the partitions of which each entry has given all jobs up to the
	// end of its ownership at an epoch.
	owned map[string]map[wire.Partition]uint64
	// handed are the jobs that each entry has told of.
	handed map[string]map[wire.JobID]bool
	// own is what this entry could tell as an earlier owner.
	own *wire.FenceReply
	// fencing tells that the agents have to answer as well.
	fencing  bool
	listed   bool
	rows     map[string]AgentRow
	answered map[string]string
	// parts are the replies that have come in part.
	parts map[string]*replyParts
}

func (c *Core) newTakeover(now time.Duration, previous string, partitions []wire.PartitionEpoch) *takeover {
	t := &takeover{
		id: c.id(), previous: previous, partitions: partitions, started: now,
		replied: map[string]bool{}, repliedAt: map[string]time.Duration{}, parts: map[string]*replyParts{},
		awaiting: map[wire.Partition]membership.OwnerEpoch{}, passed: map[wire.Partition][]string{}, owned: map[string]map[wire.Partition]uint64{},
		handed: map[string]map[wire.JobID]bool{}, answered: map[string]string{},
	}
	for _, pe := range partitions {
		t.awaiting[pe.Partition] = membership.OwnerEpoch{Owner: previous, Epoch: c.m.Partitions[pe.Partition].PreviousEpoch}
	}
	return t
}

// gain starts the takeover of partitions. Those that never had an owner are
// complete at once.
func (c *Core) gain(now time.Duration, previous string, partitions []wire.PartitionEpoch) {
	t := c.newTakeover(now, previous, partitions)
	c.noteOwn(t)
	for _, pe := range partitions {
		delete(c.released, pe.Partition)
		o := &ownership{epoch: pe.Epoch, takeover: t}
		c.own[pe.Partition] = o
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
	c.escalate(t)
	agents := c.agentComplete(now, t)
	members := c.membersReplied(t)
	open := 0
	for _, pe := range t.partitions {
		o := c.own[pe.Partition]
		if o == nil || o.takeover != t {
			continue
		}
		expired := now >= c.knownAt(t, pe.Partition)
		witnesses := members && c.m.WitnessesIntact(pe.Partition)
		wasComplete, wasAgents := o.complete, o.agentsComplete
		o.complete = o.complete || t.handedOver(pe.Partition) || witnesses || agents || expired
		o.agentsComplete = o.agentsComplete || agents
		if !wasComplete && o.complete {
			c.counters.TakeoverTime = now - t.started
		}
		if o.complete != wasComplete || o.agentsComplete != wasAgents {
			c.unpark(now, o)
		}
		if !o.complete || c.handingOver(t) || t.fencing && !o.agentsComplete && !expired {
			open++
		}
	}
	if open == 0 {
		delete(c.takeovers, t.id)
	}
}

// escalate fences the agents if the previous owner will not hand over.
func (c *Core) escalate(t *takeover) {
	if t.fencing || c.handingOver(t) || t.allHandedOver() {
		return
	}
	t.fencing = true
	c.emit(ListAgents{Takeover: t.id})
}

// handingOver reports whether the previous owner is a member, or leaves the map
// with a link to this entry, and has yet to tell of its jobs.
func (c *Core) handingOver(t *takeover) bool {
	_, live := c.m.Member(t.previous)
	leaving := c.peers[t.previous] && c.left(t.previous)
	return (live || leaving) && !t.replied[t.previous]
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
		if member.ID != c.self.ID && !t.replied[member.ID] {
			return false
		}
	}
	return true
}

// agentComplete reports whether every registered agent has answered and none
// has lost records within the unknown window.
func (c *Core) agentComplete(now time.Duration, t *takeover) bool {
	if !t.fencing || !t.listed {
		return false
	}
	window := c.unknownWindow(false)
	for host, row := range t.rows {
		a := c.agents[host]
		if row.Left || t.answered[host] == "" || t.answered[host] != a.incarnation || row.Incarnation != a.incarnation {
			return false
		}
		if row.Replaced && now-a.born < window {
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
func (c *Core) knownAt(t *takeover, p wire.Partition) time.Duration {
	end := t.started + c.unknownWindow(!c.left(t.previous))
	for _, member := range c.m.Members {
		if member.Joined > c.m.Partitions[p].PreviousSeenVersion || member.ID == t.previous {
			continue
		}
		switch {
		case member.ID == c.self.ID:
			end = min(end, t.started+c.unknownWindow(false))
		case t.replied[member.ID]:
			end = min(end, t.repliedAt[member.ID]+c.unknownWindow(false))
		}
	}
	return end
}

// unknownWindow is the time from the last confirmation of the previous owner's
// map, or from the new map if its members may go on confirming it, after which
// it cannot start a task and no resubmission of an earlier job is expected.
func (c *Core) unknownWindow(alone bool) time.Duration {
	authority := c.settings.AuthorityTimeout
	if alone {
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
			c.unparkAll(now, t)
		}
	}
}
