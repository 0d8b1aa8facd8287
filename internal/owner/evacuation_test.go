package owner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// evacuationCore is the core of the only entry, with an agent of two slots in each of the
// data centres east and west.
type evacuationCore struct {
	*Core
	t     *testing.T
	token uint64
}

func newEvacuationCore(t *testing.T) *evacuationCore {
	self := membership.Member{ID: "e1", Host: "e1"}
	c := &evacuationCore{Core: New(self, DefaultSettings(), dispatch.New(rand.NewPCG(1, 1)), 0), t: t}
	c.MapRead(0, 0, nil)
	for _, effect := range c.TakeEffects() {
		if commit, ok := effect.(CommitMap); ok {
			c.CommitEnded()
			c.MapRead(0, 0, commit.Next)
		}
	}
	for _, effect := range c.TakeEffects() {
		if list, ok := effect.(ListAgents); ok {
			c.AgentsListed(0, list.Takeover, nil)
		}
	}
	for _, dc := range []string{"east", "west"} {
		c.LinkUp(0, wire.Hello{Role: wire.RoleAgent, ID: "w-" + dc, Incarnation: dc, DataCentre: dc})
		c.Receive(0, "w-"+dc, &wire.UpstreamUp{Upstream: "s", Site: "x", Classes: []string{"c"}, Slots: 2, Credit: wire.Credit{Upstream: "s", Count: 2, TTLMS: 20000}})
	}
	c.TakeEffects()
	return c
}

func (c *evacuationCore) set(now time.Duration, version uint64, dataCentres ...string) {
	u := evacuation.Update{All: true, Version: version, AsOf: now}
	for _, dc := range dataCentres {
		u.Changes = append(u.Changes, evacuation.Change{DataCentre: dc, Version: version})
	}
	c.Evacuations(now, u)
}

// submit submits a job of n tasks and returns the starts by host and the answer.
func (c *evacuationCore) submit(now time.Duration, n int) (map[string]int, *wire.Answer) {
	c.token++
	s := Submission{Job: wire.NewJobID("c", fmt.Sprint(c.token)), Caller: "c", Class: "c", Deadline: now + 5*time.Second}
	for range n {
		s.Payloads = append(s.Payloads, []byte("1"))
	}
	c.Submit(now, c.token, s)
	return c.outcome(now)
}

// outcome returns the starts and the answer among the effects, and has agents store
// refusals.
func (c *evacuationCore) outcome(now time.Duration) (map[string]int, *wire.Answer) {
	starts := map[string]int{}
	var answer *wire.Answer
	for effects := c.TakeEffects(); len(effects) > 0; effects = c.TakeEffects() {
		for _, effect := range effects {
			switch effect := effect.(type) {
			case Reply:
				answer = effect.Answer
			case Send:
				switch m := effect.Message.(type) {
				case *wire.Start:
					starts[effect.To]++
				case *wire.Witness:
					c.Receive(now, effect.To, &wire.WitnessAck{ID: m.ID})
				}
			}
		}
	}
	return starts, answer
}

func problemOf(a *wire.Answer) ProblemBody {
	var p ProblemBody
	if a != nil {
		_ = json.Unmarshal(a.Body, &p)
	}
	return p
}

// Guards against a task that is placed in an evacuated data centre, one that waits for a
// slot there although it could never get one, and a data centre that stays out of use after
// it was taken back.
func TestNothingIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	c := newEvacuationCore(t)
	c.set(0, 5, "east")
	if starts, answer := c.submit(0, 4); starts["w-east"] != 0 || starts["w-west"] != 2 || answer != nil {
		t.Errorf("starts %v, answer %v", starts, answer)
	}
	// Two tasks wait. They ask for slots in the other data centre only, and run in the
	// first one when it is taken back.
	for at := time.Millisecond; at < 100*time.Millisecond; at += time.Millisecond {
		c.Tick(at)
		for _, effect := range c.TakeEffects() {
			if s, ok := effect.(Send); ok && s.To == "w-east" {
				t.Errorf("%T to an agent in the evacuated data centre", s.Message)
			}
		}
	}
	c.set(100*time.Millisecond, 6)
	if starts, _ := c.outcome(100 * time.Millisecond); starts["w-east"] != 2 {
		t.Errorf("starts %v after the data centre was taken back", starts)
	}
	c.set(100*time.Millisecond, 5, "west")
	if c.KnownEvacuations().Evacuated("west") {
		t.Error("a state with a lower version took effect")
	}
}

// Guards against jobs that are held until their deadline while no data centre is left, a
// refusal of a job of which a task has started, and the end of running tasks.
func TestJobsAreRefusedWhenNoDataCentreIsLeft(t *testing.T) {
	c := newEvacuationCore(t)
	if starts, _ := c.submit(0, 6); starts["w-east"]+starts["w-west"] != 4 {
		t.Fatalf("starts %v", starts)
	}
	if starts, answer := c.submit(0, 1); len(starts) != 0 || answer != nil {
		t.Fatalf("the second job does not wait: %v, %v", starts, answer)
	}
	c.set(time.Millisecond, 7, "east", "west")
	_, answer := c.outcome(time.Millisecond)
	if p := problemOf(answer); p.Type != ProblemTypePrefix+string(ProblemEvacuated) || !p.NotRun || p.RetryAfterMS < 3000 {
		t.Errorf("the waiting job got %+v", p)
	}
	if waiting, running := c.TaskCounts(); waiting != 2 || running != 4 {
		t.Errorf("%d tasks wait and %d run of the job that has started, want 2 and 4", waiting, running)
	}
	// A start was on its way when the agent refused it: its job must not wait either.
	c = newEvacuationCore(t)
	c.submit(0, 1)
	c.set(time.Millisecond, 7, "east", "west")
	for _, id := range sortedJobs(c.jobs) {
		c.Receive(time.Millisecond, c.jobs[id].tasks[0].upstream.Host, &wire.NotStarted{
			Task: wire.TaskID{Job: id}, Attempt: 1, Reason: wire.ReasonEvacuated, Credit: wire.Credit{Upstream: "s", LastSeq: 1, TTLMS: 20000},
		})
	}
	if _, answer = c.outcome(time.Millisecond); problemOf(answer).Type != ProblemTypePrefix+string(ProblemEvacuated) {
		t.Errorf("the job of a refused start got %+v", problemOf(answer))
	}
	_, answer = c.submit(2*time.Millisecond, 1)
	if p := problemOf(answer); p.Type != ProblemTypePrefix+string(ProblemEvacuated) || !p.NotRun || p.RetryAfterMS < 3000 {
		t.Errorf("a new job got %+v", p)
	}
}
