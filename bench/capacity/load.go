package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/fault"
)

// load is a series of jobs sent at a fixed rate.
type load struct {
	tasks int
	// perSecond is the number of jobs sent per second.
	perSecond int
	duration  time.Duration
}

// outcome counts the jobs of a load by their result.
type outcome struct {
	complete   atomic.Int64
	incomplete atomic.Int64
}

const jobDeadline = 5 * time.Second

func jobBody(tasks int) []byte {
	request := entry.JobRequest{Class: className, DeadlineMS: jobDeadline.Milliseconds()}
	for i := range tasks {
		payload, err := json.Marshal(map[string]any{"pane": i, "size": "1200x800", "tint": "grey", "order": "0123456789abcdef"})
		if err != nil {
			panic(err) // the payload has no value that can fail to encode
		}
		request.Tasks = append(request.Tasks, entry.TaskRequest{Payload: payload})
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err) // JobRequest has no field that can fail to encode
	}
	return body
}

// run sends the jobs at even intervals, round robin over the entries, and waits for
// all answers.
func (e *environment) run(l load) *outcome {
	result := &outcome{}
	body := jobBody(l.tasks)
	var inFlight sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(l.perSecond))
	defer ticker.Stop()
	for range int(l.duration.Seconds() * float64(l.perSecond)) {
		<-ticker.C
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			if status, err := e.submit(body); err == nil && status == http.StatusOK {
				result.complete.Add(1)
				return
			}
			result.incomplete.Add(1)
		}()
	}
	inFlight.Wait()
	return result
}

// submit posts one job under a new key and returns the status of its answer.
func (e *environment) submit(body []byte) (int, error) {
	n := e.keySerial.Add(1)
	return e.submitTo(e.entryAddresses[int(n)%len(e.entryAddresses)], "key-"+strconv.FormatInt(n, 10), body)
}

func (e *environment) submitTo(address, key string, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return 0, fault.Internal.Wrap(err, "create request")
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Damasklb-Caller", callerName)
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, fault.Unreachable.Wrap(err, "submit job")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, fault.Unreachable.Wrap(err, "read answer")
	}
	return resp.StatusCode, nil
}
