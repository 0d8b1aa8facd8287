package ledger

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/wire"
)

func evacuated(version uint64, asOf time.Duration, dataCentres ...string) evacuation.Update {
	u := evacuation.Update{All: true, Version: version, AsOf: asOf}
	for _, dc := range dataCentres {
		u.Changes = append(u.Changes, evacuation.Change{DataCentre: dc, Version: version})
	}
	return u
}

func newLedgerIn(dataCentre string) *Ledger {
	s := DefaultSettings()
	s.DataCentre = dataCentre
	l := New(s, OpenGate{})
	for _, entry := range []string{"a", "b"} {
		l.LinkUp(Instant{}, entry)
	}
	l.Announce(Instant{}, Upstream{Service: "s", Classes: []string{"c"}, Slots: 2})
	l.TakeEffects()
	return l
}

// Guards against a start in an evacuated data centre by an entry that does not know of the
// request, against credits offered there, and against an old state that takes effect again.
func TestNoStartInAnEvacuatedDataCentre(t *testing.T) {
	l := newLedgerIn("east")
	if got := startOf(l, 0, "a", 1); got != 0 {
		t.Fatalf("start before the request: %q", got)
	}
	l.Evacuations(Instant{}, evacuated(5, 0, "west"))
	if got := startOf(l, 0, "a", 2); got != 0 {
		t.Errorf("start while another data centre is evacuated: %q", got)
	}
	l.Ended(Instant{}, wire.TaskID{Job: wire.JobID{2}}, true, []byte("1"), time.Millisecond)
	credit := l.upstreams["s"].grant("a")
	left := credit.remaining
	l.Evacuations(Instant{}, evacuated(7, 0, "east"))
	if left == 0 || credit.remaining != 0 {
		t.Errorf("credit %d before and %d after the request", left, credit.remaining)
	}
	// An entry without the update sends on the credit that it had.
	credit.remaining = 1
	if got := startOf(l, 0, "a", 3); got != wire.ReasonEvacuated {
		t.Errorf("start in an evacuated data centre: %q", got)
	}
	if l.Running() != 1 {
		t.Errorf("%d tasks run, the one that had started must finish", l.Running())
	}
	l.Evacuations(Instant{}, evacuated(6, 0))
	if !l.evacuated() {
		t.Error("a state with a lower version has withdrawn the request")
	}
	l.Evacuations(Instant{}, evacuated(8, 0))
	if got := startOf(l, 0, "a", 4); got != 0 {
		t.Errorf("start after the withdrawal: %q", got)
	}
}

// Guards against an agent that acts for ever on old knowledge although the table could
// tell it, one that stops starting tasks while the table is away, and one that floods a
// table that does not answer.
func TestAgentAsksTheTableWhenItsKnowledgeIsOld(t *testing.T) {
	l := newLedgerIn("east")
	l.Evacuations(Instant{}, evacuated(5, 0))
	queries := 0
	run := func(from, to time.Duration) {
		for at := from; at < to; at += 100 * time.Millisecond {
			now := Instant{Mono: at}
			l.Announce(now, Upstream{Service: "s", Classes: []string{"c"}, Slots: 2})
			l.Tick(now)
			l.RefreshCredits(now, "a")
			for _, effect := range l.TakeEffects() {
				if _, ok := effect.(QueryEvacuations); ok {
					queries++
				}
			}
		}
	}
	run(0, 15*time.Second)
	if queries != 0 {
		t.Errorf("%d queries although entries sent the requests", queries)
	}
	run(15*time.Second, 75*time.Second)
	if queries < 4 || queries > 8 {
		t.Errorf("%d queries in a minute without an answer", queries)
	}
	if got := startOf(l, 75*time.Second, "a", 1); got != 0 {
		t.Errorf("start while the table is away: %q", got)
	}
	before := queries
	l.Evacuations(Instant{Mono: 75 * time.Second}, evacuated(9, 74*time.Second, "east"))
	run(75*time.Second, 88*time.Second)
	if got := startOf(l, 88*time.Second, "a", 2); queries != before || got == 0 {
		t.Errorf("%d more queries, start %q after the answer", queries-before, got)
	}
}
