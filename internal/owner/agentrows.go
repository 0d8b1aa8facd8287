package owner

import "time"

// agentPolls is the number of reads of the agents' rows in one unknown window.
const agentPolls = 8

// leftAgent is an agent process that has stopped gracefully.
type leftAgent struct {
	incarnation string
	// seen is when its row was first read as such.
	seen time.Duration
}

// tickAgentRows reads the agents' rows from time to time, to find those of
// agents that have left.
func (c *Core) tickAgentRows(now time.Duration) {
	if c.m == nil || c.rowsAsked || now < c.nextRows {
		return
	}
	c.rowsAsked = true // the shell tries until it gets an answer
	c.nextRows = now + c.unknownWindow(false)/agentPolls
	c.emit(ListAgents{})
}

// dropLeft deletes the rows of agents that left so long ago that no resubmission
// of a job whose records they had is expected. A takeover would otherwise count
// these records as lost for ever.
func (c *Core) dropLeft(now time.Duration, rows []AgentRow) {
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
		if now-l.seen >= c.unknownWindow(false) {
			c.emit(DeleteAgentRow{Row: row})
		}
	}
	c.leftAgents = left
}
