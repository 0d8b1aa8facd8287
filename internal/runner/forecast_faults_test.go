package runner

import (
	"math"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a run that is being stopped and counts as one that has far outlasted its
// expected time: the capacity of a run of five seconds was predicted to come free in seconds
// more, although stops take milliseconds.
func TestForecastOfAStoppedRunFollowsTheStop(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "long", func(m *wire.Assign) { m.CPU, m.ExpectedMS = 10_000, 5000 })
	r.Started(begin, attemptOf("long", 1), StartAnswer{Outcome: StartAccepted})
	now := begin + 5*time.Second
	r.Withdraw(now, entryA, wire.Withdraw{Attempt: attemptOf("long", 1)})
	if w := r.Load(now, entryA).WaitMS[0]; time.Duration(w)*time.Millisecond > 4*r.settings.StopAnswerTimeout {
		t.Errorf("wait of %d ms while the only run is being stopped, want about %v", w, r.settings.StopAnswerTimeout)
	}
}

// Guards against a wait that ends with the first release although the capacity has shrunk, so
// that what runs exceeds it.
func TestForecastAfterACapacityHasShrunk(t *testing.T) {
	r := newReady(t)
	for _, job := range []string{"1", "2", "3", "4", "5"} {
		assign(r, begin, entryA, job, func(m *wire.Assign) { m.CPU, m.ExpectedMS = 2000, 500 })
	}
	before := r.Load(begin, entryA).WaitMS[0]
	r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 4000, MemMB: 1000, Seq: 2})
	// Four runs have to end before the next task starts, not one.
	if after := r.Load(begin, entryA).WaitMS[0]; after < before*3/2 {
		t.Errorf("wait of %d ms with 10 of 4 cores in use, %d ms with 10 of 10", after, before)
	}
}

// Guards against an upstream whose memory is full and whose cores are not, and which seems to
// take the next task within a millisecond.
func TestForecastOfFullMemory(t *testing.T) {
	r := newReady(t)
	large := func(m *wire.Assign) { m.CPU, m.MemMB, m.ExpectedMS = 1000, 500, 900 }
	assign(r, begin, entryA, "1", large)
	assign(r, begin, entryA, "2", large)
	if w := r.Load(begin, entryA).WaitMS[0]; w < 100 {
		t.Errorf("wait of %d ms for memory that runs of 900 ms hold", w)
	}
	assign(r, begin, entryA, "3", large)
	if next := r.Load(begin, entryA).WaitMS[0]; next < 200 {
		t.Errorf("wait of %d ms behind a task that waits for memory", next)
	}
}

// Guards against a forecast that is rounded to 0 and so means that there is none, or that a task
// starts at once; and against one that is not a number because no run occupies cores.
func TestForecastStaysInItsFields(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "long", func(m *wire.Assign) { m.CPU, m.ExpectedMS = 100, math.MaxUint32 })
	if l := r.Load(begin, entryA); l.ReleaseRate[0] == 0 {
		t.Error("an upstream with a run of weeks reports no forecast")
	}
	r = newReady(t)
	assign(r, begin, entryA, "short", func(m *wire.Assign) { m.CPU, m.ExpectedMS = 10_000, 1 })
	if l := r.Load(begin, entryA); l.FreeCPU != 0 || l.WaitMS[0] == 0 {
		t.Errorf("%d cores free and a wait of %d ms at a full upstream", l.FreeCPU, l.WaitMS[0])
	}
	r = newReady(t)
	assign(r, begin, entryA, "no cores", func(m *wire.Assign) { m.CPU, m.ExpectedMS = 0, 100 })
	if l := r.Load(begin, entryA); l.WaitMS != [wire.PriorityLevels]uint16{} {
		t.Errorf("waits of %v ms at an idle upstream", l.WaitMS)
	}
}

// Guards against forecasts that count on a stop that would not happen: all priorities from the
// last level on share it, and a run does not yield to work of its own priority.
func TestLastLevelExpectsNoPreemption(t *testing.T) {
	r := newPreempting(t, true, func(m *wire.Assign) { m.Priority = wire.PriorityLevels + 1 })
	now := begin + 10*time.Millisecond
	l := r.Load(now, entryA)
	if l.WaitMS[0] != 50 || l.WaitMS[wire.PriorityLevels-1] < 100 {
		t.Errorf("waits of %v ms, want that of a stop for priority 0 and that of a run for the last level", l.WaitMS)
	}
}

// Guards against queued work that exceeds its field and so seems to be little.
func TestQueuedWorkStaysInItsField(t *testing.T) {
	r := newReady(t)
	for _, job := range []string{"1", "2", "3"} {
		assign(r, begin, entryA, job, func(m *wire.Assign) { m.CPU, m.ExpectedMS = 10_000, 3<<30 })
	}
	if w := r.Load(begin, entryA).QueuedWork[0]; w != math.MaxUint32 {
		t.Errorf("%d ms of queued work, want the largest value", w)
	}
}
