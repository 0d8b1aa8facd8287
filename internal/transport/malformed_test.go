package transport

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/wire"
)

// messageHandler is a recordingHandler that counts Wants, malformed messages and ended links.
type messageHandler struct {
	recordingHandler
	wants, invalid, down atomic.Int64
	link                 atomic.Pointer[Link]
}

func (h *messageHandler) LinkUp(l *Link)                 { h.link.Store(l) }
func (h *messageHandler) LinkDown(*Link)                 { h.down.Add(1) }
func (h *messageHandler) MalformedMessage(string, error) { h.invalid.Add(1) }
func (h *messageHandler) Receive(_ *Link, m wire.Message, _ time.Time) {
	if _, ok := m.(*wire.Want); ok {
		h.wants.Add(1)
	}
}

// linked returns two handlers with a link between them.
func linked(t *testing.T) (from, to *messageHandler) {
	t.Helper()
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
	from, to = &messageHandler{recordingHandler: recordingHandler{id: "e1"}}, &messageHandler{recordingHandler: recordingHandler{id: "e2"}}
	address := open(t, files, to).Address()
	d := open(t, files, from).Maintain("e2", address, func() bool { return true }, nil)
	t.Cleanup(d.Stop)
	eventually(t, "a link", func() bool { return from.link.Load() != nil && to.link.Load() != nil })
	return from, to
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s in 5 s", what)
		}
	}
}

// Guards against a link that closes again and again during an upgrade because the newer
// process sends a kind of message that the older one does not know.
func TestMessageOfAnUnknownKindIsSkipped(t *testing.T) {
	from, to := linked(t)
	from.link.Load().queue.add([]byte{200, 0, 0, 0, 1, 0})
	if err := from.link.Load().Send(&wire.Want{Upstream: "s"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "message after the invalid one", func() bool { return to.wants.Load() == 1 })
	if to.down.Load() != 0 || to.invalid.Load() != 1 {
		t.Errorf("%d links ended, %d invalid messages", to.down.Load(), to.invalid.Load())
	}
}

// Guards against the loss of a message on a link that stays open, where nothing would
// resolve the attempt that it was about; and against a link that ends without a report.
func TestUndecodableMessageClosesTheLink(t *testing.T) {
	from, to := linked(t)
	from.link.Load().queue.add([]byte{8, 0, 0, 0, 1, 0xff})
	eventually(t, "end of the link", func() bool { return to.down.Load() > 0 })
	if to.invalid.Load() != 1 {
		t.Errorf("%d invalid messages", to.invalid.Load())
	}
}

// Guards against a name that is not UTF-8, such as one in a caller's header, and that
// closes the link with each attempt to send it.
func TestNameThatIsNotUTF8IsDelivered(t *testing.T) {
	from, to := linked(t)
	if err := from.link.Load().Send(&wire.Want{Upstream: "\xff"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "message with the name", func() bool { return to.wants.Load() == 1 })
}
