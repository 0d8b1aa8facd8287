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
