package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a request that is accepted in part: invalid input must be refused
// with an error that names the field.
func TestParseBodyRefusesBadInput(t *testing.T) {
	for body, want := range map[string]string{
		``:                                      "not a valid job",
		`[]`:                                    "not a valid job",
		`{"class":"c","tasks":[{"payload":1}]}`: "deadline_ms",
		`{"deadline_ms":1,"tasks":[{"payload":1}]}`:                                                               "class",
		`{"class":"c","deadline_ms":1,"tasks":[]}`:                                                                "tasks",
		`{"class":"c","deadline_ms":1,"tasks":[{}]}`:                                                              "tasks[0].payload",
		`{"class":"c","deadline_ms":-1,"tasks":[{"payload":1}]}`:                                                  "deadline_ms",
		`{"class":"c","deadline_ms":1e9,"tasks":[{"payload":1}]}`:                                                 "deadline_ms",
		`{"class":"c","deadline_ms":1,"tasks":[{"payload":1}]} x`:                                                 "after the job",
		`{"class":"c","deadline_ms":1,"tasks":[{"payload":1}],"colour":1}`:                                        "colour",
		`{"class":"c","deadline_ms":1,"tasks":[` + strings.Repeat(`{"payload":1},`, MaxTasks) + `{"payload":1}]}`: "tasks",
	} {
		_, err := parseBody([]byte(body), "caller", "key")
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("body %.60s: error %v, want one that names %q", body, err, want)
		}
	}
}

// Guards against two encodings of one job that differ only in whitespace but get
// different digests, and against different jobs that get the same digest.
func TestDigestIgnoresWhitespaceOnly(t *testing.T) {
	parse := func(body string) submission {
		s, err := parseBody([]byte(body), "caller", "key")
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	a := parse(`{"class":"c","deadline_ms":1,"tasks":[{"payload":{"x":1}}]}`)
	b := parse("{\"class\": \"c\",\n\"deadline_ms\": 1, \"tasks\": [{\"payload\": {\"x\": 1}}]}")
	c := parse(`{"class":"c","deadline_ms":1,"tasks":[{"payload":{"x":2}}]}`)
	if a.Digest != b.Digest || a.Digest == c.Digest || a.Job != b.Job {
		t.Error("digests do not depend on content alone")
	}
}

// Guards against a body that makes the parser panic, and one that is accepted
// although it lacks a class, a deadline or tasks, or has too many tasks.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"class":"c","deadline_ms":1,"tasks":[{"payload":1}]}`))
	f.Add([]byte(`{"class":"c","deadline_ms":1,"tasks":[{"payload":null},{"payload":[]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := parseBody(raw, "caller", "key")
		if err == nil && (s.Class == "" || len(s.Payloads) == 0 || len(s.Payloads) > MaxTasks || s.deadlineMS < 1) {
			t.Errorf("accepted %q as %+v", raw, s)
		}
	})
}

// Guards against a connection that is cut because another entry sent an answer with a
// status that HTTP does not have.
func TestAnswerWithMalformedStatusIsAnswered(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 101, 204, 1000} {
		w := httptest.NewRecorder()
		writeAnswer(w, &wire.Answer{Status: status, Body: []byte("{}"), NotRun: true})
		if w.Code != http.StatusServiceUnavailable || strings.Contains(w.Body.String(), `"not_run":true`) {
			t.Errorf("status %d is answered with %d: %s", status, w.Code, w.Body)
		}
	}
}
