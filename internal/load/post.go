package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/damasklb/damasklb/internal/owner"
)

// Kinds of connection errors.
const (
	// ConnectionRefused: no connection was established, so nothing was sent.
	ConnectionRefused = "connection-refused"
	// TimedOut: no answer arrived within the deadline and answerGrace.
	TimedOut = "timeout"
	// ConnectionCut: the connection ended while the request was being sent or later.
	ConnectionCut = "connection-cut"
)

// Outcome is the result of sending one copy of a job.
type Outcome struct {
	// Status is the HTTP status, or 0 if there was no answer.
	Status int
	// Problem is the problem type without its common prefix.
	Problem    string
	State      string
	NotRun     bool
	RetryAfter time.Duration
	// Wrong describes the error in a complete answer, or says that the body of another
	// answer is not a problem. It is empty for a correct answer.
	Wrong string
	// Err is the kind of connection error. Detail is the text of that error, or the
	// detail of the problem.
	Err    string
	Detail string
	// Took is the response time, from the intended send time.
	Took time.Duration
	// At is the time of the answer or the error.
	At time.Time
	// Retries counts the earlier attempts that were refused with not_run, Moves those
	// whose connection was refused.
	Retries int
	Moves   int

	// digest is the hash of the answer, to compare the answers to several copies.
	digest string
}

// post sends the job once. It clears GetBody, because net/http would otherwise retry
// a request with an Idempotency-Key by itself on a broken connection.
func (g *generator) post(ctx context.Context, j *job, url string) Outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/jobs", bytes.NewReader(j.body))
	if err != nil {
		return Outcome{Err: ConnectionRefused, Detail: err.Error()}
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", j.key)
	if g.opts.Caller != "" {
		req.Header.Set("Damasklb-Caller", g.opts.Caller)
	}
	if g.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+g.opts.Token)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return Outcome{Err: errorKind(err), Detail: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Err: errorKind(err), Detail: err.Error()}
	}
	return classify(j, resp.StatusCode, body)
}

func errorKind(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	case os.IsTimeout(err):
		return TimedOut
	}
	return ConnectionCut
}

// classify returns the outcome of a job that was answered.
func classify(j *job, status int, body []byte) Outcome {
	out := Outcome{Status: status, digest: digest(body)}
	if status == http.StatusOK {
		out.State = owner.StateComplete
		out.Wrong = checkAnswer(j, body)
		return out
	}
	var p owner.ProblemBody
	if err := json.Unmarshal(body, &p); err != nil {
		out.Wrong = "the answer is not a problem body"
		return out
	}
	out.Problem = strings.TrimPrefix(p.Type, owner.ProblemTypePrefix)
	out.State, out.NotRun, out.Detail = p.State, p.NotRun, p.Detail
	out.RetryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
	return out
}

// checkAnswer returns the error in a complete answer, or "" if it is correct: the
// results of all tasks must be present, in order, each with the payload that was sent
// with its task.
func checkAnswer(j *job, body []byte) string {
	var answer owner.CompleteBody
	if err := json.Unmarshal(body, &answer); err != nil {
		return "the answer is not valid JSON"
	}
	switch {
	case answer.State != owner.StateComplete:
		return "the state is " + answer.State
	case answer.ID != j.id:
		return "the id is that of another job"
	case len(answer.Results) != len(j.payloads):
		return "the number of results is wrong"
	}
	for i, result := range answer.Results {
		if result.Index != i || !bytes.Equal(result.Payload, j.payloads[i]) {
			return "a result is missing, out of order or that of another task"
		}
	}
	return ""
}
