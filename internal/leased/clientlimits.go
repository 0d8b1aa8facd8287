package leased

import "github.com/damasklb/damasklb/internal/callerconn"

// ClientLimits returns the limits of clients in the configuration in force.
func (e *Entry) ClientLimits() callerconn.Limits {
	c := e.catalog.Load()
	if c == nil {
		return callerconn.Limits{}
	}
	return callerconn.Limits{HeadBytes: int64(c.Limits.HeaderBytes), HeadTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
}

// ClientLimits returns no limits: an agent's only client is the upstream, for which the configuration
// sets none.
func (a *Agent) ClientLimits() callerconn.Limits { return callerconn.Limits{} }
