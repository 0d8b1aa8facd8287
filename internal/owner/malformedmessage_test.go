package owner

import (
	"net/http"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against an entry that ends because of one result that is not JSON, and against
// a complete answer without the result.
func TestInvalidResultFailsItsJobOnly(t *testing.T) {
	for _, payload := range []string{"", "{", `{"a":1}}`, "\xff", "nul"} {
		c := linkedCore()
		start := startOwnedJob(t, c)
		c.Receive(time.Millisecond, "w1", &wire.Result{Task: start.Task, Attempt: start.Attempt, OK: true, Payload: []byte(payload)})
		var got *wire.Answer
		for _, effect := range c.TakeEffects() {
			if r, ok := effect.(Reply); ok {
				got = r.Answer
			}
		}
		if got == nil || got.Status != http.StatusBadGateway || got.NotRun {
			t.Errorf("payload %q: answer %+v", payload, got)
		}
	}
}

// Guards against an entry that ends because another one reported a refusal whose body is
// not JSON.
func TestInvalidBodyOfARefusalIsNotRepeated(t *testing.T) {
	for _, body := range []string{"", "{", "[]", `{"status":-1e99}`} {
		a := withoutNotRun(&wire.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: []byte(body)})
		if a.NotRun || a.Status != http.StatusServiceUnavailable || !a.Transient {
			t.Errorf("body %q: answer %+v", body, a)
		}
	}
}

// Guards against a task that starts again during a takeover because the record of a task
// that its job does not have passes for its own.
func TestRecordOfAnotherTaskDoesNotCompleteAJob(t *testing.T) {
	c, takeover := takeoverCore(t)
	c.LinkUp(0, wire.Hello{Role: wire.RoleAgent, ID: "w2", Incarnation: "i2"})
	c.Receive(0, "w2", &wire.UpstreamUp{Upstream: "s", Site: "x", Classes: []string{"c"}, Slots: 2, Credit: wire.Credit{Upstream: "s", Count: 2, TTLMS: 20_000}})
	c.AgentsListed(0, takeover, []AgentRow{{Host: "w1", Incarnation: "i1"}, {Host: "w2", Incarnation: "i2"}})
	s := ownedJob(c)
	invalid := wire.TaskRecord{Task: wire.TaskID{Job: s.Job, Index: 500}, Attempt: 1, State: wire.TaskDone, Digest: s.Digest}
	c.Receive(0, "w2", &wire.FenceReply{ID: takeover, Serial: 1, Last: true, TaskRecords: []wire.TaskRecord{invalid}})
	c.Submit(0, 1, s)
	for _, effect := range c.TakeEffects() {
		if send, ok := effect.(Send); ok {
			if _, started := send.Message.(*wire.Start); started {
				t.Fatal("the task starts although the agent of w1 may have a record of it")
			}
		}
	}
}
