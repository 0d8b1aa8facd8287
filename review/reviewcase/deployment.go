package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is the program of the deploy file, relative to the repository's root.
	program = "target/damasklb"
	// readyTimeout bounds the wait for the programs at the start.
	readyTimeout = 15 * time.Second
	// storePort and the others are the ports of the addresses in the settings.
	frontPort, controlPort, readyPort, appPort, workerPort, storePort, linkPort = 8161, 8166, 8167, 8165, 8175, 8169, 7720
	// loopbackNet is the first part of all addresses.
	loopbackNet = 127
)

// process is one program of the deployment.
type process struct {
	name, role, settings, log string
	record                    *recorder

	cmd  *exec.Cmd
	done chan struct{}
}

// started holds the processes that were started and not yet killed.
var started struct {
	mu    sync.Mutex
	procs map[*os.Process]bool
}

// killAll ends all processes that a case has left.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for p := range started.procs {
		// The process may have ended already.
		_ = p.Kill()
	}
}

func noteStarted(p *os.Process, running bool) {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.procs == nil {
		started.procs = map[*os.Process]bool{}
	}
	if running {
		started.procs[p] = true
		return
	}
	delete(started.procs, p)
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAMASKLB_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	noteStarted(cmd.Process, true)
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		// The exit status is that of a signal; an end by itself is seen by its effects.
		_ = cmd.Wait()
		noteStarted(cmd.Process, false)
		out.Close()
		close(done)
	}()
	p.record.log("process %s: %s platform %s, pid %d", p.name, program, p.role, cmd.Process.Pid)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	// The process may have ended already.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// options describe a deployment.
type options struct {
	entries int
	workers []kind
	// requestTimeout is the time of the queue's route.
	requestTimeout time.Duration
	// relayLinks puts a relay between the agents and each entry.
	relayLinks bool
}

// deployment is a small deployment: its programs, the store, and a worker behind a relay beside
// each agent.
type deployment struct {
	options
	dir     string
	subnet  int
	record  *recorder
	store   *store
	runs    *runLedger
	entries []*process
	agents  []*process
	workers []*worker
	relays  []*relay
	// linkRelays are the relays between the agents and each entry, if there are any.
	linkRelays []*relay
	stop       chan struct{}
	servers    []*http.Server

	wg sync.WaitGroup
}

func (d *deployment) ip(group, n int) string {
	return fmt.Sprintf("%d.%d.%d.%d", loopbackNet, d.subnet, group, n+1)
}

// Groups of addresses.
const (
	groupEntry = iota + 1
	groupAgent
	groupPlatform
	groupLinkRelay
)

// freeSubnet returns a part of the loopback network whose addresses are free.
func freeSubnet() int {
	first := 64 + os.Getpid()%128
	for i := range 128 {
		n := 64 + (first-64+i)%128
		l, err := net.Listen("tcp", fmt.Sprintf("%d.%d.%d.1:%d", loopbackNet, n, groupPlatform, storePort))
		if err == nil {
			l.Close()
			return n
		}
	}
	return first
}

func newDeployment(o options, r *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "damasklb-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, dir: dir, subnet: freeSubnet(), record: r, store: newStore(), runs: newRunLedger(r), stop: make(chan struct{})}
	stopOnSignal(r)
	d.store.put("op", "config", d.config())
	if err := d.serve(fmt.Sprintf("%s:%d", d.ip(groupPlatform, 0), storePort), d.store); err != nil {
		return d, err
	}
	if o.relayLinks {
		if err := d.addLinkRelays(); err != nil {
			return d, err
		}
	}
	for i := range o.entries {
		d.entries = append(d.entries, d.process(fmt.Sprintf("front-%d", i+1), "entry", d.ip(groupEntry, i), true))
	}
	for i, k := range o.workers {
		ip := d.ip(groupAgent, i)
		w := newWorker(fmt.Sprintf("w%d", i+1), fmt.Sprintf("i-%010x", 0x7f3a91c200+i), k, fmt.Sprintf("http://%s:%d", ip, controlPort), d.runs, r)
		if err := d.serve(fmt.Sprintf("%s:%d", ip, workerPort), w); err != nil {
			return d, err
		}
		relay, err := newRelay(fmt.Sprintf("%s:%d", ip, appPort), fmt.Sprintf("%s:%d", ip, workerPort))
		if err != nil {
			return d, err
		}
		w.linkUp = relay.up
		d.workers, d.relays = append(d.workers, w), append(d.relays, relay)
		d.agents = append(d.agents, d.process(fmt.Sprintf("side-%d", i+1), "agent", ip, false))
	}
	return d, d.start()
}

