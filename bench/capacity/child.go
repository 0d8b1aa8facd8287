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

// Entries run in one child process of the measuring program and agents in another,
// so that processor time and memory are measured for each of the two roles.

// command is one line from the measuring program to a child.
type command struct {
	Op string `json:"op"`
	// Index is the entry or agent to kill.
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
	// HeapBytes and StackBytes are the memory in use. They are read after a garbage
	// collection for opMemory only.
	HeapBytes  uint64            `json:"heap_bytes"`
	StackBytes uint64            `json:"stack_bytes"`
	Allocated  uint64            `json:"allocated"`
	Goroutines int               `json:"goroutines"`
	Traffic    transport.Traffic `json:"traffic"`
	// Upstreams is the number of upstreams that an entry has a record of, the
	// smallest over the running entries.
	Upstreams int  `json:"upstreams"`
	Ready     bool `json:"ready"`
}

// group is the set of entries, or of agents, that one child process runs.
type group interface {
	fillStats(s *stats)
	kill(index int)
	add() error
}

const anyPort = "127.0.0.1:0"

// childMain serves the commands on standard input until it ends.
func childMain(kind string, args []string) error {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return fault.Usage.Wrap(err, "parse the number of entries or agents")
	}
	start := startEntries
	if kind == kindAgents {
		start = startAgents
	}
	g, err := start(count, args[1], args[2])
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var c command
		if err := json.Unmarshal(in.Bytes(), &c); err != nil {
			return fault.Internal.Wrap(err, "decode command")
		}
		s, err := handle(g, c)
		if err != nil {
			return err
		}
		if err := out.Encode(s); err != nil {
			return fault.Internal.Wrap(err, "encode reply")
		}
	}
	return nil
}

func handle(g group, c command) (stats, error) {
	var s stats
	switch c.Op {
	case opKill:
		g.kill(c.Index)
	case opAdd:
		if err := g.add(); err != nil {
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
	g.fillStats(&s)
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

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func newIncarnation() string { return strconv.FormatUint(rand.Uint64(), 16) }

type entries struct {
	tableURL, keyDir string
	running          []*entry.Entry
	killed           map[int]bool
	started          int
}

func startEntries(count int, tableURL, keyDir string) (group, error) {
	e := &entries{tableURL: tableURL, keyDir: keyDir, killed: map[int]bool{}}
	for range count {
		if err := e.add(); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func (e *entries) add() error {
	files := pki.FilesOf(e.keyDir, pki.RoleEntry, keyName)
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
		ID: id + "-" + newIncarnation(), Host: id, DataCentre: "bdg-a", LinkListen: anyPort, HTTPListen: anyPort,
		Table: platform.NewHTTPTable(e.tableURL, nil), LinkServerTLS: server, LinkClientTLS: client,
		Dev: true, Settings: owner.DefaultSettings(), Log: discardLogger(),
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

func (e *entries) fillStats(s *stats) {
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
	tableURL, keyDir string
	running          []*agent.Agent
}

func startAgents(count int, tableURL, keyDir string) (group, error) {
	a := &agents{tableURL: tableURL, keyDir: keyDir}
	for range count {
		if err := a.add(); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *agents) add() error {
	client, err := pki.ClientConfig(pki.FilesOf(a.keyDir, pki.RoleAgent, keyName), pki.RoleEntry)
	if err != nil {
		return err
	}
	host := "worker-" + strconv.Itoa(len(a.running)+1)
	started, err := agent.Start(agent.Options{
		Host: host, Incarnation: newIncarnation(), DataCentre: "bdg-a", AnnounceListen: anyPort, LinkListen: anyPort,
		LinkClientTLS: client, Table: platform.NewHTTPTable(a.tableURL, nil),
		Settings: ledger.DefaultSettings(), Log: discardLogger(),
	})
	if err != nil {
		return err
	}
	a.running = append(a.running, started)
	return nil
}

func (a *agents) kill(index int) { a.running[index].Kill() }

func (a *agents) fillStats(s *stats) {
	s.Ready = true
	for _, running := range a.running {
		s.Addresses = append(s.Addresses, running.AnnounceAddress())
	}
}
