package owner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// AgentRow is an agent's row in the table.
type AgentRow struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Replaced is set if an earlier process ran on the host. Its records are lost.
	Replaced bool `json:"replaced,omitempty"`
	// Left is set if the agent has stopped. Its records are lost.
	Left bool `json:"left,omitempty"`
}

// AgentKeyPrefix starts the keys of the agents' rows.
const AgentKeyPrefix = "agent/"

// replyParts are the parts of one reply. The last one may come first.
type replyParts struct {
	serial uint64
	got    map[uint32]bool
	last   uint32
	ended  bool
	// lists is the last part, which lists the sender's partitions.
	lists *wire.FenceReply
}

// whole notes a part and reports whether all parts of its reply have come. A
// later reply of the same sender replaces an earlier one.
func (t *takeover) whole(from string, m *wire.FenceReply) bool {
	p := t.parts[from]
	if p == nil || p.serial < m.Serial {
		p = &replyParts{serial: m.Serial, got: map[uint32]bool{}}
		t.parts[from] = p
	}
	if p.serial != m.Serial {
		return false
	}
	p.got[m.Part] = true
	if m.Last {
		p.last, p.ended, p.lists = m.Part, true, m
	}
	return p.complete()
}

// complete reports whether all parts have come.
func (p *replyParts) complete() bool { return p.ended && len(p.got) == int(p.last)+1 }

// fence gives up partitions below the announced epochs and tells what is known
// of their jobs.
func (c *Core) fence(now time.Duration, from string, m *wire.Fence) {
	reply := &wire.FenceReply{ID: m.ID}
	for _, pe := range m.Partitions {
		if int(pe.Partition) >= wire.PartitionCount {
			continue
		}
		c.fences[pe.Partition] = max(c.fences[pe.Partition], pe.Epoch)
		if o := c.own[pe.Partition]; o != nil && o.epoch < pe.Epoch {
			c.release(now, pe.Partition, o)
			c.emit(ReadMap{})
		}
		if r := c.released[pe.Partition]; r != nil {
			r.claimed = true
		}
		c.listOf(reply, pe.Partition)
	}
	parts := slices.Collect(slices.Chunk(c.knownTraces(now, m.Partitions), c.settings.JobRecordsPerMessage))
	reply.Serial = c.id()
	for i, part := range parts {
		if i+1 == len(parts) {
			reply.JobRecords = part
			break
		}
		c.send(from, &wire.FenceReply{ID: m.ID, Serial: reply.Serial, Part: reply.Part, JobRecords: part})
		reply.Part++
	}
	reply.Last = true
	c.send(from, reply)
}

// knownTraces returns all that is known of the partitions, with answers.
func (c *Core) knownTraces(now time.Duration, partitions []wire.PartitionEpoch) []wire.JobRecord {
	traces := c.snapshot(now, partitions)
	for i := range traces {
		id := traces[i].Job
		if j := c.jobs[id]; j != nil {
			traces[i].Answer, traces[i].StillRunning = j.answer, j.answer == nil
			traces[i].Epoch = j.epoch
			continue
		}
		t := c.traces[id]
		traces[i].Epoch = t.epoch
		if t.answer != nil {
			traces[i].Answer = t.answer
		}
	}
	return traces
}

func (c *Core) fenceReply(now time.Duration, from string, m *wire.FenceReply) {
	t := c.takeovers[m.ID]
	if t == nil {
		return
	}
	for _, r := range m.TaskRecords {
		c.addRecord(now, from, r)
	}
	for _, w := range m.JobRecords {
		if c.onItsWay(w) {
			continue
		}
		c.mergeTrace(now, from, w)
		t.noteHanded(from, w.Job)
	}
	if !t.whole(from, m) {
		return
	}
	c.noteAll(t)
	c.dropUnaccepted(t)
	defer c.unparkAll(now, t)
	if a := c.agents[from]; a != nil {
		t.answered[from] = a.incarnation
	} else if !t.replied[from] {
		t.replied[from] = true
		t.repliedAt[from] = now
	}
	c.reviewTakeover(now, t)
}

// onItsWay reports whether a trace is that of a request which its receiver has
// sent to this entry at the present epoch, and to no owner before. Whether such a
// request was accepted, this entry knows itself.
func (c *Core) onItsWay(w wire.JobRecord) bool {
	o := c.own[w.Job.Partition()]
	return o != nil && w.Epoch >= o.epoch && w.Answer == nil && !w.StillRunning
}

// addRecord adds an agent's record of a task to the trace of its job.
func (c *Core) addRecord(now time.Duration, host string, r wire.TaskRecord) {
	if j := c.jobs[r.Task.Job]; j != nil && c.current(j) || c.agents[host] == nil {
		return
	}
	t := c.traces[r.Task.Job]
	if t == nil {
		t = &trace{digest: r.Digest}
		c.traces[r.Task.Job] = t
		c.expireTrace(r.Task.Job, t, now+c.settings.MaxDeadline+c.settings.ResubmissionWindow)
	}
	t.expires = max(t.expires, now+c.settings.MaxDeadline+c.settings.ResubmissionWindow)
	t.digest = r.Digest
	if t.records == nil {
		t.records = map[uint16]heldRecord{}
	}
	t.records[r.Task.Index] = heldRecord{TaskRecord: r, agent: host, incarnation: c.agents[host].incarnation}
}

// resendFences sends open fences over a new link.
func (c *Core) resendFences(id string) {
	for _, key := range sortedKeys(c.takeovers) {
		t := c.takeovers[key]
		if c.agents[id] == nil {
			if !t.replied[id] {
				c.send(id, &wire.Fence{ID: t.id, Partitions: t.partitions})
			}
			continue
		}
		if t.fencing && t.answered[id] != c.agents[id].incarnation {
			c.send(id, &wire.Fence{ID: t.id, Partitions: t.partitions})
			t.listed = false
			c.emit(ListAgents{Takeover: t.id})
		}
	}
}

// AgentsListed notes the agents' rows. For a takeover they were read after its map
// was written.
func (c *Core) AgentsListed(now time.Duration, id uint64, rows []AgentRow) {
	c.dropLeft(now, rows)
	c.rowsAsked = c.rowsAsked && id != 0
	t := c.takeovers[id]
	if t == nil {
		return
	}
	t.listed = true
	t.rows = map[string]AgentRow{}
	for _, row := range rows {
		t.rows[row.Host] = row
		if c.agents[row.Host] == nil {
			c.agents[row.Host] = &agent{
				host: row.Host, incarnation: row.Incarnation, downAt: now,
				upstreams: map[string]*upstream{}, open: map[wire.TaskID]*job{},
			}
		}
	}
	for _, host := range sortedKeys(t.rows) {
		if a := c.agents[host]; a.up && t.answered[host] != a.incarnation {
			c.send(host, &wire.Fence{ID: t.id, Partitions: t.partitions})
		}
	}
	c.reviewTakeover(now, t)
}
