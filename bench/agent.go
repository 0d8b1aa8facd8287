package main

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// machine is the simulated worker of an agent. It runs one task per slot.
type machine struct {
	sim        *simulation
	index      int
	dataCentre int
	slots      int
	running    int
	// From brokenAt until repairedAt the machine fails each task that it starts. A
	// value of 0 means that it never breaks or is never repaired.
	brokenAt, repairedAt time.Duration
}

// brokenRunTime is the run time of a task that a broken machine fails.
const brokenRunTime = 5 * time.Millisecond

// start runs one task and calls done when its slot is free again.
func (m *machine) start(j *job, task int, done func(ok bool, runTime time.Duration)) {
	l := &m.sim.loop
	m.running++
	j.started++
	ok := m.brokenAt == 0 || l.now < m.brokenAt || m.repairedAt > 0 && l.now >= m.repairedAt
	runTime := j.runTimes[task]
	if !ok {
		runTime = brokenRunTime
	}
	m.sim.recordStart(m, j, runTime)
	l.after(runTime, func() {
		m.running--
		done(ok, runTime)
	})
}

const (
	// creditTTL is the validity of credits; they are renewed after half of it.
	creditTTL = 20 * time.Second
	// reservationTTL is the validity of an exclusive offer of slots.
	reservationTTL = time.Second
)

// ownerState is the state that an agent has of one owner.
type ownerState struct {
	// lastSeq is the number of the last Start received from the owner.
	lastSeq uint64
	// running is the number of the owner's tasks that run here.
	running int
	// wanted is the number of slots that the owner asks for.
	wanted int
	// reserved is the number of slots offered to this owner exclusively.
	reserved int
	// reservedUntil is the time at which the exclusive offers expire.
	reservedUntil time.Duration
	// lastCredit is the time at which the last credit was sent.
	lastCredit time.Duration
}

// agent offers the slots of a machine to the owners according to the credit rules.
type agent struct {
	machine
	ownerStates [ownerCount]ownerState
	owners      [ownerCount]*owner
}

// startRequest is a Start message.
type startRequest struct {
	job  *job
	task int
	seq  uint64
}

func (r startRequest) id() wire.TaskID { return wire.TaskID{Job: r.job.id, Index: uint16(r.task)} }

// onStart starts a task or refuses it. A Start withdraws its owner's want: the
// owner now runs a task here, whose result brings the next credit.
func (a *agent) onStart(from int, r startRequest) {
	s := &a.ownerStates[from]
	s.lastSeq = r.seq
	s.wanted = 0
	a.expireOffers()
	if a.running+a.reservedFor(from) >= a.slots {
		a.sim.refusals++
		c := a.newCredit(from)
		a.sendToOwner(from, func(o *owner) { o.onNotStarted(a.index, r, c) })
		return
	}
	s.reserved = max(0, s.reserved-1)
	s.running++
	a.start(r.job, r.task, func(ok bool, runTime time.Duration) { a.onTaskEnd(from, r, ok, runTime) })
}

func (a *agent) onTaskEnd(from int, r startRequest, ok bool, runTime time.Duration) {
	a.ownerStates[from].running--
	a.expireOffers()
	to := a.nextOwner(from)
	if to >= 0 {
		a.reserve(to)
	}
	c := a.newCredit(from)
	a.sendToOwner(from, func(o *owner) { o.onResult(a.index, r, ok, runTime, c) })
	if to >= 0 && to != from {
		a.sendCredit(to)
	}
}

// onWant stores how many slots an owner asks for, and offers free slots to it.
func (a *agent) onWant(from, count int) {
	s := &a.ownerStates[from]
	s.wanted = count
	a.expireOffers()
	if count == 0 {
		s.reserved = 0
		a.offerReturned()
		return
	}
	free := a.slots - a.running - a.reservedFor(-1)
	if free <= 0 {
		return
	}
	for range min(free, count) {
		a.reserve(from)
	}
	a.sendCredit(from)
}

