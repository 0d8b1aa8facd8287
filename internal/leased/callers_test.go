package leased

import (
	"context"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against an entry that starts a task again without asking whether its caller waits.
func TestTaskOfACallerThatHasLeftIsNotStartedAgain(t *testing.T) {
	e := newTestEntry(t, &feed{})
	id := broker.AgentID{Host: "a1", Incarnation: "1"}
	load := wire.Load{Ready: true, Service: "s", CapacityCPU: 1000, CapacityMem: 1000, FreeCPU: 1000, FreeMem: 1000}
	ended, cancel := context.WithCancel(context.Background())
	e.withCore(func(now time.Duration, core *broker.Broker) {
		core.Connected(now, broker.Link{Agent: id, DataCentre: "dc", HelloSentAt: now, HelloReceivedAt: now})
		core.Heartbeat(now, id, wire.AgentBeat{Load: load})
		e.requests[7] = &request{ctx: ended, answer: make(chan broker.Outcome, 1)}
		core.Submit(now, broker.Submission{ID: "j1", Queue: &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 3},
			Tasks: []broker.TaskSpec{{CPU: 100, MemMB: 1, Estimate: time.Second}}}, 7)
		attempt := wire.LeasedAttempt{Task: wire.LeasedTask{Job: "j1"}, Run: 1}
		core.Report(now, id, wire.RunReport{Attempt: attempt, State: wire.RunStarted, Load: load})
		if core.LiveJobs() != 1 {
			t.Errorf("%d live jobs, want 1", core.LiveJobs())
		}
		cancel()
		core.Report(now, id, wire.RunReport{Attempt: attempt, State: wire.RunStopped, Load: load})
		if core.LiveJobs() != 0 {
			t.Error("the job goes on although its caller has left")
		}
	})
}
