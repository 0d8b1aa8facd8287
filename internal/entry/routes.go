package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/owner"
)

// problemMethodNotAllowed is the problem type of a request with a method that its
// path does not have.
const problemMethodNotAllowed = "method-not-allowed"

// answerUnknownPath answers requests for paths that do not exist.
func answerUnknownPath(w http.ResponseWriter, r *http.Request) {
	requestsTotal("unknown_path").Inc()
	writeAnswer(w, owner.ProblemAnswer(owner.ProblemNotFound, "", "there is no "+r.URL.Path, true, 0, 0))
}

// answerUnknownMethod answers requests with a method that the path does not have,
// and lists in the Allow header those that it has, as RFC 9110 requires.
func answerUnknownMethod(router *mux.Router) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requestsTotal("unknown_method").Inc()
		w.Header().Set("Allow", strings.Join(allowedMethods(router, r), ", "))
		w.Header().Set("Content-Type", problemContentType)
		w.WriteHeader(http.StatusMethodNotAllowed)
		// A failed write means that the caller has disconnected.
		_ = json.NewEncoder(w).Encode(owner.ProblemBody{
			Type: owner.ProblemTypePrefix + problemMethodNotAllowed, Title: "The path does not have the method",
			Status: http.StatusMethodNotAllowed, State: owner.StateRefused, NotRun: true,
		})
	}
}

func allowedMethods(router *mux.Router, r *http.Request) []string {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		probe := *r
		probe.Method = method
		var match mux.RouteMatch
		if router.Match(&probe, &match) && match.MatchErr == nil {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

// closingWriter sends "Connection: close" if the entry is draining when the answer
// is written.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w closingWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// closeWhenDraining has each client close its connection after the answer while the
// entry drains. A client that reuses the connection could send its next request at
// the moment in which the entry closes it, and would not know whether that request
// was accepted.
func (e *Entry) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(closingWriter{w, &e.draining}, r)
	})
}
