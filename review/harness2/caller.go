package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"time"
)

// step is the one step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"mem_mb,omitempty"`
	Estimate     int    `json:"estimate_ms,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call is a request on a connection of its own.
type call struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	sentAt time.Time
}

// send opens a connection to an entry and sends a request. The body is a job for POST.
func send(h host, method, id string, deadlineMS int, s spec, st step) (*call, error) {
	conn, err := net.DialTimeout("tcp", h.address(callerPort), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &call{id: id, conn: conn, reader: bufio.NewReader(conn)}
	if err := c.request(method, id, deadlineMS, s, st); err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// request sends a request on the call's connection.
func (c *call) request(method, id string, deadlineMS int, s spec, st step) error {
	var body []byte
	if method == http.MethodPost {
		var err error
		body, err = json.Marshal(map[string]any{"spec": s.text(), "best_effort": true, "steps": []step{st}})
		if err != nil {
			return err
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nX-Deadline-Ms: %d\r\n\r\n",
		method, queuePrefix, id, queueHost, len(body), deadlineMS)
	b.Write(body)
	c.id, c.sentAt = id, time.Now()
	_, err := c.conn.Write(b.Bytes())
	return err
}

// answer waits for the answer until a deadline. The status is 0 if the connection has ended without
// a complete answer, with the cause.
func (c *call) answer(patience time.Duration) (status int, body string, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return 0, "", err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, "", err
	}
	return r.StatusCode, string(data), nil
}

// lossSlack is loss_slack_ms.
const lossSlack = 200 * time.Millisecond

// lost reports whether the connection has ended without a complete answer, later than lossSlack after
// the request was sent. A client whose patience has ended is no such case.
func (c *call) lost(status int, err error) bool {
	var timeout net.Error
	if status != 0 || (errors.As(err, &timeout) && timeout.Timeout()) {
		return false
	}
	return time.Since(c.sentAt) > lossSlack
}

func (c *call) close() { _ = c.conn.Close() }
