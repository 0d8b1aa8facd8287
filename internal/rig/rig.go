// Package rig runs damasklb as separate processes on loopback, for tests,
// benchmarks and evaluation: a table stand-in, entries, and agents with a sample
// upstream each. It can kill, stop, resume and restart each process, set the
// table's faults and silence links. All processes end with the rig, also when
// the program that holds it is killed.
package rig

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/damasklb/damasklb/internal/cli"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
)

// childVariable marks a process that Main turns into damasklb.
const childVariable = "DAMASKLB_RIG_CHILD"

const (
	loopback    = "127.0.0.1"
	keyValidity = 24 * time.Hour
	// DefaultReadyWait bounds the start of all processes. It leaves room for a
	// shared machine and for the race detector.
	DefaultReadyTimeout = 60 * time.Second
)

// Options set the size and kind of the system.
type Options struct {
	// Binary is the damasklb program. If empty, the present program is used, and
	// must call Main first.
	Binary  string
	Entries int
	Agents  int
	// Slots is the number of tasks that each sample upstream runs at a time.
	Slots int
	// DrainDelay is how long a leaving entry accepts requests.
	DrainDelay time.Duration
	// TLS runs the entries without dev mode, so that callers need certificates.
	TLS bool
	// Relays puts a Relay in front of the link port of each entry.
	Relays bool
	// LogDir keeps the processes' logs; if empty, they are removed at the end.
	LogDir    string
	ReadyWait time.Duration
}

// DefaultOptions return three entries and eleven agents of eight slots.
func DefaultOptions() Options {
	return Options{Entries: 3, Agents: 11, Slots: 8, DrainDelay: 3 * time.Second, ReadyWait: DefaultReadyTimeout}
}

// Main turns the process into damasklb if a rig has started it as such. Programs
// and tests that use a rig without a Binary call it first.
func Main() {
	if os.Getenv(childVariable) == "" {
		return
	}
	env := cli.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(cli.Run(context.Background(), os.Args[1:], env))
}

// Rig is a running system.
type Rig struct {
	Table     *Process
	Entries   []*Process
	Agents    []*Process
	Upstreams []*Process
	// Relays are in front of the entries' link ports, in their order.
	Relays []*Relay
	// Keys is the directory with the certificates; Authority has signed them.
	KeyDir    string
	Authority *pki.Authority

	opts     Options
	dir      string
	logs     string
	spawn    chan func()
	operator *http.Client
	children []*Process
}

