package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against an upstream that counts as stuck within milliseconds after it was idle: the time
// without an ended run includes the time without any run. Three short jobs at two and a half times
// their expected time were enough, also right after the start of the agent.
func TestIdleUpstreamIsNotStuckAtOnce(t *testing.T) {
	r := newReady(t)
	now := begin + time.Second
	r.Confirm(entryA, now)
	for i := range 3 {
		job := fmt.Sprint("j", i)
		assign(r, now, entryA, job, func(m *wire.Assign) { m.CPU, m.ExpectedMS = 1000, 20 })
		r.Started(now, attemptOf(job, 1), StartAnswer{Outcome: StartAccepted})
	}
	for at, want := range map[time.Duration]bool{60 * time.Millisecond: false, 300 * time.Millisecond: true} {
		if got := r.stuck(now + at); got != want {
			t.Errorf("after %v without an end: stuck %v, want %v", at, got, want)
		}
	}
}

// Guards against an agent that forgets the speed of its type of host when the upstream restarts:
// some two hundred runs had to end before entries knew it again.
func TestSpeedOutlastsAnIncarnation(t *testing.T) {
	r := newReady(t)
	now := begin
	for i := range 300 {
		a := &attempt{id: attemptOf(fmt.Sprint("a", i), 1), startSentAt: now, assign: wire.Assign{ExpectedMS: 100}}
		now += 10 * time.Millisecond
		r.health.addRun(now, a, EndDone, 130*time.Millisecond)
	}
	before := r.slowness(now)
	r.Announce(now, Announcement{UpstreamID: UpstreamID{ID: "u", StartMS: incarnation.StartMS + 1}, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	if after := r.slowness(now); before < 120 || after != before {
		t.Errorf("slowness %d after a restart of the upstream, %d before", after, before)
	}
}
