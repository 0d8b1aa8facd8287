package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a cancellation wave that starts cancelled tasks, answers
// falsely that nothing has run, or leaves the slots blocked.
func TestCancellationWave(t *testing.T) {
	const jobs = 400
	r := start(t, nil)
	body := jobOf(2, 300*time.Millisecond, 50*time.Second)
	each(jobs, func(i int) {
		url := r.URLs()[i%3]
		a := send(http.MethodPost, url+"/v1/jobs", fmt.Sprintf("wave-%d", i), body, "Prefer", "respond-async")
		// Admission may refuse some, as long as it says so truly.
		if a.status != 202 && a.status != 200 && !a.problem().NotRun {
			t.Errorf("submit: status %d, body %s, error %v", a.status, a.body, a.err)
		}
	})
	answers := make([]answer, jobs)
	begin := time.Now()
	each(jobs, func(i int) {
		id := wire.NewJobID("tester", fmt.Sprintf("wave-%d", i))
		// Any entry takes the cancellation, not only the one that took the job.
		answers[i] = send(http.MethodDelete, r.URLs()[(i+1)%3]+"/v1/jobs/"+id.String(), "", "")
	})
	took := time.Since(begin)
	time.Sleep(time.Second)
	starts := r.StartCounts()
	queued := 0
	for i, a := range answers {
		id := wire.NewJobID("tester", fmt.Sprintf("wave-%d", i))
		ran := starts[id.String()+"/0"] + starts[id.String()+"/1"]
		p := a.problem()
		switch {
		case p.NotRun && ran == 0 && (a.status == 409 || a.status == 503):
			queued++
		// Started counts tasks that were sent to an agent; it may have refused some.
		case a.status == 409 && !p.NotRun && ran <= p.Started, a.status == 200:
		default:
			t.Errorf("job %d: status %d, body %s, %d tasks have started", i, a.status, a.body, ran)
		}
	}
	t.Logf("%d jobs cancelled in %s, %d of them before their start", jobs, took, queued)
	if queued < jobs/2 {
		t.Errorf("only %d of %d jobs were still queued", queued, jobs)
	}
	if double := rig.DuplicateStarts(starts); len(double) > 0 {
		t.Errorf("started twice: %v", double)
	}
	if a := submit(r.URLs()[0], "after", jobOf(3, 0, 2*time.Second)); a.status != 200 {
		t.Errorf("after the wave: status %d, body %s", a.status, a.body)
	}
}

// each calls f for 0 to n-1, with some calls at a time.
func each(n int, f func(i int)) {
	const parallel = 32
	var all sync.WaitGroup
	limit := make(chan struct{}, parallel)
	for i := range n {
		all.Add(1)
		limit <- struct{}{}
		go func() {
			defer all.Done()
			f(i)
			<-limit
		}()
	}
	all.Wait()
}