// addLinkRelays opens a relay for the links to each entry, and makes the store name its address in
// place of the entry's.
func (d *deployment) addLinkRelays() error {
	for i := range d.options.entries {
		r, err := newRelay(fmt.Sprintf("%s:%d", d.ip(groupLinkRelay, i), linkPort), fmt.Sprintf("%s:%d", d.ip(groupEntry, i), linkPort))
		if err != nil {
			return err
		}
		d.linkRelays = append(d.linkRelays, r)
	}
	d.store.rewrite = func(table string, value []byte) []byte {
		text := string(value)
		for i := range d.linkRelays {
			if table == "hosts" {
				text = strings.ReplaceAll(text, fmt.Sprintf("%s:%d", d.ip(groupEntry, i), linkPort), d.linkRelays[i].address)
			}
		}
		return []byte(text)
	}
	return nil
}

// seed returns the address of the first entry for agents.
func (d *deployment) seed() string {
	if d.relayLinks {
		return fmt.Sprintf("%s:%d", d.ip(groupLinkRelay, 0), controlPort)
	}
	return fmt.Sprintf("%s:%d", d.ip(groupEntry, 0), controlPort)
}

func (d *deployment) start() error {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	// Workers register once their side machine takes heartbeats.
	deadline := time.Now().Add(readyTimeout)
	for i := range d.workers {
		if !waitFor(deadline, func() bool { return dials(fmt.Sprintf("%s:%d", d.ip(groupAgent, i), controlPort)) }) {
			return fmt.Errorf("side-%d does not listen", i+1)
		}
	}
	for _, w := range d.workers {
		w.mu.Lock()
		w.nextBeat = time.Now()
		w.mu.Unlock()
		d.spawn(func() { w.loop(d.stop) })
	}
	return nil
}

// awaitReady waits until all entries report that they are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for i := range d.entries {
		url := fmt.Sprintf("http://%s:%d/ready", d.ip(groupEntry, i), readyPort)
		if !waitFor(deadline, func() bool { return statusOf(url) == http.StatusOK }) {
			return fmt.Errorf("front-%d is not ready", i+1)
		}
	}
	d.record.log("all entries are ready")
	return nil
}

func waitFor(deadline time.Time, f func() bool) bool {
	for !f() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

func dials(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func statusOf(url string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (d *deployment) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

func (d *deployment) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

func (d *deployment) process(name, role, ip string, front bool) *process {
	class, share, memory := "side", "0.24", "152"
	if front {
		class, share, memory = "front", "0.4", "284"
	}
	lines := []string{
		"node_name=" + name, "role=" + role, "machine_class=" + class, "ip=" + ip, "zone=z-1", "region=r-1", "zones.z-1=r-1",
		fmt.Sprintf("listen.control=%s:%d", ip, controlPort), fmt.Sprintf("internal_ports=%d,%d", linkPort, linkPort+15),
		"seeds=" + d.seed(), "bootstrap=true", "loss_counts=false",
		"limits.cpu_share=" + share, "limits.cores=1", "limits.memory_mb=" + memory, "limits.max_fds=4096", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=local", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.max_hold_ms=1000", "bounds.stop_grace_ms=50",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.remote_penalty=1.5", "bounds.resend_ms=1300", "orders=call",
		fmt.Sprintf("platform.address=%s:%d", d.ip(groupPlatform, 0), storePort), "platform.form=table",
	}
	if front {
		lines = append(lines, "serves=front,control", fmt.Sprintf("listen.front=%s:%d", ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", ip, readyPort))
	} else {
		lines = append(lines, "serves=side", fmt.Sprintf("app=%s:%d", ip, appPort), "service="+serviceName)
	}
	path := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		d.record.log("settings of %s: %v", name, err)
	}
	return &process{name: name, role: role, settings: path, log: filepath.Join(d.dir, name+".log"), record: d.record}
}

// host and prefix are those of the only queue.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

func (d *deployment) config() []byte {
	return fmt.Appendf(nil, `{"version":7,"routes":[{"name":"r-1","host":%q,"prefix":%q,"kind":"non_idempotent","timeout_ms":%d,`+
		`"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":4,"stretch":1.6}],`+
		`"services":[{"name":%q,"admission_check":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":60000}}`,
		queueHost, queuePrefix, d.requestTimeout.Milliseconds(), serviceName, serviceName)
}

// stopOnSignal ends the processes if this one is told to end.
func stopOnSignal(r *recorder) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		r.log("ended by %s", <-ch)
		killAll()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.kill()
	}
	close(d.stop)
	d.wg.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		d.record.log("logs are in %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
