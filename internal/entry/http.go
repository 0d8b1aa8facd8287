package entry

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/auth"
	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// Limits of callers' requests.
const (
	MaxTasks       = 140
	maxKeyLength   = 128
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	// lookupTimeout bounds a lookup at another entry.
	lookupTimeout = 5 * time.Second
	// startWait is how long a request waits for a starting entry.
	startWait = 3 * time.Second
	// asyncWait is how long an asynchronous request waits for an early refusal.
	asyncWait = 20 * time.Millisecond
)

// Names of headers.
const (
	headerKey   = "Idempotency-Key"
	problemType = "application/problem+json"
	jsonType    = "application/json"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Class      string        `json:"class"`
	DeadlineMS int64         `json:"deadline_ms"`
	Tasks      []TaskRequest `json:"tasks"`
	// ExpectedMS is the run time of each task that the caller expects. It is a
	// hint only.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
}

// TaskRequest is one task of a JobRequest.
type TaskRequest struct {
	Payload json.RawMessage `json:"payload"`
}

func newServer(h http.Handler, t *tls.Config) *http.Server {
	return &http.Server{
		Handler: h, TLSConfig: t, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}

func (e *Entry) serve() {
	defer e.wg.Done()
	if e.opts.HTTPServerTLS != nil {
		// The listener ends when the entry stops.
		_ = e.server.ServeTLS(e.listener, "", "")
		return
	}
	_ = e.server.Serve(e.listener)
}

func (e *Entry) handler() http.Handler {
	r := mux.NewRouter()
	r.Use(e.closeWhenLeaving)
	r.NotFoundHandler = http.HandlerFunc(unknownPath)
	r.MethodNotAllowedHandler = unknownMethod(r)
	r.HandleFunc("/v1/jobs", e.postJob).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", e.getJob).Methods(http.MethodGet, http.MethodDelete)
	e.adminRoutes(r)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.getReady)
	r.Handle("/metrics", e.operators(config.RoleViewer, func(w http.ResponseWriter, _ *http.Request) { e.writeMetrics(w) }))
	return r
}

func (e *Entry) getReady(w http.ResponseWriter, _ *http.Request) {
	if e.Ready() {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	http.Error(w, "not ready: "+e.notReadyBecause(), http.StatusServiceUnavailable)
}

func (e *Entry) notReadyBecause() string {
	switch {
	case e.leaving.Load():
		return "the entry is leaving"
	case e.configVersion.Load() == 0:
		return "no configuration is known"
	}
	return "the entry is not in the partition map or cannot confirm it"
}

func (e *Entry) postJob(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	e.awaitConfig()
	caller, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	s, err := parseSubmission(w, r, caller)
	if err != nil {
		requestsTotal("bad_request").Inc()
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemBadRequest, "", fault.Text(err), true, 0, 0))
		return
	}
	e.awaitStart(&s)
	if !e.ready.Load() || !e.checkConfig(&s) {
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemNotReady, s.Job.String(), e.notReadyBecause(), false, 0, time.Second))
		return
	}
	reply := e.submit(s, time.Duration(s.deadlineMS)*time.Millisecond)
	if prefersAsync(r) {
		e.answerAsync(w, s, reply)
		return
	}
	select {
	case a := <-reply:
		requestSeconds.UpdateDuration(started)
		requestsTotal(strconv.Itoa(a.Status)).Inc()
		writeAnswer(w, a)
	case <-e.stopped:
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemOutcomeUnknown, s.Job.String(), "the entry has stopped", false, 0, time.Second))
	}
}

// awaitConfig holds a request that arrives before the entry knows its first
// configuration, without which it cannot tell who the caller is.
func (e *Entry) awaitConfig() {
	select {
	case <-e.firstConfig:
	case <-time.After(startWait):
	case <-e.stopped:
	}
}

// awaitStart holds a request that arrives before the entry is ready for the first
// time. An entry that is restarted at its old address gets requests as soon as
// its port is open, and would refuse them only because it is a moment too early.
func (e *Entry) awaitStart(s *submission) {
	begin := time.Now()
	select {
	case <-e.firstReady:
		return
	default:
	}
	wait := min(startWait, time.Duration(s.deadlineMS)*time.Millisecond)
	select {
	case <-e.firstReady:
	case <-time.After(wait):
	case <-e.stopped:
	}
	s.deadlineMS -= time.Since(begin).Milliseconds()
}

func prefersAsync(r *http.Request) bool {
	for _, prefer := range r.Header.Values("Prefer") {
		if strings.Contains(prefer, "respond-async") {
			return true
		}
	}
	return false
}

// answerAsync answers 202, or with the refusal if it comes at once.
func (e *Entry) answerAsync(w http.ResponseWriter, s submission, reply chan *wire.Answer) {
	select {
	case a := <-reply:
		writeAnswer(w, a)
	case <-time.After(asyncWait):
		w.Header().Set("Location", "/v1/jobs/"+s.Job.String())
		w.Header().Set("Preference-Applied", "respond-async")
		w.Header().Set("Content-Type", jsonType)
		w.WriteHeader(http.StatusAccepted)
		body := owner.CompleteBody{ID: s.Job.String(), State: owner.StateRunning, Results: []owner.Result{}}
		_ = json.NewEncoder(w).Encode(body)
	}
}

