package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/wire"
)

const evacuateWithin = 5 * time.Second

func newEvacuable(t *testing.T) *Runner {
	t.Helper()
	r := newReady(t)
	r.settings.DataCentre, r.settings.EvacuateWithin = "dc", evacuateWithin
	return r
}

func evacuate(r *Runner, now time.Duration, version uint64, dataCentres ...string) {
	u := evacuation.Update{All: true, Version: version, AsOf: now}
	for _, dc := range dataCentres {
		u.Changes = append(u.Changes, evacuation.Change{DataCentre: dc, Version: version})
	}
	r.Evacuations(now, u)
}

// Guards against starts in a data centre that is being evacuated: of tasks that wait, of those
// that arrive, and of those that entries without the update send; runs go on.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	r := newEvacuable(t)
	for _, job := range []string{"runs", "runs2", "waits"} {
		assign(r, begin, entryA, job, nil)
	}
	r.TakeEffects()
	evacuate(r, begin, 3, "dc")
	got := r.TakeEffects()
	for _, e := range got {
		if s, ok := e.(StopRun); ok {
			t.Errorf("run %v is stopped", s.Attempt)
		}
	}
	if l := r.Load(begin, entryA); l.Ready || !l.Evacuated {
		t.Errorf("load ready %v evacuated %v, want only evacuated", l.Ready, l.Evacuated)
	}
	assign(r, begin, entryA, "arrives", nil)
	if m := lastReport(t, r); m.State != wire.RunNotStarted || m.Reason != reasonEvacuated {
		t.Errorf("task that arrives: %v %s", m.State, m.Reason)
	}
	if w := r.attempts[attemptOf("waits", 1)]; w.state != wire.RunNotStarted || w.reason != reasonEvacuated {
		t.Errorf("task that waits: %v %s", w.state, w.reason)
	}
	r.ListReceived(begin+time.Millisecond, RunList{RequestedAt: begin, ClockMS: 501, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("runs", 1), Kind: EndDone}}})
	if n := len(effects[StartRun](r)); n != 0 {
		t.Errorf("%d starts after an end, want none", n)
	}
}

// Guards against a data centre that stays empty after it was taken back, and against an old
// message that evacuates it again.
func TestTakenBackDataCentreGetsTasksAtOnce(t *testing.T) {
	r := newEvacuable(t)
	evacuate(r, begin, 3, "dc")
	r.TakeEffects()
	evacuate(r, begin, 4)
	if ready := effects[ReadyChanged](r); len(ready) == 0 || !ready[len(ready)-1].Ready {
		t.Errorf("entries are not sent a report at once: %+v", ready)
	}
	evacuate(r, begin, 3, "dc")
	assign(r, begin, entryA, "j", nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against requests for other data centres, and requests on deployments that have
// none, that keep tasks from starting.
func TestOtherEvacuationsDoNotMatter(t *testing.T) {
	r := newEvacuable(t)
	evacuate(r, begin, 3, "other")
	assign(r, begin, entryA, "j", nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
	r = newReady(t)
	evacuate(r, begin, 3, "")
	assign(r, begin, entryA, "j", nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Errorf("%d starts without the feature, want 1", n)
	}
}

// Guards against an agent that starts tasks on knowledge so old that a data centre should be
// empty by now: with entries that are all cut off from the store, it asks the store itself
// within the time that an evacuation has, and goes on asking while there is no answer.
func TestAgentWithOldKnowledgeAsksTheStore(t *testing.T) {
	r := newEvacuable(t)
	evacuate(r, begin, 3)
	var asked []time.Duration
	const tick = 20 * time.Millisecond
	for now := begin; now < begin+2*evacuateWithin; now += tick {
		r.Announce(now, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: uint64(now)})
		r.Tick(now)
		if len(effects[QueryEvacuations](r)) > 0 {
			asked = append(asked, now-begin)
		}
	}
	if len(asked) == 0 || asked[0] > evacuateWithin-500*time.Millisecond {
		t.Fatalf("asks after %v, want the first time well before %v", asked, evacuateWithin)
	}
	// The pauses of docs/design/evacuation.md. After the first one there is still time for an
	// answer if the first query is lost.
	for i, pause := range []int{350, 700, 1400, 2000} {
		if len(asked) < i+2 || asked[i+1]-asked[i] > time.Duration(pause)*time.Millisecond+tick {
			t.Errorf("asks after %v, want pause %d of %d ms at most", asked, i+1, pause)
		}
	}
	if len(asked) > 8 {
		t.Errorf("asks %d times in %v without an answer", len(asked), 2*evacuateWithin)
	}
	// While nobody answers, the service goes on.
	if l := r.Load(begin+2*evacuateWithin, entryA); !l.Ready {
		t.Error("the upstream is not ready")
	}
	evacuate(r, begin+2*evacuateWithin, 4, "dc")
	if l := r.Load(begin+2*evacuateWithin, entryA); l.Ready {
		t.Error("the answer does not take effect")
	}
}

// Guards against an agent that asks the store although its entries send recent states.
func TestAgentWithRecentKnowledgeAsksNothing(t *testing.T) {
	r := newEvacuable(t)
	for now := begin; now < begin+2*evacuateWithin; now += time.Second {
		evacuate(r, now, 3)
		r.Tick(now)
		if n := len(effects[QueryEvacuations](r)); n > 0 {
			t.Fatalf("asks after %v", now-begin)
		}
	}
}

// Guards against an agent that was paused and starts what it was sent before, or knows
// nothing of a request that was made meanwhile.
func TestPausedAgentStartsNothingOnOldOrders(t *testing.T) {
	r := newEvacuable(t)
	evacuate(r, begin, 3)
	for _, job := range []string{"runs", "runs2", "waits"} {
		assign(r, begin, entryA, job, nil)
	}
	r.TakeEffects()
	now := begin + 10*time.Second
	r.Announce(now, Announcement{UpstreamID: incarnation, Service: "s", CPU: 40_000, MemMB: 1000, Seq: uint64(now)})
	assign(r, now, entryA, "arrives", func(m *wire.Assign) { m.EchoMS = uint64(begin / time.Millisecond) })
	r.Tick(now)
	got := r.TakeEffects()
	asked := false
	for _, e := range got {
		switch e := e.(type) {
		case StartRun:
			t.Errorf("%v is started after the pause", e.Attempt)
		case QueryEvacuations:
			asked = true
		}
	}
	if !asked {
		t.Error("the store is not asked")
	}
}

// Guards against a restarted agent that takes a withdrawn request from an entry that is cut
// off from the store for recent, and stays out of use.
func TestRestartedAgentDoubtsAnOldView(t *testing.T) {
	r := newEvacuable(t)
	view := &wire.Evacuations{Version: 3, AgeMS: 6000, Requests: []wire.Evacuation{{DataCentre: "dc", Version: 3}}}
	r.Evacuations(begin, evacuation.FromView(begin, view))
	r.Tick(begin + 20*time.Millisecond)
	if len(effects[QueryEvacuations](r)) != 1 {
		t.Fatal("the store is not asked at once")
	}
	evacuate(r, begin+25*time.Millisecond, 4)
	r.Evacuations(begin+30*time.Millisecond, evacuation.FromView(begin+30*time.Millisecond, view))
	if l := r.Load(begin+30*time.Millisecond, entryA); !l.Ready {
		t.Error("the old view brings the withdrawn request back")
	}
}
