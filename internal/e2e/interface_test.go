package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/rig"
)

func startSmall(t *testing.T) *rig.Rig {
	return start(t, func(o *rig.Options) { o.Entries, o.Agents, o.Slots = 1, 1, 2 })
}

// Guards against changes of the HTTP interface for callers: status, problem type,
// state, not_run and headers of each kind of answer.
func TestCallersInterface(t *testing.T) {
	r := startSmall(t)
	url := r.URLs()[0]
	ok := jobBody(2, 10*time.Millisecond, 3*time.Second)
	slow := jobBody(1, 700*time.Millisecond, 100*time.Millisecond)
	fails := `{"class":"echo","deadline_ms":3000,"tasks":[{"payload":{"n":1}},{"payload":{"fail":true}}]}`
	for _, c := range []struct {
		name, key, body string
		status          int
		problem         string
		state           string
		notRun          bool
	}{
		{"complete", "ok", ok, 200, "", owner.StateComplete, false},
		{"same again", "ok", ok, 200, "", owner.StateComplete, false},
		{"same with other white space", "ok", strings.ReplaceAll(ok, ",", " ,\n"), 200, "", owner.StateComplete, false},
		{"key with another body", "ok", slow, 409, "key-reused", owner.StateRefused, false},
		{"failed task", "fail", fails, 502, "task-failed", owner.StateFailed, false},
		{"failed task again", "fail", fails, 502, "task-failed", owner.StateFailed, false},
		{"deadline with a task started", "slow", slow, 504, "deadline-exceeded", owner.StateFailed, false},
		{"class that is not configured", "class", strings.Replace(ok, "echo", "none", 1), 400, "bad-request", owner.StateRefused, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := submit(url, c.key, c.body)
			p := a.problem()
			if a.status != c.status || strings.TrimPrefix(p.Type, owner.ProblemTypePrefix) != c.problem || p.State != c.state || p.NotRun != c.notRun {
				t.Errorf("status %d, body %s, error %v", a.status, a.body, a.err)
			}
			checkForm(t, a)
		})
	}
	if first, again := submit(url, "ok", ok), submit(url, "ok", ok); !bytes.Equal(first.body, again.body) {
		t.Errorf("answers to one key differ: %s and %s", first.body, again.body)
	}
	t.Run("overload", func(t *testing.T) { overload(t, url) })
	t.Run("asynchronous", func(t *testing.T) { asynchronous(t, url) })
	t.Run("cancel", func(t *testing.T) { cancelOne(t, url) })
	if duplicates := rig.DuplicateStarts(r.StartCounts()); len(duplicates) > 0 {
		t.Errorf("started more than once: %v", duplicates)
	}
	must(t, r.Upstreams[0].Kill())
	must(t, r.WaitUpstreams(0, 6*time.Second))
	a := submit(url, "nobody", ok)
	if p := a.problem(); a.status != 503 || p.Type != owner.ProblemTypePrefix+"no-upstream" || !p.NotRun {
		t.Errorf("without upstream: status %d, body %s", a.status, a.body)
	}
	checkForm(t, a)
}

// checkForm checks the content type and the JSON of an answer, and Retry-After
// where the status asks for it.
func checkForm(t *testing.T, a answer) {
	t.Helper()
	contentType, want := a.header.Get("Content-Type"), "application/problem+json"
	if a.status < 300 {
		want = "application/json"
	}
	if contentType != want || !json.Valid(a.body) {
		t.Errorf("content type %q, body %s", contentType, a.body)
	}
	if a.status != 429 && a.status != 503 {
		return
	}
	p := a.problem()
	seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
	if err != nil || seconds < 1 || uint64(seconds)*1000 < p.RetryAfterMS {
		t.Errorf("Retry-After %q with retry_after_ms %d", a.header.Get("Retry-After"), p.RetryAfterMS)
	}
}

// overload occupies both slots and then submits a job that cannot get one before
// its deadline.
func overload(t *testing.T, url string) {
	full := make(chan answer, 1)
	go func() { full <- submit(url, "full", jobBody(2, 800*time.Millisecond, 5*time.Second)) }()
	time.Sleep(200 * time.Millisecond)
	a := submit(url, "over", jobBody(1, 10*time.Millisecond, 300*time.Millisecond))
	p := a.problem()
	if a.status != 503 || p.Type != owner.ProblemTypePrefix+"overload" || !p.NotRun || p.RetryAfterMS == 0 {
		t.Errorf("status %d, body %s, error %v", a.status, a.body, a.err)
	}
	checkForm(t, a)
	if a := <-full; a.status != 200 {
		t.Errorf("status %d, body %s, error %v", a.status, a.body, a.err)
	}
}

