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
	"github.com/damasklb/damasklb/internal/callerconn"
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
	// maxStartWait bounds the wait of a request for a starting entry.
	maxStartWait = 3 * time.Second
	// asyncWait is how long an asynchronous request waits for an early refusal.
	asyncWait = 20 * time.Millisecond
)

// Header names and content types.
const (
	headerIdempotencyKey = "Idempotency-Key"
	problemContentType   = "application/problem+json"
	jsonContentType      = "application/json"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Class      string        `json:"class"`
	DeadlineMS int64         `json:"deadline_ms"`
	Tasks      []TaskRequest `json:"tasks"`
	// ExpectedMS is the run time that the caller expects of each task. It is a
	// hint only.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
}

// TaskRequest is one task of a JobRequest.
type TaskRequest struct {
	Payload json.RawMessage `json:"payload"`
}

func newServer(h http.Handler, t *tls.Config) *http.Server {
	// The limits of clients count one request at a time on each connection.
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: h, TLSConfig: t, Protocols: &protocols, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}

func (e *Entry) serve() {
	defer e.wg.Done()
	if e.opts.HTTPServerTLS != nil {
		// ServeTLS returns an error when the entry closes the listener.
		_ = e.server.ServeTLS(e.listener, "", "")
		return
	}
	_ = e.server.Serve(e.listener)
}

func (e *Entry) handler() http.Handler {
	r := mux.NewRouter()
	r.Use(e.closeWhenDraining)
	r.NotFoundHandler = http.HandlerFunc(answerUnknownPath)
	r.MethodNotAllowedHandler = answerUnknownMethod(r)
	r.HandleFunc("/v1/jobs", e.postJob).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", e.getJob).Methods(http.MethodGet, http.MethodDelete)
	e.adminRoutes(r)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.getReady)
	r.Handle("/metrics", e.requireOperator(config.RoleViewer, func(w http.ResponseWriter, _ *http.Request) { e.writeMetrics(w) }))
	return r
}

func (e *Entry) getReady(w http.ResponseWriter, _ *http.Request) {
	if e.Ready() {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	http.Error(w, "not ready: "+e.notReadyReason(), http.StatusServiceUnavailable)
}

func (e *Entry) notReadyReason() string {
	switch {
	case e.draining.Load():
		return "the entry is leaving"
	case e.configVersion.Load() == 0:
		return "no configuration is known"
	}
	return "the entry is not in the partition map or cannot confirm it"
}

func (e *Entry) postJob(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	e.waitForConfig()
	caller, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	s, err := parseSubmission(r, caller)
	if err == nil {
		err = hold(r, s)
	}
	if err != nil {
		refuseUnread(w, err)
		return
	}
	e.waitForReady(&s)
	if !e.ready.Load() || !e.checkAgainstConfig(&s) {
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemNotReady, s.Job.String(), e.notReadyReason(), false, 0, time.Second))
		return
	}
	reply := e.submit(s, time.Duration(s.deadlineMS)*time.Millisecond)
	if prefersAsync(r) {
		e.answerAsync(w, r, s, reply)
		return
	}
	select {
	case a := <-reply:
		requestDuration.UpdateDuration(received)
		requestsTotal(strconv.Itoa(a.Status)).Inc()
		writeAnswer(w, a)
	case <-e.stopped:
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemOutcomeUnknown, s.Job.String(), "the entry has stopped", false, 0, time.Second))
	}
}

// waitForConfig delays a request that arrives before the entry has its first
// configuration, which it needs to authenticate the caller.
func (e *Entry) waitForConfig() {
	select {
	case <-e.firstConfig:
	case <-time.After(maxStartWait):
	case <-e.stopped:
	}
}

// waitForReady delays a request that arrives before the entry is ready for the
// first time, and subtracts the wait from its deadline. An entry that is restarted
// at its old address receives requests as soon as its port is open, and would
// otherwise refuse them although it is ready a moment later.
func (e *Entry) waitForReady(s *submission) {
	start := time.Now()
	select {
	case <-e.firstReady:
		return
	default:
	}
	wait := min(maxStartWait, time.Duration(s.deadlineMS)*time.Millisecond)
	select {
	case <-e.firstReady:
	case <-time.After(wait):
	case <-e.stopped:
	}
	s.deadlineMS -= time.Since(start).Milliseconds()
}

