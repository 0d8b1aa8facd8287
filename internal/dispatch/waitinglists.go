package dispatch

import (
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

// nodeState is the state of a task. A task is in exactly one state.
type nodeState uint8

const (
	stateNone nodeState = iota
	stateWaiting
	stateRunning
	stateLate
)

// node is the scheduler's record of a task. Nodes are reused.
type node struct {
	task  Task
	state nodeState
	list  *list
	prev  *node
	next  *node
	// long is whether the task counts as long work in its present state.
	long bool
	// straggler is set when a running long task stops counting against the
	// share of long work.
	straggler bool

	caller   *caller
	upstream *upstream
	started  time.Duration
	// charged is the slot time that the caller was charged for the task so far.
	charged time.Duration
	// overrunIndex is the position in the scheduler's heap of overruns.
	overrunIndex int
	// level is the upstream's credit level when the task was assigned.
	level int
}

// list is a doubly linked list of nodes, so that removal takes constant time.
// A list of waiting tasks belongs to one bucket and one range of job sizes.
type list struct {
	head, tail *node
	size       int

	bucket *bucket
	// tasks is a typical number of tasks of the jobs in this list.
	tasks float64
	// index is the position among the caller's non-empty lists, or -1.
	index int
}

// jobSizes holds the upper ends of the ranges of job sizes that are queued
// separately, and a typical number of tasks of each range.
var jobSizes = [...]struct{ upTo, typical int }{{1, 1}, {8, 4}, {32, 16}, {140, 80}}

func sizeRange(tasks int) int {
	for i, r := range jobSizes {
		if tasks <= r.upTo {
			return i
		}
	}
	return len(jobSizes) - 1
}

func (l *list) push(n *node) {
	invariant.Check(n.list == nil, "dispatch_task_in_one_list")
	n.list = l
	n.prev = l.tail
	n.next = nil
	if l.tail != nil {
		l.tail.next = n
	} else {
		l.head = n
	}
	l.tail = n
	l.size++
}

// insert puts n before the first node that is younger. A task that is enqueued
// again is old, so the search from the head is short.
func (l *list) insert(n *node) {
	if l.tail == nil || l.tail.task.Arrival <= n.task.Arrival {
		l.push(n)
		return
	}
	at := l.head
	for at.task.Arrival <= n.task.Arrival {
		at = at.next
	}
	invariant.Check(n.list == nil, "dispatch_task_in_one_list")
	n.list = l
	n.next = at
	n.prev = at.prev
	if at.prev != nil {
		at.prev.next = n
	} else {
		l.head = n
	}
	at.prev = n
	l.size++
}

func (l *list) remove(n *node) {
	invariant.Check(n.list == l, "dispatch_task_in_its_list")
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.list, n.prev, n.next = nil, nil, nil
	l.size--
	invariant.Check(l.size >= 0, "dispatch_list_size_not_negative")
}

// runTimePenalty is the penalty of a task per unit of its expected run time. The
// penalty is the time for which the task lets younger tasks pass. It bounds the
// wait of long tasks behind short ones.
const runTimePenalty = 4

// jobSizePenalty scales the part of the job size in the penalty: each time that
// the job's other tasks would fill all slots adds this many times the expected
// run time to the task's cost.
const jobSizePenalty = 16

// maxPenaltyShare limits the penalty to a share of the time left until the
// deadline, so that an admitted job still ends in time.
const maxPenaltyShare = 0.6

// sortKey orders the lists of a caller: the shortest expected job first, with
// the time that the list's first task has waited counted in its favour.
func (s *Scheduler) sortKey(l *list) time.Duration {
	if s.disabled&ShortestFirst != 0 {
		return l.head.task.Arrival
	}
	t := &l.head.task
	return t.Arrival + s.penalty(l.bucket.expected, l.tasks, t.Deadline-t.Arrival)
}

// penalty returns the time for which a task of a job with the given number of
// tasks lets younger tasks pass. left is the time from its arrival to its
// deadline.
func (s *Scheduler) penalty(expected time.Duration, tasks float64, left time.Duration) time.Duration {
	cost := float64(expected)
	if s.disabled&JobSize == 0 && s.slots > 0 {
		cost *= 1 + jobSizePenalty*(tasks-1)/float64(s.slots)
	}
	limit := maxPenaltyShare * float64(max(0, left-expected))
	penalty := runTimePenalty * cost
	return time.Duration(penalty * limit / (penalty + limit))
}

// bestList returns the caller's list whose head should start next and its key,
// or nil if no credit can start any of the caller's tasks.
func (s *Scheduler) bestList(c *caller) (*list, time.Duration) {
	if c.maxSlots > 0 && c.running >= c.maxSlots {
		return nil, 0
	}
	var best *list
	var bestKey time.Duration
	longAtLimit := s.longAtLimit()
	for _, l := range c.lists {
		if !s.canStart(l.bucket.class) || longAtLimit && l.bucket.long {
			continue
		}
		if k := s.sortKey(l); best == nil || k < bestKey {
			best, bestKey = l, k
		}
	}
	return best, bestKey
}

// addWaiting puts a node into the waiting list of its caller, class, declared
// run time and job size.
func (s *Scheduler) addWaiting(n *node) {
	c := s.caller(n.task.Caller)
	b := s.bucket(c, s.class(n.task.Class), n.task.Declared)
	b.update(s)
	l := &b.lists[sizeRange(n.task.TaskCount)]
	l.insert(n)
	n.state = stateWaiting
	n.long = b.long
	if l.size == 1 {
		l.index = len(c.lists)
		c.lists = append(c.lists, l)
	}
	s.waiting++
	c.waiting++
	b.class.waiting++
	if n.long {
		s.longWaiting++
		b.class.longWaiting++
	}
	if c.waiting == 1 {
		s.activate(c)
	}
}

// removeWaiting takes a node out of its waiting list.
func (s *Scheduler) removeWaiting(n *node) {
	invariant.Check(n.state == stateWaiting, "dispatch_task_waits")
	l := n.list
	c := l.bucket.caller
	l.remove(n)
	if l.size == 0 {
		last := c.lists[len(c.lists)-1]
		c.lists[l.index] = last
		last.index = l.index
		c.lists = c.lists[:len(c.lists)-1]
		l.index = -1
	}
	s.waiting--
	c.waiting--
	l.bucket.class.waiting--
	if n.long {
		s.longWaiting--
		l.bucket.class.longWaiting--
	}
	invariant.Check(s.waiting >= 0 && c.waiting >= 0 && l.bucket.class.waiting >= 0 && l.bucket.class.longWaiting >= 0,
		"dispatch_waiting_not_negative")
	n.state = stateNone
	if c.waiting == 0 {
		s.deactivate(c)
	}
}
