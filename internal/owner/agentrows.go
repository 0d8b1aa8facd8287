package owner

import "time"

// agentRowReadsPerWindow is the number of reads of the agents' rows in one
// uncertainty window.
const agentRowReadsPerWindow = 8

// leftAgent is an agent process that has stopped gracefully.
type leftAgent struct {
	incarnation string
	// seen is when a read first showed that it had stopped.
	seen time.Duration
}

// tickAgentRows reads the agents' rows periodically to find those of agents that
// have left.
func (c *Core) tickAgentRows(now time.Duration) {
	if c.m == nil || c.readingAgentRows || now < c.nextAgentRowsRead {
		return
	}
	c.readingAgentRows = true // the I/O layer retries until it gets an answer
	c.nextAgentRowsRead = now + c.uncertaintyWindow(false)/agentRowReadsPerWindow
	c.emit(ListAgents{})
}

// deleteLeftRows deletes the rows of agents that left so long ago that no
// resubmission of a job whose records they had is expected. If the rows stayed,
// every later takeover would count these records as lost.
func (c *Core) deleteLeftRows(now time.Duration, rows []AgentRow) {
	left := map[string]leftAgent{}
	for _, row := range rows {
		if !row.Left {
			continue
		}
		l, known := c.leftAgents[row.Host]
		if !known || l.incarnation != row.Incarnation {
			l = leftAgent{incarnation: row.Incarnation, seen: now}
		}
		left[row.Host] = l
		if now-l.seen >= c.uncertaintyWindow(false) {
			c.emit(DeleteAgentRow{Row: row})
		}
	}
	c.leftAgents = left
}

// relistUnreadable lists the rows again for takeovers that found an unreadable one.
func (c *Core) relistUnreadable() {
	for _, id := range sortedKeys(c.takeovers) {
		for _, row := range c.takeovers[id].agentRows {
			if row.Unreadable {
				c.emit(ListAgents{Takeover: id})
				break
			}
		}
	}
}