func asynchronous(t *testing.T, url string) {
	body := jobBody(1, 300*time.Millisecond, 3*time.Second)
	a := send(http.MethodPost, url+"/v1/jobs", "async", body, "Prefer", "respond-async")
	location := a.header.Get("Location")
	if a.status != 202 || location == "" || a.header.Get("Preference-Applied") != "respond-async" {
		t.Fatalf("status %d, headers %v", a.status, a.header)
	}
	if g := send(http.MethodGet, url+location, "", ""); g.status != 200 || g.problem().State != owner.StateRunning {
		t.Errorf("while it runs: status %d, body %s", g.status, g.body)
	}
	if g := send(http.MethodGet, url+location, "", "", "Damasklb-Caller", "another"); g.status != 404 {
		t.Errorf("asked by another caller: status %d, body %s", g.status, g.body)
	}
	complete := submit(url, "async", body)
	g := send(http.MethodGet, url+location, "", "")
	if complete.status != 200 || g.status != 200 || !bytes.Equal(complete.body, g.body) {
		t.Errorf("when it has ended: status %d %s and %d %s", complete.status, complete.body, g.status, g.body)
	}
}

func cancelOne(t *testing.T, url string) {
	a := send(http.MethodPost, url+"/v1/jobs", "cancel", jobBody(1, 500*time.Millisecond, 3*time.Second), "Prefer", "respond-async")
	d := send(http.MethodDelete, url+a.header.Get("Location"), "", "")
	p := d.problem()
	if d.status != 409 || p.Type != owner.ProblemTypePrefix+"cancelled" || p.NotRun || p.Started != 1 {
		t.Errorf("status %d, body %s", d.status, d.body)
	}
	checkForm(t, d)
}

// Guards against invalid requests that are accepted, or that are refused without
// the problem type or without a detail that names the fault.
func TestBadRequests(t *testing.T) {
	r := startSmall(t)
	url := r.URLs()[0]
	good := jobBody(1, 0, time.Second)
	many := jobBody(141, 0, time.Second)
	for _, c := range []struct {
		name, key, body, detail string
	}{
		{"no key", "", good, "Idempotency-Key"},
		{"long key", strings.Repeat("k", 129), good, "Idempotency-Key"},
		{"key with a blank", "a b", good, "Idempotency-Key"},
		{"key beyond ASCII", "ä", good, "Idempotency-Key"},
		{"no body", "k", "", "not a valid job"},
		{"not JSON", "k", "{", "not a valid job"},
		{"not an object", "k", "[]", "not a valid job"},
		{"unknown field", "k", strings.Replace(good, "{", `{"colour":1,`, 1), "colour"},
		{"more than one object", "k", good + good, "data after"},
		{"no class", "k", strings.Replace(good, "echo", "", 1), "class"},
		{"no deadline", "k", strings.Replace(good, "1000", "0", 1), "deadline_ms"},
		{"deadline too long", "k", strings.Replace(good, "1000", "60001", 1), "deadline_ms"},
		{"deadline of another type", "k", strings.Replace(good, "1000", `"1s"`, 1), "deadline_ms"},
		{"no tasks", "k", `{"class":"echo","deadline_ms":1000,"tasks":[]}`, "tasks"},
		{"too many tasks", "k", many, "141"},
		{"no payload", "k", `{"class":"echo","deadline_ms":1000,"tasks":[{}]}`, "tasks[0].payload"},
		{"too large", "k", fmt.Sprintf(`{"class":"echo","deadline_ms":1000,"tasks":[{"payload":"%s"}]}`, strings.Repeat("x", 1<<20)), "1048576"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := submit(url, c.key, c.body)
			p := a.problem()
			if a.status != 400 || p.Type != owner.ProblemTypePrefix+"bad-request" || p.State != owner.StateRefused || !p.NotRun {
				t.Errorf("status %d, body %s, error %v", a.status, a.body, a.err)
			}
			if !strings.Contains(p.Detail, c.detail) {
				t.Errorf("detail %q does not name %q", p.Detail, c.detail)
			}
			checkForm(t, a)
		})
	}
	for _, c := range []struct {
		method, path string
		status       int
		problem      string
	}{
		{http.MethodGet, "/v1/jobs/xyz", 400, "bad-request"},
		{http.MethodGet, "/v1/jobs/" + strings.Repeat("0", 32), 404, "not-found"},
		{http.MethodDelete, "/v1/jobs/" + strings.Repeat("0", 32), 404, "not-found"},
		{http.MethodGet, "/v1/nothing", 404, "not-found"},
		{http.MethodPut, "/v1/jobs", 405, "method-not-allowed"},
	} {
		a := send(c.method, url+c.path, "", "")
		if p := a.problem(); a.status != c.status || p.Type != owner.ProblemTypePrefix+c.problem {
			t.Errorf("%s %s: status %d, body %s", c.method, c.path, a.status, a.body)
		}
		checkForm(t, a)
		if a.status == 405 && a.header.Get("Allow") != "POST" {
			t.Errorf("Allow is %q", a.header.Get("Allow"))
		}
	}
	if a := send(http.MethodPost, url+"/v1/jobs", "k", good, "Damasklb-Caller", ""); a.status != 401 {
		t.Errorf("without a caller: status %d, body %s", a.status, a.body)
	}
	if n := len(r.StartCounts()); n > 0 {
		t.Errorf("%d tasks of invalid requests have started", n)
	}
}
