package ledger

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

func newLedger(slots int) *Ledger {
	l := New(DefaultSettings(), OpenGate{})
	for _, entry := range []string{"a", "b"} {
		l.LinkUp(Instant{}, entry)
	}
	l.Announce(Instant{}, Upstream{Service: "s", Classes: []string{"c"}, Slots: slots})
	l.TakeEffects()
	return l
}

// startOf sends a start of a new task and returns the reason of a refusal.
func startOf(l *Ledger, now time.Duration, entry string, number byte) wire.Reason {
	l.Receive(Instant{Mono: now}, entry, &wire.Start{
		Task: wire.TaskID{Job: wire.JobID{number}}, Attempt: 1, Upstream: "s", Seq: uint64(number),
		Class: "c", DeadlineMS: 1000,
	})
	for _, effect := range l.TakeEffects() {
		if s, ok := effect.(Send); ok {
			if m, refused := s.Message.(*wire.NotStarted); refused {
				return m.Reason
			}
		}
	}
	return 0
}

// Guards against a start on an expired or spent credit, or on a slot that is in
// use or offered to another entry.
func TestStartNeedsCreditAndSlot(t *testing.T) {
	life := DefaultSettings().CreditTTL
	tests := []struct {
		name    string
		slots   int
		prepare func(l *Ledger)
		now     time.Duration
		want    wire.Reason
	}{
		{"valid", 1, func(*Ledger) {}, life - 1, 0},
		{"expired at its end", 1, func(*Ledger) {}, life, wire.ReasonCreditExpired},
		{"spent", 1, func(l *Ledger) { startOf(l, 0, "a", 1) }, 0, wire.ReasonCreditSpent},
		{"slot in use by another", 1, func(l *Ledger) { startOf(l, 0, "b", 1) }, 0, wire.ReasonNoSlot},
		{"slot offered to another", 1, func(l *Ledger) { l.Receive(Instant{}, "b", &wire.Want{Upstream: "s", Count: 1}) }, 0, wire.ReasonNoSlot},
		{"slot offered to itself", 1, func(l *Ledger) { l.Receive(Instant{}, "a", &wire.Want{Upstream: "s", Count: 1}) }, 0, 0},
		{"offer to another has ended", 1, func(l *Ledger) { l.Receive(Instant{}, "b", &wire.Want{Upstream: "s", Count: 1}) }, DefaultSettings().Reservation, 0},
		{"upstream leaves", 1, func(l *Ledger) { l.UpstreamLeaving("s") }, 0, wire.ReasonNoUpstream},
		{"agent suspended", 1, func(l *Ledger) { l.SetSuspended(Instant{}, true) }, 0, wire.ReasonNoUpstream},
	}
	for _, test := range tests {
		l := newLedger(test.slots)
		test.prepare(l)
		l.TakeEffects()
		if got := startOf(l, test.now, "a", 9); got != test.want {
			t.Errorf("%s: reason %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against a credit that offers slots in use, slots offered to others, or
// free slots past an entry that waits.
func TestCreditCount(t *testing.T) {
	l := newLedger(3)
	count := func(entry string) int { return l.creditFor(Instant{}, l.upstreams["s"], entry).Count }
	if count("a") != 3 || count("b") != 3 {
		t.Error("free slots are not offered to everybody")
	}
	startOf(l, 0, "a", 1)
	if count("b") != 2 {
		t.Errorf("b is offered %d slots, want 2", count("b"))
	}
	l.Receive(Instant{}, "b", &wire.Want{Upstream: "s", Count: 1})
	if count("a") != 0 || count("b") != 1 {
		t.Errorf("a is offered %d and b %d slots while b waits, want 0 and 1", count("a"), count("b"))
	}
	l.LinkDown(Instant{}, "b")
	if count("a") != 2 {
		t.Errorf("a is offered %d slots after b is gone, want 2", count("a"))
	}
	l.SetSuspended(Instant{}, true)
	if count("a") != 0 {
		t.Error("a suspended agent offers slots")
	}
}
