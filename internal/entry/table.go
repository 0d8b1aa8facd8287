package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/malformed"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/platform"
)

// entryRow is the table row that an entry renews.
type entryRow struct {
	membership.Member
	Renewal uint64 `json:"renewal"`
}

func isClosed(err error) bool { return errorx.IsOfType(err, fault.LinkClosed) }

// MalformedMessage reports a message of a peer that cannot be read.
func (e *Entry) MalformedMessage(peer string, err error) { e.invalid.Check("message", peer, err) }

func (e *Entry) tableContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, tableTimeout)
}

// readMap reads the map row and passes it to the core. If the table is
// unavailable it passes nothing: the core keeps the map that it has.
func (e *Entry) readMap() {
	ctx, cancel := e.tableContext()
	defer cancel()
	requestedAt := e.now()
	row, err := e.opts.Table.Get(ctx, membership.MapKey)
	switch {
	case errorx.IsOfType(err, fault.NotFound):
		e.post(func(now time.Duration) { e.core.MapRead(now, requestedAt, nil) })
	case err != nil:
		tableErrors("read_map").Inc()
	default:
		m, err := membership.Decode(row.Value)
		e.invalid.Check("map", membership.MapKey, err)
		if err != nil {
			return
		}
		e.post(func(now time.Duration) { e.core.MapRead(now, requestedAt, m) })
	}
}

// commitMap replaces the map row if it still holds the version before next, and
// deletes the rows of removed members. It reads the map afterwards, so that a lost
// response needs no special case.
func (e *Entry) commitMap(next, before *membership.Map) {
	ctx, cancel := e.tableContext()
	defer cancel()
	defer e.readMap()
	defer e.post(func(time.Duration) { e.core.CommitEnded() })
	write, err := mapWrite(next)
	e.invalid.Check("proposed_map", membership.MapKey, err)
	if err != nil {
		return
	}
	t := platform.Transaction{Writes: []platform.Write{write}}
	condition := platform.Condition{Key: membership.MapKey}
	if before != nil {
		row, err := e.opts.Table.Get(ctx, membership.MapKey)
		if err != nil {
			tableErrors("commit_map").Inc()
			return
		}
		current, err := membership.Decode(row.Value)
		if err != nil || current.Version != before.Version || next.Version != before.Version+1 {
			return
		}
		condition.Version = row.Version
		for _, member := range before.Members {
			if _, ok := next.Member(member.ID); !ok {
				t.Writes = append(t.Writes, platform.Write{Key: membership.EntryKeyPrefix + member.ID, Delete: true})
			}
		}
	}
	t.Conditions = append(t.Conditions, condition)
	if _, err := e.opts.Table.Commit(ctx, t); err != nil {
		if !errorx.IsOfType(err, fault.Conflict) {
			tableErrors("commit_map").Inc()
		}
		return
	}
	e.opts.Log.Info("partition map written", "version", next.Version, "members", len(next.Members))
}

func (e *Entry) readEntryRow(id string) {
	ctx, cancel := e.tableContext()
	defer cancel()
	row, err := e.opts.Table.Get(ctx, membership.EntryKeyPrefix+id)
	found := err == nil
	if err != nil && !errorx.IsOfType(err, fault.NotFound) {
		tableErrors("read_entry").Inc()
		return
	}
	renewal := uint64(0)
	if found {
		renewal = renewalOf(e.invalid, row)
	}
	e.post(func(now time.Duration) { e.core.EntryRowRead(now, id, renewal, found) })
}

// renewalOf returns a number that rises with each renewal of an entry's row. The version
// of the row is such a number whatever its value, so a malformed value neither keeps a stopped
// entry in the map nor removes one that renews its row.
func renewalOf(invalid *malformed.Reporter, row platform.Row) uint64 {
	var value entryRow
	err := json.Unmarshal(row.Value, &value)
	if err == nil && (value.ID == "" || membership.EntryKeyPrefix+value.ID != row.Key) {
		err = fault.BadResponse.New("not the row of this entry")
	}
	invalid.Check("entry", row.Key, err)
	return row.Version
}

