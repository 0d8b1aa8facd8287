package owner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Problem is the cause of a refusal or failure. Its text is the last part of
// the problem type in the answer.
type Problem string

// Problems.
const (
	ProblemBadRequest      Problem = "bad-request"
	ProblemUnauthenticated Problem = "unauthenticated"
	ProblemForbidden       Problem = "class-not-allowed"
	ProblemKeyReused       Problem = "key-reused"
	ProblemImpossible      Problem = "can-never-run"
	ProblemOverQuota       Problem = "over-quota"
	ProblemOverload        Problem = "overload"
	ProblemClientLimit     Problem = "client-limit"
	ProblemNoUpstream      Problem = "no-upstream"
	ProblemQuietHours      Problem = "quiet-hours"
	ProblemEvacuated       Problem = "evacuated"
	ProblemNotReady        Problem = "not-ready"
	ProblemOutcomeUnknown  Problem = "outcome-unknown"
	ProblemTaskFailed      Problem = "task-failed"
	ProblemDeadline        Problem = "deadline-exceeded"
	ProblemCancelled       Problem = "cancelled"
	ProblemNotFound        Problem = "not-found"
)

// ProblemTypePrefix starts the type member of each problem.
const ProblemTypePrefix = "urn:damasklb:problem:"

// States of a job in answers.
const (
	StateComplete = "complete"
	StateFailed   = "failed"
	StateRefused  = "refused"
	StateRunning  = "running"
)

// Result is one task's answer.
type Result struct {
	Index   int             `json:"index"`
	Payload json.RawMessage `json:"payload"`
}

// CompleteBody is the body of an answer with status 200.
type CompleteBody struct {
	ID      string   `json:"id"`
	State   string   `json:"state"`
	Results []Result `json:"results"`
}

// ProblemBody is the body of all other answers (RFC 9457).
type ProblemBody struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	ID           string `json:"id,omitempty"`
	State        string `json:"state"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS uint64 `json:"retry_after_ms,omitempty"`
	// Started is the number of tasks that had been started.
	Started int `json:"started,omitempty"`
}

type problemInfo struct {
	status int
	title  string
	state  string
}

var problems = map[Problem]problemInfo{
	ProblemBadRequest:      {http.StatusBadRequest, "The request is not valid", StateRefused},
	ProblemUnauthenticated: {http.StatusUnauthorized, "The caller is not known", StateRefused},
	ProblemForbidden:       {http.StatusForbidden, "The caller may not use the class", StateRefused},
	ProblemKeyReused:       {http.StatusConflict, "The key was used with another body", StateRefused},
	ProblemImpossible:      {http.StatusUnprocessableEntity, "The job can never run", StateRefused},
	ProblemOverQuota:       {http.StatusTooManyRequests, "The caller is over its quota", StateRefused},
	ProblemOverload:        {http.StatusServiceUnavailable, "The job would not end before its deadline", StateRefused},
	ProblemClientLimit:     {http.StatusServiceUnavailable, "The requests of all callers use the memory for them", StateRefused},
	ProblemNoUpstream:      {http.StatusServiceUnavailable, "No upstream serves the class now", StateRefused},
	ProblemQuietHours:      {http.StatusServiceUnavailable, "All sites of the class are in their quiet hours", StateRefused},
	ProblemEvacuated:       {http.StatusServiceUnavailable, "All data centres that serve the class are being evacuated", StateRefused},
	ProblemNotReady:        {http.StatusServiceUnavailable, "The entry is not ready", StateRefused},
	ProblemOutcomeUnknown:  {http.StatusServiceUnavailable, "It is not known whether the job has run", StateFailed},
	ProblemTaskFailed:      {http.StatusBadGateway, "A task failed", StateFailed},
	ProblemDeadline:        {http.StatusGatewayTimeout, "The deadline passed with tasks started", StateFailed},
	ProblemCancelled:       {http.StatusConflict, "The job was cancelled", StateFailed},
	ProblemNotFound:        {http.StatusNotFound, "No such job is known", StateRefused},
}

// ProblemAnswer returns the answer for a problem of job id, which may be empty.
func ProblemAnswer(p Problem, id, detail string, notRun bool, started int, retryAfter time.Duration) *wire.Answer {
	info := problems[p]
	state := info.state
	if notRun {
		state = StateRefused
	}
	body := ProblemBody{
		Type: ProblemTypePrefix + string(p), Title: info.title, Status: info.status, Detail: detail, ID: id,
		State: state, NotRun: notRun, RetryAfterMS: uint64(retryAfter / time.Millisecond), Started: started,
	}
	return &wire.Answer{Status: info.status, Body: encode(body), NotRun: notRun, RetryAfterMS: body.RetryAfterMS}
}

// withoutNotRun returns the answer for a refusal of which it is uncertain whether
// not_run holds.
func withoutNotRun(a *wire.Answer) *wire.Answer {
	var body ProblemBody
	if err := json.Unmarshal(a.Body, &body); err != nil {
		// Another entry reported a refusal that ProblemAnswer did not make.
		unknown := ProblemAnswer(ProblemOutcomeUnknown, "", "", false, 0, time.Duration(a.RetryAfterMS)*time.Millisecond)
		unknown.Transient = true
		return unknown
	}
	body.State, body.NotRun = StateFailed, false
	return &wire.Answer{Status: a.Status, Body: encode(body), RetryAfterMS: a.RetryAfterMS, Transient: true}
}

// completeAnswer returns nil if a payload is not valid JSON.
func completeAnswer(id wire.JobID, payloads [][]byte) *wire.Answer {
	body := CompleteBody{ID: id.String(), State: StateComplete, Results: make([]Result, len(payloads))}
	for i, payload := range payloads {
		body.Results[i] = Result{Index: i, Payload: payload}
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return &wire.Answer{Status: http.StatusOK, Body: append(text, '\n')}
}

// runningAnswer reports that a job has no final answer yet.
func runningAnswer(id wire.JobID) *wire.Answer {
	return &wire.Answer{Status: http.StatusOK, Body: encode(CompleteBody{ID: id.String(), State: StateRunning, Results: []Result{}})}
}

func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // The bodies have no field that can fail to encode.
	}
	return append(body, '\n')
}
