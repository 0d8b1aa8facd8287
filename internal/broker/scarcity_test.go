package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/wire"
)

// scarcityRefusals lets jobs of the given priorities arrive for a second, while the agents
// report that work of the last priority waits, and returns those refused under scarcity by
// priority.
func scarcityRefusals(t *testing.T, off bool, priorities ...int) map[int]int {
	g := newRig(t, "a", "b")
	g.b.settings.Scarcity.Off = off
	refused := map[int]int{}
	for i := range 100 {
		g.now += 20 * time.Millisecond
		if i%5 == 0 {
			l := load(0)
			l.QueuedWork = [wire.PriorityLevels]uint32{0, 0, 900}
			g.heartbeat("a", l)
			g.heartbeat("b", l)
		}
		for _, p := range priorities {
			q := &catalog.Queue{Name: fmt.Sprint("q", p), Service: "s", Priority: p, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 60 * time.Millisecond}
			sub := Submission{ID: fmt.Sprint("j", p, "-", i), Queue: q, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond}}}
			g.b.Submit(g.now, sub, Waiter(i*10+p+1))
		}
		for _, e := range g.takeEffects() {
			d, ok := e.(Decision)
			if !ok || d.Reason != reasonScarcity {
				continue
			}
			if d.Share <= 0 || d.Share >= 1 || d.Headroom >= 0 {
				t.Errorf("refused with share %v at headroom %v", d.Share, d.Headroom)
			}
			var p int
			if _, err := fmt.Sscanf(d.Queue, "q%d", &p); err != nil {
				t.Fatal(err)
			}
			refused[p]++
		}
	}
	return refused
}

// Guards against a broker that does not apply admission under scarcity, or applies it to the
// most urgent queue, to queues of one priority, or while it is off.
func TestScarcityRefusals(t *testing.T) {
	if got := scarcityRefusals(t, false, 0, 2); got[2] == 0 || got[0] > 0 {
		t.Errorf("refused by priority: %v, want some of priority 2 only", got)
	}
	if got := scarcityRefusals(t, false, 2); len(got) > 0 {
		t.Errorf("refused with one priority: %v", got)
	}
	if got := scarcityRefusals(t, true, 0, 2); len(got) > 0 {
		t.Errorf("refused while off: %v", got)
	}
}