func (e *Entry) listAgents(takeover uint64) {
	for e.ctx.Err() == nil {
		ctx, cancel := e.tableContext()
		rows, err := e.opts.Table.List(ctx, owner.AgentKeyPrefix)
		cancel()
		if err == nil {
			agents := e.decodeAgents(rows)
			e.post(func(now time.Duration) { e.core.AgentsListed(now, takeover, agents) })
			return
		}
		tableErrors("list_agents").Inc()
		sleep(e.ctx, membership.EntryRenewInterval)
	}
}

// expireAgentRows deletes the rows of agents that have not renewed them for the TTL
// of agent rows, the TTL of credits and the resubmission window together. Such an
// agent has stopped by itself, and none of its task records is needed any more.
// Takeovers would otherwise wait for it.
func (e *Entry) expireAgentRows() {
	defer e.wg.Done()
	rowWatch := membership.NewRowWatch()
	for e.ctx.Err() == nil {
		sleep(e.ctx, membership.AgentRenewInterval)
		ctx, cancel := e.tableContext()
		rows, err := e.opts.Table.List(ctx, owner.AgentKeyPrefix)
		if err != nil {
			tableErrors("list_agents").Inc()
			cancel()
			continue
		}
		for _, row := range rowWatch.Observe(e.now(), rows, membership.AgentRowTTL+e.opts.Settings.CreditTTL+e.opts.Settings.ResubmissionWindow) {
			e.deleteAgentRow(ctx, row)
		}
		cancel()
	}
}

func (e *Entry) deleteAgentRow(ctx context.Context, row platform.Row) {
	t := platform.Transaction{
		Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []platform.Write{{Key: row.Key, Delete: true}},
	}
	if _, err := e.opts.Table.Commit(ctx, t); err != nil {
		tableErrors("delete_agent").Inc()
		return
	}
	e.opts.Log.Info("agent row deleted", "key", row.Key)
}

// deleteAgentRowIfUnchanged deletes the row of an agent that shut down long ago,
// unless another process has registered on its host since.
func (e *Entry) deleteAgentRowIfUnchanged(left owner.AgentRow) {
	ctx, cancel := e.tableContext()
	defer cancel()
	row, err := e.opts.Table.Get(ctx, owner.AgentKeyPrefix+left.Host)
	if err != nil {
		return // the row is already deleted, or the next read of the rows tries again
	}
	if e.decodeAgents([]platform.Row{row})[0] == left {
		e.deleteAgentRow(ctx, row)
	}
}

func (e *Entry) decodeAgents(rows []platform.Row) []owner.AgentRow {
	agents := make([]owner.AgentRow, 0, len(rows))
	for _, row := range rows {
		a := owner.DecodeAgentRow(row.Key, row.Value)
		var err error
		if a.Unreadable {
			err = fault.BadResponse.New("not the row of an agent of this host")
		}
		e.invalid.Check("agent", row.Key, err)
		agents = append(agents, a)
	}
	return agents
}

// renewLoop renews the entry's row, which shows the other entries that this one
// still runs when no link to it works.
func (e *Entry) renewLoop() {
	defer e.wg.Done()
	row := entryRow{Member: membership.Member{
		ID: e.opts.ID, Host: e.opts.Host, DataCentre: e.opts.DataCentre,
		LinkAddress: firstOf(e.opts.LinkAddress, e.endpoint.Address()), HTTPAddress: firstOf(e.opts.HTTPAddress, e.HTTPAddress()),
	}}
	for e.ctx.Err() == nil {
		if !e.draining.Load() {
			row.Renewal++
			e.renew(row)
		}
		sleep(e.ctx, membership.EntryRenewInterval)
	}
}

func (e *Entry) renew(row entryRow) {
	ctx, cancel := e.tableContext()
	defer cancel()
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // entryRow has no field that can fail to encode.
	}
	t := platform.Transaction{Writes: []platform.Write{{Key: membership.EntryKeyPrefix + row.ID, Value: value}}}
	if _, err := e.opts.Table.Commit(ctx, t); err != nil {
		tableErrors("renew_entry").Inc()
	}
}

func (e *Entry) removeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	t := platform.Transaction{Writes: []platform.Write{{Key: membership.EntryKeyPrefix + e.opts.ID, Delete: true}}}
	if _, err := e.opts.Table.Commit(ctx, t); err != nil {
		tableErrors("remove_entry").Inc()
	}
}
