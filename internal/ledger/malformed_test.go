package ledger

import (
	"bytes"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against an agent that ends, and so loses its task records, because it stored a
// refusal without an answer.
func TestRefusalWithoutAnswerDoesNotEndTheAgent(t *testing.T) {
	l := New(DefaultSettings(), OpenGate{})
	job := wire.JobID{1}
	l.Receive(Instant{}, "e1", &wire.Witness{ID: 7, JobRecords: []wire.JobRecord{{Job: job}}})
	l.Receive(Instant{}, "e1", &wire.Fence{ID: 1, Partitions: []wire.PartitionEpoch{{Partition: job.Partition(), Epoch: 2}}})
	acked := false
	for _, effect := range l.TakeEffects() {
		if ack, ok := effect.(Send).Message.(*wire.WitnessAck); ok && !ack.Refused {
			acked = true
		}
	}
	if acked {
		t.Error("the agent acknowledged a refusal that it cannot repeat")
	}
}

// Guards against a message that ends an agent.
func FuzzReceive(f *testing.F) {
	start := &wire.Start{Task: wire.TaskID{Job: wire.JobID{1}}, Attempt: 1, Epoch: 1, Upstream: "s", Seq: 1, Class: "c", DeadlineMS: 1000, TaskCount: 1}
	fence := &wire.Fence{ID: 1, Partitions: []wire.PartitionEpoch{{Partition: 1, Epoch: 1}}}
	refusal := &wire.Witness{ID: 7, JobRecords: []wire.JobRecord{{Job: wire.JobID{1}, Epoch: 1, RetryMS: 1, Answer: &wire.Answer{NotRun: true}}}}
	query := &wire.Query{Tasks: []wire.TaskRef{{Task: start.Task, Attempt: 1}}}
	for _, messages := range [][]wire.Message{{start, query, fence}, {&wire.Want{Upstream: "s", Count: -1}, start}, {refusal, fence}} {
		var frames []byte
		for _, m := range messages {
			frame, err := wire.Encode(m)
			if err != nil {
				f.Fatal(err)
			}
			frames = append(frames, frame...)
		}
		f.Add(frames)
	}
	f.Fuzz(func(t *testing.T, frames []byte) {
		l := New(DefaultSettings(), OpenGate{})
		now := Instant{}
		l.LinkUp(now, "e1")
		l.Announce(now, Upstream{Service: "s", Site: "x", Classes: []string{"c"}, Address: "http://u", Slots: 2})
		for r := bytes.NewReader(frames); ; now.Mono += time.Millisecond {
			m, err := wire.Read(r)
			if err != nil {
				break
			}
			l.Receive(now, "e1", m)
			l.Tick(now)
			for _, effect := range l.TakeEffects() {
				if run, ok := effect.(Run); ok {
					l.Ended(now, run.Start.Task, true, []byte("1"), time.Millisecond)
				}
			}
		}
	})
}
