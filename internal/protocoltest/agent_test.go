package protocoltest

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	class         = "c"
	service       = "s"
	announceEvery = time.Second
)

// agentProc is an agent process and the upstream beside it.
type agentProc struct {
	process
	core       *ledger.Ledger
	m          *membership.Map
	dialled    map[string]*link
	known      map[string]bool
	registered bool
	finishing  bool
	running    int
	lastStart  time.Duration
	slots      int
	draining   bool
	silent     bool
	// sender is the entry whose message is being handled.
	sender string
}

func (w *world) startAgent(host string) *agentProc {
	a := &agentProc{process: w.newProcess(host, w.nextID("a", host)), dialled: map[string]*link{}, known: map[string]bool{}}
	w.trace("start agent %s", a.id)
	a.core = ledger.New(ledgerSettings(), ledger.OpenGate{})
	a.carryOut = a.effects
	a.slots = 2 + w.rng.IntN(3)
	w.agents[host] = a
	a.tick()
	a.register()
	a.announce()
	return a
}

func (a *agentProc) base() *process { return &a.process }

func (a *agentProc) time() ledger.Instant { return ledger.Instant{Mono: a.clock()} }

func (a *agentProc) tick() {
	if a.dead {
		return
	}
	if a.alive() {
		a.post(func() {
			a.core.Tick(a.time())
			a.watchLinks()
			if a.draining && a.core.Running() == 0 {
				a.finish()
			}
		})
	}
	a.w.after(tickEvery, a.tick)
}

func (a *agentProc) watchLinks() {
	ping := idlePing
	if a.running > 0 || a.w.now-a.lastStart < 10*time.Second {
		ping = busyPing
	}
	for _, id := range sortedKeys(a.links) {
		l := a.links[id]
		l.watch(l.side(&a.process), ping, idleSilence, func() { a.core.RefreshCredits(a.time(), id) })
	}
	for _, id := range sortedKeys(a.known) {
		if e := a.w.entries[id]; e != nil {
			a.w.maintain(a, e, a.dialled)
		}
	}
}

func (a *agentProc) hello() wire.Hello {
	return wire.Hello{
		Version: wire.ProtocolVersion, Role: wire.RoleAgent, ID: a.host, Incarnation: a.id,
		UptimeMS: uint64(a.clock() / time.Millisecond),
	}
}

func (a *agentProc) linkUp(l *link, h wire.Hello) {
	a.links[h.ID] = l
	a.core.LinkUp(a.time(), h.ID)
}

func (a *agentProc) linkDown(l *link, h wire.Hello) {
	if a.links[h.ID] == l {
		delete(a.links, h.ID)
		a.core.LinkDown(a.time(), h.ID)
	}
}

func (a *agentProc) receive(l *link, from wire.Hello, m wire.Message) {
	switch m := m.(type) {
	case *wire.Ping:
		l.send(l.side(&a.process), &wire.Pong{Seq: m.Seq})
	case *wire.Pong:
	case *wire.MapNotice:
		next, err := membership.Decode(m.Row)
		if err != nil {
			panic(err)
		}
		a.applyMap(next)
	default:
		if f, ok := m.(*wire.Fence); ok {
			a.w.check.fenced(a, f.Partitions)
		}
		a.sender = from.ID
		a.core.Receive(a.time(), from.ID, m)
	}
}

func (a *agentProc) applyMap(m *membership.Map) {
	if a.m != nil && m.Version <= a.m.Version {
		return
	}
	a.m = m
	for _, member := range m.Members {
		a.known[member.ID] = true
	}
}

func (a *agentProc) effects() {
	effects := a.core.TakeEffects()
	sort.SliceStable(effects, func(i, j int) bool { return entryOf(effects[i]) < entryOf(effects[j]) })
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ledger.Send:
			a.w.check.granted(a, effect)
			if l := a.links[effect.Entry]; l != nil {
				l.send(l.side(&a.process), effect.Message)
			}
		case ledger.Run:
			a.call(effect.Start)
		}
	}
}

func entryOf(effect ledger.Effect) string {
	if s, ok := effect.(ledger.Send); ok {
		return s.Entry
	}
	return ""
}

