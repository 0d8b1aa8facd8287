// Package sample implements a small upstream for tests and dev mode. It serves the
// class echo, announces itself to an agent and counts the starts of each task.
package sample

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/damasklb/damasklb/internal/agent"
	"github.com/damasklb/damasklb/internal/fault"
)

// Class is the work class that the upstream serves by default.
const Class = "echo"

const (
	announceInterval = time.Second
	// announceRetryInterval applies after a failed announcement. It is short so that a
	// starting system is ready sooner.
	announceRetryInterval = 50 * time.Millisecond
	maxTaskBytes          = 2 << 20
)

// Options configure the upstream.
type Options struct {
	Listen string
	// AgentURL is the base URL of the agent on the same host, for announcements.
	AgentURL string
	Service  string
	Site     string
	Slots    int
	Classes  []string
}

// Upstream is a running sample upstream.
type Upstream struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu sync.Mutex
	// starts and startLog are the number and the list of starts, by task id.
	starts   map[string]int
	startLog map[string][]StartEvent
}

// StartEvent is one start of a task.
type StartEvent struct {
	Upstream string `json:"upstream"`
	// Epoch is the attempt epoch that was sent with the task.
	Epoch string    `json:"epoch"`
	At    time.Time `json:"at"`
}

// instruction is the part of a payload that controls how the task runs.
type instruction struct {
	SleepMS int  `json:"sleep_ms"`
	Fail    bool `json:"fail"`
}

// Start starts the upstream.
func Start(o Options) (*Upstream, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fault.Listen.Wrap(err, "open upstream address %q", o.Listen)
	}
	if len(o.Classes) == 0 {
		o.Classes = []string{Class}
	}
	u := &Upstream{opts: o, listener: listener, starts: map[string]int{}, startLog: map[string][]StartEvent{}}
	r := mux.NewRouter()
	r.HandleFunc("/run", u.serveRun).Methods(http.MethodPost)
	r.HandleFunc("/starts", u.serveStarts).Methods(http.MethodGet)
	r.HandleFunc("/starts/log", u.serveLog).Methods(http.MethodGet)
	u.server = &http.Server{Handler: r, ReadHeaderTimeout: announceInterval}
	var ctx context.Context
	ctx, u.cancel = context.WithCancel(context.Background())
	u.wg.Add(2)
	go func() {
		defer u.wg.Done()
		// Serve returns when Stop closes the server.
		_ = u.server.Serve(listener)
	}()
	go u.announceLoop(ctx)
	return u, nil
}

// Address returns the address that the upstream is bound to.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Stop stops the upstream without waiting for running tasks.
func (u *Upstream) Stop() {
	u.cancel()
	_ = u.server.Close()
	u.wg.Wait()
}

// Starts returns how often each task has started.
func (u *Upstream) Starts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	starts := make(map[string]int, len(u.starts))
	for id, n := range u.starts {
		starts[id] = n
	}
	return starts
}

func (u *Upstream) serveStarts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.Starts())
}

// serveLog returns the details of each start, to find the cause of a second start of
// a task.
func (u *Upstream) serveLog(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.startLog)
}

func (u *Upstream) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(agent.HeaderTaskID)
	u.mu.Lock()
	u.starts[id]++
	u.startLog[id] = append(u.startLog[id], StartEvent{Upstream: u.Address(), Epoch: r.Header.Get(agent.HeaderAttempt), At: time.Now()})
	u.mu.Unlock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTaskBytes))
	if err != nil {
		http.Error(w, "the task cannot be read", http.StatusBadRequest)
		return
	}
	var in instruction
	// A payload that is not an object has no instructions.
	_ = json.Unmarshal(body, &in)
	time.Sleep(time.Duration(in.SleepMS) * time.Millisecond)
	if in.Fail {
		http.Error(w, "the task was told to fail", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (u *Upstream) announceLoop(ctx context.Context) {
	defer u.wg.Done()
	body, err := json.Marshal(agent.Announcement{
		Service: u.opts.Service, Site: u.opts.Site, Classes: u.opts.Classes,
		Address: "http://" + u.Address() + "/run", Slots: u.opts.Slots,
	})
	if err != nil {
		panic(err) // cannot happen: every field of Announcement can be encoded
	}
	client := &http.Client{Timeout: announceInterval}
	for ctx.Err() == nil {
		wait := announceInterval
		if !announce(ctx, client, u.opts.AgentURL, body) {
			wait = announceRetryInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// announce sends the announcement and reports whether the agent accepted it.
func announce(ctx context.Context, client *http.Client, url string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}
