// Package protocoltest drives the cores of entries and agents under random
// failures and checks from outside that the at-most-once protocol holds. A queue
// of events in virtual time simulates the network and the clocks.
package protocoltest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/owner"
)

// The limits are a tenth of the defaults, in the same relation to each other.
// The timing of the failure detector is constant, so the authority stays above it.
const (
	window               = 12 * time.Second
	authorityTimeout     = 6 * time.Second
	creditTTL            = 2 * time.Second
	peerAuthorityTimeout = 36 * time.Second
	// resubmissionTime is the time for which callers resubmit a job. Records are
	// retained longer, by the age of a submission and the longest delay of a message
	// here.
	resubmissionTime = window - time.Second - maxDelay
	tickInterval     = 50 * time.Millisecond
)

func ownerSettings() owner.Settings {
	return owner.Settings{
		ResubmissionWindow: window, AuthorityTimeout: authorityTimeout, PeerAuthorityTimeout: peerAuthorityTimeout, CreditTTL: creditTTL,
		WitnessTimeout: 100 * time.Millisecond, MaxDeadline: 6 * time.Second, TakeoverWait: time.Second, MaxAge: time.Second,
		JobRecordsPerMessage: 2,
	}
}

func ledgerSettings() ledger.Settings {
	s := ledger.DefaultSettings()
	s.CreditTTL, s.ResubmissionWindow, s.ReplyRecords = creditTTL, window, 2
	s.EvacuationQueryAge = 5 * time.Second
	return s
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is one run: processes, links, table, callers and the checks.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	events       eventQueue
	seq          uint64
	steps        int
	faultsActive bool
	links        []*link
	entries      map[string]*entryProc
	agents       map[string]*agentProc
	table        *table
	// unreachable holds pairs of hosts that cannot reach each other; "table" is a
	// host.
	unreachable  map[[2]string]bool
	processCount int
	callers      *callers
	check        *checker
	// failingUpstreams are the hosts whose upstream fails every task.
	failingUpstreams map[string]bool
	// evacuating has operators evacuate data centres; withoutCheck disables the agents'
	// check of them.
	evacuating, withoutCheck bool
	trace                    func(format string, args ...any)
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]*entryProc{}, agents: map[string]*agentProc{},
		unreachable: map[[2]string]bool{}, failingUpstreams: map[string]bool{}, trace: func(string, ...any) {},
	}
	sim.table = &table{sim: sim, rows: map[string]row{}}
	sim.check = newChecker(sim)
	sim.callers = &callers{sim: sim, jobs: map[string]*jobState{}, requests: map[uint64]*request{}}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, do: do})
}

// run handles events until the given time or number of steps.
func (sim *simulation) run(until time.Duration, steps int) {
	for len(sim.events) > 0 && sim.events[0].at <= until && sim.steps < steps && sim.check.failure == "" {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		sim.steps++
		e.do()
	}
}

func (sim *simulation) chance(percent float64) bool { return sim.rng.Float64()*100 < percent }

func (sim *simulation) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (sim *simulation) reachable(a, b string) bool { return !sim.unreachable[pair(a, b)] }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func pick[T any](sim *simulation, list []T) T { return list[sim.rng.IntN(len(list))] }

// process is what entries and agents have in common: a clock of their own, a
// queue of events that grows while the process is paused, and links.
type process struct {
	sim       *simulation
	host      string
	id        string
	startedAt time.Duration
	rate      float64
	dead      bool
	paused    bool
	inbox     []func()
	// links are the links that the process takes as open, by the id of the peer.
	links map[string]*link
	// carryOut carries out the effects of one event. It orders them by receiver,
	// because the cores iterate over maps and only the order within a link matters.
	carryOut func()
}

func (sim *simulation) newProcess(host, id string) process {
	return process{
		sim: sim, host: host, id: id, startedAt: sim.now, rate: 1 + (sim.rng.Float64()-0.5)*0.004, links: map[string]*link{},
	}
}

// clock is the process's own monotonic clock, which runs at its own rate.
func (p *process) clock() time.Duration {
	return time.Duration(float64(p.sim.now-p.startedAt) * p.rate)
}

// post runs an event on the process, or queues it while the process is paused.
func (p *process) post(do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, do)
	default:
		do()
		p.carryOut()
	}
}

func (p *process) alive() bool { return !p.dead && !p.paused }

func (p *process) pause(d time.Duration) {
	p.sim.trace("pause %s %s", p.id, d)
	p.paused = true
	p.sim.after(d, p.resume)
}

func (p *process) resume() {
	if p.dead || !p.paused {
		return
	}
	p.sim.trace("resume %s", p.id)
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		if !p.dead {
			do()
			p.carryOut()
		}
	}
}

func (sim *simulation) nextID(kind, host string) string {
	sim.processCount++
	return fmt.Sprintf("%s-%s%d", host, kind, sim.processCount)
}
