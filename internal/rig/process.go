package rig

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// startWait bounds the time until a process has printed its first line.
const startWait = 30 * time.Second

// Process is one child. It can be started again after it has ended.
type Process struct {
	Name string
	// Address is the TCP address that the process serves, Link the UDP address
	// of an entry's links.
	Address     string
	LinkAddress string

	args []string
	rig  *Rig

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the process and waits for its first line, which it prints when
// its ports are open.
func (p *Process) Start() error {
	cmd, err := p.rig.command(p.args)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.ChildFailed.Wrap(err, "open log of %s", p.Name)
	}
	defer log.Close()
	cmd.Stderr = log
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return fault.ChildFailed.Wrap(err, "open output of %s", p.Name)
	}
	started := make(chan error, 1)
	p.rig.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return fault.ChildFailed.Wrap(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	first := make(chan struct{})
	go func() {
		defer close(ended)
		out := bufio.NewReader(stdout)
		if _, err := out.ReadString('\n'); err == nil {
			close(first)
		}
		_, _ = io.Copy(io.Discard, out)
		// How the process has ended is up to whoever has ended it.
		_ = cmd.Wait()
	}()
	select {
	case <-first:
		return nil
	case <-ended:
		return fault.ChildFailed.New("%s ended at once, its log is %s", p.Name, p.tail())
	case <-time.After(startWait):
		return fault.ChildFailed.New("%s did not start within %s", p.Name, startWait)
	}
}

const tailBytes = 2000

func (p *Process) tail() string {
	raw, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-tailBytes):])
}

func (p *Process) logPath() string { return filepath.Join(p.rig.logs, p.Name+".log") }

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return fault.ChildFailed.New("%s was not started", p.Name)
	}
	if err := cmd.Process.Signal(s); err != nil {
		return fault.ChildFailed.Wrap(err, "signal %s", p.Name)
	}
	return nil
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Wait(startWait)
}

// Pause stops the process with SIGSTOP, Resume lets it go on.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to end, with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait waits until the process has ended.
func (p *Process) Wait(limit time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-time.After(limit):
		return fault.ChildFailed.New("%s has not ended within %s", p.Name, limit)
	}
}

// Restart waits for the end of the process and starts it again.
func (p *Process) WaitAndStart(limit time.Duration) error {
	if err := p.Wait(limit); err != nil {
		return err
	}
	return p.Start()
}

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
