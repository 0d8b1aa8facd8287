package owner

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// AgentRow is an agent's row in the table.
type AgentRow struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Replaced is set if an earlier process ran on the host. The records of that
	// process are lost.
	Replaced bool `json:"replaced,omitempty"`
	// Left is set if the agent has stopped. Its records are lost.
	Left bool `json:"left,omitempty"`
	// Unreadable is set if the row has no valid value. Its agent may run and have task
	// records, so it neither counts as replied nor as left.
	Unreadable bool `json:"-"`
}

// AgentKeyPrefix is the prefix of the keys of the agents' rows.
const AgentKeyPrefix = "agent/"

// DecodeAgentRow reads the row at key. The key alone names the host.
func DecodeAgentRow(key string, value []byte) AgentRow {
	host := strings.TrimPrefix(key, AgentKeyPrefix)
	var row AgentRow
	if json.Unmarshal(value, &row) != nil || row.Host != host || row.Incarnation == "" {
		return AgentRow{Host: host, Unreadable: true}
	}
	return row
}

// replyParts are the parts of one reply. They may come in any order.
type replyParts struct {
	serial       uint64
	received     map[uint32]bool
	lastPart     uint32
	lastReceived bool
	// lists is the last part, which lists the sender's partitions.
	lists *wire.FenceReply
}

// addPart adds a part and reports whether all parts of its reply have come. A
// later reply of the same sender replaces an earlier one.
func (t *takeover) addPart(from string, m *wire.FenceReply) bool {
	p := t.replies[from]
	if p == nil || p.serial < m.Serial {
		p = &replyParts{serial: m.Serial, received: map[uint32]bool{}}
		t.replies[from] = p
	}
	if p.serial != m.Serial {
		return false
	}
	p.received[m.Part] = true
	if m.Last {
		p.lastPart, p.lastReceived, p.lists = m.Part, true, m
	}
	return p.complete()
}

// complete reports whether all parts have come.
func (p *replyParts) complete() bool { return p.lastReceived && len(p.received) == int(p.lastPart)+1 }

