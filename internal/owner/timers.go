package owner

import (
	"container/heap"
	"time"
)

// timer is a function to call at a time. Timers are not cancelled: fire checks
// whether it still applies.
type timer struct {
	at   time.Duration
	fire func(now time.Duration)
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

type timerQueue struct{ heap timerHeap }

func (q *timerQueue) add(at time.Duration, fire func(now time.Duration)) {
	heap.Push(&q.heap, timer{at: at, fire: fire})
}

func (q *timerQueue) pop(now time.Duration) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}
