package leased

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
)

// nested returns a value with that many levels of arrays.
func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// malformedValues are values that no program writes to any table.
var malformedValues = []string{
	"", "null", "7", `"x"`, "[]", "{", "\xff\xfe", nested(20_000), `{"address":` + nested(20_000) + `}`, strings.Repeat("x", 64<<10), `"` + strings.Repeat("x", 64<<10) + `"`,
}

// malformedHostValues are values of the hosts table that name no address to dial.
var malformedHostValues = append(slices.Clone(malformedValues),
	`{}`, `{"address":""}`, `{"address":null}`, `{"address":7}`, `{"address":"10.0.0.1"}`, `{"address":"10.0.0.1:0"}`,
	`{"address":"10.0.0.1:-1"}`, `{"address":"10.0.0.1:65536"}`, `{"address":"10.0.0.1:99999999999999999999"}`,
	`{"address":"10.0.0.1:x"}`, `{"address":"0.0.0.0:80"}`, `{"address":"224.0.0.1:80"}`, `{"address":"[::]:80"}`, `{"address":"nowhere:80"}`,
	`{"address":"10.0.0.999:80"}`, `{"address":"10.0.0.1:80","data_centre":7}`, `{"address":"10.0.0.1:80","data_centre":"`+strings.Repeat("d", 64<<10)+`"}`,
	`{"address":"`+strings.Repeat("1", 64<<10)+`:80"}`,
)

func change(key, value string, version uint64) platform.Change {
	return platform.Change{Row: platform.Row{Key: key, Value: []byte(value), Version: version}}
}

// quietAgent returns an agent whose log is collected, and which dials nobody.
func quietAgent(t *testing.T, log *logBuffer) *Agent {
	t.Helper()
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"},
		Runner:  runner.DefaultSettings(1300*time.Millisecond, time.Second), Store: &feed{},
		Upstream: &instantUpstream{}, Token: 1, Log: slog.New(slog.NewTextHandler(log, nil)),
	})
	t.Cleanup(a.Stop)
	eventually(t, "the table is not read", func() bool { return log.contains("dependency=store-hosts") })
	return a
}

func plannedHosts(a *Agent) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.plan.Hosts()
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// Guards against malformed host rows that take the places of links to entries, remove an entry that
// is there, or are logged with each read.
func TestMalformedHostRowsTakeNoLinks(t *testing.T) {
	var log logBuffer
	a := quietAgent(t, &log)
	const sound = `{"address":"127.0.0.1:1","data_centre":"dc","incarnation":"2"}`
	for i, value := range malformedHostValues {
		invalid := change(fmt.Sprintf("hosts/odd%d,", i), value, uint64(i+2))
		for _, all := range []bool{true, true, false} {
			a.hostsChanged(tableUpdate{rows: []platform.Change{change("hosts/e1", sound, 1), invalid}, all: all})
		}
		if hosts := plannedHosts(a); !slices.Equal(hosts, []string{"e1"}) {
			t.Errorf("%.60q: entries %v", value, hosts)
		}
		if n := log.count("key=" + invalid.Key); n != 1 {
			t.Errorf("%.60q: logged %d times", value, n)
		}
	}
	before := a.malformedHosts.counter.Get()
	a.hostsChanged(tableUpdate{rows: []platform.Change{change("hosts/e1", "null", 100)}})
	a.hostsChanged(tableUpdate{rows: []platform.Change{change("hosts/e1", "null", 101)}})
	if got := plannedHosts(a); !slices.Equal(got, []string{"e1"}) || log.count("key=hosts/e1") != 1 || a.malformedHosts.counter.Get() != before+2 {
		t.Errorf("entry whose row has been replaced: entries %v, %d log lines", got, log.count("key=hosts/e1"))
	}
	for _, key := range []string{"hosts/", "hosts", "other/e2", "hosts/" + strings.Repeat("h", 64<<10)} {
		a.hostsChanged(tableUpdate{rows: []platform.Change{change(key, sound, 102)}})
	}
	if got := plannedHosts(a); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("entries %d after invalid keys", len(got))
	}
	a.hostsChanged(tableUpdate{rows: []platform.Change{change("hosts/odd3,", sound, 103)}})
	if got := plannedHosts(a); !slices.Equal(got, []string{"e1", "odd3,"}) {
		t.Errorf("entries %v after a row has become valid", got)
	}
}

// Guards against more log lines and memory with each malformed row of a table.
func TestMalformedRowsAreBounded(t *testing.T) {
	var text bytes.Buffer
	o := newMalformedRows("test", slog.New(slog.NewTextHandler(&text, nil)))
	for i := range 3 * maxMalformedRows {
		o.found(fmt.Sprintf("test/%d", i), 1, strings.Repeat("r", 10))
	}
	if n := strings.Count(text.String(), "invalid row"); n != maxMalformedRows || len(o.versions) != maxMalformedRows {
		t.Errorf("%d log lines and %d rows remembered, want %d", n, len(o.versions), maxMalformedRows)
	}
	o.retainUpdate(tableUpdate{all: true, rows: []platform.Change{change("test/3", "", 1)}})
	if len(o.versions) != 1 {
		t.Errorf("%d rows remembered, want the one that is left", len(o.versions))
	}
}

// FuzzHostRow checks that a host row gets an error or has an address that can be dialled.
func FuzzHostRow(f *testing.F) {
	for _, value := range malformedHostValues {
		if len(value) < 1<<10 {
			f.Add([]byte(value))
		}
	}
	f.Add([]byte(`{"address":"[fe80::1]:80","data_centre":"dc","incarnation":"2"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeHostRow(value)
		if err == nil && (len(r.Address) < 4 || strings.HasSuffix(r.Address, ":0") || strings.HasPrefix(r.Address, "0.0.0.0:")) {
			t.Fatalf("address %q", r.Address)
		}
	})
}
