package transport

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/wire"
)

// recordingHandler is a Handler that records which links come up.
type recordingHandler struct {
	id string
	mu sync.Mutex
	up []string
}

func (h *recordingHandler) Hello() wire.Hello {
	return wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: h.id, Incarnation: h.id}
}

func (h *recordingHandler) LinkUp(l *Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = append(h.up, l.Peer.ID)
}

func (h *recordingHandler) LinkDown(*Link) {}

func (h *recordingHandler) Receive(*Link, wire.Message, time.Time) {}

func (h *recordingHandler) links() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.up)
}

func open(t *testing.T, files pki.Files, h Handler) *Endpoint {
	t.Helper()
	server, err := pki.ServerConfig(files, pki.RoleEntry)
	if err != nil {
		t.Fatal(err)
	}
	client, err := pki.ClientConfig(files, pki.RoleEntry)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Open("127.0.0.1:0", server, client, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// Guards against a dialler for a process that was replaced at its address: its link
// would displace the one that is in use to the new process, and messages sent on
// that one would be lost.
func TestNoLinkToAProcessOfAnotherID(t *testing.T) {
	ca, err := pki.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	keys := t.TempDir()
	if err := ca.Save(keys); err != nil {
		t.Fatal(err)
	}
	files, err := ca.IssueTo(keys, "e", pki.RoleEntry, []string{"127.0.0.1"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	successor, dialler := &recordingHandler{id: "e2-new"}, &recordingHandler{id: "e1"}
	address := open(t, files, successor).Address()
	from := open(t, files, dialler)
	always := func() bool { return true }
	stale := from.Maintain("e2-old", address, always, nil)
	defer stale.Stop()
	time.Sleep(500 * time.Millisecond)
	if successor.links() != 0 || dialler.links() != 0 {
		t.Errorf("links came up: %d at the successor, %d at the dialler", successor.links(), dialler.links())
	}
	right := from.Maintain("e2-new", address, always, nil)
	defer right.Stop()
	for end := time.Now().Add(5 * time.Second); successor.links() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if successor.links() != 1 || dialler.links() != 1 {
		t.Errorf("links came up: %d at the successor, %d at the dialler", successor.links(), dialler.links())
	}
}

// verboseHandler is a recordingHandler whose pings are longer than a short message.
type verboseHandler struct{ recordingHandler }

func (h *verboseHandler) Hello() wire.Hello {
	hello := h.recordingHandler.Hello()
	hello.Evacuations = &wire.Evacuations{Version: 1, Requests: []wire.Evacuation{{DataCentre: strings.Repeat("x", 2*longMessageBytes), Version: 1}}}
	return hello
}

// Guards against a link that never comes up because the first ping is sent on a stream of
// its own, where the other end does not wait for it.
func TestLinkWithALongFirstPingComesUp(t *testing.T) {
	ca, err := pki.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	keys := t.TempDir()
	if err := ca.Save(keys); err != nil {
		t.Fatal(err)
	}
	files, err := ca.IssueTo(keys, "e", pki.RoleEntry, []string{"127.0.0.1"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	acceptor, dialler := &recordingHandler{id: "e2"}, &verboseHandler{recordingHandler{id: "e1"}}
	address := open(t, files, acceptor).Address()
	d := open(t, files, dialler).Maintain("e2", address, func() bool { return true }, nil)
	defer d.Stop()
	for end := time.Now().Add(5 * time.Second); acceptor.links() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if acceptor.links() == 0 {
		t.Error("no link came up in 5 s")
	}
}