// fence releases partitions that are owned at lower epochs than the announced ones
// and replies with all job records of these partitions.
func (c *Core) fence(now time.Duration, from string, m *wire.Fence) {
	reply := &wire.FenceReply{ID: m.ID}
	for _, pe := range m.Partitions {
		if int(pe.Partition) >= wire.PartitionCount {
			continue
		}
		c.fences[pe.Partition] = max(c.fences[pe.Partition], pe.Epoch)
		if o := c.owned[pe.Partition]; o != nil && o.epoch < pe.Epoch {
			c.release(now, pe.Partition, o)
			c.emit(ReadMap{})
		}
		if r := c.released[pe.Partition]; r != nil {
			r.claimed = true
		}
		c.addPartitionTo(reply, pe.Partition)
	}
	parts := slices.Collect(slices.Chunk(c.jobRecordsWithAnswers(now, m.Partitions), c.settings.JobRecordsPerMessage))
	reply.Serial = c.newID()
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

// jobRecordsWithAnswers returns the records of all jobs of the partitions, with their
// answers.
func (c *Core) jobRecordsWithAnswers(now time.Duration, partitions []wire.PartitionEpoch) []wire.JobRecord {
	records := c.snapshot(now, partitions)
	for i := range records {
		id := records[i].Job
		if j := c.jobs[id]; j != nil {
			records[i].Answer, records[i].StillRunning = j.answer, j.answer == nil
			records[i].Epoch = j.epoch
			continue
		}
		stored := c.records[id]
		records[i].Epoch = stored.epoch
		if stored.answer != nil {
			records[i].Answer = stored.answer
		}
	}
	return records
}

func (c *Core) fenceReply(now time.Duration, from string, m *wire.FenceReply) {
	t := c.takeovers[m.ID]
	if t == nil {
		return
	}
	for _, r := range m.TaskRecords {
		c.addTaskRecord(now, from, r)
	}
	for _, reported := range m.JobRecords {
		if c.inTransit(reported) {
			continue
		}
		c.mergeRecord(now, from, reported)
		t.recordReported(from, reported.Job)
	}
	if !t.addPart(from, m) {
		return
	}
	c.mergeAllPartitionLists(t)
	c.dropUnaccepted(t)
	defer c.retryAllDeferred(now, t)
	if a := c.agents[from]; a != nil {
		t.agentReplies[from] = a.incarnation
	} else if !t.entryReplied[from] {
		t.entryReplied[from] = true
		t.repliedAt[from] = now
	}
	c.reviewTakeover(now, t)
}

// inTransit reports whether a record is that of a request which its receiver has
// forwarded to this entry at the present epoch, and to no owner before. This entry
// itself knows whether it accepted such a request.
func (c *Core) inTransit(reported wire.JobRecord) bool {
	o := c.owned[reported.Job.Partition()]
	return o != nil && reported.Epoch >= o.epoch && reported.Answer == nil && !reported.StillRunning
}

// addTaskRecord adds an agent's record of a task to the record of its job.
func (c *Core) addTaskRecord(now time.Duration, host string, r wire.TaskRecord) {
	if j := c.jobs[r.Task.Job]; j != nil && c.current(j) || c.agents[host] == nil {
		return
	}
	record := c.records[r.Task.Job]
	if record == nil {
		record = &jobRecord{digest: r.Digest}
		c.records[r.Task.Job] = record
		c.scheduleRecordExpiry(r.Task.Job, record, now+c.settings.MaxDeadline+c.settings.ResubmissionWindow)
	}
	record.expires = max(record.expires, now+c.settings.MaxDeadline+c.settings.ResubmissionWindow)
	record.digest = r.Digest
	if record.taskRecords == nil {
		record.taskRecords = map[uint16]agentRecord{}
	}
	record.taskRecords[r.Task.Index] = agentRecord{TaskRecord: r, agent: host, incarnation: c.agents[host].incarnation}
}

// resendFences sends the fences of open takeovers over a new link.
func (c *Core) resendFences(id string) {
	for _, key := range sortedKeys(c.takeovers) {
		t := c.takeovers[key]
		if c.agents[id] == nil {
			if !t.entryReplied[id] {
				c.send(id, &wire.Fence{ID: t.id, Partitions: t.partitions})
			}
			continue
		}
		if t.fencingAgents && t.agentReplies[id] != c.agents[id].incarnation {
			c.send(id, &wire.Fence{ID: t.id, Partitions: t.partitions})
			t.agentsListed = false
			c.emit(ListAgents{Takeover: t.id})
		}
	}
}

// AgentsListed handles the agents' rows. For a takeover they were read after its
// map was written.
func (c *Core) AgentsListed(now time.Duration, id uint64, rows []AgentRow) {
	c.deleteLeftRows(now, rows)
	c.readingAgentRows = c.readingAgentRows && id != 0
	if id == 0 {
		c.relistUnreadable()
	}
	t := c.takeovers[id]
	if t == nil {
		return
	}
	t.agentsListed = true
	t.agentRows = map[string]AgentRow{}
	for _, row := range rows {
		t.agentRows[row.Host] = row
		if c.agents[row.Host] == nil {
			c.agents[row.Host] = &agent{
				host: row.Host, incarnation: row.Incarnation, downAt: now,
				upstreams: map[string]*upstream{}, openAttempts: map[wire.TaskID]*job{},
			}
		}
	}
	// A linked agent has registered, so another writer has deleted its row.
	for host, a := range c.agents {
		if _, listed := t.agentRows[host]; !listed && a.up {
			t.agentRows[host] = AgentRow{Host: host, Incarnation: a.incarnation}
		}
	}
	for _, host := range sortedKeys(t.agentRows) {
		if a := c.agents[host]; a.up && t.agentReplies[host] != a.incarnation {
			c.send(host, &wire.Fence{ID: t.id, Partitions: t.partitions})
		}
	}
	c.reviewTakeover(now, t)
}
