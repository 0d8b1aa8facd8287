package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all hosts of a deployment, and each host has a loopback address of its own.
const (
	callerPort  = 18161
	controlPort = 18166
	readyPort   = 18167
	appPort     = 18165
	storePort   = 18169
	firstPort   = 17720
	lastPort    = 17735
	// dataCentre is the only zone of the deployment.
	dataCentre = "zone-a"
	// service is the service of all upstreams, and queueHost and queuePrefix select the queue.
	service     = "svc1"
	queueHost   = "queue.example"
	queuePrefix = "/q/"
	program     = "target/damasklb"
	// startTime is the time from the start of the hosts to that of the traffic.
	startTime = 10 * time.Second
)

// deployment is a small deployment: the store, entries, and agents with their upstreams.
type deployment struct {
	trouble bool
	network string
	folder  string
	begin   time.Time
	store   *store
	servers []*http.Server

	mu        sync.Mutex // guards the fields below
	file      *os.File
	processes []*process
	nextHost  int
	// runs counts the starts and ends of runs. With summary they are not recorded one by one.
	runs    map[string]int
	summary bool
	// running counts the runs of each task that go on, twice the starts beside another run.
	running map[string]int
	twice   int
	// relayed holds, by the address of an entry, that of the relay before its links.
	relayed map[string]string
}

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build line of deploy/system.toml has to run before: %w", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "damasklb-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, folder: folder, begin: time.Now(), store: newStore(), file: file, nextHost: 10, runs: map[string]int{}, running: map[string]int{}}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d.", 20+rand.Intn(200), 1+rand.Intn(250))
		if err = d.serve(d.storeAddress(), d.store); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	d.record("trouble=%v network=%s0/24", trouble, d.network)
	return d, nil
}

func (d *deployment) storeAddress() string {
	return net.JoinHostPort(d.network+"2", fmt.Sprint(storePort))
}

// serve serves a stand-in on an address.
func (d *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.record("stand-in on %s failed: %v", address, err)
		}
	}()
	return nil
}

// record writes a line with the time since the start in milliseconds.
func (d *deployment) record(format string, args ...any) {
	line := fmt.Sprintf("%8.1f ", float64(time.Since(d.begin).Microseconds())/1000) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintln(d.file, line)
	if strings.Contains(line, "RESULT") || strings.Contains(line, "BROKEN") || strings.Contains(line, "could not") {
		fmt.Println(line)
	}
}

// recordRun counts a start or an end of a run, and records it unless there are very many.
func (d *deployment) recordRun(h host, task string, run uint64, what string) {
	if !d.summary {
		d.record("%s: run %s/%d %s", h.name, task, run, what)
	}
	d.mu.Lock()
	beside := d.running[task]
	d.runs[what]++
	if what == "starts" {
		d.running[task]++
		if beside > 0 {
			d.twice++
		}
	} else {
		d.running[task]--
		beside = 0
	}
	d.mu.Unlock()
	if beside > 0 {
		d.record("BROKEN: task %s starts on %s while another run of it goes on", task, h.name)
	}
}

// ranTwice returns the number of starts beside another run of the same task.
func (d *deployment) ranTwice() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.twice
}

func (d *deployment) runCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.runs)
}

// end ends all processes that the case has started and removes its folder.
func (d *deployment) end() {
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.file.Close()
}

// route is a queue of the operator's configuration.
type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	Prefix        string  `json:"prefix"`
	Service       string  `json:"service"`
	Priority      int     `json:"priority"`
	MaxAttempts   int     `json:"max_attempts"`
	Stretch       float64 `json:"stretch"`
	TargetLatency int     `json:"target_latency_ms"`
	Timeout       int     `json:"timeout_ms"`
}

// configure makes the operator write a configuration with one queue.
func (d *deployment) configure(version, targetLatencyMS int) error {
	return d.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []route{{Name: "queue1", Host: queueHost, Prefix: queuePrefix, Service: service, MaxAttempts: 4, Stretch: 1.6,
			TargetLatency: targetLatencyMS, Timeout: 60_000}},
		"services": []map[string]any{{"name": service, "admission_check": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60_000},
	})
}

