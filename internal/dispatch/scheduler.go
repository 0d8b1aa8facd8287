package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// Mechanism is a part of the policy that can be switched off, to measure its
// effect and to show that its tests depend on it.
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
	disabled Mechanism
	settings Settings

	tasks     map[wire.TaskID]*node
	freeNodes []*node
	// late holds the tasks that can no longer meet their deadline, until Drop
	// removes them.
	late    list
	waiting int
	running int
	// overruns orders the running tasks by the time until which they are charged.
	overruns overruns
	// meanRunTime is the recent mean run time of all tasks.
	meanRunTime float64
	// starts counts assignments.
	starts uint64
	// longWithStragglers counts the running long tasks, stragglers included.
	longWithStragglers int
	longWork

	callers map[string]*caller
	// active holds the callers that have waiting tasks. cursor is the position in
	// it at which the round continues. round counts the rounds of grants, and
	// decision counts the calls of Next that look for a task.
	active   []*caller
	cursor   int
	round    float64
	decision uint64

	classes   map[string]*class
	classList []*class

	upstreams map[UpstreamID]*upstream
	// upstreamList is in the order of arrival, so that equal inputs give equal
	// decisions.
	upstreamList []*upstream
	groups       map[string]*group
	groupList    []*group
	// removedEjected holds the times at which upstreams were removed while ejected.
	removedEjected map[UpstreamID]time.Duration
	// readyGroups is the number of groups that have an upstream with credit.
	readyGroups int
	// credits is the sum of the levels of all upstreams.
	credits int
	// slots is the number of slots of all upstreams that are not ejected.
	slots   int
	ejected []*upstream
	// paused holds the upstreams that were sent a task on old credits.
	paused []*upstream
	// probe is an ejected upstream that may be sent one task now, or nil.
	probe  *upstream
	recent recentStarts
	// suspectUntil is the time at which suspect credits are used again.
	suspectUntil time.Duration
	// nextSuspectTry is the time from which one suspect upstream may be tried.
	nextSuspectTry time.Duration
	// refusalRate is the share of refused starts by credit level.
	refusalRate [levels]float64
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
		rand:           rand.New(src),
		disabled:       off,
		tasks:          map[wire.TaskID]*node{},
		callers:        map[string]*caller{},
		classes:        map[string]*class{},
		upstreams:      map[UpstreamID]*upstream{},
		groups:         map[string]*group{},
		removedEjected: map[UpstreamID]time.Duration{},
	}
}

func (s *Scheduler) owners() int { return max(1, s.settings.Owners) }

// capacity returns the number of slots that this owner can count on: its equal
// share of all slots, or more if other owners leave slots unused and this owner
// uses and is offered them now.
func (s *Scheduler) capacity() float64 {
	return max(1, s.equalShare(), float64(s.running+s.credits))
}

// equalShare returns this owner's equal share of all slots.
func (s *Scheduler) equalShare() float64 { return float64(s.slots) / float64(s.owners()) }

// Enqueue implements Policy.
func (s *Scheduler) Enqueue(now time.Duration, t Task) {
	if _, known := s.tasks[t.ID]; known {
		invariant.Check(false, "dispatch_task_in_one_place", "task", t.ID)
		return
	}
	if t.Arrival == 0 {
		t.Arrival = now
	}
	n := s.newNode()
	n.task = t
	s.tasks[t.ID] = n
	s.addWaiting(n)
	if !n.long {
		s.updateShortPeak(now)
	}
}

func (s *Scheduler) newNode() *node {
	if len(s.freeNodes) == 0 {
		return &node{}
	}
	n := s.freeNodes[len(s.freeNodes)-1]
	s.freeNodes = s.freeNodes[:len(s.freeNodes)-1]
	return n
}

