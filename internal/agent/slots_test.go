package agent

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against more runs at an upstream than it has slots, because the connection of one
// run broke while the upstream goes on with it.
func TestRunWithABrokenConnectionKeepsItsSlot(t *testing.T) {
	var running, most atomic.Int64
	release := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
		<-release
	}))
	a := newTestAgent(slog.New(slog.DiscardHandler))
	a.client = newUpstreamClient()
	a.core.LinkUp(ledger.Instant{}, "e1")
	a.core.Announce(ledger.Instant{}, ledger.Upstream{Service: "s", Site: "x", Classes: []string{"c"}, Address: upstream.URL, Slots: 1})
	for i := range byte(2) {
		start := testStart()
		start.Task.Job, start.Seq = wire.JobID{i}, uint64(i)+1
		a.core.Receive(ledger.Instant{}, "e1", start)
		for _, effect := range a.core.TakeEffects() {
			if run, ok := effect.(ledger.Run); ok {
				a.call(run.Start, run.Address)
			}
		}
		for len(a.events) > 0 {
			(<-a.events)(ledger.Instant{})
		}
	}
	time.Sleep(50 * time.Millisecond)
	if most.Load() > 1 {
		t.Errorf("%d runs at a time on one slot", most.Load())
	}
	close(release)
	upstream.Close()
}
