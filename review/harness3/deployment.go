package main

import (
	"fmt"
	"math/rand/v2"
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

// The deployment is a small one: two entries, and as many side machines that one worker is a
// tenth of them. The last one is alone in its rack.
const (
	entryCount = 2
	agentCount = 10
	rackSize   = 3

	frontPort    = ":8161"
	readyPort    = ":8167"
	controlPort  = ":8166"
	appPort      = ":8165"
	storePort    = ":8169"
	linkPort     = ":7720"
	serviceName  = "s"
	program      = "target/damasklb"
	startTimeout = 20 * time.Second
)

// kindA and kindB are two kinds of machines of a service.
var (
	kindA = kind{name: "a", cpu: 64_000, memMB: 131_072}
	kindB = kind{name: "b", cpu: 96_000, memMB: 196_608}
)

func route(name, prefix string) string {
	return `{"name":"` + name + `","host":"` + callerHost + `","prefix":"` + prefix + `","kind":"non_idempotent","timeout_ms":15000,` +
		`"target_latency_ms":60,"priority":0,"service":"` + serviceName + `","max_attempts":4,"stretch":1.6}`
}

// configuration has a queue for the jobs of the case, and one for those that show that the
// deployment serves.
var configuration = `{"version":7,"routes":[` + route("q", casePrefix) + `,` + route("p", probePrefix) + `],` +
	`"services":[{"name":"` + serviceName + `","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// process is a process of the project.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// deployment is a running system with its stand-ins.
type deployment struct {
	rec     *record
	dir     string
	network string
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	// fronts and links are the ways of callers and of agents to each entry.
	fronts, links []*proxy
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "damasklb-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore()}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("%s.%d", d.network, n) }

// chooseNetwork chooses loopback addresses whose ports are free.
func (d *deployment) chooseNetwork() error {
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		l, err := net.Listen("tcp", d.ip(1)+storePort)
		if err == nil {
			_ = l.Close()
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (d *deployment) start() error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("the program is not built: %w", err)
	}
	if err := d.chooseNetwork(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", d.ip(1)+storePort)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: d.store}).Serve(l) }()
	d.store.put("op", "config", []byte(configuration))
	for i := range entryCount {
		d.entries = append(d.entries, &process{name: fmt.Sprintf("front-%d", i+1), ip: d.ip(10 + i)})
	}
	for i, e := range d.entries {
		way := d.ip(20 + i)
		d.store.ways[e.ip+linkPort] = way + linkPort
		front, err := newProxy(way+frontPort, e.ip+frontPort)
		if err != nil {
			return err
		}
		link, err := newProxy(way+linkPort, e.ip+linkPort)
		if err != nil {
			return err
		}
		d.fronts, d.links = append(d.fronts, front), append(d.links, link)
	}
	for i := range agentCount {
		d.agents = append(d.agents, &process{name: fmt.Sprintf("side-%d", i+1), ip: d.ip(30 + i)})
	}
	if err := d.startAll(); err != nil {
		return err
	}
	live := &liveRuns{rec: d.rec, on: map[string][]liveRun{}}
	for i, p := range d.agents {
		k := kindA
		if i == agentCount-1 {
			k = kindB
		}
		w, err := newWorker(d.rec, p.name, p.ip+appPort, p.ip+controlPort, serviceName, fmt.Sprintf("r1-%d", i/rackSize+1), live, k)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	return d.awaitService()
}

// startAll starts all processes of the project.
func (d *deployment) startAll() error {
	for _, p := range d.entries {
		if err := d.startProcess(p, "entry"); err != nil {
			return err
		}
	}
	for _, p := range d.agents {
		if err := d.startProcess(p, "agent"); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a process with SIGKILL and waits for its end.
func (d *deployment) kill(p *process) {
	// It fails for a process that has ended.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// freeze stops a process and lets it go on after a time.
func (d *deployment) freeze(p *process, long time.Duration) {
	d.rec.note("%s is frozen for %v", p.name, long)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(long, func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		d.rec.note("%s wakes", p.name)
	})
}

// cut cuts an entry off from callers and agents for a time.
func (d *deployment) cut(entry int, long time.Duration) {
	d.rec.note("%s is cut off for %v", d.entries[entry].name, long)
	d.fronts[entry].cutFor(long)
	d.links[entry].cutFor(long)
	time.AfterFunc(long, func() { d.rec.note("the cut of %s ends", d.entries[entry].name) })
}

// settings writes the settings file of a process and returns its path.
func (d *deployment) settings(p *process, role string) (string, error) {
	var seeds []string
	for i := range d.entries {
		seeds = append(seeds, d.ip(20+i)+controlPort)
	}
	lines := []string{
		"node_name=" + p.name, "role=" + role, "ip=" + p.ip, "zone=z1", "region=r1", "zones.z1=r1", "internal_ports=7720,7735",
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "heartbeat_ms=1500", "limits.max_fds=4096", "limits.link_mbps=1000.0",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "orders=call", "listen.control=" + p.ip + controlPort,
		"platform.address=" + d.ip(1) + storePort, "platform.form=table", "platform.row_bytes=65536",
		"bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000", "bounds.max_hold_ms=1000",
		"bounds.stop_grace_ms=50", "bounds.cancel_ms=3000", "bounds.remote_penalty=1.5", "bounds.resend_ms=1300",
	}
	if role == "entry" {
		lines = append(lines, "machine_class=front", "serves=front,control", "limits.memory_mb=284", "listen.front="+p.ip+frontPort, "listen.ready="+p.ip+readyPort)
	} else {
		lines = append(lines, "machine_class=side", "serves=side", "limits.memory_mb=152", "app="+p.ip+appPort, "service="+serviceName)
	}
	path := filepath.Join(d.dir, p.name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startProcess starts a process with the command of the deploy file.
func (d *deployment) startProcess(p *process, role string) error {
	path, err := d.settings(p, role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "DAMASKLB_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		// The status of a process that the case has killed does not matter.
		_ = cmd.Wait()
		close(ended)
	}(p.ended)
	return nil
}

// awaitService waits until each entry completes a job of each kind of machine in turn, so that
// all workers are registered and linked.
func (d *deployment) awaitService() error {
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(200 * time.Millisecond) {
		served := 0
		for i := range d.entries {
			if d.probe(i, kindA, agentCount-1) && d.probe(i, kindB, 1) {
				served++
			}
		}
		if served == len(d.entries) && d.registered() {
			return nil
		}
	}
	return errNothingServed
}

// probe reports whether an entry completes a job that fills a number of machines of a kind.
func (d *deployment) probe(entry int, k kind, machines int) bool {
	j := newJob(2*machines, 20, taskSpec{MS: 20, CPU: k.cpu / 3, MemMB: 64, Requires: k.name})
	return d.submitTo(probePrefix, entry, j, 2*time.Second) == http.StatusOK
}

// registered reports whether each worker's agent has acknowledged a heartbeat.
func (d *deployment) registered() bool {
	for _, w := range d.workers {
		w.mu.Lock()
		known := w.acknowledged
		w.mu.Unlock()
		if !known {
			return false
		}
	}
	return true
}

func (d *deployment) processesEnded() int {
	n := 0
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		select {
		case <-p.ended:
			n++
		default:
		}
	}
	return n
}

// close ends all processes that were started.
func (d *deployment) close() {
	var wg sync.WaitGroup
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if p.cmd == nil {
			continue
		}
		wg.Go(func() { d.kill(p) })
	}
	wg.Wait()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(filepath.Join(keep, filepath.Base(d.dir)), os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}
