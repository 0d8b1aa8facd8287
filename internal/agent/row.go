package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/platform"
)

// renewRow renews the row when it is due. If that has failed for as long as a row is
// valid, an entry may have deleted it, so nothing starts until it is written again.
func (a *Agent) renewRow() {
	since := time.Since(a.start) - a.rowConfirmed
	if since < a.renewAfter || a.draining() {
		return
	}
	if since >= membership.AgentRowTTL {
		a.post(func(now ledger.Instant) { a.core.SetSuspended(now, true) })
	}
	if a.register() {
		a.post(func(now ledger.Instant) { a.core.SetSuspended(now, false) })
	}
}

// register writes the agent's row. It is repeated to renew the row.
func (a *Agent) register() bool {
	requestedAt := time.Since(a.start)
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	key := owner.AgentKeyPrefix + a.opts.Host
	row := owner.AgentRow{Host: a.opts.Host, Incarnation: a.opts.Incarnation}
	condition := platform.Condition{Key: key}
	present, err := a.opts.Table.Get(ctx, key)
	switch {
	case err == nil:
		old := a.decodeRow(present)
		row.Replaced = old.Incarnation != a.opts.Incarnation || old.Replaced
		condition.Version = present.Version
	case !errorx.IsOfType(err, fault.NotFound):
		tableErrors("read_agent").Inc()
		return false
	}
	if !a.commitRow(ctx, key, row, condition) {
		return false
	}
	a.rowConfirmed = requestedAt
	return true
}

func (a *Agent) commitRow(ctx context.Context, key string, row owner.AgentRow, c platform.Condition) bool {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // AgentRow has no field that can fail to encode.
	}
	t := platform.Transaction{Conditions: []platform.Condition{c}, Writes: []platform.Write{{Key: key, Value: value}}}
	if _, err := a.opts.Table.Commit(ctx, t); err != nil {
		tableErrors("write_agent").Inc()
		return false
	}
	return true
}

// markLeft marks the row as left, so that a takeover treats the agent's records as lost.
// It leaves a row that may be that of a later process on the host.
func (a *Agent) markLeft(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := owner.AgentKeyPrefix + a.opts.Host
	row, err := a.opts.Table.Get(ctx, key)
	if err != nil || a.decodeRow(row).Incarnation != a.opts.Incarnation {
		return
	}
	left := owner.AgentRow{Host: a.opts.Host, Incarnation: a.opts.Incarnation, Left: true}
	a.commitRow(ctx, key, left, platform.Condition{Key: key, Version: row.Version})
}

// decodeRow reads the agent's row. A malformed one has no incarnation.
func (a *Agent) decodeRow(row platform.Row) owner.AgentRow {
	decoded := owner.DecodeAgentRow(owner.AgentKeyPrefix+a.opts.Host, row.Value)
	var err error
	if decoded.Unreadable {
		err = fault.BadResponse.New("not the row of the agent of this host")
	}
	a.invalid.Check("agent", owner.AgentKeyPrefix+a.opts.Host, err)
	return decoded
}

// MalformedMessage reports a message of an entry that cannot be read.
func (a *Agent) MalformedMessage(peer string, err error) { a.invalid.Check("message", peer, err) }