// call runs a task on the upstream, which ends it after a random time.
func (a *agentProc) call(s *wire.Start) {
	a.w.check.started(a, s)
	a.w.check.spent(a, a.sender, s)
	a.running++
	a.lastStart = a.w.now
	ran := a.w.between(5*time.Millisecond, 100*time.Millisecond)
	if a.w.faulty && a.w.chance(20) {
		ran = a.w.between(100*time.Millisecond, 3*time.Second)
	}
	ok := !a.w.blind[a.host] && !(a.w.faulty && a.w.chance(3))
	payload := []byte("the upstream answered with status 500")
	if ok {
		payload = a.w.check.result(s)
	}
	a.w.after(ran, func() {
		a.post(func() {
			a.running--
			a.core.Ended(a.time(), s.Task, ok, payload, ran)
		})
	})
}

func (a *agentProc) announce() {
	if a.dead {
		return
	}
	if a.registered && a.alive() && !a.silent {
		a.post(func() {
			a.core.Announce(a.time(), ledger.Upstream{
				Service: service, Site: "site", Classes: []string{class}, Address: "http://upstream", Slots: a.slots,
			})
		})
	}
	a.w.after(announceEvery, a.announce)
}

// register writes the agent's row, then reads the map, as the shell does.
func (a *agentProc) register() {
	key := owner.AgentKeyPrefix + a.host
	retry := func() { a.w.after(500*time.Millisecond, func() { a.post(a.register) }) }
	a.w.table.get(&a.process, key, func(answered bool, r row, found bool) {
		if !answered {
			retry()
			return
		}
		value := owner.AgentRow{Host: a.host, Incarnation: a.id}
		if found {
			var old owner.AgentRow
			if json.Unmarshal(r.value, &old) == nil && old.Incarnation == a.id {
				a.readMap()
				return
			}
			value.Replaced = true
		}
		a.commitRow(key, value, r.version, func(ok bool) {
			if !ok {
				retry()
				return
			}
			a.readMap()
		})
	})
}

func (a *agentProc) commitRow(key string, value owner.AgentRow, version uint64, done func(ok bool)) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	a.w.table.commit(&a.process, key, version, []write{{key: key, value: data}}, func(answered, ok bool) { done(answered && ok) })
}

func (a *agentProc) readMap() {
	if len(a.links) == 0 || !a.registered {
		a.w.table.get(&a.process, membership.MapKey, a.mapRead)
	}
	a.w.after(time.Second, func() { a.post(a.readMap) })
}

func (a *agentProc) mapRead(answered bool, r row, found bool) {
	if !answered {
		return
	}
	first := !a.registered
	a.registered = true
	if !found {
		return
	}
	m, err := membership.Decode(r.value)
	if err != nil {
		panic(err)
	}
	if first {
		var epochs []wire.PartitionEpoch
		for p, state := range m.Partitions {
			epochs = append(epochs, wire.PartitionEpoch{Partition: wire.Partition(p), Epoch: state.Epoch})
		}
		a.core.RaiseFences(epochs)
		a.w.check.fenced(a, epochs)
	}
	a.applyMap(m)
}

func (a *agentProc) drain() {
	a.w.trace("drain agent %s", a.id)
	a.post(func() {
		a.draining = true
		a.core.Drain()
	})
}

// finish marks the row and ends the process, as a graceful stop does.
func (a *agentProc) finish() {
	if a.finishing {
		return
	}
	a.finishing = true
	key := owner.AgentKeyPrefix + a.host
	stop := func() { a.w.after(300*time.Millisecond, a.kill) }
	a.w.table.get(&a.process, key, func(answered bool, r row, found bool) {
		if !answered || !found {
			stop()
			return
		}
		a.commitRow(key, owner.AgentRow{Host: a.host, Incarnation: a.id, Left: true}, r.version, func(bool) { stop() })
	})
}

func (a *agentProc) kill() {
	if !a.dead {
		a.w.trace("kill agent %s", a.id)
		a.dead = true
		if a.w.agents[a.host] == a {
			delete(a.w.agents, a.host)
		}
	}
}