type submission struct {
	owner.Submission
	deadlineMS int64
}

// submit hands a submission to the core. The answer comes on the channel.
func (e *Entry) submit(s submission, within time.Duration) chan *wire.Answer {
	token := e.nextToken.Add(1)
	reply := make(chan *wire.Answer, 1)
	e.post(func(now time.Duration) {
		e.replies[token] = reply
		s.Deadline = now + within
		e.core.Submit(now, token, s.Submission)
	})
	return reply
}

func (e *Entry) getJob(w http.ResponseWriter, r *http.Request) {
	caller, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	id, err := wire.ParseJobID(mux.Vars(r)["id"])
	if err != nil {
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemBadRequest, "", fault.Text(err), true, 0, 0))
		return
	}
	token := e.nextToken.Add(1)
	reply := make(chan *wire.Answer, 1)
	e.post(func(now time.Duration) {
		e.replies[token] = reply
		e.core.Lookup(now, token, id, caller, r.Method == http.MethodDelete, now+lookupTimeout)
	})
	select {
	case a := <-reply:
		writeAnswer(w, a)
	case <-e.stopped:
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemOutcomeUnknown, id.String(), "the entry has stopped", false, 0, time.Second))
	}
}

// authenticate returns the caller's name, or answers the request.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	caller, err := e.auth.Caller(r)
	if err == nil {
		return caller.Name, true
	}
	e.refuseRequest(w, r, auth.StatusOf(err), err)
	return "", false
}

// refuseRequest answers a request that is not passed to the core, such as one
// whose sender may not make it. It does not say not_run, because the job may
// have been accepted under an earlier configuration.
func (e *Entry) refuseRequest(w http.ResponseWriter, _ *http.Request, status int, err error) {
	requestsTotal(strconv.Itoa(status)).Inc()
	problem := owner.ProblemForbidden
	switch status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", `Bearer realm="damasklb"`)
		problem = owner.ProblemUnauthenticated
	case http.StatusServiceUnavailable:
		problem = owner.ProblemNotReady
	}
	writeAnswer(w, owner.ProblemAnswer(problem, "", fault.Text(err), false, 0, 0))
}

func writeAnswer(w http.ResponseWriter, a *wire.Answer) {
	w.Header().Set("Content-Type", problemType)
	if a.Status == http.StatusOK {
		w.Header().Set("Content-Type", jsonType)
	}
	if a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable {
		seconds := max(1, math.Ceil(float64(a.RetryAfterMS)/1000))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(a.Status)
	// A failed write means that the caller has gone; the answer is kept.
	_, _ = w.Write(a.Body)
}

// parseSubmission checks a request and returns what is submitted.
func parseSubmission(w http.ResponseWriter, r *http.Request, caller string) (submission, error) {
	var s submission
	key := r.Header.Get(headerKey)
	if err := checkKey(key); err != nil {
		return s, err
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return s, fault.TooLarge.New("the body cannot be read or is larger than %d bytes", maxBodyBytes)
	}
	return parseBody(raw, caller, key)
}

func checkKey(key string) error {
	if key == "" || len(key) > maxKeyLength {
		return fault.BadRequest.New("header %s must have 1 to %d characters", headerKey, maxKeyLength)
	}
	for _, c := range []byte(key) {
		if c < '!' || c > '~' {
			return fault.BadRequest.New("header %s must consist of visible ASCII characters", headerKey)
		}
	}
	return nil
}

func parseBody(raw []byte, caller, key string) (submission, error) {
	var s submission
	var body JobRequest
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return s, fault.BadRequest.New("the body is not a valid job: %s", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return s, fault.BadRequest.New("the body has data after the job")
	}
	if err := checkBody(&body); err != nil {
		return s, err
	}
	s.Job = wire.NewJobID(caller, key)
	s.Caller, s.Class, s.deadlineMS = caller, body.Class, body.DeadlineMS
	s.Declared = time.Duration(body.ExpectedMS) * time.Millisecond
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return s, fault.BadRequest.New("the body is not valid JSON: %s", err)
	}
	s.Digest = sha256.Sum256(compact.Bytes())
	for _, t := range body.Tasks {
		s.Payloads = append(s.Payloads, t.Payload)
	}
	return s, nil
}

func checkBody(b *JobRequest) error {
	maxDeadline := owner.DefaultSettings().MaxDeadline.Milliseconds()
	switch {
	case b.Class == "":
		return fault.BadRequest.New("class is missing")
	case b.DeadlineMS < 1 || b.DeadlineMS > maxDeadline:
		return fault.BadRequest.New("deadline_ms is %d, allowed are 1 to %d", b.DeadlineMS, maxDeadline)
	case len(b.Tasks) < 1 || len(b.Tasks) > MaxTasks:
		return fault.BadRequest.New("the job has %d tasks, allowed are 1 to %d", len(b.Tasks), MaxTasks)
	case b.ExpectedMS < 0:
		return fault.BadRequest.New("expected_ms is %d, it must not be negative", b.ExpectedMS)
	}
	for i, t := range b.Tasks {
		if len(t.Payload) == 0 {
			return fault.BadRequest.New("tasks[%d].payload is missing", i)
		}
	}
	return nil
}
