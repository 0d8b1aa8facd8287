package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/agent"
	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

const (
	keyName     = "capacity"
	keyValidity = time.Hour
	// childCores is the GOMAXPROCS of each child process, parentCores that of the
	// measuring program. Together they stay within four cores.
	childCores  = 1
	parentCores = 2
	// childMemory is the soft memory limit of each child.
	childMemory       = "2GiB"
	announceInterval  = time.Second
	readyTimeout      = 40 * time.Second
	readyPollInterval = 20 * time.Millisecond
	slotsPerUpstream  = 16
	className         = "echo"
	taskRunTime       = 20 * time.Millisecond
	childExitTimeout  = 2 * time.Second
)

// child is a process that runs entries or agents.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
	mu  sync.Mutex
}

func startChild(kind string, count int, tableURL, keyDir string) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fault.Internal.Wrap(err, "find the path of this program")
	}
	c := &child{cmd: exec.Command(program, kind, strconv.Itoa(count), tableURL, keyDir)}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(childCores), "GOMEMLIMIT="+childMemory)
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, fault.Internal.Wrap(err, "open input of child process")
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, fault.Internal.Wrap(err, "open output of child process")
	}
	c.out = bufio.NewScanner(out)
	if err := c.cmd.Start(); err != nil {
		return nil, fault.Internal.Wrap(err, "start child process")
	}
	return c, nil
}

// call sends a command and returns the child's reply.
func (c *child) call(command command) (stats, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var s stats
	line, err := json.Marshal(command)
	if err != nil {
		return s, fault.Internal.Wrap(err, "encode command")
	}
	if _, err := c.in.Write(append(line, '\n')); err != nil {
		return s, fault.Internal.Wrap(err, "write command to child process")
	}
	if !c.out.Scan() {
		return s, fault.Internal.New("child process ended without a reply")
	}
	if err := json.Unmarshal(c.out.Bytes(), &s); err != nil {
		return s, fault.Internal.Wrap(err, "decode reply of child process")
	}
	return s, nil
}

// stop closes the input of the child, on which it ends, and kills it if it has not
// ended within childExitTimeout.
func (c *child) stop() {
	_ = c.in.Close()
	timer := time.AfterFunc(childExitTimeout, func() { _ = c.cmd.Process.Kill() })
	defer timer.Stop()
	// The exit status of a killed child says nothing about the measurement.
	_ = c.cmd.Wait()
}

// environment is a running system. The table stand-in and the upstreams run in this
// process, the entries in one child process and the agents in another.
type environment struct {
	table          *standin.Memory
	server         *http.Server
	entries        *child
	agents         *child
	keyDir         string
	client         *http.Client
	entryAddresses []string
	agentURLs      []string
	cancel         context.CancelFunc
	background     sync.WaitGroup
	tasksRun       atomic.Int64
	keySerial      atomic.Int64
	// configChanges is the number of configuration changes after the first version.
	configChanges int
	// killed is the number of entries that were killed. They are the first ones of
	// entryAddresses.
	killed int
}

// startEnvironment returns when all entries are members and have a record of every
// upstream.
func startEnvironment(entryCount, agentCount int) (*environment, error) {
	e := &environment{table: standin.NewMemory(), client: &http.Client{
		Timeout:   10 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096},
	}}
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	if err := e.start(ctx, entryCount, agentCount); err != nil {
		e.stop()
		return nil, err
	}
	return e, nil
}

func (e *environment) start(ctx context.Context, entryCount, agentCount int) error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fault.Listen.Wrap(err, "listen for table stand-in")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.table.Handler())
	mux.HandleFunc("/run", e.runTask)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		// Serve returns an error when environment.stop closes the server.
		_ = e.server.Serve(listener)
	}()
	if err := applyConfig(e.table, 0); err != nil {
		return err
	}
	url := "http://" + listener.Addr().String()
	if e.keyDir, err = makeKeys(); err != nil {
		return err
	}
	if e.entries, err = startChild(kindEntries, entryCount, url, e.keyDir); err != nil {
		return err
	}
	if e.agents, err = startChild(kindAgents, agentCount, url, e.keyDir); err != nil {
		return err
	}
	s, err := e.agents.call(command{Op: opStats})
	if err != nil {
		return err
	}
	for _, address := range s.Addresses {
		e.agentURLs = append(e.agentURLs, "http://"+address)
	}
	e.background.Add(1)
	go e.announceLoop(ctx, url+"/run")
	return e.waitReady(agentCount)
}

func makeKeys() (string, error) {
	dir, err := os.MkdirTemp("", "damasklb-capacity-")
	if err != nil {
		return "", fault.Internal.Wrap(err, "create directory for keys")
	}
	authority, err := pki.NewAuthority("damasklb capacity")
	if err != nil {
		return dir, err
	}
	if err := authority.Save(dir); err != nil {
		return dir, err
	}
	for _, r := range []pki.Role{pki.RoleEntry, pki.RoleAgent} {
		if _, err := authority.IssueTo(dir, keyName, r, []string{"127.0.0.1"}, keyValidity); err != nil {
			return dir, err
		}
	}
	return dir, nil
}

func (e *environment) waitReady(upstreams int) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		s, err := e.entries.call(command{Op: opStats})
		if err != nil {
			return err
		}
		if s.Ready && s.Upstreams == upstreams {
			e.entryAddresses = s.Addresses
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return fault.Internal.New("system not ready after %s", readyTimeout)
}

// runTask is the task of every upstream: it sleeps for taskRunTime and returns the
// request body.
func (e *environment) runTask(w http.ResponseWriter, r *http.Request) {
	e.tasksRun.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "the task cannot be read", http.StatusBadRequest)
		return
	}
	time.Sleep(taskRunTime)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// announceLoop renews the announcements of the upstreams, one for each agent, at
// times spread evenly over announceInterval.
func (e *environment) announceLoop(ctx context.Context, runURL string) {
	defer e.background.Done()
	body, err := json.Marshal(agent.Announcement{
		Service: "sample", Site: config.DefaultSite, Classes: []string{className}, Address: runURL, Slots: slotsPerUpstream,
	})
	if err != nil {
		panic(err) // Announcement has no field that can fail to encode
	}
	interval := announceInterval / time.Duration(max(1, len(e.agentURLs)))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, url := range e.agentURLs {
			e.post(url+"/v1/announce", body)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
		if len(e.agentURLs) == 0 {
			return
		}
	}
}

func (e *environment) post(url string, body []byte) {
	resp, err := e.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return // the next announcement follows within a second
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (e *environment) stop() {
	e.cancel()
	e.background.Wait()
	for _, c := range []*child{e.entries, e.agents} {
		if c != nil {
			c.stop()
		}
	}
	if e.server != nil {
		_ = e.server.Close()
	}
	e.client.CloseIdleConnections()
	if e.keyDir != "" {
		_ = os.RemoveAll(e.keyDir)
	}
}

// snapshot is the statistics of the entries, the agents and the table at one time.
type snapshot struct {
	at      time.Time
	entries stats
	agents  stats
	counts  standin.Counts
}

func (e *environment) snapshot(op string) (snapshot, error) {
	var s snapshot
	var err error
	if s.entries, err = e.entries.call(command{Op: op}); err != nil {
		return s, err
	}
	if s.agents, err = e.agents.call(command{Op: op}); err != nil {
		return s, err
	}
	s.counts = e.table.Counts()
	s.at = time.Now()
	return s, nil
}
