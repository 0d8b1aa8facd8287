package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// Headers of a task's request to its upstream.
const (
	HeaderTaskID   = "Damasklb-Task-Id"
	HeaderAttempt  = "Damasklb-Attempt-Epoch"
	HeaderDeadline = "Damasklb-Deadline-Ms"
	HeaderClass    = "Damasklb-Class"
	HeaderCaller   = "Damasklb-Caller"
)

const (
	maxAnswerBytes = 1 << 20
	// runLimit bounds a call to an upstream. A task continues after its job's
	// deadline, because stopping it would leave its work half done, but it must not
	// occupy a slot without limit.
	runLimit = owner.RunLimit
)

var (
	startsTotal  = metrics.NewCounter("damasklb_agent_starts_total")
	failedTotal  = metrics.NewCounter("damasklb_agent_failed_total")
	callDuration = metrics.NewHistogram("damasklb_agent_call_seconds")
)

// call runs one task on its upstream and reports the outcome to the core.
func (a *Agent) call(s *wire.Start, address string) {
	defer a.running.Add(-1)
	startsTotal.Inc()
	begin := time.Now()
	payload, failure := a.postTask(s, address)
	runTime := time.Since(begin)
	callDuration.Update(runTime.Seconds())
	ok := failure == ""
	if !ok {
		failedTotal.Inc()
		payload = []byte(failure)
	}
	a.post(func(now ledger.Instant) { a.core.Ended(now, s.Task, ok, payload, runTime) })
}

// postTask posts the task. net/http repeats a POST only on a connection on which
// nothing had been written, so the upstream receives the task at most once.
func (a *Agent) postTask(s *wire.Start, address string) (payload []byte, failure string) {
	ctx, cancel := context.WithTimeout(a.ctx, runLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(s.Payload))
	if err != nil {
		return nil, "the upstream's address is not valid"
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderTaskID, s.Task.String())
	req.Header.Set(HeaderAttempt, strconv.FormatUint(s.Epoch, 10))
	req.Header.Set(HeaderDeadline, strconv.FormatUint(uint64(s.DeadlineMS), 10))
	req.Header.Set(HeaderClass, s.Class)
	req.Header.Set(HeaderCaller, s.Caller)
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, "the upstream did not answer"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, "the upstream's answer broke off"
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		return nil, fmt.Sprintf("the upstream answered with status %d", resp.StatusCode)
	case len(answer) > maxAnswerBytes:
		return nil, fmt.Sprintf("the upstream's answer is larger than %d bytes", maxAnswerBytes)
	case !json.Valid(answer):
		return nil, "the upstream's answer is not valid JSON"
	}
	return bytes.TrimSpace(answer), ""
}
