package leased

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

// Pages returns the handler of the entry's pages for operators. rest answers all other paths.
func (e *Entry) Pages(rest http.Handler) http.Handler {
	r := pages(rest)
	r.HandleFunc(status.PlatformStatusPath, func(w http.ResponseWriter, request *http.Request) {
		if err := e.questions.wait(request.Context()); err != nil {
			answerPage(w, status.PlatformStatusPath, nil, err)
			return
		}
		answerPage(w, status.PlatformStatusPath, e.Status(), nil)
	}).Methods(http.MethodGet)
	r.HandleFunc(status.PlatformExplainPath, func(w http.ResponseWriter, request *http.Request) {
		q, err := explain.ParseHosted(request.URL.Query())
		if err == nil {
			err = e.questions.wait(request.Context())
		}
		if err != nil {
			answerPage(w, status.PlatformExplainPath, nil, err)
			return
		}
		x, err := e.Explain(q)
		answerPage(w, status.PlatformExplainPath, x, err)
	}).Methods(http.MethodGet)
	return r
}

// Pages returns the handler of the agent's pages for operators. rest answers all other paths.
func (a *Agent) Pages(rest http.Handler) http.Handler {
	r := pages(rest)
	r.HandleFunc(status.PlatformStatusPath, func(w http.ResponseWriter, _ *http.Request) {
		answerPage(w, status.PlatformStatusPath, a.Status(), nil)
	}).Methods(http.MethodGet)
	return r
}

// pages returns a router whose paths that have no page are answered by rest.
func pages(rest http.Handler) *mux.Router {
	r := mux.NewRouter()
	r.NotFoundHandler = rest
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", http.MethodGet)
		w.WriteHeader(http.StatusMethodNotAllowed)
	})
	return r
}

const (
	// questionInterval is the time between two questions that are answered in the long run,
	// questionBurst the number that are answered at once. A question takes up to a
	// millisecond of a core, and the smallest entries have a seventh of one.
	questionInterval = 100 * time.Millisecond
	questionBurst    = 10
	// maxQuestionDelay bounds the delay of a question. Those above it are refused.
	maxQuestionDelay = 2 * time.Second
)

// questionGate limits the rate of questions, so that a program that polls the pages takes no
// noticeable part of the entry's processor time.
type questionGate struct {
	mu   sync.Mutex // guards next
	next time.Time
}

// wait delays a question until it may be answered.
func (g *questionGate) wait(ctx context.Context) error {
	delay, ok := g.reserve(time.Now())
	if !ok {
		return fault.Unavailable.New("more questions than one each %v; ask again later", questionInterval)
	}
	if delay > 0 {
		sleep(ctx, delay)
	}
	return nil
}

// reserve returns the delay of a question that arrives now, or false if it is refused.
func (g *questionGate) reserve(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if earliest := now.Add(-(questionBurst - 1) * questionInterval); g.next.Before(earliest) {
		g.next = earliest
	}
	delay := g.next.Sub(now)
	if delay > maxQuestionDelay {
		return 0, false
	}
	g.next = g.next.Add(questionInterval)
	return max(delay, 0), true
}

func answerPage(w http.ResponseWriter, page string, answer any, err error) {
	if err != nil {
		queryCounter(page, "refused").Inc()
		explain.WriteError(w, err)
		return
	}
	queryCounter(page, "answered").Inc()
	explain.WriteJSON(w, http.StatusOK, answer)
}
