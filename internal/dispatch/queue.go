package dispatch

import (
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

// place tells where a task is. A task is in exactly one place.
type place uint8

const (
	nowhere place = iota
	waiting
	running
	late
)

// node is the scheduler's record of a task. Nodes are reused.
type node struct {
	task  Task
	place place
	list  *list
	prev  *node
	next  *node
	// long is whether the task counts as long work in its present place.
	long bool
	// straggler is set when a running long task stops counting against the
	// share of long work.
	straggler bool

	caller   *caller
	upstream *upstream
	started  time.Duration
	charged  time.Duration
	// overrun is the position among the scheduler's overruns.
	overrun int
	level   int
}

// list is a doubly linked list of nodes, so that removal takes constant time.
// A list of waiting tasks belongs to one cell and one range of job sizes.
type list struct {
	head, tail *node
	size       int

	cell *cell
	// tasks represents the number of tasks of the jobs in this list.
	tasks float64
	// index is the position among the caller's non-empty lists, or -1.
	index int
}

// jobSizes are the upper ends of the ranges of job sizes that are queued
// apart, and a number of tasks that represents each range.
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

// insert puts n before the first node that is younger. A task that comes back
// is old, so the search from the head is short.
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

// agePenalty is the time that a task lets younger tasks pass, per unit of its
// own expected run time. It bounds the wait of long tasks behind short ones.
const agePenalty = 4

// jobPenalty scales the part of a large job in that time: the number of times
// that its tasks would fill all slots counts this often.
const jobPenalty = 16

// maxPenalty limits that time to a share of what is left until the deadline, so
// that a job that was admitted still ends in time.
const maxPenalty = 0.6

// key orders the lists of a caller: the shortest expected job first, with the
// waiting time counted in its favour.
func (s *Scheduler) key(l *list) time.Duration {
	if s.without&ShortestFirst != 0 {
		return l.head.task.Arrival
	}
	t := &l.head.task
	return t.Arrival + s.penalty(l.cell.expected, l.tasks, t.Deadline-t.Arrival)
}

// penalty is the time that a task of a job lets younger tasks pass.
func (s *Scheduler) penalty(expected time.Duration, tasks float64, left time.Duration) time.Duration {
	cost := float64(expected)
	if s.without&JobSize == 0 && s.slots > 0 {
		cost *= 1 + jobPenalty*(tasks-1)/float64(s.slots)
	}
	limit := maxPenalty * float64(max(0, left-expected))
	penalty := agePenalty * cost
	return time.Duration(penalty * limit / (penalty + limit))
}

// best returns the caller's list whose head should start next and its key, or
// nil if no credit can start any of the caller's tasks.
func (s *Scheduler) best(c *caller) (*list, time.Duration) {
	if c.maxSlots > 0 && c.running >= c.maxSlots {
		return nil, 0
	}
	var best *list
	var bestKey time.Duration
	longFull := s.longFull()
	for _, l := range c.lists {
		if !s.startable(l.cell.class) || longFull && l.cell.long {
			continue
		}
		if k := s.key(l); best == nil || k < bestKey {
			best, bestKey = l, k
		}
	}
	return best, bestKey
}

// wait puts a node into the waiting list of its caller, class and job size.
func (s *Scheduler) wait(n *node) {
	c := s.caller(n.task.Caller)
	cell := s.cell(c, s.class(n.task.Class), n.task.Declared)
	cell.update(s)
	l := &cell.lists[sizeRange(n.task.TaskCount)]
	l.insert(n)
	n.place = waiting
	n.long = cell.long
	if l.size == 1 {
		l.index = len(c.lists)
		c.lists = append(c.lists, l)
	}
	s.waiting++
	c.waiting++
	cell.class.waiting++
	if n.long {
		s.longWaiting++
		cell.class.longWaiting++
	}
	if c.waiting == 1 {
		s.activate(c)
	}
}

// unwait takes a node out of its waiting list.
func (s *Scheduler) unwait(n *node) {
	invariant.Check(n.place == waiting, "dispatch_task_waits")
	l := n.list
	c := l.cell.caller
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
	l.cell.class.waiting--
	if n.long {
		s.longWaiting--
		l.cell.class.longWaiting--
	}
	invariant.Check(s.waiting >= 0 && c.waiting >= 0 && l.cell.class.waiting >= 0 && l.cell.class.longWaiting >= 0,
		"dispatch_waiting_not_negative")
	n.place = nowhere
	if c.waiting == 0 {
		s.deactivate(c)
	}
}
