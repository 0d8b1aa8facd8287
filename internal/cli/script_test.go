package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/status"
)

var update = flag.Bool("update", false, "rewrite the golden scenarios")

// volatile lists the patterns of output that differs from run to run, with the text
// that replaces it.
var volatile = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	{regexp.MustCompile(`\b[0-9a-f]{24}\b`), "CHANGE-ID"},
	{regexp.MustCompile(`http://127\.0\.0\.1:\d+`), "URL"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`after \d+\.\d s`), "after N s"},
	// The widths of columns depend on the length of the host's name.
	{regexp.MustCompile(`(\S) {2,}`), "$1  "},
}

// fakeEntry serves the operator interface. The processes in its report have the
// newest version from the second status request after the version was accepted.
type fakeEntry struct {
	mu     sync.Mutex
	report status.Report
	// behind keeps the agent in the report at its version.
	behind bool
	table  *standin.Memory
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer good" {
		w.WriteHeader(http.StatusForbidden)
		_, _ = w.Write([]byte(`{"title":"role not allowed","detail":"drain needs role operator"}`))
		return
	}
	if r.URL.Path == status.ExplainPath {
		answerExplain(w, r)
		return
	}
	if r.URL.Path == status.DrainPath {
		var request status.DrainRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		_ = json.NewEncoder(w).Encode(status.DrainResponse{Host: request.Host, Role: "agent", State: status.Draining, Running: 3})
		return
	}
	_ = json.NewEncoder(w).Encode(e.report)
	e.readEvacuations(r.Context())
	row, err := e.table.Get(r.Context(), "config/head")
	var head struct{ Version uint64 }
	if err == nil && json.Unmarshal(row.Value, &head) == nil {
		e.report.ConfigVersion = head.Version
		e.report.Entries[0].ConfigVersion = head.Version
		if !e.behind {
			e.report.Agents[0].ConfigVersion = head.Version
		}
	}
}

// readEvacuations puts the requests in the table into the report. While the agent is
// behind, it does not know of them.
func (e *fakeEntry) readEvacuations(ctx context.Context) {
	state, err := configstore.New(e.table).Evacuations(ctx)
	if err != nil {
		return
	}
	e.report.EvacuationVersion, e.report.Entries[0].EvacuationVersion = state.Version, state.Version
	if !e.behind {
		e.report.Agents[0].EvacuationVersion = state.Version
	}
	e.report.Evacuations = nil
	for _, r := range state.Requests {
		e.report.Evacuations = append(e.report.Evacuations, status.Evacuation{
			DataCentre: r.DataCentre, Since: r.Time, Author: r.Author, Reason: r.Reason, KnownForMS: 1500, Running: 5,
		})
	}
}

func newFakeEntry(table *standin.Memory) *fakeEntry {
	return &fakeEntry{table: table, report: status.Report{
		Entry: "entry-1", ConfigVersion: 1, MapVersion: 7,
		Entries:    []status.Entry{{ID: "entry-1", DataCentre: "bdg-a", State: status.Serving, Waiting: 12, Running: 30}},
		Agents:     []status.Agent{{Host: "pane-01", DataCentre: "bdg-a", State: status.Serving, LastMessageAgeMS: 250}},
		Upstreams:  []status.Upstream{{Host: "pane-01", Service: "counter", Site: "bandung", DataCentre: "bdg-a", Classes: []string{"price"}, Slots: 8, Running: 5, State: status.UpstreamInQuietHours}},
		Partitions: []status.Partition{{Number: 1, Owner: "entry-1", Epoch: 7, State: status.PartitionServing}, {Number: 0, Owner: "entry-1", Epoch: 3, State: status.PartitionRecovering}},
	}}
}

// scenario holds the servers of one script.
type scenario struct {
	table *standin.Memory
	entry *fakeEntry
}

