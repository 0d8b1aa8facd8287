package leasetest

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	step      = time.Millisecond
	tickEvery = 20 * time.Millisecond
	beatEvery = 100 * time.Millisecond
	holdEvery = 60 * time.Millisecond
	// holdOverdue is the age of an open question at which the next is asked.
	holdOverdue = 85 * time.Millisecond
	resend      = 1300 * time.Millisecond
	maxLease    = time.Second
	stopGrace   = 50 * time.Millisecond
	linkSilent  = 300 * time.Millisecond
	// announceEvery is the pace of upstreams' announcements, whatever their agent does.
	announceEvery = 1500 * time.Millisecond
)

// world is a deployment in virtual time. It steps by a millisecond.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  map[time.Duration][]func()
	entries []*entry
	agents  []*agent
	ups     []*upstream
	jobs    map[string]*clientJob
	// live are the runs of a task that are on an upstream now.
	live          map[wire.LeasedTask]map[wire.LeasedAttempt]bool
	faults        bool
	checkInstance bool
	// ordersOutliveLives lets late orders reach a life of an upstream that the
	// agent has not spoken to with a higher token.
	ordersOutliveLives bool
	lateOrders         float64
	failure            string
	// quiet worlds keep no trace.
	quiet  bool
	trace  []string
	starts int
	served int
	queue  *catalog.Queue
}

type spec struct {
	cpu   int
	lasts time.Duration
	fails float64
	// estimate is what the caller declares; 0 means lasts.
	estimate time.Duration
}

func (s spec) how(rng *rand.Rand) runner.EndKind {
	if rng.Float64() < s.fails {
		return runner.EndFailed
	}
	return runner.EndDone
}

// clientJob is a job with all the requests that its caller made for it.
type clientJob struct {
	id       string
	tasks    []spec
	started  bool
	done     map[int]bool
	sent     int
	answered bool
	entry    *entry
	waiter   broker.Waiter
	// queue is where the job is handed in; nil means the world's.
	queue   *catalog.Queue
	sentAt  time.Duration
	took    time.Duration
	outcome broker.OutcomeKind
}

func newWorld(seed int64, entries, agents int) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: time.Second, events: map[time.Duration][]func(){},
		jobs: map[string]*clientJob{}, live: map[wire.LeasedTask]map[wire.LeasedAttempt]bool{},
		queue: &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, LatencyTarget: 100 * time.Millisecond},
	}
	for i := range agents {
		w.ups = append(w.ups, newUpstream(w, i))
		w.agents = append(w.agents, &agent{w: w, index: i, announced: -announceEvery})
	}
	for i := range entries {
		w.entries = append(w.entries, &entry{w: w, index: i})
	}
	for _, e := range w.entries {
		e.restart()
	}
	for _, a := range w.agents {
		a.restart()
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) note(format string, args ...any) {
	if w.quiet {
		return
	}
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

// after calls f at a later step.
func (w *world) after(d time.Duration, f func()) {
	at := w.now + max(d.Truncate(step), step)
	w.events[at] = append(w.events[at], f)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.failure == ""; {
		w.now += step
		due := w.events[w.now]
		delete(w.events, w.now)
		for _, f := range due {
			f()
		}
		for _, u := range w.ups {
			u.step()
		}
		for _, a := range w.agents {
			a.hold()
		}
		if w.now%tickEvery == 0 {
			for _, e := range w.entries {
				e.tick()
			}
			for _, a := range w.agents {
				a.tick()
			}
		}
	}
}

func (w *world) specOf(t wire.LeasedTask) spec { return w.jobs[t.Job].tasks[t.Index] }

func (w *world) runStarted(host int, id wire.LeasedAttempt) {
	w.starts++
	j := w.jobs[id.Task.Job]
	j.started = true
	w.note("host %d runs %v", host, id)
	runs := w.live[id.Task]
	if runs == nil {
		runs = map[wire.LeasedAttempt]bool{}
		w.live[id.Task] = runs
	}
	if len(runs) > 0 {
		w.fail("task %v runs twice at a time: %v and %v", id.Task, runs, id)
	}
	runs[id] = true
}

func (w *world) runEnded(host int, id wire.LeasedAttempt) {
	w.note("host %d ends %v", host, id)
	delete(w.live[id.Task], id)
}

// submit sends a job to an entry. A copy comes again if there is no answer.
func (w *world) submit(j *clientJob, e *entry) {
	j.sent++
	j.entry = e
	queue := w.queue
	if j.queue != nil {
		queue = j.queue
	}
	sub := broker.Submission{ID: j.id, Queue: queue}
	for _, s := range j.tasks {
		estimate := s.estimate
		if estimate == 0 {
			estimate = s.lasts
		}
		sub.Tasks = append(sub.Tasks, broker.TaskSpec{CPU: s.cpu, MemMB: 1, Estimate: estimate})
	}
	e.next++
	j.waiter = e.next
	waiter := j.waiter
	e.waiting[waiter] = j
	w.note("job %s sent to entry %d", j.id, e.index)
	e.receive(func() { e.do(func(c *broker.Broker) { c.Submit(e.now(), sub, waiter) }) })
}

// breakOff closes the caller's connection; the copy comes at the earliest time.
func (w *world) breakOff(j *clientJob) {
	e, waiter := j.entry, j.waiter
	if j.answered || e == nil {
		return
	}
	w.note("job %s: connection to entry %d is closed", j.id, e.index)
	j.entry = nil
	delete(e.waiting, waiter)
	e.receive(func() { e.do(func(c *broker.Broker) { c.CallerLeft(e.now(), j.id, waiter) }) })
	w.after(resend, func() { w.submit(j, w.entries[w.rng.Intn(len(w.entries))]) })
}

// answer checks an answer against what has run.
func (w *world) answer(e *entry, m broker.Answer) {
	j := e.waiting[m.Waiter]
	delete(e.waiting, m.Waiter)
	if j == nil || j.waiter != m.Waiter || j.entry != e {
		return
	}
	w.note("job %s answered by entry %d: %v %s", j.id, e.index, m.Outcome.Kind, m.Outcome.Reason)
	j.outcome, j.took = m.Outcome.Kind, w.now-j.sentAt
	switch m.Outcome.Kind {
	case broker.Completed:
		w.served++
		j.answered = true
	case broker.Refused:
		if j.started && j.sent == 1 {
			w.fail("job %s is refused, but has run", j.id)
		}
		j.answered = true
		w.after(resend, func() {
			if j.started && j.sent == 1 {
				w.fail("job %s was refused and has run since", j.id)
			}
		})
	case broker.Failed:
		j.answered = true
	case broker.Unknown:
		j.entry = nil
		w.after(resend, func() { w.submit(j, w.entries[w.rng.Intn(len(w.entries))]) })
	}
}

// chance is whether a fault with the given probability strikes now.
func (w *world) chance(p float64) bool { return w.faults && w.rng.Float64() < p }

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int63n(int64(hi-lo)+1))
}

func agentID(a *agent) broker.AgentID {
	return broker.AgentID{Host: fmt.Sprint("a", a.index), Incarnation: fmt.Sprint(a.life)}
}

func entryID(e *entry) runner.EntryID {
	return runner.EntryID{Host: fmt.Sprint("e", e.index), Incarnation: fmt.Sprint(e.life)}
}
