package credit

import (
	"testing"
	"time"
)

const reserve = time.Second

func taken(t *testing.T, a *Allocator, entry string, n int) {
	t.Helper()
	for range n {
		if !a.Acquire(0, entry) {
			t.Fatalf("%s got no slot", entry)
		}
	}
}

// Guards against idle slots that an entry may not use, and against offers that
// stay open to all while an entry waits.
func TestOffersOverlapOnlyWhileNobodyWaits(t *testing.T) {
	a := NewAllocator(2, reserve)
	if a.Offered(0, "a") != 2 || a.Offered(0, "b") != 2 {
		t.Error("free slots are not offered to every entry")
	}
	taken(t, a, "a", 2)
	if a.Acquire(0, "b") {
		t.Error("a third task started on two slots")
	}
	if told := a.SetWant(0, "b", 1); len(told) != 0 {
		t.Errorf("offered %v without a free slot", told)
	}
	if to := a.Release(0, "a"); to != "b" {
		t.Errorf("freed slot went to %q", to)
	}
	if a.Offered(0, "a") != 0 || a.Offered(0, "b") != 1 || a.Acquire(0, "a") {
		t.Error("a reserved slot was open to another entry")
	}
	if !a.Acquire(0, "b") {
		t.Error("the entry could not use its reserved slot")
	}
}

// Guards against a slot that stays reserved for an entry which does not use it,
// gives it back or is gone.
func TestReservationsEnd(t *testing.T) {
	for name, end := range map[string]func(a *Allocator) time.Duration{
		"time":  func(*Allocator) time.Duration { return reserve },
		"given": func(a *Allocator) time.Duration { a.SetWant(0, "b", 0); return 0 },
		"gone":  func(a *Allocator) time.Duration { a.Remove(0, "b"); return 0 },
	} {
		a := NewAllocator(1, reserve)
		a.SetWant(0, "b", 1)
		if now := end(a); !a.Acquire(now, "a") {
			t.Errorf("%s: the slot is still reserved", name)
		}
	}
}

// Guards against a large job at one entry that takes every freed slot.
func TestWaitingEntriesGetEqualShares(t *testing.T) {
	a := NewAllocator(4, reserve)
	taken(t, a, "a", 4)
	a.SetWant(0, "a", 100)
	a.SetWant(0, "b", 1)
	a.Release(0, "a")
	if to := a.next(""); a.shares["b"].spare == 0 && to != "b" {
		t.Error("the entry without a slot got none")
	}
}

// Guards against credits that are counted twice when messages cross.
func TestAccountSubtractsUnseenStarts(t *testing.T) {
	var a Account
	a.Apply(3, 0)
	a.Start()
	a.Start()
	if a.Available() != 1 {
		t.Errorf("available %d, want 1", a.Available())
	}
	a.Apply(3, 1)
	if a.Available() != 2 {
		t.Errorf("available %d, want 2: the agent has seen one of two starts", a.Available())
	}
	if a.Apply(8, 0) || a.Available() != 2 {
		t.Error("an older credit was applied")
	}
	a.Resync(1)
	a.Apply(1, 1)
	if a.Available() != 1 {
		t.Errorf("available %d after a new link, want 1", a.Available())
	}
}
