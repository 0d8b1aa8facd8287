// Package credit holds the rules by which entries share the slots of an
// upstream: the agent's allocation of slots and the entry's account of the
// credits that it was given. It does no I/O and has no clock.
package credit

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
)

// stickySlots is the number of slots above its share that an entry may keep when
// one of its tasks ends: an offer to that entry rides on the result and costs no
// message of its own.
const stickySlots = 1

// share is what one entry has of an upstream's slots.
type share struct {
	held int
	want int
	// spare slots are offered to this entry alone until the given time.
	spare int
	until time.Duration
}

// Allocator offers the slots of one upstream to entries. While no entry waits,
// every entry is offered all free slots; while some wait, each freed slot is
// offered to one of them.
//
// Invariant: slots in use and spare slots are never more than all slots, unless
// the number of slots was reduced.
type Allocator struct {
	slots   int
	used    int
	reserve time.Duration
	shares  map[string]*share
	names   []string // keys of shares, sorted, for a stable order
}

// NewAllocator returns an allocator of free slots. Exclusive offers end after
// the reserve time.
func NewAllocator(slots int, reserve time.Duration) *Allocator {
	return &Allocator{slots: slots, reserve: reserve, shares: map[string]*share{}}
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

// Take occupies a slot for a task of the entry. It returns false if every slot
// is in use or offered to others. A start withdraws the entry's want: the result
// of the task brings its next credit.
func (a *Allocator) Acquire(now time.Duration, entry string) bool {
	s := a.share(entry)
	s.want = 0
	a.expire(now)
	if a.used+a.sparesOfOthers(entry) >= a.slots {
		return false
	}
	s.spare = max(0, s.spare-1)
	s.held++
	a.used++
	return true
}

// Release frees the slot of a task of the entry. If an entry waits, the slot is
// offered to it and its name returned.
func (a *Allocator) Release(now time.Duration, entry string) string {
	s := a.share(entry)
	s.held--
	a.used--
	invariant.Check(a.used >= 0 && s.held >= 0, "slots in use never negative")
	a.expire(now)
	if a.free() <= 0 {
		return ""
	}
	to := a.next(entry)
	if to != "" {
		a.offer(now, to)
	}
	return to
}

// Want notes how many tasks of the entry wait for a slot. It returns the entries
// that are offered other slots than before.
func (a *Allocator) SetWant(now time.Duration, entry string, count int) []string {
	s := a.share(entry)
	s.want = count
	if count == 0 {
		s.spare = 0
	}
	return a.OfferFree(now)
}

// Remove forgets an entry to which there is no link. Its tasks go on.
func (a *Allocator) Remove(now time.Duration, entry string) []string {
	if s := a.shares[entry]; s != nil {
		s.want, s.spare = 0, 0
	}
	return a.OfferFree(now)
}

// OfferFree offers free slots to entries that wait, also those whose exclusive
// offer has ended, and returns the entries that got one.
func (a *Allocator) OfferFree(now time.Duration) []string {
	a.expire(now)
	var told []string
	for a.free() > 0 {
		to := a.next("")
		if to == "" {
			break
		}
		a.offer(now, to)
		if !slices.Contains(told, to) {
			told = append(told, to)
		}
	}
	return told
}

// Offered returns the number of tasks that the entry may start now.
func (a *Allocator) Offered(now time.Duration, entry string) int {
	a.expire(now)
	s := a.share(entry)
	if a.contended() {
		return s.spare
	}
	return max(0, a.slots-a.used)
}

// contended reports whether an entry waits or has an exclusive offer.
func (a *Allocator) contended() bool {
	for _, s := range a.shares {
		if s.want > 0 || s.spare > 0 {
			return true
		}
	}
	return false
}

func (a *Allocator) offer(now time.Duration, entry string) {
	s := a.share(entry)
	s.spare++
	s.want = max(0, s.want-1)
	s.until = now + a.reserve
}

func (a *Allocator) expire(now time.Duration) {
	for _, s := range a.shares {
		if now >= s.until {
			s.spare = 0
		}
	}
}

// free returns the slots that are neither in use nor offered to one entry.
func (a *Allocator) free() int { return a.slots - a.used - a.sparesOfOthers("") }

func (a *Allocator) sparesOfOthers(entry string) int {
	n := 0
	for name, s := range a.shares {
		if name != entry {
			n += s.spare
		}
	}
	return n
}

// next returns the entry that a free slot is offered to, or "" if none waits.
// Entries that wait get equal shares: by the number of waiting tasks a large job
// at one entry would keep single tasks of others waiting. The entry whose task
// ended keeps its slot while it has less than stickySlots above its share.
func (a *Allocator) next(ended string) string {
	waiting := 0
	for _, s := range a.shares {
		if s.want > 0 {
			waiting++
		}
	}
	best, most := "", 0.0
	for _, name := range a.names {
		s := a.shares[name]
		if s.want == 0 {
			continue
		}
		short := float64(a.slots)/float64(waiting) - float64(s.held+s.spare)
		if name == ended && short > -stickySlots {
			return name
		}
		if best == "" || short > most {
			best, most = name, short
		}
	}
	return best
}
