package e2e

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/rig"
)

// The tests of this file run the programs as they are shipped and measure memory, so `make test` runs
// them one at a time, after all others.

// clientsMemoryMB is the memory of a process in these tests.
const clientsMemoryMB = 96

// clientTimeout bounds what one client does.
const clientTimeout = 20 * time.Second

// holdOpen sends the beginnings of requests, each on a connection of its own, and returns the
// connections.
func holdOpen(address string, requests int, begin func(c net.Conn, i int)) (open []net.Conn) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			c, err := net.DialTimeout("tcp", address, clientTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			if c.SetDeadline(time.Now().Add(clientTimeout)) == nil {
				begin(c, i)
			}
		})
	}
	all.Wait()
	return open
}

// Guards against processes that exceed their memory by large jobs that are submitted whole.
func TestClientsWithWholeJobsStayWithinMemory(t *testing.T) {
	payload := `{"payload":{"sleep_ms":10,"pad":"` + strings.Repeat("x", 250_000) + `"}}`
	body := `{"class":"echo","deadline_ms":10000,"tasks":[` + strings.Repeat(payload+",", 3) + payload + `]}`
	withstand(t, 100, func(c net.Conn, round, i int) {
		// The entry may refuse the request and close the connection.
		_, _ = fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nDamasklb-Caller: tester\r\nIdempotency-Key: whole-%d-%d\r\nContent-Length: %d\r\n\r\n%s",
			round, i, len(body), body)
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1))
	})
}

// Guards against processes that exceed their memory by the answers that they retain for copies of the
// requests.
func TestClientsWithLargeAnswersStayWithinMemory(t *testing.T) {
	payload := `{"payload":{"pad":"` + strings.Repeat("x", 250_000) + `"}}`
	body := `{"class":"echo","deadline_ms":10000,"tasks":[` + strings.Repeat(payload+",", 3) + payload + `]}`
	withstand(t, 3, func(c net.Conn, round, i int) {
		for n := range 60 {
			submit("http://"+c.RemoteAddr().String(), fmt.Sprintf("echo-%d-%d-%d", round, i, n), body)
		}
	})
}

// Guards against an entry that exceeds its memory because of clients that send large bodies up to
// just before their end.
func TestClientsWithUnfinishedJobsStayWithinMemory(t *testing.T) {
	const length = 1 << 20
	body := `{"class":"c","deadline_ms":60000,"tasks":[{"payload":"` + strings.Repeat("x", length-100)
	withstand(t, 300, func(c net.Conn, round, i int) {
		// The entry may refuse the request and close the connection.
		_, _ = fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nDamasklb-Caller: tester\r\nIdempotency-Key: open-%d-%d\r\nContent-Length: %d\r\n\r\n%s",
			round, i, length, body)
	})
}

// withstand checks that an entry and its agents stay within their memory under clients that come
// twice and send the same request each, and serve an ordinary request beside them and afterwards.
func withstand(t *testing.T, clients int, send func(c net.Conn, round, i int)) {
	t.Helper()
	program, err := rig.BuildProgram(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("DAMASKLB_MEMORY_MB", fmt.Sprint(clientsMemoryMB))
	r := start(t, func(o *rig.Options) { o.Entries, o.Agents, o.Binary = 1, 2, program })
	sampler := rig.StartSampler(slices.Concat(r.Entries, r.Agents))
	for round := range 2 {
		open := holdOpen(r.Entries[0].Address, clients, func(c net.Conn, i int) { send(c, round, i) })
		if a := submit(r.URLs()[0], fmt.Sprint("beside-", round), jobBody(1, 0, 10*time.Second)); a.status != 200 {
			t.Errorf("beside the crowd: status %d, body %s, error %v", a.status, a.body, a.err)
		}
		for _, c := range open {
			c.Close()
		}
		if a := submit(r.URLs()[0], fmt.Sprint("after-", round), jobBody(1, 0, 10*time.Second)); a.status != 200 {
			t.Errorf("after the crowd: status %d, body %s, error %v", a.status, a.body, a.err)
		}
	}
	for name, u := range sampler.Stop() {
		t.Logf("%s: %d MB, of which %d KB unread in sockets; %d descriptors", name, u.Memory>>20, u.Unread>>10, u.Descriptors)
		if u.Ended {
			t.Errorf("%s has ended", name)
		}
		if u.Memory > clientsMemoryMB<<20 {
			t.Errorf("%s used %d MB of memory, limit %d", name, u.Memory>>20, clientsMemoryMB)
		}
	}
}
