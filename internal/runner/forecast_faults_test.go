package runner

import (
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
