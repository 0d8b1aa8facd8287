package leased

import (
	"context"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against agents that wait out the pause between two attempts although the entry
// has just started: after a loss of power the first entries found no upstreams.
func TestRowOfAStartedEntryEndsThePause(t *testing.T) {
	a := newTestAgent(t, &feed{})
	aborted := false
	d := &dial{cancel: func() {}, abort: func() { aborted = true }, retry: make(chan struct{}, 1)}
	a.mu.Lock()
	a.dials["127.0.0.1:1"] = d
	a.mu.Unlock()
	row := platform.Change{Row: platform.Row{Key: "hosts/e1", Value: []byte(`{"address":"127.0.0.1:1","data_centre":"dc","incarnation":"2"}`), Version: 2}}
	a.hostsChanged(tableUpdate{rows: []platform.Change{row}})
	if !aborted {
		t.Error("the attempt in progress was not ended")
	}
	if !d.pause(context.Background(), time.Hour) {
		t.Error("the pause was not ended")
	}
}

// Guards against an entry that goes on sending tasks on a link that is about to close,
// because reports on its tasks still said that the agent is ready.
func TestReleasedLinkIsNotReady(t *testing.T) {
	a := newTestAgent(t, &feed{})
	a.mu.Lock()
	defer a.mu.Unlock()
	l := &link{address: "127.0.0.1:1"}
	d := &dial{cancel: func() {}, abort: func() {}, retry: make(chan struct{}, 1)}
	a.dials[l.address] = d
	if !a.loadFor(runner.EntryID{Host: "e1"}, l, wire.Load{Ready: true}).Ready {
		t.Fatal("not ready on a wanted link")
	}
	a.applyPlan()
	if !d.releasing || a.loadFor(runner.EntryID{Host: "e1"}, l, wire.Load{Ready: true}).Ready {
		t.Error("ready on a link that is no longer wanted")
	}
	a.closeReleased(d.releasedAt + releaseDelay)
	if a.dials[l.address] != nil {
		t.Error("the link without tasks is not closed")
	}
}
