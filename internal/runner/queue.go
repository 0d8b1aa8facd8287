package runner

import (
	"container/heap"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// queue orders waiting attempts by priority, then by the time at which they
// should start. It answers loads above the upstream's capacity: what is urgent
// passes what can wait.
type queue []*attempt

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].order.Priority != q[j].order.Priority {
		return q[i].order.Priority < q[j].order.Priority
	}
	return q[i].urgent < q[j].urgent
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface; use push.
func (q *queue) Push(x any) {
	a := x.(*attempt)
	a.index = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface; use remove.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	a := old[n]
	old[n] = nil
	*q = old[:n]
	a.index = -1
	return a
}

func (q *queue) push(a *attempt) { heap.Push(q, a) }

func (q *queue) remove(a *attempt) {
	if a.index >= 0 && a.phase == phaseWaiting {
		heap.Remove(q, a.index)
	}
}

// passes is whether an attempt would come before all that wait.
func (q queue) passes(a *attempt) bool {
	return len(q) == 0 || a.order.Priority < q[0].order.Priority ||
		(a.order.Priority == q[0].order.Priority && a.urgent < q[0].urgent)
}

// work returns the waiting work by priority, in milliseconds of an upstream of
// the given size.
func (q queue) work(cpu int) [wire.PriorityLevels]uint32 {
	var sum [wire.PriorityLevels]int
	for _, a := range q {
		sum[wire.PriorityLevel(a.order.Priority)] += a.order.CPU * int(a.order.ExpectedMS)
	}
	var out [wire.PriorityLevels]uint32
	if cpu <= 0 {
		return out
	}
	for i, w := range sum {
		out[i] = uint32(time.Duration(w/cpu) * time.Millisecond / time.Millisecond)
	}
	return out
}