// run is the script command "run CODE ARGS...": it runs damasklb in process and
// compares the exit code.
func run(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args[1:], Env{Stdin: strings.NewReader(""), Stdout: &stdout, Stderr: &stderr})
	for _, out := range []struct {
		text string
		to   interface{ Write([]byte) (int, error) }
	}{{stdout.String(), ts.Stdout()}, {stderr.String(), ts.Stderr()}} {
		text := strings.ReplaceAll(out.text, ts.Getenv("WORK"), "WORK")
		if host, err := os.Hostname(); err == nil {
			text = regexp.MustCompile(`\b`+regexp.QuoteMeta(host)+`\b`).ReplaceAllString(text, "HOST")
		}
		for _, v := range volatile {
			text = v.pattern.ReplaceAllString(text, v.text)
		}
		_, err := out.to.Write([]byte(text))
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d; stderr: %s", code, want, stderr.String())
	}
}

// faults is the script command "faults JSON": it sets the table's faults.
func (s *scenario) faults(ts *testscript.TestScript, args []string) {
	var f standin.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &f))
	s.table.SetFaults(f)
}

// damage is the script command "damage KEY": it replaces a row by one that cannot be
// read.
func (s *scenario) damage(ts *testscript.TestScript, args []string) {
	_, err := s.table.Commit(context.Background(), platform.Transaction{Writes: []platform.Write{{Key: args[0], Value: []byte("{")}}})
	ts.Check(err)
}

// Guards against unnoticed changes of the commands' output, JSON and exit codes, and
// against scenarios that operators cannot complete: a mistake in a file, a race, an
// outage, a lost answer, a rollback.
func TestScenarios(t *testing.T) {
	scripts, err := filepath.Glob("testdata/script/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range scripts {
		s := &scenario{table: standin.NewMemory()}
		s.entry = newFakeEntry(s.table)
		table, entry := httptest.NewServer(s.table.Handler()), httptest.NewServer(s.entry)
		hosted, agent := httptest.NewServer(http.HandlerFunc(hostedEntry)), httptest.NewServer(http.HandlerFunc(hostedAgent))
		testscript.Run(t, testscript.Params{
			Files: []string{file}, UpdateScripts: *update,
			Setup: func(e *testscript.Env) error {
				examples, err := filepath.Abs("../../examples")
				e.Setenv("EXAMPLES", examples)
				e.Setenv("TABLE", table.URL)
				e.Setenv("ENTRY", entry.URL)
				e.Setenv("HOSTED_ENTRY", hosted.URL)
				e.Setenv("HOSTED_AGENT", agent.URL)
				e.Defer(table.Close)
				e.Defer(entry.Close)
				e.Defer(hosted.Close)
				e.Defer(agent.Close)
				return err
			},
			Cmds: map[string]func(*testscript.TestScript, bool, []string){
				"run":    run,
				"faults": func(ts *testscript.TestScript, _ bool, args []string) { s.faults(ts, args) },
				"damage": func(ts *testscript.TestScript, _ bool, args []string) { s.damage(ts, args) },
				"behind": func(*testscript.TestScript, bool, []string) { s.entry.behind = true },
			},
		})
	}
}

// Guards against settings files that crash the parser, and against invalid settings
// that are ignored without an error.
func FuzzParseSettings(f *testing.F) {
	for _, s := range []string{`{"timeout": "1s"}`, `{"json": true, "timeout": 5, // x` + "\n}", `{"timeout": ["1s", null]}`, `[`, `{"x": {}, "x": "\u0000"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		fs := flag.NewFlagSet("fuzz", flag.ContinueOnError)
		fs.Duration("timeout", 0, "duration")
		fs.Bool("json", false, "switch")
		set := map[string]int{}
		err := parseSettings(bytes.NewReader(raw), fs, func(name, value string) error {
			set[name]++
			return fs.Set(name, value)
		})
		for name := range set {
			if fs.Lookup(name) == nil {
				t.Fatalf("unknown setting %q was set", name)
			}
		}
		if settings, problems := readSettings(raw); err == nil && (len(problems) > 0 || len(settings) != len(set) && !hasEmptyList(settings)) {
			t.Fatalf("settings %v gave %v without an error", settings, set)
		}
	})
}

func hasEmptyList(settings []setting) bool {
	for _, s := range settings {
		if len(s.values) == 0 {
			return true
		}
	}
	return false
}
