package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
	"github.com/joomcode/errorx"
)

// ask puts every question that operators can ask.
func (s *scenario) ask() {
	for _, deadline := range []time.Duration{time.Millisecond, time.Minute} {
		sub := Submission{Caller: "caller", Class: "c", Deadline: s.now + deadline}
		_, _ = s.c.Explain(s.now, sub, 140, 10)
		sub.Class, sub.Caller = "not-seen", "not-seen"
		_, _ = s.c.Explain(s.now, sub, 1, 10)
	}
	for job := range 256 {
		_, _ = s.c.ExplainJob(s.now, wire.JobID{byte(job)}, 10)
	}
}

// Runs all golden scenarios with questions after each command. Guards against a question
// that starts a task, renews a refusal, or changes any later message or answer.
func TestExplanationsChangeNoScenario(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{asked: true}
		s.c = New(membership.Member{ID: "e1", Host: "e1"}, DefaultSettings(), dispatch.New(rand.NewPCG(1, 1)), 0)
		datadriven.RunTest(t, path, s.run)
	})
}

// Guards against a job whose state or wait is explained wrongly, and against an entry that
// says that it does not know a job of which another entry has the key.
func TestExplainJobStates(t *testing.T) {
	s := &scenario{}
	s.c = New(membership.Member{ID: "e1", Host: "e1"}, DefaultSettings(), dispatch.New(rand.NewPCG(1, 1)), 0)
	s.m = membership.Next(nil, membership.Change{Add: []membership.Member{{ID: "e1", Host: "e1"}}})
	s.c.MapRead(s.now, s.now, s.m)
	s.c.CommitEnded()
	s.c.LinkUp(s.now, wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleAgent, ID: "w1", Incarnation: "1"})
	s.c.Receive(s.now, "w1", &wire.UpstreamUp{
		Upstream: "s", Site: "x", Classes: []string{"c"}, Slots: 1, Credit: wire.Credit{Upstream: "s", Count: 1, TTLMS: 20_000},
	})
	id := wire.JobID{1}
	sub := Submission{Job: id, Caller: "caller", Class: "c", Deadline: s.now + time.Minute, Payloads: [][]byte{{'1'}, {'2'}}}
	if e, err := s.c.Explain(s.now, sub, 2, 10); err != nil || e.Decision != decisionAccept || len(e.Candidates) != 1 || !e.Candidates[0].MayWin {
		t.Errorf("before: %+v, %v", e, err)
	}
	s.c.Submit(s.now, 1, sub)
	e, err := s.c.ExplainJob(s.now, id, 10)
	if err != nil || e.State != StateRunning || e.Decision != decisionWait || e.Reason != "no-credit" || len(e.Tasks) != 2 ||
		e.Tasks[0].Upstream+e.Tasks[1].Upstream != "w1/s" || len(e.Excluded) != 1 {
		t.Errorf("while one task runs: %+v, %v", e, err)
	}
	sub.Problem, sub.Detail = ProblemForbidden, "not in the configuration"
	if e, err := s.c.Explain(s.now, sub, 2, 10); err != nil || e.Decision != decisionRefuse || e.Reason != string(ProblemForbidden) {
		t.Errorf("forbidden: %+v, %v", e, err)
	}
	if _, err := s.c.ExplainJob(s.now, wire.JobID{2}, 10); !errorx.IsOfType(err, fault.UnknownJob) {
		t.Errorf("unknown job: %v", err)
	}
	s.m = membership.Next(s.m, membership.Change{Add: []membership.Member{{ID: "e2", Host: "e2"}}})
	s.c.MapRead(s.now, s.now, s.m)
	others := 0
	for p := range wire.PartitionCount {
		if s.m.Partitions[p].Owner != "e2" {
			continue
		}
		others++
		if _, err := s.c.ExplainJob(s.now, wire.JobID{byte(p)}, 10); p != 1 && !errorx.IsOfType(err, fault.NotOwner) {
			t.Errorf("job of another owner's partition %d: %v", p, err)
		}
	}
	if others == 0 {
		t.Error("no partition has another owner")
	}
}
