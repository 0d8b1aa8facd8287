package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/clientlimit"
)

const testTimeout = 10 * time.Second

// serveGuarded serves a handler that reads bodies of up to limit bytes and answers with their length.
func serveGuarded(t *testing.T, s clientlimit.Settings, limit int64) string {
	t.Helper()
	g := NewGuard(t.Context(), s, func() Limits { return Limits{} }, slog.New(slog.DiscardHandler), 10)
	l, err := g.Listen(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			fmt.Fprint(w, "no body read")
			return
		}
		body, err := ReadBody(r, limit)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_ = body.Decode(func(data []byte) error {
			_, err := fmt.Fprint(w, len(data), strings.Count(string(data), "x"))
			return err
		})
	})}
	g.Serve(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

type exchange struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *exchange {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &exchange{t, c, bufio.NewReader(c)}
}

func (e *exchange) send(format string, args ...any) {
	e.t.Helper()
	if _, err := fmt.Fprintf(e.conn, format, args...); err != nil {
		e.t.Fatal(err)
	}
}

func (e *exchange) answer() (*http.Response, string) {
	e.t.Helper()
	resp, err := http.ReadResponse(e.reader, nil)
	if err != nil {
		e.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		e.t.Fatal(err)
	}
	return resp, string(body)
}

// Guards against a guard that breaks connections which are used for several requests, one after
// another or ahead of the answers.
func TestConnectionServesSeveralRequests(t *testing.T) {
	e := dial(t, serveGuarded(t, clientlimit.DefaultSettings(1<<26), 1<<20))
	for _, n := range []int{0, 10, 4096, 5000, 100_000} {
		e.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
		if _, body := e.answer(); body != fmt.Sprint(n, n) {
			t.Errorf("answer %q to %d bytes", body, n)
		}
	}
	e.send("%s", strings.Repeat("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", 20))
	for range 20 {
		if _, body := e.answer(); body != "1 1" {
			t.Errorf("answer %q", body)
		}
	}
}

// Guards against an answer that waits for a body which nobody reads.
func TestUnreadBodyClosesTheConnection(t *testing.T) {
	e := dial(t, serveGuarded(t, clientlimit.DefaultSettings(1<<26), 1<<20))
	e.send("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nbegin")
	if resp, body := e.answer(); !resp.Close || body != "no body read" {
		t.Errorf("close %v, answer %q", resp.Close, body)
	}
}

// Guards against a client that loses the answer to a body that is too large, because its connection
// is reset.
func TestClientOfTooLargeBodyGetsItsAnswer(t *testing.T) {
	const limit = 1 << 20
	address := serveGuarded(t, clientlimit.DefaultSettings(1<<26), limit)
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 10 {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", limit+1)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// Guards against a connection that is used again after an abort has ended the server's reads: each
// later request would pass for one whose caller has left.
func TestRefusedRequestClosesItsConnection(t *testing.T) {
	s := clientlimit.DefaultSettings(1 << 26)
	s.Bytes = clientlimit.MinBytes
	e := dial(t, serveGuarded(t, s, 1<<20))
	const large = 500_000
	e.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", large, strings.Repeat("x", large))
	if resp, _ := e.answer(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

// Guards against a request with a body that is announced, not sent and not needed, which keeps its
// connection for ever.
func TestMissingBodyEndsTheConnection(t *testing.T) {
	e := dial(t, serveGuarded(t, clientlimit.DefaultSettings(1<<26), 1<<20))
	e.send("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n")
	e.answer()
	if _, err := e.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end of the connection", err)
	}
}

// Guards against unfinished bodies that are neither refused nor timed out.
func TestUnfinishedBodyIsRefusedInTime(t *testing.T) {
	s := clientlimit.DefaultSettings(1 << 26)
	s.BodyTimeout = 100 * time.Millisecond
	e := dial(t, serveGuarded(t, s, 1<<20))
	e.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nxxxxxxxxx")
	if resp, _ := e.answer(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

// slowConn takes each write in whole and records their sizes and the number of deadlines.
type slowConn struct {
	net.Conn
	writes    []int
	deadlines int
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, len(p))
	return len(p), nil
}

func (c *slowConn) SetWriteDeadline(time.Time) error {
	c.deadlines++
	return nil
}

// Guards against a large answer that is cut although its client reads it, slowly.
func TestDeadlineOfALargeAnswerIsRenewed(t *testing.T) {
	raw := &slowConn{}
	c := &conn{Conn: raw}
	if n, err := c.Write(make([]byte, 3*writeBytes+1)); n != 3*writeBytes+1 || err != nil {
		t.Errorf("%d bytes written (%v)", n, err)
	}
	if len(raw.writes) != 4 || raw.deadlines != 4 || slices.Max(raw.writes) > writeBytes {
		t.Errorf("writes %v, %d deadlines", raw.writes, raw.deadlines)
	}
}

// Guards against heads of any size and heads that never end.
func TestHeadsAreLimited(t *testing.T) {
	s := clientlimit.DefaultSettings(1 << 26)
	s.HeadTimeout = 100 * time.Millisecond
	address := serveGuarded(t, s, 1<<20)
	large := dial(t, address)
	// The connection may be closed before all is written.
	_, _ = fmt.Fprintf(large.conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Large: %s", strings.Repeat("x", 30_000))
	if line, err := large.reader.ReadString('\n'); err == nil && !strings.Contains(line, "431") {
		t.Errorf("answer %q", line)
	}
	slow := dial(t, address)
	slow.send("GET / HTTP/1.1\r\n")
	if _, err := slow.reader.ReadByte(); err == nil {
		t.Error("an unfinished head was answered")
	}
}