// release removes a task in any state and recycles its node.
func (s *Scheduler) release(n *node) {
	if n.state == stateWaiting {
		s.removeWaiting(n)
	}
	if n.list != nil {
		n.list.remove(n)
	}
	delete(s.tasks, n.task.ID)
	*n = node{}
	s.freeNodes = append(s.freeNodes, n)
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(_ time.Duration, id wire.TaskID) bool {
	n, ok := s.tasks[id]
	if !ok || n.state == stateRunning {
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
	s.clearSuspects(now)
	s.resumePaused(now)
	s.probe = s.dueProbe(now)
	s.updateLongLimit(now)
	s.decision++
	for s.readyGroups > 0 || s.probe != nil {
		n := s.nextTask(now)
		if n == nil {
			break
		}
		if u := s.chooseUpstream(now, n.list.bucket.class); u != nil {
			return s.assign(now, n, u), true
		}
	}
	return Assignment{}, false
}

// nextTask returns the first waiting task among those that some credit can
// start. It moves tasks that can no longer meet their deadline to the late list.
func (s *Scheduler) nextTask(now time.Duration) *node {
	for {
		l := s.nextList()
		if l == nil {
			return nil
		}
		if !s.tooLate(now, l.head) {
			return l.head
		}
		s.markLate(l.head)
	}
}

func (s *Scheduler) nextList() *list {
	if s.disabled&Fairness != 0 {
		return s.pickAny()
	}
	return s.pick()
}

func (s *Scheduler) markLate(n *node) {
	s.removeWaiting(n)
	n.state = stateLate
	s.late.push(n)
}

func (s *Scheduler) assign(now time.Duration, n *node, u *upstream) Assignment {
	b := n.list.bucket
	s.removeWaiting(n)
	n.state = stateRunning
	n.caller = b.caller
	n.upstream = u
	n.started = now
	n.charged = b.expected
	heap.Push(&s.overruns, n)
	s.starts++
	s.recent.decay(now)
	s.recent.started++
	n.level = u.level
	n.long = b.long
	s.running++
	b.class.running++
	b.caller.addRunning(1)
	b.caller.charge(n.charged)
	if n.long {
		s.longWithStragglers++
		s.addLongRunning(n)
	}
	u.spend()
	s.pauseIfStale(now, u)
	s.updateLevel(now, u)
	if u == s.probe {
		s.probe = nil
	}
	return Assignment{Task: n.task, Upstream: u.ID}
}

// Finished implements Policy.
func (s *Scheduler) Finished(now time.Duration, o Outcome) {
	n, ok := s.tasks[o.Task]
	if !ok || n.state != stateRunning {
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
	heap.Remove(&s.overruns, n.overrunIndex)
	c.addRunning(-1)
	if n.long {
		s.longWithStragglers--
		if !n.straggler {
			s.removeLongRunning(n)
		}
	}
	u.endTask()
	s.applyOutcome(now, n, c, o)
	s.updateLevel(now, u)
	s.release(n)
}

func (s *Scheduler) applyOutcome(now time.Duration, n *node, c *caller, o Outcome) {
	s.updateRefusalRate(n.level, o.Kind == NotStarted)
	switch o.Kind {
	case NotStarted:
		c.charge(-n.charged)
		s.recordRefusal(now)
	case Succeeded:
		c.charge(o.RunTime - n.charged)
		s.bucket(c, s.class(n.task.Class), n.task.Declared).learn(s, o.RunTime)
		s.meanRunTime += (float64(o.RunTime) - s.meanRunTime) / meanRunWindow
		s.updateHealth(now, n.upstream, &n.task, false)
	case Failed:
		c.charge(o.RunTime - n.charged)
		s.updateHealth(now, n.upstream, &n.task, true)
	case Lost:
		s.updateHealth(now, n.upstream, &n.task, true)
	}
}

// UpdateUpstream implements Policy.
func (s *Scheduler) UpdateUpstream(now time.Duration, v Upstream) {
	u, known := s.upstreams[v.ID]
	if known && !u.sameProperties(&v) {
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
		s.applyFormerEjection(u)
		s.attach(u)
	}
	u.Credits, u.Expires = max(v.Credits, 0), v.Expires
	u.updated, u.suspect, u.pausedUntil = now, false, 0
	if s.suspectUntil > now && u.Credits >= ampleCredits {
		s.suspectUntil = now
	}
	s.updateLevel(now, u)
}

func (u *upstream) sameProperties(v *Upstream) bool {
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
	s.leaveGroup(u)
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
	s.removeOutcomes(u)
	s.recordEjection(now, u)
	u.removed = true
	same := func(x *upstream) bool { return x == u }
	s.ejected = slices.DeleteFunc(s.ejected, same)
	s.upstreamList = slices.DeleteFunc(s.upstreamList, same)
	delete(s.upstreams, id)
}

// Demand implements Demander.
func (s *Scheduler) Demand(now time.Duration, id UpstreamID) int {
	soon := float64(s.running) * float64(wantHorizon) / max(s.meanRunTime, float64(wantHorizon))
	return max(0, s.Waiting(now, id)-int(soon))
}

// Queued returns the number of waiting tasks of all classes.
func (s *Scheduler) Queued() int { return s.waiting }

// Waiting implements Policy. It leaves out tasks that the share of long work
// holds back. An ejected upstream needs a task only for a probe.
func (s *Scheduler) Waiting(now time.Duration, id UpstreamID) int {
	u, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	n := 0
	longAtLimit := s.longAtLimit()
	for _, k := range u.group.classes {
		n += k.waiting
		if longAtLimit {
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
		s.applyQuota(c)
	}
	for _, u := range s.upstreamList {
		s.detach(u)
	}
	for _, k := range s.classList {
		k.setAssumed(settings.Classes[k.name].Expected)
	}
	for _, u := range s.upstreamList {
		s.attach(u)
		s.updateLevel(now, u)
	}
}