// Start starts the processes and waits until each entry is ready and knows all
// upstreams.
func Start(o Options) (*Rig, error) {
	dir, err := os.MkdirTemp("", "damasklb-rig-")
	if err != nil {
		return nil, fault.ChildFailed.Wrap(err, "make the rig's directory")
	}
	r := &Rig{opts: o, dir: dir, logs: o.LogDir, KeyDir: filepath.Join(dir, "keys"), spawn: make(chan func())}
	go r.spawner()
	if r.logs == "" {
		r.logs = dir
	}
	if err := r.startAll(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Group returns a rig without processes, for systems that its user puts together
// from Child. LogDir of the options is needed.
func New(o Options) *Rig {
	r := &Rig{opts: o, logs: o.LogDir, spawn: make(chan func())}
	go r.spawner()
	return r
}

// Child returns a process of the rig that runs damasklb with the arguments. It is
// not started yet.
func (r *Rig) AddProcess(name string, args ...string) *Process {
	p := &Process{Name: name, args: args, rig: r}
	r.children = append(r.children, p)
	return p
}

// spawner starts children on one thread that lives as long as the rig, because
// the kernel sends the parent-death signal when the starting thread ends.
func (r *Rig) spawner() {
	runtime.LockOSThread()
	for start := range r.spawn {
		start()
	}
}

func (r *Rig) startAll() error {
	if err := os.MkdirAll(r.logs, 0o755); err != nil {
		return fault.ChildFailed.Wrap(err, "make directory %s", r.logs)
	}
	if err := r.issueKeys(); err != nil {
		return err
	}
	operator, err := r.operatorClient()
	if err != nil {
		return err
	}
	r.operator = operator
	if err := r.plan(); err != nil {
		return err
	}
	if err := r.Table.Start(); err != nil {
		return err
	}
	// The order within a group does not matter, that of the groups saves retries.
	for _, group := range [][]*Process{r.Entries, r.Agents, r.Upstreams} {
		var starts errgroup.Group
		for _, p := range group {
			starts.Go(p.Start)
		}
		if err := starts.Wait(); err != nil {
			return err
		}
	}
	return r.WaitReady(r.opts.ReadyWait)
}

func (r *Rig) issueKeys() error {
	authority, err := pki.NewAuthority("damasklb rig")
	if err != nil {
		return err
	}
	r.Authority = authority
	if err := authority.Save(r.KeyDir); err != nil {
		return err
	}
	for i := range r.opts.Entries {
		if _, err := r.Issue(entryHost(i), pki.RoleEntry); err != nil {
			return err
		}
	}
	for i := range r.opts.Agents {
		if _, err := r.Issue(agentHost(i), pki.RoleAgent); err != nil {
			return err
		}
	}
	return nil
}

// Issue makes a certificate for loopback.
func (r *Rig) Issue(name string, role pki.Role) (pki.Files, error) {
	return r.Authority.IssueTo(r.KeyDir, name, role, []string{loopback}, keyValidity)
}

func entryHost(i int) string { return fmt.Sprintf("e%d", i+1) }
func agentHost(i int) string { return fmt.Sprintf("w%d", i+1) }

// plan fixes the addresses and arguments of all processes, so that each can be
// restarted where it was.
func (r *Rig) plan() error {
	ports := newPorts()
	table, err := ports.next()
	if err != nil {
		return err
	}
	r.Table = r.process("table", table, "dev", "table", "--listen", table)
	for i := range r.opts.Entries {
		if err := r.planEntry(ports, i); err != nil {
			return err
		}
	}
	for i := range r.opts.Agents {
		if err := r.planAgent(ports, i); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) planEntry(ports *ports, i int) error {
	callers, err := ports.next()
	if err != nil {
		return err
	}
	link, err := ports.next()
	if err != nil {
		return err
	}
	args := []string{"entry", "--host", entryHost(i), "--data-centre", "dc", "--table-url", "http://" + r.Table.Address,
		"--keys", r.KeyDir, "--listen", callers, "--link-listen", link, "--drain-delay", r.opts.DrainDelay.String()}
	if !r.opts.TLS {
		args = append(args, "--dev")
	}
	if r.opts.Relays {
		relay, err := NewRelay(link)
		if err != nil {
			return err
		}
		r.Relays = append(r.Relays, relay)
		args = append(args, "--link-address", relay.Address())
	}
	p := r.process(entryHost(i), callers, args...)
	p.LinkAddress = link
	r.Entries = append(r.Entries, p)
	return nil
}

func (r *Rig) planAgent(ports *ports, i int) error {
	announce, err := ports.next()
	if err != nil {
		return err
	}
	upstream, err := ports.next()
	if err != nil {
		return err
	}
	r.Agents = append(r.Agents, r.process(agentHost(i), announce, "agent", "--host", agentHost(i), "--data-centre", "dc",
		"--table-url", "http://"+r.Table.Address, "--keys", r.KeyDir, "--announce-listen", announce))
	r.Upstreams = append(r.Upstreams, r.process("u-"+agentHost(i), upstream, "dev", "upstream", "--listen", upstream,
		"--agent-url", "http://"+announce, "--slots", fmt.Sprint(r.opts.Slots)))
	return nil
}

func (r *Rig) process(name, address string, args ...string) *Process {
	return &Process{Name: name, Address: address, args: args, rig: r}
}

func (r *Rig) command(args []string) (*exec.Cmd, error) {
	binary := r.opts.Binary
	environment := os.Environ()
	if binary == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, fault.ChildFailed.Wrap(err, "find the present program")
		}
		binary = self
		environment = append(environment, childVariable+"=1")
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = environment
	cmd.SysProcAttr = childAttributes()
	return cmd, nil
}

func (r *Rig) all() []*Process {
	var all []*Process
	for _, group := range [][]*Process{r.children, r.Upstreams, r.Agents, r.Entries} {
		all = append(all, group...)
	}
	if r.Table != nil {
		all = append(all, r.Table)
	}
	return all
}

// Close kills all processes and removes the rig's files.
func (r *Rig) Close() {
	for _, p := range r.all() {
		// A process that has ended needs no signal.
		_ = p.Kill()
	}
	for _, relay := range r.Relays {
		relay.Close()
	}
	close(r.spawn)
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}

// URLs returns the URLs of the entries.
func (r *Rig) URLs() []string {
	scheme := "http://"
	if r.opts.TLS {
		scheme = "https://"
	}
	var urls []string
	for _, p := range r.Entries {
		urls = append(urls, scheme+p.Address)
	}
	return urls
}

// faultMarks are what a process writes to its log when the program is wrong.
var faultMarks = []string{"DATA RACE", "panic:", "fatal error:", "invariant violated"}

// Faults returns the log lines that tell of data races, panics and violated
// invariants.
func (r *Rig) FailureLogLines() []string {
	var found []string
	for _, p := range r.all() {
		raw, err := os.ReadFile(p.logPath())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			for _, mark := range faultMarks {
				if strings.Contains(line, mark) {
					found = append(found, p.Name+": "+strings.TrimSpace(line))
				}
			}
		}
	}
	return found
}
