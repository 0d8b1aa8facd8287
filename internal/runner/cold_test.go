package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

func announceCold(r *Runner, now, coldFor time.Duration, seq uint64) {
	r.Announce(now, Announcement{UpstreamID: incarnation, Service: "s", CPU: 40_000, MemMB: 1000, Seq: seq, ColdFor: coldFor})
}

// Guards against the whole load on an upstream that has just started and is slow: it is
// filled as it warms up.
func TestColdUpstreamIsFilledAsItWarms(t *testing.T) {
	r := newReady(t)
	announceCold(r, begin, 4*time.Second, 2)
	started := func(now time.Duration) int {
		announceCold(r, now, 4*time.Second-(now-begin), 3+uint64(now-begin))
		for i := range 10 {
			assign(r, now, entryA, fmt.Sprint("j", now, i), nil)
		}
		return len(effects[StartRun](r))
	}
	if n := started(begin + time.Millisecond); n != 1 {
		t.Errorf("%d starts of 10 on a cold upstream, want 1", n)
	}
	r.Confirm(entryA, begin+2*time.Second)
	if n := started(begin + 2*time.Second); n != 4 {
		t.Errorf("%d more starts when it is half warm, want 4 (half of the cores)", n)
	}
	r.Confirm(entryA, begin+4*time.Second)
	if n := started(begin + 4*time.Second); n != 5 {
		t.Errorf("%d more starts when it is warm, want the rest", n)
	}
}

// Guards against a cold upstream that counts as slow, failing or stuck afterwards.
func TestColdRunsAreNoEvidence(t *testing.T) {
	r := newReady(t)
	announceCold(r, begin, 2*time.Second, 2)
	for i := range 12 {
		now := begin + time.Duration(i)*100*time.Millisecond
		r.Confirm(entryA, now)
		assign(r, now, entryA, fmt.Sprint("j", i), nil)
		r.ListReceived(now+90*time.Millisecond, RunList{RequestedAt: now, ClockMS: 501, StartMS: incarnation.StartMS,
			Ended: []EndedRun{{Number: int64(i + 1), Attempt: attemptOf(fmt.Sprint("j", i), 1), Kind: EndDone}}})
	}
	l := r.Load(begin+1200*time.Millisecond, entryA)
	if l.ColdMS == 0 || l.Slowness == healthySlowness {
		t.Errorf("cold: %d ms left, slowness %d", l.ColdMS, l.Slowness)
	}
	announceCold(r, begin+2*time.Second, 0, 3)
	if l := r.Load(begin+2*time.Second, entryA); l.Slowness != healthySlowness || l.Stuck || l.ColdMS != 0 {
		t.Errorf("warm again: slowness %d, stuck %v, cold for %d ms", l.Slowness, l.Stuck, l.ColdMS)
	}
}

// Guards against runs that count against the health of an upstream because they end, or are still
// going on, after the announcement that says that it is warm: they ran while it was cold.
func TestRunsThatOutlastTheColdAreNoEvidence(t *testing.T) {
	r := newReady(t)
	announceCold(r, begin, 2*time.Second, 2)
	now := begin + 1900*time.Millisecond
	r.Confirm(entryA, now)
	var running, ended []string
	for i := range 8 {
		job := fmt.Sprint("j", i)
		assign(r, now, entryA, job, func(m *wire.Assign) { m.ExpectedMS = 50 })
		r.Started(now, attemptOf(job, 1), StartAnswer{Outcome: StartAccepted})
		if i%2 == 0 {
			ended = append(ended, job)
		} else {
			running = append(running, job)
		}
	}
	now = begin + 2050*time.Millisecond
	announceCold(r, now, 0, 3)
	list := RunList{RequestedAt: now, ClockMS: 501, StartMS: incarnation.StartMS}
	for i, job := range ended {
		list.Ended = append(list.Ended, EndedRun{Number: int64(i + 1), Attempt: attemptOf(job, 1), Kind: EndDone})
	}
	for _, job := range running {
		list.Running = append(list.Running, attemptOf(job, 1))
	}
	now += 10 * time.Millisecond
	r.ListReceived(now, list)
	if l := r.Load(now, entryA); l.Slowness != healthySlowness || l.ColdMS != 0 {
		t.Errorf("slowness %d after runs of 160 ms in place of 50 that were started cold, want %d", l.Slowness, healthySlowness)
	}
}
