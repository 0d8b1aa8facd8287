package entry

import (
	"net/http"
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

// getExplanation answers an operator's question where a job would start now, or why it
// waits. It starts nothing and changes no later decision.
func (e *Entry) getExplanation(w http.ResponseWriter, r *http.Request) {
	q, err := explain.Parse(r.URL.Query(), MaxTasks, owner.DefaultSettings().MaxDeadline)
	if err != nil {
		explain.WriteError(w, err)
		return
	}
	ask, err := e.question(q)
	if err != nil {
		explain.WriteError(w, err)
		return
	}
	type answer struct {
		body status.DispatchExplanation
		err  error
	}
	reply := make(chan answer, 1)
	e.post(func(now time.Duration) {
		body, err := ask(now)
		reply <- answer{body, err}
	})
	select {
	case a := <-reply:
		if a.err != nil {
			explain.WriteError(w, a.err)
			return
		}
		explain.WriteJSON(w, http.StatusOK, a.body)
	case <-time.After(adminTimeout):
		explain.WriteError(w, fault.Unavailable.New("the entry is too busy"))
	case <-e.stopped:
		explain.WriteError(w, fault.Unavailable.New("the entry has stopped"))
	}
}

// question returns the call of the core that answers a question.
func (e *Entry) question(q explain.Query) (func(now time.Duration) (status.DispatchExplanation, error), error) {
	if q.Job != "" {
		id, err := wire.ParseJobID(q.Job)
		if err != nil {
			return nil, fault.BadField.New("job: %s", fault.Text(err)).WithProperty(fault.Field, "job")
		}
		return func(now time.Duration) (status.DispatchExplanation, error) {
			return e.core.ExplainJob(now, id, q.Candidates)
		}, nil
	}
	s := submission{Submission: owner.Submission{Caller: q.Caller, Class: q.Class, Declared: q.Declared, Payloads: make([][]byte, q.Tasks)}}
	s.deadlineMS = q.Deadline.Milliseconds()
	if !e.checkAgainstConfig(&s) {
		return nil, fault.Unavailable.New("the entry has no configuration yet")
	}
	if _, known := e.config().Classes[q.Class]; !known {
		return nil, fault.UnknownQueue.New("class: %q is not in version %d of the configuration", q.Class, e.configVersion.Load()).WithProperty(fault.Field, "class")
	}
	return func(now time.Duration) (status.DispatchExplanation, error) {
		s.Deadline = now + q.Deadline
		return e.core.Explain(now, s.Submission, q.Tasks, q.Candidates)
	}, nil
}
