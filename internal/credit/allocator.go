// Package credit holds the rules by which entries share the slots of an
// upstream: the agent's allocation of slots and the entry's account of the
// credits that it was given. It does no I/O and has no clock.
package credit

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

// stickySlots is the number of slots above its equal share that an entry may keep
// when one of its tasks ends: an offer to that entry is sent with the result and
// costs no message of its own.
const stickySlots = 1

// share is one entry's use of, and claims on, an upstream's slots.
type share struct {
	used int
	want int
	// reserved slots are offered to this entry alone until reservedUntil.
	reserved      int
	reservedUntil time.Duration
}

// Allocator offers the slots of one upstream to entries. While no entry waits,
// every entry is offered all free slots; while some wait, each freed slot is
// offered to one of them.
//
// Invariant: slots in use and reserved slots are never more than all slots,
// unless the number of slots was reduced.
type Allocator struct {
	slots       int
	used        int
	reservation time.Duration
	shares      map[string]*share
	names       []string // keys of shares, sorted, for a stable order
}

// NewAllocator returns an allocator of free slots. A reservation for one entry
// ends after the given time.
func NewAllocator(slots int, reservation time.Duration) *Allocator {
	return &Allocator{slots: slots, reservation: reservation, shares: map[string]*share{}}
}

// Used returns the number of slots in use.
func (a *Allocator) Used() int { return a.used }

// SetSlots changes the number of slots.
func (a *Allocator) SetSlots(n int) { a.slots = n }

func (a *Allocator) share(entry string) *share {
	s := a.shares[entry]
	if s == nil {
		s = &share{}
		a.shares[entry] = s
		i, _ := slices.BinarySearch(a.names, entry)
		a.names = slices.Insert(a.names, i, entry)
	}
	return s
}

// Acquire occupies a slot for a task of the entry. It returns false if every slot
// is in use or reserved for others. A start withdraws the entry's want: the
// result of the task brings its next credit.
func (a *Allocator) Acquire(now time.Duration, entry string) bool {
	s := a.share(entry)
	s.want = 0
	a.expireReservations(now)
	if a.used+a.reservedForOthers(entry) >= a.slots {
		return false
	}
	s.reserved = max(0, s.reserved-1)
	s.used++
	a.used++
	return true
}

// Release frees the slot of a task of the entry. If an entry waits, it reserves
// the slot for that entry and returns its name.
func (a *Allocator) Release(now time.Duration, entry string) string {
	s := a.share(entry)
	s.used--
	a.used--
	invariant.Check(a.used >= 0 && s.used >= 0, "slots in use never negative")
	a.expireReservations(now)
	if a.free() <= 0 {
		return ""
	}
	to := a.nextEntry(entry)
	if to != "" {
		a.offer(now, to)
	}
	return to
}

// SetWant sets the number of tasks of the entry that wait for a slot. It returns
// the entries for which it reserved slots.
func (a *Allocator) SetWant(now time.Duration, entry string, count int) []string {
	s := a.share(entry)
	s.want = count
	if count == 0 {
		s.reserved = 0
	}
	return a.OfferFree(now)
}

// Remove ends the want and the reservations of an entry whose link is down. Its
// tasks keep running. It returns the entries for which it reserved slots.
func (a *Allocator) Remove(now time.Duration, entry string) []string {
	if s := a.shares[entry]; s != nil {
		s.want, s.reserved = 0, 0
	}
	return a.OfferFree(now)
}

// OfferFree reserves free slots for entries that wait, also slots whose
// reservation has ended, and returns the entries that got one.
func (a *Allocator) OfferFree(now time.Duration) []string {
	a.expireReservations(now)
	var notify []string
	for a.free() > 0 {
		to := a.nextEntry("")
		if to == "" {
			break
		}
		a.offer(now, to)
		if !slices.Contains(notify, to) {
			notify = append(notify, to)
		}
	}
	return notify
}

// Offered returns the number of tasks that the entry may start now.
func (a *Allocator) Offered(now time.Duration, entry string) int {
	a.expireReservations(now)
	s := a.share(entry)
	if a.contended() {
		return s.reserved
	}
	return max(0, a.slots-a.used)
}

// contended reports whether an entry waits or has a reservation.
func (a *Allocator) contended() bool {
	for _, s := range a.shares {
		if s.want > 0 || s.reserved > 0 {
			return true
		}
	}
	return false
}

func (a *Allocator) offer(now time.Duration, entry string) {
	s := a.share(entry)
	s.reserved++
	s.want = max(0, s.want-1)
	s.reservedUntil = now + a.reservation
}

func (a *Allocator) expireReservations(now time.Duration) {
	for _, s := range a.shares {
		if now >= s.reservedUntil {
			s.reserved = 0
		}
	}
}

// free returns the number of slots that are neither in use nor reserved.
func (a *Allocator) free() int { return a.slots - a.used - a.reservedForOthers("") }

func (a *Allocator) reservedForOthers(entry string) int {
	n := 0
	for name, s := range a.shares {
		if name != entry {
			n += s.reserved
		}
	}
	return n
}

// nextEntry returns the entry for which a free slot is reserved, or "" if none
// waits. Entries that wait get equal shares: with shares by the number of waiting
// tasks, a large job at one entry would delay single tasks of others. The entry
// whose task ended keeps its slot while it has less than stickySlots above its
// share.
func (a *Allocator) nextEntry(ended string) string {
	waiting := 0
	for _, s := range a.shares {
		if s.want > 0 {
			waiting++
		}
	}
	best, bestDeficit := "", 0.0
	for _, name := range a.names {
		s := a.shares[name]
		if s.want == 0 {
			continue
		}
		deficit := float64(a.slots)/float64(waiting) - float64(s.used+s.reserved)
		if name == ended && deficit > -stickySlots {
			return name
		}
		if best == "" || deficit > bestDeficit {
			best, bestDeficit = name, deficit
		}
	}
	return best
}
