package protocoltest

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/wire"
)

// entryProc is an entry process: the core and what its I/O layer does.
type entryProc struct {
	process
	core         *owner.Core
	self         membership.Member
	dialled      map[string]*link
	knownEntries map[string]bool
	renewal      int
	leaving      bool
	// relaying is set while the answer of another entry is handled, which this entry
	// passes on.
	relaying bool
}

type entryRow struct {
	Renewal uint64
}

func (sim *simulation) startEntry(host string) *entryProc {
	e := &entryProc{process: sim.newProcess(host, sim.nextID("e", host)), dialled: map[string]*link{}, knownEntries: map[string]bool{}}
	sim.trace("start entry %s", e.id)
	e.self = membership.Member{ID: e.id, Host: host, DataCentre: "dc"}
	e.carryOut = e.effects
	policy := dispatch.New(rand.NewPCG(sim.rng.Uint64(), 2))
	e.core = owner.New(e.self, ownerSettings(), policy, 0)
	sim.entries[e.id] = e
	e.tick()
	e.renew()
	e.pollEvacuations()
	return e
}

func (e *entryProc) base() *process { return &e.process }

func (e *entryProc) tick() {
	if e.dead {
		return
	}
	if e.alive() {
		e.post(func() {
			e.core.Tick(e.clock())
			e.watchLinks()
			e.finishLeave()
		})
	}
	e.sim.after(tickInterval, e.tick)
}

func (e *entryProc) watchLinks() {
	for _, id := range sortedKeys(e.links) {
		l := e.links[id]
		ping, limit := busyPing, busySilence
		if _, isAgent := l.ends[0].(*agentProc); isAgent {
			ping, limit = time.Hour, idleSilence
			if e.core.HasOpenAttempts(id) {
				limit = busySilence
			}
		}
		l.watch(l.side(&e.process), ping, limit, func() {})
	}
	for _, id := range sortedKeys(e.knownEntries) {
		if peer := e.sim.entries[id]; peer != nil && id > e.id {
			e.sim.maintain(e, peer, e.dialled)
		}
	}
}

func (e *entryProc) hello() wire.Hello {
	h := wire.Hello{
		Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: e.id, Incarnation: e.id,
		UptimeMS: uint64(e.clock() / time.Millisecond), MapVersion: e.mapVersion(),
		Evacuations: e.core.KnownEvacuations().View(e.clock()),
	}
	return h
}

func (e *entryProc) mapVersion() uint64 {
	if m := e.core.Map(); m != nil {
		return m.Version
	}
	return 0
}

func (e *entryProc) linkUp(l *link, h wire.Hello) {
	e.links[h.ID] = l
	e.applyView(h, h.Evacuations, 0)
	e.core.LinkUp(e.clock(), h)
}

func (e *entryProc) linkDown(l *link, h wire.Hello) {
	if e.links[h.ID] == l {
		delete(e.links, h.ID)
		e.core.LinkDown(e.clock(), h.Role, h.ID)
	}
}

func (e *entryProc) receive(l *link, from wire.Hello, m wire.Message) {
	if from.Role == wire.RoleEntry {
		e.core.MessageReceived(e.clock(), from.ID)
	}
	switch m := m.(type) {
	case *wire.Ping:
		l.send(l.side(&e.process), wire.NewPong(m.Seq, e.hello()))
		e.applyView(from, m.Evacuations, 0)
	case *wire.Pong:
		if from.Role == wire.RoleEntry {
			sent := time.Duration(float64(time.Duration(m.Seq)-e.startedAt) * e.rate)
			e.applyView(from, m.Evacuations, sent)
			e.sim.check.confirmed(e, from.ID, sent, m.MapVersion)
			e.core.MapConfirmed(sent, from.ID, m.MapVersion)
		}
	default:
		_, e.relaying = m.(*wire.ForwardReply)
		e.core.Receive(e.clock(), from.ID, m)
	}
}

// effects carries out the effects of the core. It orders messages by receiver first,
// because the core iterates over maps.
func (e *entryProc) effects() {
	effects := e.core.TakeEffects()
	sort.SliceStable(effects, func(i, j int) bool { return receiver(effects[i]) < receiver(effects[j]) })
	for _, effect := range effects {
		switch effect := effect.(type) {
		case owner.Send:
			e.transmit(effect)
		case owner.Reply:
			if !e.relaying {
				e.sim.check.refusalIssued(effect.Answer)
			}
			e.sim.callers.answered(e, effect.Token, effect.Answer)
		case owner.CommitMap:
			e.commitMap(effect.Next, e.core.Map())
		case owner.ReadMap:
			e.readMap()
		case owner.ReadEntryRow:
			e.readRow(effect.ID)
		case owner.ListAgents:
			e.listAgents(effect.Takeover)
		case owner.DeleteAgentRow:
			e.dropAgent(effect.Row)
		}
	}
	e.relaying = false
	if m := e.core.Map(); m != nil {
		for _, member := range m.Members {
			e.knownEntries[member.ID] = true
		}
	}
}

