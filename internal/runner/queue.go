package runner

import (
	"container/heap"
	"math"

	"github.com/damasklb/damasklb/internal/wire"
)

// queue orders waiting attempts by priority, then by the time by which they should
// start. Under loads above the upstream's capacity, urgent attempts start before
// those that can wait.
type queue []*attempt

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].assign.Priority != q[j].assign.Priority {
		return q[i].assign.Priority < q[j].assign.Priority
	}
	return q[i].dueAt < q[j].dueAt
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface; use push.
func (q *queue) Push(x any) {
	a := x.(*attempt)
	a.queueIndex = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface; use remove.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	a := old[n]
	old[n] = nil
	*q = old[:n]
	a.queueIndex = -1
	return a
}

func (q *queue) push(a *attempt) { heap.Push(q, a) }

func (q *queue) remove(a *attempt) {
	if a.queueIndex >= 0 && a.phase == phaseWaiting {
		heap.Remove(q, a.queueIndex)
	}
}

// goesFirst reports whether an attempt would start before all that wait.
func (q queue) goesFirst(a *attempt) bool {
	return len(q) == 0 || a.assign.Priority < q[0].assign.Priority ||
		(a.assign.Priority == q[0].assign.Priority && a.dueAt < q[0].dueAt)
}

// size returns the cores and the memory that waiting attempts take, by priority.
func (q queue) size() (cpu, memMB [wire.PriorityLevels]int) {
	for _, a := range q {
		level := wire.PriorityLevel(a.assign.Priority)
		cpu[level] += a.assign.CPU
		memMB[level] += a.assign.MemMB
	}
	return cpu, memMB
}

// work returns the waiting work by priority, in milliseconds of an upstream of
// the given size.
func (q queue) work(cpu int) [wire.PriorityLevels]uint32 {
	var sum [wire.PriorityLevels]int
	for _, a := range q {
		sum[wire.PriorityLevel(a.assign.Priority)] += a.assign.CPU * int(a.assign.ExpectedMS)
	}
	var out [wire.PriorityLevels]uint32
	if cpu <= 0 {
		return out
	}
	for i, w := range sum {
		out[i] = uint32(min(w/cpu, math.MaxUint32))
	}
	return out
}
