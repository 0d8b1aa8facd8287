package owner

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// linkedCore returns the core of the entry e1 of two, with links to the other entry and
// to an agent.
func linkedCore() *Core {
	self := membership.Member{ID: "e1", Host: "e1"}
	c := New(self, DefaultSettings(), dispatch.New(rand.NewPCG(1, 1)), 0)
	m := membership.Next(nil, membership.Change{Add: []membership.Member{self, {ID: "e2", Host: "e2"}}})
	c.MapRead(0, 0, m)
	c.LinkUp(0, wire.Hello{Role: wire.RoleEntry, ID: "e2", Incarnation: "e2"})
	c.LinkUp(0, wire.Hello{Role: wire.RoleAgent, ID: "w1", Incarnation: "i"})
	c.Receive(0, "w1", &wire.UpstreamUp{Upstream: "s", Site: "x", Classes: []string{"c"}, Slots: 2, Credit: wire.Credit{Upstream: "s", Count: 2, TTLMS: 20_000}})
	return c
}

// ownedJob returns a submission of one task whose key the core owns.
func ownedJob(c *Core) Submission {
	s := Submission{Caller: "c", Class: "c", Deadline: 5 * time.Second, Payloads: [][]byte{[]byte("1")}}
	for !c.owns(s.Job.Partition()) {
		s.Job[0]++
	}
	return s
}

// startOwnedJob submits a job and returns the start of its task.
func startOwnedJob(t testing.TB, c *Core) *wire.Start {
	t.Helper()
	c.Submit(0, 1, ownedJob(c))
	for _, effect := range c.TakeEffects() {
		if send, ok := effect.(Send); ok {
			if w, ok := send.Message.(*wire.Witness); ok {
				c.Receive(0, "e2", &wire.WitnessAck{ID: w.ID})
			}
		}
	}
	for _, effect := range c.TakeEffects() {
		if send, ok := effect.(Send); ok {
			if start, ok := send.Message.(*wire.Start); ok {
				return start
			}
		}
	}
	t.Fatal("no task is started")
	return nil
}

// Guards against a message that ends an entry.
func FuzzReceive(f *testing.F) {
	start := startOwnedJob(f, linkedCore())
	record := wire.TaskRecord{Task: start.Task, Attempt: 1, State: wire.TaskDone, TaskCount: 1}
	answer := &wire.Answer{Status: 503, NotRun: true, RetryAfterMS: 1, Body: []byte("{")}
	for _, m := range []wire.Message{
		&wire.Result{Task: start.Task, Attempt: 1, OK: true, Payload: []byte("{")}, &wire.Result{Task: start.Task, Attempt: 1, OK: true},
		&wire.QueryReply{Records: []wire.TaskRecord{record}}, &wire.NotStarted{Task: start.Task, Attempt: 1, Reason: wire.ReasonFenced},
		&wire.FenceReply{ID: 1, Last: true, TaskRecords: []wire.TaskRecord{record}, JobRecords: []wire.JobRecord{{Job: start.Task.Job, Answer: answer}}},
		&wire.Forward{ID: 1, Job: start.Task.Job}, &wire.ForwardReply{ID: 1, Answer: answer}, &wire.Lookup{ID: 1, Job: start.Task.Job, Cancel: true},
		&wire.Witness{ID: 1, JobRecords: []wire.JobRecord{{Job: start.Task.Job, Epoch: 1, Answer: answer}}}, &wire.WitnessAck{ID: 1},
		&wire.MapNotice{Version: 2, Row: []byte(`{"version":2}`)}, &wire.Credit{Upstream: "s", Count: -1, LastSeq: 1 << 63},
		&wire.UpstreamUp{Upstream: "s", Slots: -1, Credit: wire.Credit{Count: 1 << 40}}, &wire.UpstreamDown{Upstream: "s"},
		&wire.Fence{ID: 1, Partitions: []wire.PartitionEpoch{{Partition: 255, Epoch: 1 << 63}, {Partition: start.Task.Job.Partition(), Epoch: 9}}},
	} {
		frame, err := wire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(true, frame)
		f.Add(false, frame)
	}
	f.Fuzz(func(t *testing.T, fromAgent bool, frames []byte) {
		c := linkedCore()
		startOwnedJob(t, c)
		from := "e2"
		if fromAgent {
			from = "w1"
		}
		now := time.Millisecond
		for r := bytes.NewReader(frames); ; now += time.Second {
			m, err := wire.Read(r)
			if err != nil {
				break
			}
			c.Receive(now, from, m)
			c.Submit(now, 2, ownedJob(c))
			c.Tick(now)
			c.TakeEffects()
		}
		c.Tick(now + time.Hour)
	})
}
