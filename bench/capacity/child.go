package main

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/damasklb/damasklb/internal/agent"
	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/transport"
)

// Entries and agents run in child processes of the measuring program, so that
// the processor time and memory of each role can be told apart.

// command is one line from the measuring program to a child.
type command struct {
	Op string `json:"op"`
	// Index is the entry to kill.
	Index int `json:"index,omitempty"`
}

// Operations of a command.
const (
	opStats  = "stats"
	opMemory = "memory"
	opKill   = "kill"
	opAdd    = "add"
)

// stats is one line from a child to the measuring program.
type stats struct {
	// Addresses are the HTTP addresses of the entries or agents.
	Addresses []string `json:"addresses,omitempty"`
	// CPU is the processor time of the process since its start.
	CPU time.Duration `json:"cpu"`
	// HeapBytes and StackBytes are in use after a collection, for opMemory only.
	HeapBytes  uint64            `json:"heap_bytes"`
	StackBytes uint64            `json:"stack_bytes"`
	Allocated  uint64            `json:"allocated"`
	Goroutines int               `json:"goroutines"`
	Traffic    transport.Traffic `json:"traffic"`
	// Upstreams is the smallest number of upstreams that an entry knows.
	Upstreams int  `json:"upstreams"`
	Ready     bool `json:"ready"`
}

// role is a set of processes of one kind inside a child.
type role interface {
	fill(s *stats)
	kill(index int)
	add() error
}

const anyPort = "127.0.0.1:0"

// childMain serves the commands on standard input until it ends.
func childMain(kind string, args []string) error {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return fault.Usage.Wrap(err, "number of processes")
	}
	start := startEntries
	if kind == kindAgents {
		start = startAgents
	}
	r, err := start(count, args[1], args[2])
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var c command
		if err := json.Unmarshal(in.Bytes(), &c); err != nil {
			return fault.Internal.Wrap(err, "command")
		}
		s, err := handle(r, c)
		if err != nil {
			return err
		}
		if err := out.Encode(s); err != nil {
			return fault.Internal.Wrap(err, "reply")
		}
	}
	return nil
}

func handle(r role, c command) (stats, error) {
	var s stats
	switch c.Op {
	case opKill:
		r.kill(c.Index)
	case opAdd:
		if err := r.add(); err != nil {
			return s, err
		}
	case opMemory:
		runtime.GC()
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.HeapBytes, s.StackBytes, s.Allocated = m.HeapAlloc, m.StackInuse, m.TotalAlloc
	s.Goroutines = runtime.NumGoroutine()
	s.Traffic = transport.ReadTraffic()
	r.fill(&s)
	s.CPU = processorTime()
	return s, nil
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func incarnation() string { return strconv.FormatUint(rand.Uint64(), 16) }

type entries struct {
	table, keys string
	running     []*entry.Entry
	killed      map[int]bool
	started     int
}

func startEntries(count int, table, keys string) (role, error) {
	e := &entries{table: table, keys: keys, killed: map[int]bool{}}
	for range count {
		if err := e.add(); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func (e *entries) add() error {
	files := pki.FilesOf(e.keys, pki.RoleEntry, keyName)
	server, err := pki.ServerConfig(files, pki.RoleEntry, pki.RoleAgent)
	if err != nil {
		return err
	}
	client, err := pki.ClientConfig(files, pki.RoleEntry)
	if err != nil {
		return err
	}
	e.started++
	id := "entry-" + strconv.Itoa(e.started)
	started, err := entry.Start(entry.Options{
		ID: id + "-" + incarnation(), Host: id, DataCentre: "bdg-a", LinkListen: anyPort, HTTPListen: anyPort,
		Table: platform.NewHTTPTable(e.table, nil), LinkServerTLS: server, LinkClientTLS: client,
		Dev: true, Settings: owner.DefaultSettings(), Log: quietLog(),
	})
	if err != nil {
		return err
	}
	e.running = append(e.running, started)
	return nil
}

func (e *entries) kill(index int) {
	e.killed[index] = true
	e.running[index].Kill()
}

func (e *entries) fill(s *stats) {
	s.Ready, s.Upstreams = true, -1
	for i, running := range e.running {
		s.Addresses = append(s.Addresses, running.HTTPAddress())
		if e.killed[i] {
			continue
		}
		s.Ready = s.Ready && running.Ready()
		if n := running.UpstreamCount(); s.Upstreams < 0 || n < s.Upstreams {
			s.Upstreams = n
		}
	}
}

type agents struct {
	table, keys string
	running     []*agent.Agent
}

func startAgents(count int, table, keys string) (role, error) {
	a := &agents{table: table, keys: keys}
	for range count {
		if err := a.add(); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *agents) add() error {
	client, err := pki.ClientConfig(pki.FilesOf(a.keys, pki.RoleAgent, keyName), pki.RoleEntry)
	if err != nil {
		return err
	}
	host := "worker-" + strconv.Itoa(len(a.running)+1)
	started, err := agent.Start(agent.Options{
		Host: host, Incarnation: incarnation(), DataCentre: "bdg-a", AnnounceListen: anyPort, LinkListen: anyPort,
		LinkClientTLS: client, Table: platform.NewHTTPTable(a.table, nil),
		Settings: ledger.DefaultSettings(), Log: quietLog(),
	})
	if err != nil {
		return err
	}
	a.running = append(a.running, started)
	return nil
}

func (a *agents) kill(index int) { a.running[index].Kill() }

func (a *agents) fill(s *stats) {
	s.Ready = true
	for _, running := range a.running {
		s.Addresses = append(s.Addresses, running.AnnounceAddress())
	}
}