func receiver(effect owner.Effect) string {
	if s, ok := effect.(owner.Send); ok {
		return s.To
	}
	return ""
}

func (e *entryProc) transmit(s owner.Send) {
	l := e.links[s.To]
	switch m := s.Message.(type) {
	case *wire.Start:
		e.sim.check.startSent(e, m)
	case *wire.ForwardReply:
		e.sim.check.refusalIssued(m.Answer)
	}
	if l != nil {
		l.send(l.side(&e.process), s.Message)
	}
}

func (e *entryProc) readMap() {
	requestedAt := e.clock()
	e.sim.table.get(&e.process, membership.MapKey, func(answered bool, r row, found bool) {
		if !answered {
			return
		}
		if !found {
			e.core.MapRead(e.clock(), requestedAt, nil)
			return
		}
		m, err := membership.Decode(r.value)
		if err != nil {
			panic(err)
		}
		e.sim.check.mapRead(e, requestedAt, m.Version)
		e.core.MapRead(e.clock(), requestedAt, m)
	})
}

func (e *entryProc) commitMap(next, before *membership.Map) {
	end := func() {
		e.core.CommitEnded()
		e.readMap()
	}
	writes := []write{{key: membership.MapKey, value: next.Encode()}}
	if before == nil {
		e.sim.table.commit(&e.process, membership.MapKey, 0, writes, func(_, _ bool) { end() })
		return
	}
	e.sim.table.get(&e.process, membership.MapKey, func(answered bool, r row, found bool) {
		if !answered || !found {
			end()
			return
		}
		present, err := membership.Decode(r.value)
		if err != nil {
			panic(err)
		}
		if present.Version != before.Version || next.Version != before.Version+1 {
			end()
			return
		}
		for _, member := range before.Members {
			if _, ok := next.Member(member.ID); !ok {
				writes = append(writes, write{key: membership.EntryKeyPrefix + member.ID, delete: true})
			}
		}
		e.sim.table.commit(&e.process, membership.MapKey, r.version, writes, func(_, _ bool) { end() })
	})
}

func (e *entryProc) readRow(id string) {
	e.sim.table.get(&e.process, membership.EntryKeyPrefix+id, func(answered bool, r row, found bool) {
		if !answered {
			return
		}
		var value entryRow
		if found {
			_ = json.Unmarshal(r.value, &value)
		}
		e.core.EntryRowRead(e.clock(), id, value.Renewal, found)
	})
}

func (e *entryProc) listAgents(takeover uint64) {
	e.sim.table.list(&e.process, owner.AgentKeyPrefix, func(answered bool, values []platform.Row) {
		if !answered {
			e.sim.after(membership.EntryRenewInterval, func() { e.post(func() { e.listAgents(takeover) }) })
			return
		}
		rows := make([]owner.AgentRow, len(values))
		for i, value := range values {
			if err := json.Unmarshal(value.Value, &rows[i]); err != nil {
				panic(err)
			}
		}
		e.core.AgentsListed(e.clock(), takeover, rows)
	})
}

func (e *entryProc) dropAgent(unwanted owner.AgentRow) {
	key := owner.AgentKeyPrefix + unwanted.Host
	e.sim.table.get(&e.process, key, func(answered bool, r row, found bool) {
		var present owner.AgentRow
		if answered && found && json.Unmarshal(r.value, &present) == nil && present == unwanted {
			e.sim.table.commit(&e.process, key, r.version, []write{{key: key, delete: true}}, func(_, _ bool) {})
		}
	})
}

func (e *entryProc) renew() {
	if e.dead || e.leaving {
		return
	}
	if e.alive() {
		e.renewal++
		value, err := json.Marshal(entryRow{Renewal: uint64(e.renewal)})
		if err != nil {
			panic(err)
		}
		e.sim.table.commit(&e.process, "", anyVersion, []write{{key: membership.EntryKeyPrefix + e.id, value: value}}, func(_, _ bool) {})
	}
	e.sim.after(membership.EntryRenewInterval, e.renew)
}

func (e *entryProc) leave() {
	e.sim.trace("leave entry %s", e.id)
	e.post(func() {
		e.leaving = true
		e.core.Drain(e.clock())
	})
}

func (e *entryProc) finishLeave() {
	if e.leaving && e.core.HandedOver() && !e.sim.callers.hasPending(e) {
		e.sim.after(200*time.Millisecond, e.kill)
	}
}

func (e *entryProc) kill() {
	if !e.dead {
		e.sim.trace("kill entry %s", e.id)
		e.dead = true
		delete(e.sim.entries, e.id)
		e.sim.callers.excuse(e)
	}
}
