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
	// childProcs are the cores of each child. Together with those of the
	// measuring program they stay within four.
	childProcs  = 1
	parentProcs = 2
	// childMemory is the soft memory limit of each child.
	childMemory  = "2GiB"
	announceGap  = time.Second
	readyWait    = 40 * time.Second
	readyPoll    = 20 * time.Millisecond
	slotsEach    = 16
	workerClass  = "echo"
	taskTime     = 20 * time.Millisecond
	childKillGap = 2 * time.Second
)

// child is a process with entries or agents.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
	mu  sync.Mutex
}

func startChild(kind string, count int, table, keys string) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fault.Internal.Wrap(err, "path of this program")
	}
	c := &child{cmd: exec.Command(program, kind, strconv.Itoa(count), table, keys)}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(childProcs), "GOMEMLIMIT="+childMemory)
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, fault.Internal.Wrap(err, "input of a child")
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, fault.Internal.Wrap(err, "output of a child")
	}
	c.out = bufio.NewScanner(out)
	if err := c.cmd.Start(); err != nil {
		return nil, fault.Internal.Wrap(err, "start a child")
	}
	return c, nil
}

// ask sends a command and returns the child's reply.
func (c *child) ask(command command) (stats, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var s stats
	line, err := json.Marshal(command)
	if err != nil {
		return s, fault.Internal.Wrap(err, "command")
	}
	if _, err := c.in.Write(append(line, '\n')); err != nil {
		return s, fault.Internal.Wrap(err, "write to a child")
	}
	if !c.out.Scan() {
		return s, fault.Internal.New("a child has ended early")
	}
	if err := json.Unmarshal(c.out.Bytes(), &s); err != nil {
		return s, fault.Internal.Wrap(err, "reply of a child")
	}
	return s, nil
}

// stop ends the child: at once when its input ends, by a kill if that fails.
func (c *child) stop() {
	_ = c.in.Close()
	timer := time.AfterFunc(childKillGap, func() { _ = c.cmd.Process.Kill() })
	defer timer.Stop()
	// The exit status of a killed child says nothing about the measurement.
	_ = c.cmd.Wait()
}

// environment is a running system: a table stand-in and upstreams in this
// process, entries and agents in a child each.
type environment struct {
	table     *standin.Memory
	server    *http.Server
	entries   *child
	agents    *child
	keys      string
	client    *http.Client
	addresses []string
	agentURLs []string
	cancel    context.CancelFunc
	done      sync.WaitGroup
	tasksRun  atomic.Int64
	nextKey   atomic.Int64
	// changes is the number of configuration changes after the first version.
	changes int
	// lost is the number of entries that were killed, the first ones.
	lost int
}

// startEnvironment returns when all entries are members and know all upstreams.
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
		return fault.Listen.Wrap(err, "table stand-in")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.table.Handler())
	mux.HandleFunc("/run", e.runTask)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		// The listener ends with the environment.
		_ = e.server.Serve(listener)
	}()
	if err := applyConfig(e.table, 0); err != nil {
		return err
	}
	url := "http://" + listener.Addr().String()
	if e.keys, err = makeKeys(); err != nil {
		return err
	}
	if e.entries, err = startChild(kindEntries, entryCount, url, e.keys); err != nil {
		return err
	}
	if e.agents, err = startChild(kindAgents, agentCount, url, e.keys); err != nil {
		return err
	}
	s, err := e.agents.ask(command{Op: opStats})
	if err != nil {
		return err
	}
	for _, address := range s.Addresses {
		e.agentURLs = append(e.agentURLs, "http://"+address)
	}
	e.done.Add(1)
	go e.announceLoop(ctx, url+"/run")
	return e.waitReady(agentCount)
}

func makeKeys() (string, error) {
	dir, err := os.MkdirTemp("", "damasklb-capacity-")
	if err != nil {
		return "", fault.Internal.Wrap(err, "directory for keys")
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
	end := time.Now().Add(readyWait)
	for time.Now().Before(end) {
		s, err := e.entries.ask(command{Op: opStats})
		if err != nil {
			return err
		}
		if s.Ready && s.Upstreams == upstreams {
			e.addresses = s.Addresses
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fault.Internal.New("the system was not ready after %s", readyWait)
}

// runTask is every upstream's task.
func (e *environment) runTask(w http.ResponseWriter, r *http.Request) {
	e.tasksRun.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "the task cannot be read", http.StatusBadRequest)
		return
	}
	time.Sleep(taskTime)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// announceLoop renews the announce of one upstream beside each agent, spread
// evenly over the interval.
func (e *environment) announceLoop(ctx context.Context, run string) {
	defer e.done.Done()
	body, err := json.Marshal(agent.Announcement{
		Service: "sample", Site: config.DefaultSite, Classes: []string{workerClass}, Address: run, Slots: slotsEach,
	})
	if err != nil {
		panic(err) // Announce has no field that can fail to encode.
	}
	gap := announceGap / time.Duration(max(1, len(e.agentURLs)))
	ticker := time.NewTicker(gap)
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
		return // the next announce follows within a second
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (e *environment) stop() {
	e.cancel()
	e.done.Wait()
	for _, c := range []*child{e.entries, e.agents} {
		if c != nil {
			c.stop()
		}
	}
	if e.server != nil {
		_ = e.server.Close()
	}
	e.client.CloseIdleConnections()
	if e.keys != "" {
		_ = os.RemoveAll(e.keys)
	}
}

// snapshot is the state of both roles and the table at a moment.
type snapshot struct {
	at      time.Time
	entries stats
	agents  stats
	counts  standin.Counts
}

func (e *environment) snapshot(op string) (snapshot, error) {
	var s snapshot
	var err error
	if s.entries, err = e.entries.ask(command{Op: op}); err != nil {
		return s, err
	}
	if s.agents, err = e.agents.ask(command{Op: op}); err != nil {
		return s, err
	}
	s.counts = e.table.Counts()
	s.at = time.Now()
	return s, nil
}
