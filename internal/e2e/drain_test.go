package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/load"
	"github.com/damasklb/damasklb/internal/rig"
)

const shutdownLimit = 20 * time.Second

// Guards against requests that the graceful shutdown of an entry cuts or refuses:
// those that run there, and those that still arrive. The client goes to the next
// entry only on a refused connection.
func TestLeavingEntryCutsNothing(t *testing.T) {
	drain(t, 7*time.Second, func(r *rig.Rig) {
		must(t, r.Entries[0].Terminate())
		must(t, r.Entries[0].WaitAndStart(shutdownLimit))
	})
}

// Guards against requests that are cut when the next entry leaves as soon as the
// one before is back, so that partitions move on before they have settled.
func TestRollingRestartOfEntriesCutsNothing(t *testing.T) {
	drain(t, 25*time.Second, func(r *rig.Rig) {
		for i := range 2 * len(r.Entries) {
			p := r.Entries[i%len(r.Entries)]
			must(t, p.Terminate())
			must(t, p.WaitAndStart(shutdownLimit))
			must(t, r.WaitReady(rig.DefaultReadyTimeout))
		}
	})
}

// Guards against tasks that the graceful shutdown of an agent cuts, by a signal
// and by request.
func TestLeavingAgentCutsNothing(t *testing.T) {
	drain(t, 7*time.Second, func(r *rig.Rig) {
		must(t, r.Agents[0].Terminate())
		must(t, r.Agents[0].WaitAndStart(shutdownLimit))
		must(t, r.WaitReady(rig.DefaultReadyTimeout))
		resp, err := http.Post("http://"+r.Agents[1].Address+"/v1/leave", "application/json", nil)
		must(t, err)
		_ = resp.Body.Close()
		must(t, r.Agents[1].WaitAndStart(shutdownLimit))
	})
}

// drain runs a load while processes leave and come back.
func drain(t *testing.T, duration time.Duration, leave func(r *rig.Rig)) {
	t.Helper()
	r := start(t, nil)
	o := loadOf(r, 100, duration)
	o.Failover = true
	finish := background(t, o)
	time.Sleep(time.Second)
	leave(r)
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
	report, jobs := finish()
	checkSafe(t, r, report, jobs)
	checkUncut(t, jobs)
}

// checkUncut checks that each request was answered with 200 or a true refusal.
func checkUncut(t *testing.T, jobs []load.JobResult) {
	t.Helper()
	for _, j := range jobs {
		for _, out := range j.Copies {
			if out.Cut() {
				t.Errorf("job %s was cut: status %d %s %s %s", j.Key, out.Status, out.Problem, out.Err, out.Detail)
			}
		}
	}
}

// Guards against a connection that a client keeps although the entry is leaving,
// and on which its next request would be cut: the answers to jobs that run when
// the shutdown begins must end it. The longer job also outlasts read timeouts.
func TestLeavingEntryEndsConnections(t *testing.T) {
	t.Parallel()
	r := start(t, func(o *rig.Options) { o.Entries, o.Agents, o.DrainDelay = 2, 1, 5*time.Second })
	var jobs sync.WaitGroup
	for _, run := range []time.Duration{2 * time.Second, 12 * time.Second} {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			status, closed := keepAlive(r.URLs()[0], run)
			if status != 200 || !closed {
				t.Errorf("job of %s: status %d, connection to be closed %v", run, status, closed)
			}
		}()
	}
	time.Sleep(time.Second)
	must(t, r.Entries[0].Terminate())
	jobs.Wait()
	must(t, r.Entries[0].Wait(shutdownLimit))
}

// keepAlive submits a job on a connection that could be used again, and reports
// the status and whether the answer ends the connection.
func keepAlive(url string, run time.Duration) (int, bool) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/jobs", strings.NewReader(jobOf(1, run, 20*time.Second)))
	if err != nil {
		return 0, false
	}
	req.Header.Set("Idempotency-Key", run.String())
	req.Header.Set("Damasklb-Caller", "tester")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close
}

// Guards against a request that is dropped because its connection was accepted
// just before the port of a leaving entry was closed.
func TestLeavingEntryServesAcceptedConnections(t *testing.T) {
	r := start(t, func(o *rig.Options) { o.Entries, o.Agents, o.DrainDelay = 2, 1, time.Second })
	must(t, r.Entries[0].Terminate())
	time.Sleep(500 * time.Millisecond)
	accepted, err := net.Dial("tcp", r.Entries[0].Address)
	must(t, err)
	defer accepted.Close()
	for {
		probe, err := net.Dial("tcp", r.Entries[0].Address)
		if err != nil {
			break
		}
		_ = probe.Close()
		time.Sleep(5 * time.Millisecond)
	}
	body := jobOf(1, 0, 3*time.Second)
	_, err = fmt.Fprintf(accepted, "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nDamasklb-Caller: tester\r\nIdempotency-Key: late\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(body), body)
	must(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(accepted), nil)
	must(t, err)
	_ = resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
