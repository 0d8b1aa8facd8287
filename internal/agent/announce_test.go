package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/malformed"
)

// announce posts an announcement to an agent without links and returns the status and the
// upstreams that the core then has.
func announce(t *testing.T, a *Agent, body string) (int, int) {
	t.Helper()
	w := httptest.NewRecorder()
	a.postAnnounce(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	for {
		select {
		case event := <-a.events:
			event(ledger.Instant{})
		default:
			return w.Code, len(a.core.Upstreams())
		}
	}
}

func newTestAgent(log *slog.Logger) *Agent {
	a := &Agent{
		opts: Options{Host: "w1", Incarnation: "i1", Log: log}, core: ledger.New(ledger.DefaultSettings(), ledger.OpenGate{}),
		events: make(chan func(ledger.Instant), 8), invalid: malformed.New(log),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.registered.Store(true)
	return a
}

func announcement(field, value string) string {
	fields := map[string]string{"service": `"s"`, "site": `"x"`, "classes": `["c"]`, "address": `"http://127.0.0.1:8080/run"`, "slots": "4"}
	fields[field] = value
	var members []string
	for name, v := range fields {
		members = append(members, fmt.Sprintf("%q:%s", name, v))
	}
	return "{" + strings.Join(members, ",") + "}"
}

// Guards against an upstream that gets tasks although its announcement is malformed, which fail
// at once, and against one that ends the agent or hides the upstream beside it.
func TestMalformedAnnouncementsAreRefused(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	long, err := json.Marshal(strings.Repeat("x", 60<<10))
	if err != nil {
		t.Fatal(err)
	}
	invalid := []string{"", "null", "[]", "{", `"x"`, deep}
	for _, v := range []string{"-1", "0", "1e30", "4097", `"4"`, "null", "1.5", deep} {
		invalid = append(invalid, announcement("slots", v))
	}
	for _, v := range []string{
		"7", "null", `""`, `"127.0.0.1:80"`, `"http://"`, `"http://:8080"`, `"http://127.0.0.1:99999"`, `"http://127.0.0.1:0"`,
		`"http://127.0.0.1:-1"`, `"http://127.0.0.1:18446744073709551617"`, `"https://127.0.0.1:80"`, `"http://127.0.0.1:80/\u0000"`, string(long),
	} {
		invalid = append(invalid, announcement("address", v))
	}
	for _, field := range []string{"service", "site"} {
		for _, v := range []string{"7", "null", `""`, string(long), deep} {
			invalid = append(invalid, announcement(field, v))
		}
	}
	for _, v := range []string{"null", "[]", `"c"`, "[7]", `[""]`, "[null]", "[" + string(long) + "]", deep} {
		invalid = append(invalid, announcement("classes", v))
	}
	var out bytes.Buffer
	a := newTestAgent(slog.New(slog.NewJSONHandler(&out, nil)))
	for _, body := range invalid {
		if status, upstreams := announce(t, a, body); status != http.StatusBadRequest || upstreams != 0 {
			t.Errorf("%.90s: status %d, %d upstreams", body, status, upstreams)
		}
	}
	if lines := strings.Count(out.String(), "\n"); lines == 0 || lines > 4 || out.Len() > 4<<10 {
		t.Errorf("%d log lines of %d bytes", lines, out.Len())
	}
	for _, address := range []string{"http://127.0.0.1:8080/run", "http://localhost", "http://[::1]:65535/"} {
		if status, upstreams := announce(t, a, announcement("address", `"`+address+`"`)); status != http.StatusNoContent || upstreams != 1 {
			t.Errorf("address %s: status %d, %d upstreams", address, status, upstreams)
		}
	}
}

// Guards against an agent that drains, which cannot be undone, because of a malformed request.
func TestMalformedLeaveRequestDoesNotDrainTheAgent(t *testing.T) {
	for _, body := range []string{"null", "[]", "{", `"x"`, `{"service":null}`, `{"service":7}`, `{"servce":"s"}`, strings.Repeat(`{"a":`, 12_000)} {
		a := newTestAgent(slog.New(slog.DiscardHandler))
		a.drainStarted = make(chan struct{})
		w := httptest.NewRecorder()
		a.postLeave(w, httptest.NewRequest(http.MethodPost, "/v1/leave", strings.NewReader(body)))
		if a.draining() || w.Code != http.StatusBadRequest {
			t.Errorf("%.30q: status %d, draining %v", body, w.Code, a.draining())
		}
	}
	for _, body := range []string{"", "{}", `{"service":""}`} {
		a := newTestAgent(slog.New(slog.DiscardHandler))
		a.drainStarted = make(chan struct{})
		w := httptest.NewRecorder()
		a.postLeave(w, httptest.NewRequest(http.MethodPost, "/v1/leave", strings.NewReader(body)))
		if !a.draining() || w.Code != http.StatusAccepted {
			t.Errorf("%.30q: status %d, draining %v", body, w.Code, a.draining())
		}
	}
}

// Guards against a body that crashes the agent, or is accepted although no call with it
// can succeed.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(announcement("slots", "4")))
	f.Add([]byte(announcement("address", `"http://127.0.0.1:99999"`)))
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := parseAnnouncement(bytes.NewReader(body))
		if err != nil {
			if fault.Text(err) == "" {
				t.Error("the error has no text")
			}
			return
		}
		if _, err := http.NewRequest(http.MethodPost, m.Address, nil); err != nil {
			t.Errorf("address %q was accepted: %v", m.Address, err)
		}
	})
}
