package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

func example(t testing.TB, name string) *Config {
	t.Helper()
	c, problems := Load(filepath.Join("..", "..", "examples", name))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return c
}

// Guards against example configurations that the program refuses, overlays that
// are not merged, and encodings that lose a setting.
func TestExamples(t *testing.T) {
	for _, name := range []string{"tirtamaja", "kannuliit"} {
		c := example(t, name)
		content, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(content)
		if err != nil || !reflect.DeepEqual(c, decoded) {
			t.Errorf("%s: decoded %+v, %v; want %+v", name, decoded, err, c)
		}
	}
	kunda := example(t, "kannuliit").Sites["kunda"]
	if len(kunda.QuietHours) != 2 || kunda.TimeZone != "Europe/Tallinn" {
		t.Errorf("the overlay of kunda is not merged: %+v", kunda)
	}
	if l := example(t, "tirtamaja").Limits; l.ResubmissionWindow != Duration(2*time.Minute) || l.MaxDeadline != Duration(10*time.Second) {
		t.Errorf("limits are not merged over the defaults: %+v", l)
	}
	if _, err := Decode(mustEncode(t, Default())); err != nil {
		t.Errorf("the default configuration breaks its own rules: %v", err)
	}
}

func mustEncode(t testing.TB, c *Config) []byte {
	t.Helper()
	content, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Guards against problems that are not found, that hide one another, that have
// the wrong line, or that print a token. Each case in testdata holds files, each
// after a line "-- name --", and the problems that one call of Load returns.
func TestProblems(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "problems"), func(t *testing.T, d *datadriven.TestData) string {
		dir := t.TempDir()
		var name string
		var content strings.Builder
		flush := func() {
			if name == "" {
				return
			}
			path := filepath.Join(dir, name)
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(content.String()), 0o644); err != nil {
				t.Fatal(err)
			}
			content.Reset()
		}
		for line := range strings.Lines(d.Input + "\n") {
			if n, ok := strings.CutPrefix(line, "-- "); ok {
				flush()
				name = strings.TrimSuffix(n, " --\n")
				continue
			}
			content.WriteString(line)
		}
		flush()
		_, problems := Load(dir)
		var out strings.Builder
		for _, p := range problems {
			fmt.Fprintln(&out, strings.ReplaceAll(p.String(), dir, "DIR"))
		}
		return out.String()
	})
}

// Guards against a difference that is not shown to the operator, and against
// complete token hashes in the audit trail.
func TestDiff(t *testing.T) {
	old, changed := example(t, "tirtamaja"), example(t, "tirtamaja")
	if changes := Diff(old, changed); len(changes) != 0 {
		t.Errorf("equal configurations differ: %v", changes)
	}
	delete(changed.Sites, "cimahi")
	changed.Callers["price-list"] = Caller{Weight: 2, Tokens: []TokenHash{HashToken("x")}}
	text := fmt.Sprint(Diff(old, changed))
	for _, want := range []string{
		`~ callers.price-list.weight: 0.5 -> 2`, `- callers.price-list.max_slots: 8`,
		`+ callers.price-list.tokens[0]: "sha256:2d711642..."`, `- sites.cimahi.data_centre: "cmh-c"`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("difference %s lacks %s", text, want)
		}
	}
}

// Guards against a dispatch policy that gets other weights, limits or distances
// than those in the configuration.
func TestDispatchSettings(t *testing.T) {
	s := example(t, "kannuliit").DispatchSettings("aseri-hall", 0)
	if s.Owners != 1 || s.Distance["kunda-hall"] != 1500*time.Microsecond || s.Distance["aseri-hall"] != 0 {
		t.Errorf("owners and distances: %+v", s)
	}
	if s.Callers["works-kunda"].MaxQueued != 50000 || len(s.Classes["batch-certificate"].Sites) != 2 {
		t.Errorf("callers and classes: %+v", s)
	}
}

// Guards against configuration files that crash the parser, and against accepted
// configurations that change when they are encoded and decoded.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"tirtamaja/base.jsonc", "kannuliit/base.jsonc", "kannuliit/sites/kunda.jsonc"} {
		content, err := os.ReadFile(filepath.Join("..", "..", "examples", path))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	for _, s := range []string{`{`, `{"sites":{"a":null}}`, `{"classes":{"x":{"expected":"1s","expected":2}}}`, `[/**/]`, "{\"a\":\"\\u0000\"}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		base := Source{Name: BaseFile, Content: content}
		overlay := Source{Name: "sites/kunda.jsonc", Site: "kunda", Content: content}
		c, problems := Parse([]Source{base})
		if (c == nil) == (len(problems) == 0) {
			t.Fatalf("configuration %v with problems %v", c, problems)
		}
		Parse([]Source{base, overlay})
		if c == nil {
			return
		}
		encoded := mustEncode(t, c)
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("accepted, but not decoded: %v", err)
		}
		if !bytes.Equal(encoded, mustEncode(t, decoded)) {
			t.Fatalf("the encoding is not canonical: %s", encoded)
		}
	})
}
