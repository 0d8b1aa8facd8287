// Package rig runs damasklb as separate processes on loopback, for tests,
// benchmarks and evaluation: a table stand-in, entries, and agents with a sample
// upstream each. It can kill, pause, resume and restart each process, inject
// faults into the table and drop the packets of links. All processes end with
// the rig; on Linux also when the program that uses it is killed.
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

// childEnvVar is set in a process that Main turns into damasklb.
const childEnvVar = "DAMASKLB_RIG_CHILD"

const (
	loopback            = "127.0.0.1"
	certificateValidity = 24 * time.Hour
	// DefaultReadyTimeout bounds the start of all processes. It is long enough for a
	// shared machine and for the race detector.
	DefaultReadyTimeout = 60 * time.Second
)

// Options set the size and kind of the system.
type Options struct {
	// Binary is the damasklb program. If empty, the current executable is used,
	// and must call Main first.
	Binary  string
	Entries int
	Agents  int
	// Slots is the number of tasks that each sample upstream runs at a time.
	Slots int
	// DataCentres are those of the agents, in turn; if empty, all are in "dc", as the
	// entries are.
	DataCentres []string
	// DrainDelay is the time for which a draining entry still accepts requests.
	DrainDelay time.Duration
	// TLS runs the entries without dev mode, so that callers need certificates.
	TLS bool
	// Relays puts a Relay in front of the link port of each entry.
	Relays bool
	// LogDir is the directory of the processes' logs; if empty, the logs are
	// removed by Close.
	LogDir       string
	ReadyTimeout time.Duration
}

// DefaultOptions return three entries and eleven agents of eight slots.
func DefaultOptions() Options {
	return Options{Entries: 3, Agents: 11, Slots: 8, DrainDelay: 3 * time.Second, ReadyTimeout: DefaultReadyTimeout}
}

