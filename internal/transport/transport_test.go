package transport

import (
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/wire"
)

// process is a Handler that notes which links come up.
type recordingHandler struct {
	id string
	mu sync.Mutex
	up []string
}

func (p *recordingHandler) Hello() wire.Hello {
	return wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: p.id, Incarnation: p.id}
}

func (p *recordingHandler) LinkUp(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = append(p.up, l.Peer.ID)
}

func (p *recordingHandler) LinkDown(*Link) {}

func (p *recordingHandler) Receive(*Link, wire.Message, time.Time) {}

func (p *recordingHandler) links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.up)
}

func open(t *testing.T, files pki.Files, p *recordingHandler) *Endpoint {
	t.Helper()
	server, err := pki.ServerConfig(files, pki.RoleEntry)
	if err != nil {
		t.Fatal(err)
	}
	client, err := pki.ClientConfig(files, pki.RoleEntry)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Open("127.0.0.1:0", server, client, p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// Guards against a dialler that still looks for a process which was replaced at
// its address: its link would displace the one that is in use, and what is sent
// on that would be lost.
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
