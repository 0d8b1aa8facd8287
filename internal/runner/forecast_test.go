package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// fillWith starts two tasks of 4 cores on the upstream of 10, with the given expected time.
func fillWith(r *Runner, expected time.Duration) {
	for i := range 2 {
		assign(r, begin, entryA, fmt.Sprint("fill", i), func(m *wire.Assign) {
			m.ExpectedMS, m.Priority = uint32(expected/time.Millisecond), 2
		})
	}
}

// Guards against a wait that is predicted from the number of waiting tasks alone: a task was
// predicted to wait 20 ms at an upstream full of runs of 0.9 s, and waited 300.
func TestForecastDependsOnWhatRuns(t *testing.T) {
	waits := map[time.Duration]uint16{}
	for _, expected := range []time.Duration{90 * time.Millisecond, 900 * time.Millisecond} {
		r := newReady(t)
		if l := r.Load(begin, entryA); l.WaitMS[0] != 0 {
			t.Errorf("idle upstream: wait of %d ms", l.WaitMS[0])
		}
		fillWith(r, expected)
		waits[expected] = r.Load(begin, entryA).WaitMS[0]
	}
	short, long := waits[90*time.Millisecond], waits[900*time.Millisecond]
	if short == 0 || long < 8*short {
		t.Errorf("waits of %d and %d ms, want ten times as long behind long runs", short, long)
	}
}

// Guards against forecasts for less urgent tasks that ignore how often more urgent ones
// arrive and take the cores that come free.
func TestForecastAllowsForUrgentArrivals(t *testing.T) {
	r := newReady(t)
	now := begin
	for i := range 40 {
		now = begin + time.Duration(i)*20*time.Millisecond
		r.Confirm(entryA, now)
		assign(r, now, entryA, fmt.Sprint("urgent", i), func(m *wire.Assign) { m.ExpectedMS = 20 })
		r.ListReceived(now+19*time.Millisecond, RunList{RequestedAt: now, ClockMS: 501, StartMS: incarnation.StartMS,
			Ended: []EndedRun{{Number: int64(i + 1), Attempt: attemptOf(fmt.Sprint("urgent", i), 1), Kind: EndDone}}})
	}
	r.Confirm(entryA, now)
	for i := range 2 {
		assign(r, now, entryA, fmt.Sprint("runs", i), nil)
	}
	l := r.Load(now, entryA)
	if l.WaitMS[1] < 2*l.WaitMS[0] || l.ReleaseRate[1] >= l.ReleaseRate[0] {
		t.Errorf("waits %v, rates %v, want a longer wait behind urgent arrivals", l.WaitMS, l.ReleaseRate)
	}
}

// Guards against a forecast that takes a part of a task for released: cores come free by whole
// runs.
func TestForecastCountsWholeTasks(t *testing.T) {
	for lacking, want := range map[int]int{-5: 0, 0: 0, 1: 4000, 4000: 4000, 4001: 8000} {
		if got := wholeTasks(lacking, 4000); got != want {
			t.Errorf("%d of 4000: %d, want %d", lacking, got, want)
		}
	}
}

// Guards against upstreams of a slower type that are taken for equal: a third of a deployment
// takes 1.3 times as long, which chance does not explain after some hundred runs.
func TestSpeedOfHostIsLearned(t *testing.T) {
	r := newReady(t)
	now := begin
	for i := range 300 {
		a := &attempt{id: attemptOf(fmt.Sprint("a", i), 1), startSentAt: now, assign: wire.Assign{ExpectedMS: 100}}
		now += 10 * time.Millisecond
		r.health.addRun(now, a, EndDone, []time.Duration{90, 130, 190}[i%3]*time.Millisecond)
	}
	if s := r.slowness(now); s < 122 || s > 138 {
		t.Errorf("slowness %d, want about 130", s)
	}
	if s := r.slowness(now + 20*time.Second); s < 122 || s > 138 {
		t.Errorf("slowness %d after 20 s without work, want about 130", s)
	}
}
