package leased

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/callerconn"
)

// Guards against a request that waits for ever because the entry has dropped its caller, whose
// connection has ended, while the HTTP server does not notice the end.
func TestEndThatIsPeekedEndsTheContextAsWell(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	type result struct{ open, ctxEnded bool }
	results := make(chan result, 1)
	server := &http.Server{ConnContext: callerconn.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buf := make([]byte, 16)
		for {
			if _, err := r.Body.Read(buf); err != nil {
				break
			}
		}
		deadline := time.Now().Add(2 * time.Second)
		for callerconn.Open(r.Context()) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		open := callerconn.Open(r.Context())
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		<-ctx.Done()
		results <- result{open, r.Context().Err() != nil}
	})}
	go server.Serve(listener) //nolint:errcheck
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"))
	time.Sleep(50 * time.Millisecond)
	_, _ = conn.Write([]byte("\n"))
	time.Sleep(50 * time.Millisecond)
	conn.Close()
	if r := <-results; !r.open && !r.ctxEnded {
		t.Errorf("taken for closed, but the request's context does not end")
	} else {
		t.Logf("%+v", r)
	}
}
