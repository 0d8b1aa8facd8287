// Package protocoltest drives the cores of entries and agents under random
// failures and checks from outside that the at-most-once protocol holds. There
// is no network and no clock: a bag of events in virtual time stands for both.
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
	window     = 12 * time.Second
	authority  = 6 * time.Second
	creditLife = 2 * time.Second
	peerLimit  = 36 * time.Second
	// promise is the time for which callers resubmit a job. Records outlive it by
	// the age of a submission and the longest delay of a message here.
	promise   = window - time.Second - maxDelay
	tickEvery = 50 * time.Millisecond
)

func ownerSettings() owner.Settings {
	return owner.Settings{
		ResubmissionWindow: window, AuthorityTimeout: authority, PeerAuthorityTimeout: peerLimit, CreditTTL: creditLife,
		WitnessTimeout: 100 * time.Millisecond, MaxDeadline: 6 * time.Second, TakeoverWait: time.Second, MaxAge: time.Second,
		JobRecordsPerMessage: 2,
	}
}

func ledgerSettings() ledger.Settings {
	s := ledger.DefaultSettings()
	s.CreditTTL, s.ResubmissionWindow, s.ReplyRecords = creditLife, window, 2
	return s
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type bag []event

func (b bag) Len() int { return len(b) }
func (b bag) Less(i, j int) bool {
	return b[i].at < b[j].at || b[i].at == b[j].at && b[i].seq < b[j].seq
}
func (b bag) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b *bag) Push(x any)   { *b = append(*b, x.(event)) }
func (b *bag) Pop() any {
	old := *b
	last := old[len(old)-1]
	*b = old[:len(old)-1]
	return last
}

// world is one run: processes, links, table, callers and the checks.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	bag     bag
	seq     uint64
	steps   int
	faulty  bool
	links   []*link
	entries map[string]*entryProc
	agents  map[string]*agentProc
	table   *table
	// cut holds pairs of hosts that cannot reach each other; "table" is a host.
	cut     map[[2]string]bool
	born    int
	callers *callers
	check   *checker
	// blind upstreams fail every task.
	blind map[string]bool
	trace func(format string, args ...any)
}

func newWorld(seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]*entryProc{}, agents: map[string]*agentProc{},
		cut: map[[2]string]bool{}, blind: map[string]bool{}, trace: func(string, ...any) {},
	}
	w.table = &table{w: w, rows: map[string]row{}}
	w.check = newChecker(w)
	w.callers = &callers{w: w, jobs: map[string]*jobState{}, requests: map[uint64]*request{}}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.bag, event{at: w.now + d, seq: w.seq, do: do})
}

// run handles events until the given time or number of steps.
func (w *world) run(until time.Duration, steps int) {
	for len(w.bag) > 0 && w.bag[0].at <= until && w.steps < steps && w.check.failure == "" {
		e := heap.Pop(&w.bag).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
}

func (w *world) chance(percent float64) bool { return w.rng.Float64()*100 < percent }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) reachable(a, b string) bool { return !w.cut[pair(a, b)] }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func pick[T any](w *world, list []T) T { return list[w.rng.IntN(len(list))] }

// process is what entries and agents have in common: a clock of their own, a
// queue of events that grows while the process is paused, and links.
type process struct {
	w      *world
	host   string
	id     string
	born   time.Duration
	rate   float64
	dead   bool
	paused bool
	inbox  []func()
	// links are the present ones, as the process knows them.
	links map[string]*link
	// sends orders the effects of one event by receiver, because the cores
	// iterate over maps and only the order within a link matters.
	carryOut func()
}

func (w *world) newProcess(host, id string) process {
	return process{
		w: w, host: host, id: id, born: w.now, rate: 1 + (w.rng.Float64()-0.5)*0.004, links: map[string]*link{},
	}
}

// clock is the process's own monotonic clock, which runs at its own rate.
func (p *process) clock() time.Duration {
	return time.Duration(float64(p.w.now-p.born) * p.rate)
}

// post runs an event on the process, when it is not paused.
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
	p.w.trace("pause %s %s", p.id, d)
	p.paused = true
	p.w.after(d, p.resume)
}

func (p *process) resume() {
	if p.dead || !p.paused {
		return
	}
	p.w.trace("resume %s", p.id)
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

func (w *world) nextID(kind, host string) string {
	w.born++
	return fmt.Sprintf("%s-%s%d", host, kind, w.born)
}
