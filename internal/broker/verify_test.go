package broker

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Plays a burst that an upstream's last report has made look full. Guards against a refusal
// on an old report while the upstream is free.
func TestOldReportsAreRenewedBeforeARefusal(t *testing.T) {
	g := newRig(t, "a", "b")
	g.heartbeat("a", load(0))
	g.heartbeat("b", load(0))
	g.now += reportMaxAge + time.Millisecond
	g.takeEffects()
	g.submit("j", 1, 1)
	effects := g.takeEffects()
	queries := 0
	for _, m := range messages[wire.EntryBeat](effects) {
		if m.message.ReportNow {
			queries++
		}
	}
	if queries != 2 || len(answers(effects)) != 0 {
		t.Fatalf("%d queries and answers %v, want a query to each agent", queries, answers(effects))
	}
	g.now += 2 * time.Millisecond
	g.heartbeat("a", load(0))
	if got := g.takeEffects(); len(messages[wire.Assign](got)) != 0 || len(answers(got)) != 0 {
		t.Fatal("decided before all agents have reported")
	}
	g.heartbeat("b", load(10_000))
	if got := messages[wire.Assign](g.takeEffects()); len(got) != 1 || got[0].agent.Host != "b" {
		t.Errorf("assigned %v, want the free agent", got)
	}
}

// Guards against jobs that wait for reports although the present ones are new, or for
// longer than verifyTimeout.
func TestFullUpstreamsRefuseAtOnce(t *testing.T) {
	g := newRig(t, "a")
	g.heartbeat("a", load(0))
	g.takeEffects()
	g.submit("j1", 1, 1)
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Refused {
		t.Fatalf("answers %v on a new report", got)
	}
	g.now += reportMaxAge + time.Millisecond
	g.submit("j2", 2, 1)
	if got := answers(g.takeEffects()); len(got) != 0 {
		t.Fatalf("answers %v on an old report", got)
	}
	g.now += verifyTimeout
	g.b.Tick(g.now)
	if got := answers(g.takeEffects()); len(got) != 1 || got[0].Outcome.Kind != Refused {
		t.Errorf("answers %v after verifyTimeout", got)
	}
}
