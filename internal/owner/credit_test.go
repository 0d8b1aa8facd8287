package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against an entry that ignores all credits of an agent after the agent
// began to number the entry's starts anew on a link that replaced the old one.
func TestCreditsCountAfterNumberingBeginsAnew(t *testing.T) {
	c := New(membership.Member{ID: "e1", Host: "e1"}, DefaultSettings(), dispatch.New(rand.NewPCG(1, 1)), 0)
	m := membership.Next(nil, membership.Change{Add: []membership.Member{{ID: "e1", Host: "e1"}}})
	c.MapRead(0, 0, m)
	credit := wire.Credit{Upstream: "s", Count: 4, TTLMS: 20_000}
	link := func(now time.Duration) {
		c.LinkUp(now, wire.Hello{Role: wire.RoleAgent, ID: "a", Incarnation: "1"})
		c.Receive(now, "a", &wire.UpstreamUp{Upstream: "s", Classes: []string{"c"}, Slots: 4, Credit: credit})
	}
	link(0)
	c.Submit(0, 1, Submission{Job: wire.JobID{1}, Class: "c", Deadline: time.Second, Payloads: [][]byte{nil, nil}})
	link(time.Second)
	now := 30 * time.Second
	c.Tick(now)
	c.MapRead(now, now, m)
	c.Receive(now, "a", &credit)
	c.TakeEffects()
	// The first seconds after the long time without a tick count as a pause.
	now += 2 * time.Second
	c.Tick(now)
	c.Submit(now, 2, Submission{Job: wire.JobID{2}, Class: "c", Deadline: now + time.Second, Payloads: [][]byte{nil}})
	for _, effect := range c.TakeEffects() {
		if s, ok := effect.(Send); ok {
			if _, start := s.Message.(*wire.Start); start {
				return
			}
		}
	}
	t.Error("no start on a credit of the new numbering")
}
