package cli

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/callerconn"
	"github.com/damasklb/damasklb/internal/clientlimit"
)

// Guards against a process that ends before its last answers are sent: their callers
// would see a broken connection.
func TestCloseWaitsForAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	entered := make(chan struct{})
	closeAll, err := serveAll(t.Context(), []endpoint{{address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}), 10}}, clientlimit.DefaultSettings(1<<26), func() callerconn.Limits { return callerconn.Limits{} }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-entered
	closeAll()
	if got := <-answer; got != "whole" {
		t.Errorf("answer %q", got)
	}
}

// Guards against commands that start although their settings could not be read, and
// against error messages without the file or line.
func TestPlatformCommandLine(t *testing.T) {
	t.Setenv("DAMASKLB_SETTINGS", "")
	bad := filepath.Join(t.TempDir(), "bad.conf")
	if err := os.WriteFile(bad, []byte("node_name=a\nnonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"platform"}, ExitUsage, "a command is needed"},
		{[]string{"platform", "entry"}, ExitUsage, "--file or DAMASKLB_SETTINGS is needed"},
		{[]string{"platform", "agent", "--file", bad, "more"}, ExitUsage, `argument "more" is not expected`},
		{[]string{"platform", "check", "--file", "none.conf"}, ExitFailed, "none.conf"},
		{[]string{"platform", "check", "--file", bad}, ExitFailed, "line 2"},
		{[]string{"platform", "entry", "--help"}, ExitDone, "Example"},
	} {
		var out bytes.Buffer
		code := Run(context.Background(), c.args, Env{Stdout: &out, Stderr: &out})
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: exit code %d, want %d; output %s", c.args, code, c.code, out.String())
		}
	}
}

// Guards against programs that hang because nobody reads their log.
func TestLogThatNobodyReadsDelaysNothing(t *testing.T) {
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	reader, writer := io.Pipe()
	log, flush := newLogger(writer)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 100 {
			log.Info("draining")
			slog.Error("invariant violated")
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Error("the program waits for the reader of its log")
	}
	reader.Close()
	flush()
}
