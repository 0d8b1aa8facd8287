package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/cli"
	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/wire"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := rig.FreeAddress()
	must(t, err)
	return address
}

// Guards against changes in dev mode on which evaluations rely: a single line on
// standard output, the payload as the result, tasks that fail on request, and the
// counts of starts.
func TestDevMode(t *testing.T) {
	listen, upstream := freeAddress(t), freeAddress(t)
	out, stdout := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan int, 1)
	var log bytes.Buffer // read only after the command has ended
	go func() {
		code := cli.Run(ctx, []string{"dev", "--listen", listen, "--upstream-listen", upstream},
			cli.Env{Stdin: strings.NewReader(""), Stdout: stdout, Stderr: &log})
		_ = stdout.Close()
		ended <- code
	}()
	lines := bufio.NewReader(out)
	line, err := lines.ReadString('\n')
	if err != nil {
		t.Fatalf("exit code %d, log %s", <-ended, &log)
	}
	if line != "ready http://"+listen+"\n" {
		t.Fatalf("first line %q", line)
	}
	begin := time.Now()
	a := submit("http://"+listen, "k1", `{"class":"echo","deadline_ms":2000,"tasks":[{"payload":{"sleep_ms":200,"n":1}},{"payload":"text"}]}`)
	id := wire.NewJobID("tester", "k1").String()
	want := `{"id":"` + id + `","state":"complete","results":[{"index":0,"payload":{"sleep_ms":200,"n":1}},{"index":1,"payload":"text"}]}`
	if a.status != 200 || strings.TrimSpace(string(a.body)) != want || time.Since(begin) < 200*time.Millisecond {
		t.Errorf("status %d after %s, body %s", a.status, time.Since(begin), a.body)
	}
	if a := submit("http://"+listen, "k2", `{"class":"echo","deadline_ms":2000,"tasks":[{"payload":{"fail":true}}]}`); a.status != 502 {
		t.Errorf("failing task: status %d, body %s", a.status, a.body)
	}
	var starts map[string]int
	s := send("GET", "http://"+upstream+"/starts", "", "")
	if err := json.Unmarshal(s.body, &starts); err != nil || len(starts) != 3 || starts[id+"/0"] != 1 || starts[id+"/1"] != 1 {
		t.Errorf("starts %s, error %v", s.body, err)
	}
	cancel()
	if rest, _ := io.ReadAll(lines); len(rest) > 0 {
		t.Errorf("more than one line on standard output: %q", rest)
	}
	if code := <-ended; code != cli.ExitDone {
		t.Errorf("exit code %d", code)
	}
}
