package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"time"
)

// job is a job that need not be stored, with one step of equal tasks.
type job struct {
	id       string
	tasks    int
	estimate int
	spec     taskSpec
	// deadline is how long the client waits for the answer.
	deadline time.Duration
}

// newID returns the id of a new job.
func newID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

func (j job) body() []byte {
	spec, err := json.Marshal(j.spec)
	if err != nil {
		panic(err) // The spec holds only numbers and strings.
	}
	step := map[string]any{"count": j.tasks, "cpu": j.spec.CPU, "mem_mb": 64, "estimate_ms": j.estimate}
	if j.spec.Requires != "" {
		step["requirements"] = j.spec.Requires
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "best_effort": true, "steps": []any{step}})
	if err != nil {
		panic(err) // As above.
	}
	return body
}

// client is a client with connections of its own.
type client struct {
	d    *deployment
	http *http.Client
}

func newClient(d *deployment) *client {
	return &client{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// front returns the address of an entry for clients.
func (d *deployment) front(entry int) string {
	return fmt.Sprintf("%s:%d", d.ip(groupEntry, entry), frontPort)
}

// call sends a request about a job to an address. It returns the status, or 0 without an answer, and the body.
func (c *client) call(ctx context.Context, address, method, id string, body []byte, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	url := fmt.Sprintf("http://%s%s%s", address, queuePrefix, id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(answer))
}

// submit sends a job once to an entry and returns the status.
func (c *client) submit(entry int, j job) int {
	c.d.record.log("client: POST %s to front-%d, %d tasks of %d thousandths of a core, %d ms, requirements %q", j.id, entry+1, j.tasks, j.spec.CPU, j.spec.MS, j.spec.Requires)
	status, body := c.call(context.Background(), c.d.front(entry), http.MethodPost, j.id, j.body(), j.deadline)
	c.d.record.log("client: POST %s: %d %s", j.id, status, body)
	return status
}

// resendAfter is the time after which a client without an answer sends its job again.
const resendAfter = 1300 * time.Millisecond

// submitUntilAnswered sends a job up to three times, to another entry each time, until it is answered.
func (c *client) submitUntilAnswered(entry int, j job) int {
	status := 0
	for i := range 3 {
		status = c.submit((entry+i)%len(c.d.entries), j)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendAfter)
	}
	return status
}
