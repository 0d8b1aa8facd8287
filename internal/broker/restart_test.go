package broker

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// countingSource counts the draws. The broker draws once for each agent that it compares.
type countingSource struct {
	rand.Source
	draws int
}

func (s *countingSource) Int63() int64 {
	s.draws++
	return s.Source.Int63()
}

// Plays the return of all agents of a large deployment to an entry with many waiting jobs.
// Guards against work that grows with the product of heartbeats, tasks and agents: a small
// entry spent seconds on it.
func TestReturnOfManyAgentsCostsBoundedWork(t *testing.T) {
	const agents, jobs, tasksPerJob = 80, 40, 8
	src := &countingSource{Source: rand.NewSource(1)}
	b := New(DefaultSettings("dc", endedAfter), src)
	now := 200 * time.Millisecond
	for i := range jobs {
		sub := Submission{ID: fmt.Sprint("j", i), Queue: queue}
		for range tasksPerJob {
			sub.Tasks = append(sub.Tasks, TaskSpec{CPU: 4000, MemMB: 10, Estimate: 400 * time.Millisecond})
		}
		b.Submit(now, sub, Waiter(i))
	}
	full := load(0)
	for i := range agents {
		now += 100 * time.Microsecond
		id := AgentID{Host: fmt.Sprint("a", i), Incarnation: "1"}
		b.Connected(now, Link{Agent: id, DataCentre: "dc", HelloSentAt: now, HelloReceivedAt: now})
		b.Heartbeat(now, id, wire.AgentBeat{Load: full})
	}
	b.Tick(now)
	// Eight milliseconds are two attempts by heartbeats and one by the tick.
	if limit := 3 * agents * jobs * tasksPerJob; src.draws > limit {
		t.Errorf("%d comparisons, want %d at most", src.draws, limit)
	}
	for i := range agents {
		id := AgentID{Host: fmt.Sprint("a", i), Incarnation: "1"}
		b.Heartbeat(now, id, wire.AgentBeat{Load: load(100_000)})
	}
	now += 20 * time.Millisecond
	b.Tick(now)
	placed := 0
	for _, e := range b.TakeEffects() {
		if s, ok := e.(Send); ok {
			if _, ok := s.Message.(*wire.Assign); ok {
				placed++
			}
		}
	}
	if placed != jobs*tasksPerJob {
		t.Errorf("%d of %d tasks are placed after the agents are free", placed, jobs*tasksPerJob)
	}
}