// offerReturned offers the slots that an owner has returned to the owners that
// wait for slots.
func (a *agent) offerReturned() {
	var changed [ownerCount]bool
	for a.running+a.reservedFor(-1) < a.slots {
		to := a.nextOwner(-1)
		if to < 0 {
			break
		}
		a.reserve(to)
		changed[to] = true
	}
	for i, c := range changed {
		if c {
			a.sendCredit(i)
		}
	}
}

func (a *agent) reserve(to int) {
	s := &a.ownerStates[to]
	s.reserved++
	s.wanted = max(0, s.wanted-1)
	s.reservedUntil = a.sim.loop.now + reservationTTL
}

func (a *agent) expireOffers() {
	for i := range a.ownerStates {
		if s := &a.ownerStates[i]; a.sim.loop.now >= s.reservedUntil {
			s.reserved = 0
		}
	}
}

// reservedFor counts the slots offered exclusively to owners other than the given
// one; -1 excludes none.
func (a *agent) reservedFor(except int) int {
	n := 0
	for i := range a.ownerStates {
		if i != except {
			n += a.ownerStates[i].reserved
		}
	}
	return n
}

// nextOwner returns the owner to which a free slot is offered, or -1 if no owner
// waits for slots. Waiting owners get equal shares. Shares in proportion to the
// wanted slots would make single tasks of one owner wait behind a large job of
// another. The owner whose task has ended keeps its slot while it is less than
// one slot above its share, because an offer to it costs no message. endedOwner is
// -1 if no task has ended.
func (a *agent) nextOwner(endedOwner int) int {
	waiting := 0
	for i := range a.ownerStates {
		if a.ownerStates[i].wanted > 0 {
			waiting++
		}
	}
	if waiting == 0 {
		return -1
	}
	best, largest := -1, 0.0
	for i := range a.ownerStates {
		s := &a.ownerStates[i]
		if s.wanted == 0 {
			continue
		}
		missing := float64(a.slots)/float64(waiting) - float64(s.running+s.reserved)
		if i == endedOwner && missing > -stickySlots {
			return i
		}
		if best < 0 || missing > largest {
			best, largest = i, missing
		}
	}
	return best
}

// stickySlots is the number of slots above its share below which an owner keeps
// the slot of its ended task.
const stickySlots = 1

// newCredit returns the number of tasks that an owner may start now: the slots
// offered to it exclusively, or all free slots while no owner waits.
func (a *agent) newCredit(to int) credit {
	s := &a.ownerStates[to]
	s.lastCredit = a.sim.loop.now
	n := max(0, a.slots-a.running-a.reservedFor(to))
	for i := range a.ownerStates {
		if a.ownerStates[i].wanted > 0 || s.reserved > 0 {
			n = s.reserved
		}
	}
	return credit{count: n, lastSeq: s.lastSeq, ttl: creditTTL}
}

type credit struct {
	count   int
	lastSeq uint64
	ttl     time.Duration
}

func (a *agent) sendCredit(to int) {
	c := a.newCredit(to)
	a.sendToOwner(to, func(o *owner) { o.onCredit(a.index, c) })
}

func (a *agent) sendToOwner(to int, deliver func(*owner)) {
	o := a.owners[to]
	a.sim.send(a.dataCentre, o.dataCentre, func() { deliver(o) })
}

// renewCredits repeats credits before they expire. It stops when arrivals end, so
// that messages of the idle time afterwards do not count towards the messages per
// task.
func (a *agent) renewCredits() {
	if a.sim.loop.now >= a.sim.scenario.arrivalsEnd {
		return
	}
	a.expireOffers()
	for i := range a.ownerStates {
		if a.sim.loop.now-a.ownerStates[i].lastCredit >= creditTTL/2 {
			a.sendCredit(i)
		}
	}
	a.sim.loop.after(creditTTL/4, a.renewCredits)
}
