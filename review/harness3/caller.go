package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	callerHost  = "jobs.example"
	casePrefix  = "/q/"
	probePrefix = "/p/"
)

// job is a job with one step that need not be stored.
type job struct {
	id         string
	count      int
	estimateMS int
	task       taskSpec
}

func newJob(count, estimateMS int, task taskSpec) job {
	return job{id: fmt.Sprintf("%016x", rand.Uint64()), count: count, estimateMS: estimateMS, task: task}
}

func (j job) body() []byte {
	step := map[string]any{"count": j.count, "cpu": j.task.CPU, "mem_mb": j.task.MemMB, "estimate_ms": j.estimateMS}
	if j.task.Requires != "" {
		step["requirements"] = j.task.Requires
	}
	data, _ := json.Marshal(map[string]any{"spec": j.task.text(), "steps": []any{step}, "best_effort": true})
	return data
}

// submit hands a job of the case in once and returns the status, or 0 without an answer.
func (d *deployment) submit(entry int, j job, deadline time.Duration) int {
	return d.post(casePrefix, entry, j, deadline, deadline)
}

func (d *deployment) submitTo(prefix string, entry int, j job, deadline time.Duration) int {
	return d.post(prefix, entry, j, deadline, deadline)
}

// post hands a job in. The caller leaves after patience, which may be shorter than its deadline.
func (d *deployment) post(prefix string, entry int, j job, patience, deadline time.Duration) int {
	address := d.fronts[entry].listener.Addr().String()
	d.rec.note("job %s is sent to %s: %d tasks of %d thousandths of a core, requires %q", j.id, d.entries[entry].name, j.count, j.task.CPU, j.task.Requires)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+prefix+j.id, bytes.NewReader(j.body()))
	if err != nil {
		return 0
	}
	req.Host = callerHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.note("job %s gets no answer: %v", j.id, err)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.rec.note("job %s is answered with %d %s", j.id, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode
}

// resendAfter is the time from the end of a connection without an answer to the next try.
const resendAfter = 1300 * time.Millisecond

// submitTwice hands a job in at one entry, leaves after a time and sends it again at another.
func (d *deployment) submitTwice(first, second int, j job, patience, deadline time.Duration) {
	if d.post(casePrefix, first, j, patience, deadline) == http.StatusOK {
		return
	}
	time.Sleep(resendAfter)
	d.submit(second, j, deadline)
}

// cancel cancels a job and returns the status, or 0 without an answer.
func (d *deployment) cancel(entry int, j job) int {
	address := d.fronts[entry].listener.Addr().String()
	d.rec.note("the cancelling of job %s is sent to %s", j.id, d.entries[entry].name)
	req, err := http.NewRequest(http.MethodDelete, "http://"+address+casePrefix+j.id, nil)
	if err != nil {
		return 0
	}
	req.Host = callerHost
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.note("the cancelling of job %s gets no answer: %v", j.id, err)
		return 0
	}
	defer resp.Body.Close()
	d.rec.note("the cancelling of job %s is answered with %d", j.id, resp.StatusCode)
	return resp.StatusCode
}
