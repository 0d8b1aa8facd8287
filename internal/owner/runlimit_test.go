package owner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// runLosses are ways in which an entry loses sight of a run at the agent w1.
var runLosses = map[string]func(c *Core){
	"cut off": func(c *Core) { c.LinkDown(time.Second, wire.RoleAgent, "w1") },
	"restarted": func(c *Core) {
		c.LinkUp(time.Second, wire.Hello{Role: wire.RoleAgent, ID: "w1", Incarnation: "later"})
	},
}

// startedAgainAfter starts a task, loses sight of it and submits its key every 10 s. It
// returns the time at which the task starts again, or 0 if it does not within half an hour.
func startedAgainAfter(t *testing.T, lose func(c *Core)) time.Duration {
	t.Helper()
	c := linkedCore()
	startOwnedJob(t, c)
	lose(c)
	for now := 2 * time.Second; now < 30*time.Minute; now += time.Second {
		c.MapRead(now, now, c.Map())
		c.Tick(now)
		c.TakeEffects()
		if now%(10*time.Second) != 0 {
			continue
		}
		c.LinkUp(now, wire.Hello{Role: wire.RoleAgent, ID: "w2", Incarnation: "i2"})
		c.Receive(now, "w2", &wire.UpstreamUp{Upstream: "s", Site: "x", Classes: []string{"c"}, Slots: 2, Credit: wire.Credit{Upstream: "s", Count: 2, TTLMS: 20_000}})
		s := ownedJob(c)
		s.Deadline += now
		c.Submit(now, uint64(now), s)
		if started(c) {
			return now
		}
	}
	return 0
}

// Guards against a policy that counts an attempt at a lost agent as running for good, and
// then has the task twice when its key is accepted again.
func TestLostAttemptIsNotCountedForGood(t *testing.T) {
	for name, lose := range runLosses {
		if startedAgainAfter(t, lose) == 0 {
			t.Errorf("%s: the key is never accepted again", name)
		}
	}
}

// started acknowledges the job at the witness and reports whether a task is started.
func started(c *Core) bool {
	for range 2 {
		for _, effect := range c.TakeEffects() {
			send, ok := effect.(Send)
			if !ok {
				continue
			}
			switch m := send.Message.(type) {
			case *wire.Witness:
				c.Receive(c.lastTick, send.To, &wire.WitnessAck{ID: m.ID})
			case *wire.Start:
				return true
			}
		}
	}
	return false
}

// Guards against a second run of a task while the first one may go on at an agent that is
// out of reach, or at the upstream of one that was restarted.
func TestUnknownRunIsNotForgottenBeforeItsLimit(t *testing.T) {
	for name, lose := range runLosses {
		if at := startedAgainAfter(t, lose); at < RunLimit {
			t.Errorf("%s: the task starts again after %v", name, at)
		}
	}
}
