package protocoltest

import (
	"fmt"
	"time"
)

const (
	entryHosts = 4
	agentHosts = 4
)

// inject causes a random fault, ends it after a random time and schedules the next.
func (sim *simulation) inject() {
	if !sim.faultsActive {
		return
	}
	sim.after(sim.randomBetween(100*time.Millisecond, 3*time.Second), sim.inject)
	sim.removeClosedLinks()
	switch sim.rng.IntN(12) {
	case 0:
		sim.killEntry()
	case 1:
		sim.killAgent()
	case 2:
		sim.pauseProcess()
	case 3:
		sim.cutRandomPair()
	case 4:
		sim.silenceLink()
	case 5:
		sim.failTable()
	case 6:
		sim.leaveEntry()
	case 7:
		sim.drainAgent()
	case 8:
		sim.failUpstream()
	case 9:
		sim.partitionHosts()
	default:
		sim.startMissing()
	}
}

func (sim *simulation) randomEntry() *entryProc {
	ids := sortedKeys(sim.entries)
	if len(ids) == 0 {
		return nil
	}
	return sim.entries[pick(sim, ids)]
}

func (sim *simulation) randomAgent() *agentProc {
	hosts := sortedKeys(sim.agents)
	if len(hosts) == 0 {
		return nil
	}
	return sim.agents[pick(sim, hosts)]
}

func (sim *simulation) killEntry() {
	if e := sim.randomEntry(); e != nil {
		e.kill()
		sim.restart(func() { sim.restartEntry(e.host) })
	}
}

func (sim *simulation) killAgent() {
	if a := sim.randomAgent(); a != nil {
		a.kill()
		sim.restart(func() { sim.restartAgent(a.host) })
	}
}

// restart starts a process again after a random time, in 80% of the cases.
func (sim *simulation) restart(start func()) {
	if sim.chance(80) {
		sim.after(sim.randomBetween(50*time.Millisecond, 8*time.Second), start)
	}
}

// restartEntry starts an entry on a host where none runs. It never starts a second
// one there: of two processes of one host, the older has ended.
func (sim *simulation) restartEntry(host string) {
	for _, e := range sim.entries {
		if e.host == host {
			return
		}
	}
	sim.startEntry(host)
}

func (sim *simulation) restartAgent(host string) {
	if sim.agents[host] == nil {
		sim.startAgent(host)
	}
}

func (sim *simulation) pauseProcess() {
	d := sim.randomBetween(200*time.Millisecond, 4*time.Second)
	if sim.chance(30) {
		d = sim.randomBetween(4*time.Second, 15*time.Second)
	}
	if sim.chance(70) {
		if e := sim.randomEntry(); e != nil && e.alive() {
			sim.callers.excuse(e)
			e.pause(d)
		}
		return
	}
	if a := sim.randomAgent(); a != nil && a.alive() {
		a.pause(d)
	}
}

func (sim *simulation) hosts() []string {
	hosts := []string{"table"}
	for i := range entryHosts {
		hosts = append(hosts, entryHost(i))
	}
	for i := range agentHosts {
		hosts = append(hosts, agentHost(i))
	}
	return hosts
}

func entryHost(i int) string { return fmt.Sprintf("entry%d", i) }
func agentHost(i int) string { return fmt.Sprintf("agent%d", i) }

func (sim *simulation) cutPair(a, b string, d time.Duration) {
	if a == b {
		return
	}
	sim.trace("cut %s %s %s", a, b, d)
	sim.unreachable[pair(a, b)] = true
	sim.after(d, func() { delete(sim.unreachable, pair(a, b)) })
}

func (sim *simulation) outage() time.Duration {
	if sim.chance(30) {
		return sim.randomBetween(5*time.Second, 25*time.Second)
	}
	return sim.randomBetween(100*time.Millisecond, 5*time.Second)
}

func (sim *simulation) cutRandomPair() {
	hosts := sim.hosts()
	sim.cutPair(pick(sim, hosts), pick(sim, hosts), sim.outage())
}

// partitionHosts divides the hosts in two groups that cannot reach each other, as a
// network partition between regions does.
func (sim *simulation) partitionHosts() {
	d := sim.outage()
	side := map[string]bool{}
	hosts := sim.hosts()
	for _, h := range hosts {
		side[h] = sim.chance(40)
	}
	for i, a := range hosts {
		for _, b := range hosts[i+1:] {
			if side[a] != side[b] {
				sim.cutPair(a, b, d)
			}
		}
	}
}

func (sim *simulation) silenceLink() {
	if len(sim.links) == 0 {
		return
	}
	l := pick(sim, sim.links)
	l.silent[sim.rng.IntN(2)] = true
	if sim.chance(50) {
		l.silent = [2]bool{true, true}
	}
}

func (sim *simulation) failTable() {
	t := sim.table
	d := sim.outage()
	sim.trace("table fault for %s", d)
	switch sim.rng.IntN(3) {
	case 0:
		t.down = true
	case 1:
		t.slow = true
	default:
		t.lossy = true
	}
	sim.after(d, func() { t.down, t.slow, t.lossy = false, false, false })
}

func (sim *simulation) leaveEntry() {
	if e := sim.randomEntry(); e != nil && e.alive() && !e.leaving {
		e.leave()
		sim.restart(func() { sim.restartEntry(e.host) })
	}
}

func (sim *simulation) drainAgent() {
	if a := sim.randomAgent(); a != nil && a.alive() && !a.draining {
		a.drain()
		sim.restart(func() { sim.restartAgent(a.host) })
	}
}

// failUpstream stops the announcements of an upstream, or makes it fail all tasks.
func (sim *simulation) failUpstream() {
	a := sim.randomAgent()
	if a == nil {
		return
	}
	if sim.chance(50) {
		a.notAnnouncing = true
		sim.after(sim.randomBetween(time.Second, 6*time.Second), func() { a.notAnnouncing = false })
		return
	}
	sim.failingUpstreams[a.host] = true
	sim.after(sim.randomBetween(time.Second, 6*time.Second), func() { delete(sim.failingUpstreams, a.host) })
}

// startMissing starts an entry and an agent on hosts where none runs.
func (sim *simulation) startMissing() {
	if len(sim.entries) < entryHosts {
		sim.startFreeEntry()
	}
	for i := range agentHosts {
		if sim.agents[agentHost(i)] == nil {
			sim.startAgent(agentHost(i))
			return
		}
	}
}

func (sim *simulation) startFreeEntry() {
	before := len(sim.entries)
	for i := range entryHosts {
		if sim.restartEntry(entryHost(i)); len(sim.entries) > before {
			return
		}
	}
}

// heal ends all faults and starts the missing processes.
func (sim *simulation) heal() {
	sim.trace("heal")
	sim.faultsActive = false
	sim.unreachable = map[[2]string]bool{}
	sim.failingUpstreams = map[string]bool{}
	sim.table.down, sim.table.slow, sim.table.lossy = false, false, false
	for _, id := range sortedKeys(sim.entries) {
		sim.entries[id].resume()
	}
	for _, host := range sortedKeys(sim.agents) {
		a := sim.agents[host]
		a.notAnnouncing = false
		a.resume()
	}
	for len(sim.entries) < 3 {
		sim.startFreeEntry()
	}
	for i := range agentHosts {
		sim.restartAgent(agentHost(i))
	}
}
