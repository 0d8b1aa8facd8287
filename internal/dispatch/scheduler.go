package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// Mechanism names a part of the policy that can be switched off, to measure
// what it is worth and to show that its tests depend on it.
type Mechanism uint16

// Mechanisms.
const (
	Fairness Mechanism = 1 << iota
	ShortestFirst
	Learning
	LongShare
	Stragglers
	JobSize
	Admission
	LateDrop
	Ejection
	Placement
	StaleCredits
)

// Scheduler is the dispatch policy. It is not safe for concurrent use.
type Scheduler struct {
	rand     *rand.Rand
	without  Mechanism
	settings Settings

	tasks   map[wire.TaskID]*node
	unused  []*node
	late    list
	waiting int
	running int
	// overruns orders the running tasks by the time up to which they are charged.
	overruns overruns
	// meanRun is the recent mean run time of all tasks.
	meanRun float64
	// starts counts assignments.
	starts uint64
	// allLong counts running long tasks, stragglers included.
	allLong int
	longWork

	callers map[string]*caller
	// active callers have waiting tasks; turn is the position of the round.
	active []*caller
	turn   int
	round  float64
	visit  uint64

	classes   map[string]*class
	classList []*class

	upstreams map[UpstreamID]*upstream
	// upstreamList has the order of arrival, so that equal inputs give equal
	// decisions.
	upstreamList []*upstream
	groups       map[string]*group
	groupList    []*group
	// former holds the times at which ejected upstreams were removed.
	former map[UpstreamID]time.Duration
	// ready is the number of groups that have an upstream with credit.
	ready int
	// credits is the sum of the levels of all upstreams.
	credits int
	// slots is the number of slots of all upstreams that are not ejected.
	slots   int
	ejected []*upstream
	// paused are upstreams that were sent a task on old credits.
	paused []*upstream
	probe  *upstream
	recent recent
	// suspectUntil is the time at which suspect credits are used again.
	suspectUntil time.Duration
	// trySuspect is the time from which one suspect upstream may be tried.
	trySuspect time.Duration
	// refused is the share of refused starts by credit level.
	refused [levels]float64
}

var (
	_ Policy   = (*Scheduler)(nil)
	_ Dropper  = (*Scheduler)(nil)
	_ Demander = (*Scheduler)(nil)
)

// New returns a Scheduler with all mechanisms.
func New(src rand.Source) *Scheduler { return NewWithout(src, 0) }

// NewWithout returns a Scheduler with some mechanisms switched off.
func NewWithout(src rand.Source, off Mechanism) *Scheduler {
	return &Scheduler{
		rand:      rand.New(src),
		without:   off,
		tasks:     map[wire.TaskID]*node{},
		callers:   map[string]*caller{},
		classes:   map[string]*class{},
		upstreams: map[UpstreamID]*upstream{},
		groups:    map[string]*group{},
		former:    map[UpstreamID]time.Duration{},
	}
}

func (s *Scheduler) owners() int { return max(1, s.settings.Owners) }

// capacity is the number of slots that this owner can count on: its part of
// all slots, or what it holds and is offered now while other owners leave
// theirs unused.
func (s *Scheduler) capacity() float64 {
	return max(1, s.part(), float64(s.running+s.credits))
}

// part is this owner's equal part of all slots.
func (s *Scheduler) part() float64 { return float64(s.slots) / float64(s.owners()) }

// Enqueue implements Policy.
func (s *Scheduler) Enqueue(now time.Duration, t Task) {
	if _, known := s.tasks[t.ID]; known {
		invariant.Check(false, "dispatch_task_in_one_place", "task", t.ID)
		return
	}
	if t.Arrival == 0 {
		t.Arrival = now
	}
	n := s.take()
	n.task = t
	s.tasks[t.ID] = n
	s.wait(n)
	if !n.long {
		s.noteShort(now)
	}
}

