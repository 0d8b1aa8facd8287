package quarantine

import (
	"fmt"
	"slices"
	"testing"
)

func upstreams(n, usedCPU int) []Upstream {
	var out []Upstream
	for i := range n {
		out = append(out, Upstream{Host: fmt.Sprint("h", i), Index: i, CapacityCPU: 1000, UsedCPU: usedCPU, Present: true})
	}
	return out
}

// Guards against a quarantine that takes upstreams which the other queues need, or more of them
// than are left when others are down.
func TestQuarantineLeavesWhatIsInUse(t *testing.T) {
	idle, busy := Choose(upstreams(20, 0)), Choose(upstreams(20, 900))
	if len(idle) != 10 || len(busy) != 5 {
		t.Errorf("%d of 20 idle and %d of 20 busy upstreams, want half and a quarter", len(idle), len(busy))
	}
	down := upstreams(20, 0)
	for i := range down {
		down[i].Present = slices.Contains(idle, i)
	}
	if n := len(Choose(down)); n != 1 {
		t.Errorf("%d upstreams with ten others down, want one", n)
	}
}

// Guards against entries that choose other upstreams because agents arrived in another order.
func TestAllEntriesChooseTheSameUpstreams(t *testing.T) {
	first, second := upstreams(12, 300), upstreams(12, 300)
	slices.Reverse(second)
	if x, y := Choose(first), Choose(second); !slices.Equal(x, y) {
		t.Errorf("%v and %v", x, y)
	}
}