// host is a host of the deployment with the settings of its program.
type host struct {
	name, ip, role string
}

func (d *deployment) newHost(role string) host {
	d.nextHost++
	return host{name: fmt.Sprintf("%s-%d", role, d.nextHost), ip: fmt.Sprintf("%s%d", d.network, d.nextHost), role: role}
}

func (h host) address(port int) string { return net.JoinHostPort(h.ip, fmt.Sprint(port)) }

// settings are those of the pages' example, with the addresses of this deployment.
func (d *deployment) settings(h host, seeds []string) string {
	lines := []string{
		"node_name=" + h.name, "role=" + h.role, "ip=" + h.ip, "zone=" + dataCentre, "region=region-1", "zones." + dataCentre + "=region-1",
		"listen.control=" + h.address(controlPort), fmt.Sprintf("internal_ports=%d,%d", firstPort, lastPort),
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "loss_counts=false", "limits.cpu_share=0.4", "limits.cores=1",
		"limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=local", "entry=vip",
		"heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.recovery_s=12", "bounds.max_hold_ms=1000",
		"bounds.stop_grace_ms=50", "bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_penalty=1.5", "bounds.checkpoint_s=0.5",
		"bounds.restore_ms=100", "bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.maintenance_s=2",
		"bounds.enforce_fencing=false", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.pace_ms=100",
		"bounds.harm_ms=4000", "bounds.resend_ms=1300", "orders=call",
		"platform.address=" + d.storeAddress(), "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000",
	}
	if h.role == "entry" {
		lines = append(lines, "machine_class=front", "serves=front,control",
			"listen.front="+h.address(callerPort), "listen.ready="+h.address(readyPort))
	} else {
		lines = append(lines, "machine_class=side", "serves=side", "app="+h.address(appPort), "service="+service)
	}
	return strings.Join(lines, "\n") + "\n"
}

// process is a program of the system on a host.
type process struct {
	host  host
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the host's program with the command of the deploy file.
func (d *deployment) start(h host, seeds []string) (*process, error) {
	path := filepath.Join(d.folder, h.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(h, seeds)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{host: h, cmd: exec.Command(program, "platform", h.role), ended: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "DAMASKLB_SETTINGS=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	d.record("%s started as process %d", h.name, p.cmd.Process.Pid)
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		d.record("%s ended: %v", h.name, err)
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		// It may have ended at this moment.
		_ = p.cmd.Process.Signal(s)
	}
}

// startAll starts entries and agents with an upstream each, and waits until all entries are ready.
func (d *deployment) startAll(entries, agents, targetLatencyMS int) ([]*process, []*process, []*upstream, error) {
	if err := d.configure(7, targetLatencyMS); err != nil {
		return nil, nil, nil, err
	}
	var hosts []host
	var seeds []string
	for range entries {
		h := d.newHost("entry")
		hosts = append(hosts, h)
		seed := h
		if ip := d.relayed[h.ip]; ip != "" {
			seed.ip = ip
			d.store.replaced[h.address(firstPort)] = seed.address(firstPort)
		}
		seeds = append(seeds, seed.address(controlPort))
	}
	seeds = seeds[:min(len(seeds), 3)]
	var fronts, sides []*process
	var upstreams []*upstream
	for range agents {
		h := d.newHost("agent")
		u := newUpstream(d, h)
		if err := d.serve(h.address(appPort), u); err != nil {
			return nil, nil, nil, err
		}
		upstreams = append(upstreams, u)
		p, err := d.start(h, seeds)
		if err != nil {
			return nil, nil, nil, err
		}
		sides = append(sides, p)
		go u.live()
	}
	for _, h := range hosts {
		p, err := d.start(h, seeds)
		if err != nil {
			return nil, nil, nil, err
		}
		fronts = append(fronts, p)
	}
	deadline := time.Now().Add(startTime)
	for _, p := range fronts {
		for !ready(p.host) {
			if time.Now().After(deadline) {
				return nil, nil, nil, fmt.Errorf("%s is not ready", p.host.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	d.record("all entries are ready")
	return fronts, sides, upstreams, nil
}

// ready asks an entry for its readiness as the platform does.
func ready(h host) bool {
	client := &http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}