func (s *Scheduler) take() *node {
	if len(s.unused) == 0 {
		return &node{}
	}
	n := s.unused[len(s.unused)-1]
	s.unused = s.unused[:len(s.unused)-1]
	return n
}

// release forgets a task, wherever it is.
func (s *Scheduler) release(n *node) {
	if n.place == waiting {
		s.unwait(n)
	}
	if n.list != nil {
		n.list.remove(n)
	}
	delete(s.tasks, n.task.ID)
	*n = node{}
	s.unused = append(s.unused, n)
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(_ time.Duration, id wire.TaskID) bool {
	n, ok := s.tasks[id]
	if !ok || n.place == running {
		return false
	}
	s.release(n)
	return true
}

// Next implements Policy.
func (s *Scheduler) Next(now time.Duration) (Assignment, bool) {
	if s.waiting == 0 {
		return Assignment{}, false
	}
	s.chargeOverruns(now)
	s.trust(now)
	s.resume(now)
	s.probe = s.dueProbe(now)
	s.limitLong(now)
	s.visit++
	for s.ready > 0 || s.probe != nil {
		n := s.nextTask(now)
		if n == nil {
			break
		}
		if u := s.choose(now, n.list.cell.class); u != nil {
			return s.assign(now, n, u), true
		}
	}
	return Assignment{}, false
}

// nextTask returns the waiting task that is first in turn among those that
// some credit can start. Tasks that come too late are set aside.
func (s *Scheduler) nextTask(now time.Duration) *node {
	for {
		l := s.nextList()
		if l == nil {
			return nil
		}
		if !s.tooLate(now, l.head) {
			return l.head
		}
		s.setAside(l.head)
	}
}

func (s *Scheduler) nextList() *list {
	if s.without&Fairness != 0 {
		return s.pickAny()
	}
	return s.pick()
}

func (s *Scheduler) setAside(n *node) {
	s.unwait(n)
	n.place = late
	s.late.push(n)
}

func (s *Scheduler) assign(now time.Duration, n *node, u *upstream) Assignment {
	e := n.list.cell
	s.unwait(n)
	n.place = running
	n.caller = e.caller
	n.upstream = u
	n.started = now
	n.charged = e.expected
	heap.Push(&s.overruns, n)
	s.starts++
	s.recent.decay(now)
	s.recent.started++
	n.level = u.level
	n.long = e.long
	s.running++
	e.class.running++
	e.caller.addRunning(1)
	e.caller.charge(n.charged)
	if n.long {
		s.allLong++
		s.enterLong(n)
	}
	u.spend()
	s.pace(now, u)
	s.rank(now, u)
	if u == s.probe {
		s.probe = nil
	}
	return Assignment{Task: n.task, Upstream: u.ID}
}

// Finished implements Policy.
func (s *Scheduler) Finished(now time.Duration, o Outcome) {
	n, ok := s.tasks[o.Task]
	if !ok || n.place != running {
		invariant.Check(false, "dispatch_finished_task_runs", "task", o.Task)
		return
	}
	u := n.upstream
	invariant.Check(u.ID == o.Upstream, "dispatch_finished_where_started")
	c := n.caller
	s.running--
	k := s.class(n.task.Class)
	k.running--
	k.lastEnd = now
	invariant.Check(s.running >= 0 && k.running >= 0, "dispatch_running_not_negative")
	heap.Remove(&s.overruns, n.overrun)
	c.addRunning(-1)
	if n.long {
		s.allLong--
		if !n.straggler {
			s.leaveLong(n)
		}
	}
	u.settle()
	s.settleOutcome(now, n, c, o)
	s.rank(now, u)
	s.release(n)
}

func (s *Scheduler) settleOutcome(now time.Duration, n *node, c *caller, o Outcome) {
	s.noteRefusal(n.level, o.Kind == NotStarted)
	switch o.Kind {
	case NotStarted:
		c.charge(-n.charged)
		s.noteStorm(now)
	case Succeeded:
		c.charge(o.RunTime - n.charged)
		s.cell(c, s.class(n.task.Class), n.task.Declared).learn(s, o.RunTime)
		s.meanRun += (float64(o.RunTime) - s.meanRun) / meanRunMemory
		s.judge(now, n.upstream, &n.task, false)
	case Failed:
		c.charge(o.RunTime - n.charged)
		s.judge(now, n.upstream, &n.task, true)
	case Lost:
		s.judge(now, n.upstream, &n.task, true)
	}
}

// UpdateUpstream implements Policy.
func (s *Scheduler) UpdateUpstream(now time.Duration, v Upstream) {
	u, known := s.upstreams[v.ID]
	if known && !u.sameShape(&v) {
		s.detach(u)
		u.Upstream = v
		s.attach(u)
	}
	if !known {
		u = &upstream{}
		v.Classes = slices.Clone(v.Classes)
		u.Upstream = v
		s.upstreams[v.ID] = u
		s.upstreamList = append(s.upstreamList, u)
		s.recall(u)
		s.attach(u)
	}
	u.Credits, u.Expires = max(v.Credits, 0), v.Expires
	u.updated, u.suspect, u.pausedUntil = now, false, 0
	if s.suspectUntil > now && u.Credits >= calmCredits {
		s.suspectUntil = now
	}
	s.rank(now, u)
}

func (u *upstream) sameShape(v *Upstream) bool {
	return u.Slots == v.Slots && u.DataCentre == v.DataCentre && u.Site == v.Site && slices.Equal(u.Classes, v.Classes)
}

func (s *Scheduler) attach(u *upstream) {
	s.groupOf(&u.Upstream).join(u)
	if u.ejected {
		u.group.slots -= u.Slots
		return
	}
	s.slots += u.Slots
}

func (s *Scheduler) detach(u *upstream) {
	s.quit(u)
	if !u.ejected {
		s.slots -= u.Slots
	}
}

// RemoveUpstream implements Policy.
func (s *Scheduler) RemoveUpstream(now time.Duration, id UpstreamID) {
	u, ok := s.upstreams[id]
	if !ok {
		return
	}
	s.detach(u)
	s.forget(u)
	s.remember(now, u)
	u.gone = true
	same := func(e *upstream) bool { return e == u }
	s.ejected = slices.DeleteFunc(s.ejected, same)
	s.upstreamList = slices.DeleteFunc(s.upstreamList, same)
	delete(s.upstreams, id)
}

// Demand implements Demander.
func (s *Scheduler) Demand(now time.Duration, id UpstreamID) int {
	soon := float64(s.running) * float64(wantHorizon) / max(s.meanRun, float64(wantHorizon))
	return max(0, s.Waiting(now, id)-int(soon))
}

// Queued returns the number of waiting tasks of all classes.
func (s *Scheduler) Queued() int { return s.waiting }

// Waiting implements Policy. It leaves out tasks that the share of long work
// holds back. An ejected upstream wants work only for a probe.
func (s *Scheduler) Waiting(now time.Duration, id UpstreamID) int {
	u, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	n := 0
	longFull := s.longFull()
	for _, k := range u.group.classes {
		n += k.waiting
		if longFull {
			n -= k.longWaiting
		}
	}
	if !u.ejected {
		return n
	}
	if u.inFlight > 0 || !s.probeDue(now, u) {
		return 0
	}
	return min(n, 1)
}

// Configure implements Policy. Upstreams are grouped again, because the sites
// and distances may have changed.
func (s *Scheduler) Configure(now time.Duration, settings Settings) {
	s.settings = settings
	for _, c := range s.callers {
		s.quota(c)
	}
	for _, u := range s.upstreamList {
		s.detach(u)
	}
	for _, k := range s.classList {
		k.assume(settings.Classes[k.name].Expected)
	}
	for _, u := range s.upstreamList {
		s.attach(u)
		s.rank(now, u)
	}
}
