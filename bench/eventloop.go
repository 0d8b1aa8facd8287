package main

import (
	"container/heap"
	"time"
)

// loop is a discrete event loop on virtual time.
type loop struct {
	now    time.Duration
	events events
	count  uint64
}

type event struct {
	at time.Duration
	// order keeps events of the same time in the order of their creation.
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// after runs do when d has passed.
func (l *loop) after(d time.Duration, do func()) {
	l.count++
	heap.Push(&l.events, event{at: l.now + d, order: l.count, do: do})
}

// run processes the events up to the given time, or fewer if none is left, and
// then sets the time to it.
func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = until
}