func prefersAsync(r *http.Request) bool {
	for _, prefer := range r.Header.Values("Prefer") {
		if strings.Contains(prefer, "respond-async") {
			return true
		}
	}
	return false
}

// answerAsync answers 202 Accepted, or sends the answer, such as an early refusal,
// if it comes within asyncWait.
func (e *Entry) answerAsync(w http.ResponseWriter, r *http.Request, s submission, reply chan *wire.Answer) {
	select {
	case a := <-reply:
		writeAnswer(w, a)
	case <-time.After(asyncWait):
		e.releaseAtEnd(r, reply)
		w.Header().Set("Location", "/v1/jobs/"+s.Job.String())
		w.Header().Set("Preference-Applied", "respond-async")
		w.Header().Set("Content-Type", jsonContentType)
		w.WriteHeader(http.StatusAccepted)
		body := owner.CompleteBody{ID: s.Job.String(), State: owner.StateRunning, Results: []owner.Result{}}
		_ = json.NewEncoder(w).Encode(body)
	}
}

type submission struct {
	owner.Submission
	deadlineMS int64
}

// submit passes a submission to the core and returns the channel on which the
// answer is sent.
func (e *Entry) submit(s submission, within time.Duration) chan *wire.Answer {
	token := e.nextToken.Add(1)
	reply := make(chan *wire.Answer, 1)
	e.post(func(now time.Duration) {
		e.pendingReplies[token] = reply
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
		e.pendingReplies[token] = reply
		e.core.Lookup(now, token, id, caller, r.Method == http.MethodDelete, now+lookupTimeout)
	})
	select {
	case a := <-reply:
		writeAnswer(w, a)
	case <-e.stopped:
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemOutcomeUnknown, id.String(), "the entry has stopped", false, 0, time.Second))
	}
}

// authenticate returns the caller's name. If there is none, it answers the request
// and returns false.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	caller, err := e.auth.AuthenticateCaller(r)
	if err == nil {
		return caller.Name, true
	}
	e.refuseRequest(w, r, auth.HTTPStatus(err), err)
	return "", false
}

// refuseRequest answers a request that is not passed to the core, such as one
// whose sender lacks the permission. It does not set not_run, because the job may
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

// writeAnswer writes an answer, which may come from another entry. net/http cuts the
// connection on a status that it does not allow.
func writeAnswer(w http.ResponseWriter, a *wire.Answer) {
	if http.StatusText(a.Status) == "" || a.Status != http.StatusOK && a.Status < http.StatusBadRequest {
		a = owner.ProblemAnswer(owner.ProblemOutcomeUnknown, "", "the owner's answer is not valid", false, 0, time.Second)
	}
	w.Header().Set("Content-Type", problemContentType)
	if a.Status == http.StatusOK {
		w.Header().Set("Content-Type", jsonContentType)
	}
	if a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable {
		seconds := max(1, math.Ceil(float64(a.RetryAfterMS)/1000))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(a.Status)
	// A failed write means that the caller has disconnected; the answer stays stored.
	_, _ = w.Write(a.Body)
}

// parseSubmission validates a request's header and body.
func parseSubmission(r *http.Request, caller string) (s submission, err error) {
	key := r.Header.Get(headerIdempotencyKey)
	if err := checkKey(key); err != nil {
		return s, err
	}
	body, err := callerconn.ReadBody(r, maxBodyBytes)
	if err != nil {
		return s, err
	}
	err = body.Decode(func(raw []byte) (err error) {
		s, err = parseBody(raw, caller, key)
		return err
	})
	return s, err
}

func checkKey(key string) error {
	if key == "" || len(key) > maxKeyLength {
		return fault.BadRequest.New("header %s must have 1 to %d characters", headerIdempotencyKey, maxKeyLength)
	}
	for _, c := range []byte(key) {
		if c < '!' || c > '~' {
			return fault.BadRequest.New("header %s must consist of visible ASCII characters", headerIdempotencyKey)
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
