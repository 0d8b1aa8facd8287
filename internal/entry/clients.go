package entry

import (
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/callerconn"
	"github.com/damasklb/damasklb/internal/clientlimit"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// maxHandshakeBytes is the size of a TLS handshake with a chain of certificates, which arrives before
// the first head.
const maxHandshakeBytes = 16 << 10

// newGuard returns the guard of the callers' connections.
func (e *Entry) newGuard() *callerconn.Guard {
	s := clientlimit.DefaultSettings(e.opts.Memory)
	s.HeadBytes, s.HeadTimeout, s.IdleTimeout = maxHeaderBytes+maxHandshakeBytes, readTimeout, idleTimeout
	return callerconn.NewGuard(e.ctx, s, func() callerconn.Limits { return callerconn.Limits{} }, e.opts.Log,
		clientlimit.DefaultConnections(e.opts.Memory, e.opts.Descriptors))
}

// refuseUnread answers a request that cannot be read.
func refuseUnread(w http.ResponseWriter, err error) {
	if errorx.IsOfType(err, fault.ClientLimit) {
		requestsTotal("client_limit").Inc()
		// An earlier copy of the request may have run.
		writeAnswer(w, owner.ProblemAnswer(owner.ProblemClientLimit, "", fault.Text(err), false, 0, callerconn.RetryAfter()))
		return
	}
	requestsTotal("bad_request").Inc()
	writeAnswer(w, owner.ProblemAnswer(owner.ProblemBadRequest, "", fault.Text(err), true, 0, 0))
}

// footprint returns the memory that a job takes at an entry until it is answered: the payloads, and a
// copy of each in the messages to the witness and to an agent.
func (s *submission) footprint() int64 {
	const copies = 3
	var n int64
	for _, p := range s.Payloads {
		n += int64(len(p))
	}
	return copies * n
}

// releaseAtEnd keeps the memory of an asynchronous job until it has ended.
func (e *Entry) releaseAtEnd(r *http.Request, reply <-chan *wire.Answer) {
	release := callerconn.Detach(r.Context())
	go func() {
		select {
		case <-reply:
		case <-e.stopped:
		}
		release()
	}()
}

// hold asks for the memory of a job.
func hold(r *http.Request, s submission) error {
	if !callerconn.Hold(r.Context(), s.footprint()) {
		return fault.ClientLimit.New("no memory for a job of %d bytes", s.footprint())
	}
	return nil
}
