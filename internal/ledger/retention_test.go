package ledger

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a second start of a task whose record expired while its entry was out of
// reach and could still send it again: the agent said that the task had never started.
func TestRecordOutlivesTheDeadlineOfItsStart(t *testing.T) {
	settings := DefaultSettings()
	settings.ResubmissionWindow = time.Second
	l := New(settings, OpenGate{})
	var now Instant
	l.LinkUp(now, "e1")
	l.Announce(now, Upstream{Service: "s", Site: "x", Classes: []string{"c"}, Address: "http://u", Slots: 2})
	task := wire.TaskID{Job: wire.JobID{1}}
	const deadline = time.Minute
	l.Receive(now, "e1", &wire.Start{Task: task, Attempt: 1, Epoch: 1, Upstream: "s", Seq: 1, Class: "c", TaskCount: 1, DeadlineMS: uint32(deadline / time.Millisecond)})
	now.Mono = 100 * time.Millisecond
	l.Ended(now, task, true, []byte("1"), now.Mono)
	l.LinkDown(now, "e1")
	l.TakeEffects()
	for ; now.Mono < deadline; now.Mono += time.Second {
		l.Tick(now)
		l.Receive(now, "e1", &wire.Query{Tasks: []wire.TaskRef{{Task: task, Attempt: 1}}})
		for _, effect := range l.TakeEffects() {
			send, ok := effect.(Send)
			if !ok {
				continue
			}
			if reply, ok := send.Message.(*wire.QueryReply); ok && reply.Records[0].State != wire.TaskDone {
				t.Fatalf("at %v the task that has run is in state %d", now.Mono, reply.Records[0].State)
			}
		}
	}
	now.Mono = 2 * deadline
	l.Tick(now)
	if l.Records() != 0 {
		t.Error("the record never expires")
	}
}
