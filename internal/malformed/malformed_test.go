package malformed

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/damasklb/damasklb/internal/fault"
)

// Guards against a log line on every read of a malformed row, against a row that turns malformed
// again unnoticed, and against a key that fills the log.
func TestMalformedRowIsLoggedOnceUntilItIsSound(t *testing.T) {
	var out bytes.Buffer
	r := New(slog.New(slog.NewJSONHandler(&out, nil)))
	invalid := fault.BadResponse.New("odd")
	key := "agent/" + strings.Repeat("x", 64<<10)
	for _, err := range []error{nil, invalid, invalid, invalid, nil, nil, invalid} {
		r.Check("agent", key, err)
	}
	if n := strings.Count(out.String(), "cannot be read"); n != 2 {
		t.Errorf("%d lines, want 2", n)
	}
	if n := strings.Count(out.String(), "read again"); n != 1 {
		t.Errorf("%d lines of the sound row, want 1", n)
	}
	if out.Len() > 4<<10 {
		t.Errorf("the log has %d bytes", out.Len())
	}
}