// Main runs damasklb and exits if a rig has started this process for it.
// Programs and tests that use a rig without a Binary call it first.
func Main() {
	if os.Getenv(childEnvVar) == "" {
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
	// KeyDir is the directory with the certificates; Authority has signed them.
	KeyDir    string
	Authority *pki.Authority

	opts          Options
	dir           string
	logs          string
	startRequests chan func()
	operator      *http.Client
	children      []*Process
}

// Start starts the processes and waits until each entry is ready and lists all
// upstreams, and no takeover is open.
func Start(o Options) (*Rig, error) {
	dir, err := os.MkdirTemp("", "damasklb-rig-")
	if err != nil {
		return nil, fault.ChildFailed.Wrap(err, "make the rig's directory")
	}
	r := &Rig{opts: o, dir: dir, logs: o.LogDir, KeyDir: filepath.Join(dir, "keys"), startRequests: make(chan func())}
	go r.startChildren()
	if r.logs == "" {
		r.logs = dir
	}
	if err := r.startAll(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// New returns a rig without processes, for systems whose processes its user
// defines with AddProcess. The options must name a LogDir.
func New(o Options) *Rig {
	r := &Rig{opts: o, logs: o.LogDir, startRequests: make(chan func())}
	go r.startChildren()
	return r
}

// AddProcess adds a process to the rig that runs damasklb with the arguments. It
// does not start the process.
func (r *Rig) AddProcess(name string, args ...string) *Process {
	p := &Process{Name: name, args: args, rig: r}
	r.children = append(r.children, p)
	return p
}

// startChildren starts processes on one thread that runs as long as the rig,
// because the kernel sends the parent-death signal when the starting thread ends.
func (r *Rig) startChildren() {
	runtime.LockOSThread()
	for start := range r.startRequests {
		start()
	}
}

func (r *Rig) startAll() error {
	if err := os.MkdirAll(r.logs, 0o755); err != nil {
		return fault.ChildFailed.Wrap(err, "make directory %s", r.logs)
	}
	if err := r.issueCertificates(); err != nil {
		return err
	}
	operator, err := r.operatorClient()
	if err != nil {
		return err
	}
	r.operator = operator
	if err := r.defineProcesses(); err != nil {
		return err
	}
	if err := r.Table.Start(); err != nil {
		return err
	}
	// The processes of a group start in any order. Starting the groups in this
	// order saves retries.
	for _, group := range [][]*Process{r.Entries, r.Agents, r.Upstreams} {
		var starts errgroup.Group
		for _, p := range group {
			starts.Go(p.Start)
		}
		if err := starts.Wait(); err != nil {
			return err
		}
	}
	return r.WaitReady(r.opts.ReadyTimeout)
}

func (r *Rig) issueCertificates() error {
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
	return r.Authority.IssueTo(r.KeyDir, name, role, []string{loopback}, certificateValidity)
}

func entryHost(i int) string { return fmt.Sprintf("e%d", i+1) }
func agentHost(i int) string { return fmt.Sprintf("w%d", i+1) }

// defineProcesses fixes the addresses and arguments of all processes, so that
// each can be restarted on its old addresses.
func (r *Rig) defineProcesses() error {
	ports := newPorts()
	tableAddress, err := ports.next()
	if err != nil {
		return err
	}
	r.Table = r.newProcess("table", tableAddress, "dev", "table", "--listen", tableAddress)
	for i := range r.opts.Entries {
		if err := r.defineEntry(ports, i); err != nil {
			return err
		}
	}
	for i := range r.opts.Agents {
		if err := r.defineAgent(ports, i); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) defineEntry(ports *ports, i int) error {
	httpAddress, err := ports.next()
	if err != nil {
		return err
	}
	linkAddress, err := ports.next()
	if err != nil {
		return err
	}
	args := []string{"entry", "--host", entryHost(i), "--data-centre", "dc", "--table-url", "http://" + r.Table.Address,
		"--keys", r.KeyDir, "--listen", httpAddress, "--link-listen", linkAddress, "--drain-delay", r.opts.DrainDelay.String()}
	if !r.opts.TLS {
		args = append(args, "--dev")
	}
	if r.opts.Relays {
		relay, err := NewRelay(linkAddress)
		if err != nil {
			return err
		}
		r.Relays = append(r.Relays, relay)
		args = append(args, "--link-address", relay.Address())
	}
	p := r.newProcess(entryHost(i), httpAddress, args...)
	p.LinkAddress = linkAddress
	r.Entries = append(r.Entries, p)
	return nil
}

func (r *Rig) defineAgent(ports *ports, i int) error {
	announceAddress, err := ports.next()
	if err != nil {
		return err
	}
	upstreamAddress, err := ports.next()
	if err != nil {
		return err
	}
	r.Agents = append(r.Agents, r.newProcess(agentHost(i), announceAddress, "agent", "--host", agentHost(i), "--data-centre", r.agentDataCentre(i),
		"--table-url", "http://"+r.Table.Address, "--keys", r.KeyDir, "--announce-listen", announceAddress))
	r.Upstreams = append(r.Upstreams, r.newProcess("u-"+agentHost(i), upstreamAddress, "dev", "upstream", "--listen", upstreamAddress,
		"--agent-url", "http://"+announceAddress, "--slots", fmt.Sprint(r.opts.Slots)))
	return nil
}

func (r *Rig) agentDataCentre(i int) string {
	if len(r.opts.DataCentres) == 0 {
		return "dc"
	}
	return r.opts.DataCentres[i%len(r.opts.DataCentres)]
}

func (r *Rig) newProcess(name, address string, args ...string) *Process {
	return &Process{Name: name, Address: address, args: args, rig: r}
}

func (r *Rig) command(args []string) (*exec.Cmd, error) {
	binary := r.opts.Binary
	environment := os.Environ()
	if binary == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, fault.ChildFailed.Wrap(err, "find the current executable")
		}
		binary = self
		environment = append(environment, childEnvVar+"=1")
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
		// Kill fails for a process that has ended or was never started.
		_ = p.Kill()
	}
	for _, relay := range r.Relays {
		relay.Close()
	}
	close(r.startRequests)
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

// failurePatterns are the strings by which FailureLogLines finds the log lines of
// a data race, a panic, a fatal runtime error or a violated invariant.
var failurePatterns = []string{"DATA RACE", "panic:", "fatal error:", "invariant violated"}

// FailureLogLines returns the log lines that report data races, panics, fatal
// runtime errors and violated invariants, each with the name of its process.
func (r *Rig) FailureLogLines() []string {
	var found []string
	for _, p := range r.all() {
		raw, err := os.ReadFile(p.logPath())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			for _, pattern := range failurePatterns {
				if strings.Contains(line, pattern) {
					found = append(found, p.Name+": "+strings.TrimSpace(line))
				}
			}
		}
	}
	return found
}
