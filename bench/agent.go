package main

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// machine is the fake worker beside an agent: it holds slots and runs tasks.
type machine struct {
	sim        *simulation
	index      int
	dataCentre int
	slots      int
	running    int
	// broken is the time from which the machine fails all that it starts, and
	// mended the time at which it stops doing so; 0 means never.
	brokenAt, repairedAt time.Duration
}

// failTime is the time in which a broken machine fails a task.
const failTime = 5 * time.Millisecond

// start runs one task and calls done when its slot is free again.
func (m *machine) start(j *job, task int, done func(ok bool, ran time.Duration)) {
	l := &m.sim.loop
	m.running++
	j.started++
	ok := m.brokenAt == 0 || l.now < m.brokenAt || m.repairedAt > 0 && l.now >= m.repairedAt
	ran := j.service[task]
	if !ok {
		ran = failTime
	}
	m.sim.recordStart(m, j, ran)
	l.after(ran, func() {
		m.running--
		done(ok, ran)
	})
}

const (
	// creditLife is the life of credits; they are renewed after half of it.
	creditTTL = 20 * time.Second
	// reserveLife is the life of an exclusive offer.
	reservationTTL = time.Second
)

// view is what an agent keeps of one owner.
type ownerState struct {
	lastSeq  uint64
	running  int
	wanted   int
	reserved int
	// until is the time at which exclusive offers of spare slots end.
	reservedUntil time.Duration
	// sent is the time of the last credit.
	lastCredit time.Duration
}

// agent offers the slots of a machine to the owners by the credit rules.
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
	v := &a.ownerStates[from]
	v.lastSeq = r.seq
	v.wanted = 0
	a.expireOffers()
	if a.running+a.reservedFor(from) >= a.slots {
		a.sim.refusals++
		c := a.newCredit(from)
		a.sendToOwner(from, func(o *owner) { o.onNotStarted(a.index, r, c) })
		return
	}
	v.reserved = max(0, v.reserved-1)
	v.running++
	a.start(r.job, r.task, func(ok bool, ran time.Duration) { a.onTaskEnd(from, r, ok, ran) })
}

func (a *agent) onTaskEnd(from int, r startRequest, ok bool, ran time.Duration) {
	a.ownerStates[from].running--
	a.expireOffers()
	to := a.nextOwner(from)
	if to >= 0 {
		a.reserve(to)
	}
	c := a.newCredit(from)
	a.sendToOwner(from, func(o *owner) { o.onResult(a.index, r, ok, ran, c) })
	if to >= 0 && to != from {
		a.sendCredit(to)
	}
}

// onWant stores how many tasks of an owner wait, and offers free slots to it.
func (a *agent) onWant(from, count int) {
	v := &a.ownerStates[from]
	v.wanted = count
	a.expireOffers()
	if count == 0 {
		v.reserved = 0
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

// offerReturned passes slots that an owner gave back to those that wait.
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
	v := &a.ownerStates[to]
	v.reserved++
	v.wanted = max(0, v.wanted-1)
	v.reservedUntil = a.sim.loop.now + reservationTTL
}

func (a *agent) expireOffers() {
	for i := range a.ownerStates {
		if v := &a.ownerStates[i]; a.sim.loop.now >= v.reservedUntil {
			v.reserved = 0
		}
	}
}

// reservedFor counts the slots offered exclusively to owners other than one.
func (a *agent) reservedFor(not int) int {
	n := 0
	for i := range a.ownerStates {
		if i != not {
			n += a.ownerStates[i].reserved
		}
	}
	return n
}

// nextOwner returns the owner that a freed slot is offered to, or -1 if no
// owner waits. Owners that wait get equal shares: by the number of wanted slots a
// large job at one owner would keep single tasks of another waiting. The owner
// whose task ended keeps its slot while that is less than one slot above its
// share, because an offer to it costs no message.
func (a *agent) nextOwner(ended int) int {
	wants := 0
	for i := range a.ownerStates {
		if a.ownerStates[i].wanted > 0 {
			wants++
		}
	}
	if wants == 0 {
		return -1
	}
	best, most := -1, 0.0
	for i := range a.ownerStates {
		v := &a.ownerStates[i]
		if v.wanted == 0 {
			continue
		}
		short := float64(a.slots)/float64(wants) - float64(v.running+v.reserved)
		if i == ended && short > -stickySlots {
			return i
		}
		if best < 0 || short > most {
			best, most = i, short
		}
	}
	return best
}

// stickySlots is the number of slots above its share that an owner may keep.
const stickySlots = 1

// credit is the number of tasks that an owner may start now: the slots offered
// to it alone, or all free slots while nobody waits.
func (a *agent) newCredit(to int) credit {
	v := &a.ownerStates[to]
	v.lastCredit = a.sim.loop.now
	n := max(0, a.slots-a.running-a.reservedFor(to))
	for i := range a.ownerStates {
		if a.ownerStates[i].wanted > 0 || v.reserved > 0 {
			n = v.reserved
		}
	}
	return credit{count: n, lastSeq: v.lastSeq, ttl: creditTTL}
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

// renew repeats an offer that would expire. It ends with the load, so that the
// messages of the idle time after it are not charged to the tasks.
func (a *agent) renewCredits() {
	if a.sim.loop.now >= a.sim.scenario.end {
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
