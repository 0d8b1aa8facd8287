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
	class            = "c"
	service          = "s"
	announceInterval = time.Second
)

// agentProc is an agent process and the upstream beside it.
type agentProc struct {
	process
	core          *ledger.Ledger
	partitionMap  *membership.Map
	dialled       map[string]*link
	knownEntries  map[string]bool
	registered    bool
	finishing     bool
	running       int
	lastStart     time.Duration
	slots         int
	draining      bool
	notAnnouncing bool
	// sender is the entry whose message is being handled.
	sender string
}

func (sim *simulation) startAgent(host string) *agentProc {
	a := &agentProc{process: sim.newProcess(host, sim.nextID("a", host)), dialled: map[string]*link{}, knownEntries: map[string]bool{}}
	sim.trace("start agent %s", a.id)
	settings := ledgerSettings()
	settings.DataCentre = sim.checkedDataCentre(host)
	a.core = ledger.New(settings, ledger.OpenGate{})
	a.carryOut = a.effects
	a.slots = 2 + sim.rng.IntN(3)
	sim.agents[host] = a
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
	a.sim.after(tickInterval, a.tick)
}

func (a *agentProc) watchLinks() {
	ping := idlePing
	if a.running > 0 || a.sim.now-a.lastStart < 10*time.Second {
		ping = busyPing
	}
	for _, id := range sortedKeys(a.links) {
		l := a.links[id]
		l.watch(l.side(&a.process), ping, idleSilence, func() { a.core.RefreshCredits(a.time(), id) })
	}
	for _, id := range sortedKeys(a.knownEntries) {
		if e := a.sim.entries[id]; e != nil {
			a.sim.maintain(a, e, a.dialled)
		}
	}
}

func (a *agentProc) hello() wire.Hello {
	return wire.Hello{
		Version: wire.ProtocolVersion, Role: wire.RoleAgent, ID: a.host, Incarnation: a.id, DataCentre: a.sim.dataCentre(a.host),
		UptimeMS: uint64(a.clock() / time.Millisecond),
	}
}

func (a *agentProc) linkUp(l *link, h wire.Hello) {
	a.links[h.ID] = l
	a.applyView(h.Evacuations, 0)
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
		a.applyView(m.Evacuations, 0)
	case *wire.Pong:
		a.applyView(m.Evacuations, time.Duration(float64(time.Duration(m.Seq)-a.startedAt)*a.rate))
	case *wire.MapNotice:
		next, err := membership.Decode(m.Row)
		if err != nil {
			panic(err)
		}
		a.applyMap(next)
	default:
		if f, ok := m.(*wire.Fence); ok {
			a.sim.check.fenced(a, f.Partitions)
		}
		a.sender = from.ID
		a.core.Receive(a.time(), from.ID, m)
	}
}

func (a *agentProc) applyMap(m *membership.Map) {
	if a.partitionMap != nil && m.Version <= a.partitionMap.Version {
		return
	}
	a.partitionMap = m
	for _, member := range m.Members {
		a.knownEntries[member.ID] = true
	}
}

func (a *agentProc) effects() {
	effects := a.core.TakeEffects()
	sort.SliceStable(effects, func(i, j int) bool { return entryOf(effects[i]) < entryOf(effects[j]) })
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ledger.Send:
			a.sim.check.granted(a, effect)
			if l := a.links[effect.Entry]; l != nil {
				l.send(l.side(&a.process), effect.Message)
			}
		case ledger.Run:
			a.call(effect.Start)
		case ledger.QueryEvacuations:
			a.queryEvacuations()
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
	a.sim.check.started(a, s)
	a.sim.check.spent(a, a.sender, s)
	a.running++
	a.lastStart = a.sim.now
	runTime := a.sim.randomBetween(5*time.Millisecond, 100*time.Millisecond)
	if a.sim.faultsActive && a.sim.chance(20) {
		runTime = a.sim.randomBetween(100*time.Millisecond, 3*time.Second)
	}
	ok := !a.sim.failingUpstreams[a.host] && !(a.sim.faultsActive && a.sim.chance(3))
	payload := []byte("the upstream answered with status 500")
	if ok {
		payload = a.sim.check.result(s)
	}
	a.sim.after(runTime, func() {
		a.post(func() {
			a.running--
			a.core.Ended(a.time(), s.Task, ok, payload, runTime)
		})
	})
}

func (a *agentProc) announce() {
	if a.dead {
		return
	}
	if a.registered && a.alive() && !a.notAnnouncing {
		a.post(func() {
			a.core.Announce(a.time(), ledger.Upstream{
				Service: service, Site: "site", Classes: []string{class}, Address: "http://upstream", Slots: a.slots,
			})
		})
	}
	a.sim.after(announceInterval, a.announce)
}

// register writes the agent's row, then reads the map, as the I/O layer does.
func (a *agentProc) register() {
	key := owner.AgentKeyPrefix + a.host
	retry := func() { a.sim.after(500*time.Millisecond, func() { a.post(a.register) }) }
	a.sim.table.get(&a.process, key, func(answered bool, r row, found bool) {
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
	a.sim.table.commit(&a.process, key, version, []write{{key: key, value: data}}, func(answered, ok bool) { done(answered && ok) })
}

func (a *agentProc) readMap() {
	if len(a.links) == 0 || !a.registered {
		a.sim.table.get(&a.process, membership.MapKey, a.mapRead)
	}
	a.sim.after(time.Second, func() { a.post(a.readMap) })
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
		a.sim.check.fenced(a, epochs)
	}
	a.applyMap(m)
}

func (a *agentProc) drain() {
	a.sim.trace("drain agent %s", a.id)
	a.post(func() {
		a.draining = true
		a.core.Drain()
	})
}

// finish marks the row as left and ends the process, as a graceful stop does.
func (a *agentProc) finish() {
	if a.finishing {
		return
	}
	a.finishing = true
	key := owner.AgentKeyPrefix + a.host
	stop := func() { a.sim.after(300*time.Millisecond, a.kill) }
	a.sim.table.get(&a.process, key, func(answered bool, r row, found bool) {
		if !answered || !found {
			stop()
			return
		}
		a.commitRow(key, owner.AgentRow{Host: a.host, Incarnation: a.id, Left: true}, r.version, func(bool) { stop() })
	})
}

func (a *agentProc) kill() {
	if !a.dead {
		a.sim.trace("kill agent %s", a.id)
		a.dead = true
		if a.sim.agents[a.host] == a {
			delete(a.sim.agents, a.host)
		}
	}
}
