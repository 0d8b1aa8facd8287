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
