// Package sample is a small upstream for tests and dev mode. It serves the class
// echo, announces itself to an agent and counts how often each task started.
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

// Class is the work class that the upstream serves.
const Class = "echo"

const (
	announceEvery = time.Second
	// firstAnnounceRetry makes a starting system ready sooner.
	firstAnnounceRetry = 50 * time.Millisecond
	maxTaskBytes       = 2 << 20
)

// Options are what the upstream needs to start.
type Options struct {
	Listen string
	// AgentURL is the announce address of the agent beside it.
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

	mu     sync.Mutex
	starts map[string]int
	log    map[string][]StartEvent
}

// StartEvent is one start of a task.
type StartEvent struct {
	Upstream string `json:"upstream"`
	// Epoch is the attempt epoch that came with the task.
	Epoch string    `json:"epoch"`
	At    time.Time `json:"at"`
}

// instruction is the part of a payload that tells the upstream what to do.
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
	u := &Upstream{opts: o, listener: listener, starts: map[string]int{}, log: map[string][]StartEvent{}}
	r := mux.NewRouter()
	r.HandleFunc("/run", u.run).Methods(http.MethodPost)
	r.HandleFunc("/starts", u.serveStarts).Methods(http.MethodGet)
	r.HandleFunc("/starts/log", u.serveLog).Methods(http.MethodGet)
	u.server = &http.Server{Handler: r, ReadHeaderTimeout: announceEvery}
	var ctx context.Context
	ctx, u.cancel = context.WithCancel(context.Background())
	u.wg.Add(2)
	go func() {
		defer u.wg.Done()
		// The listener ends when the upstream stops.
		_ = u.server.Serve(listener)
	}()
	go u.announceLoop(ctx)
	return u, nil
}

// Address returns the address that the upstream is bound to.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Stop stops the upstream at once.
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

// serveLog tells more of each start than its count, to find the cause of a
// second one.
func (u *Upstream) serveLog(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.log)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(agent.HeaderTaskID)
	u.mu.Lock()
	u.starts[id]++
	u.log[id] = append(u.log[id], StartEvent{Upstream: u.Address(), Epoch: r.Header.Get(agent.HeaderAttempt), At: time.Now()})
	u.mu.Unlock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTaskBytes))
	if err != nil {
		http.Error(w, "the task cannot be read", http.StatusBadRequest)
		return
	}
	var do instruction
	// A payload that is not an object has no instructions.
	_ = json.Unmarshal(body, &do)
	time.Sleep(time.Duration(do.SleepMS) * time.Millisecond)
	if do.Fail {
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
		panic(err) // Announce has no field that can fail to encode.
	}
	client := &http.Client{Timeout: announceEvery}
	for ctx.Err() == nil {
		wait := announceEvery
		if !announce(ctx, client, u.opts.AgentURL, body) {
			wait = firstAnnounceRetry
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

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
