package scarcity

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Snapshot is the sum of the last reports of a service's usable agents.
type Snapshot struct {
	// Capacity is in thousandths of a core, Free what of it is free for whole tasks.
	Capacity, Free int
	// Queued is the work that waits at the agents by priority, in core-milliseconds.
	Queued [wire.PriorityLevels]float64
}

// Add adds an agent's report. free is what is left after the tasks that were sent since.
func (s *Snapshot) Add(l *wire.Load, free int) {
	s.Capacity += l.CapacityCPU
	if l.TaskCPU > 0 && free > 0 {
		// Less than a whole task is of no use.
		free -= free % l.TaskCPU
	}
	s.Free += free
	for i, ms := range l.QueuedWork {
		s.Queued[i] += float64(ms) * float64(l.CapacityCPU) / 1000
	}
}

// waiting returns the capacity, in thousandths of a core, that the waiting tasks of a priority
// take once they run.
func (s *Snapshot) waiting(priority int, expected time.Duration) float64 {
	ms := max(float64(expected)/float64(time.Millisecond), 1)
	return s.Queued[wire.PriorityLevel(priority)] * 1000 / ms
}
