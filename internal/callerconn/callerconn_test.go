package callerconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection, and the context of a request on the second.
func pair(t *testing.T) (caller net.Conn, ctx context.Context) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if caller, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close(); server.Close() })
	return caller, ConnContext(context.Background(), server)
}

// Guards against callers that have left and pass for waiting ones until a goroutine has read the
// end of their connection, and the reverse.
func TestOpen(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	} {
		caller, ctx := pair(t)
		if !Open(ctx) {
			t.Fatalf("%s: the connection is not open at first", name)
		}
		end(caller.(*net.TCPConn))
		deadline := time.Now().Add(5 * time.Second)
		for Open(ctx) {
			if time.Now().After(deadline) {
				t.Fatalf("%s is not noticed", name)
			}
			time.Sleep(time.Millisecond)
		}
	}
	caller, ctx := pair(t)
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	if !Open(ctx) {
		t.Error("a connection with a second request passes for closed")
	}
	if !Open(context.Background()) {
		t.Error("a request without a connection passes for closed")
	}
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if Open(ended) {
		t.Error("a request whose context has ended passes for open")
	}
}
