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

// processTimeout bounds the time until a started process has printed its first
// line, and the time until a killed process has ended.
const processTimeout = 30 * time.Second

// Process is one child process. It can be started again after it has ended.
type Process struct {
	Name string
	// Address is the TCP address that the process serves, LinkAddress the UDP
	// address of an entry's links.
	Address     string
	LinkAddress string

	args []string
	rig  *Rig

	mu     sync.Mutex
	cmd    *exec.Cmd
	output io.Closer
	ended  chan struct{}
}

// Start starts the process and waits for its first line of output, which it
// prints when its ports are open.
func (p *Process) Start() error {
	cmd, err := p.rig.command(p.args)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.ChildFailed.Wrap(err, "open log of %s", p.Name)
	}
	cmd.Stderr = log
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		log.Close()
		return fault.ChildFailed.Wrap(err, "open output of %s", p.Name)
	}
	started := make(chan error, 1)
	p.rig.startRequests <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		log.Close()
		return fault.ChildFailed.Wrap(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.output, p.ended = cmd, stdout, ended
	p.mu.Unlock()
	first := make(chan struct{})
	go func() {
		defer close(ended)
		defer log.Close()
		out := bufio.NewReader(stdout)
		line, err := out.ReadString('\n')
		// The programs of the hosting platform log to standard output. A log that cannot
		// be written must not block the process.
		_, _ = log.WriteString(line)
		if err == nil {
			close(first)
		}
		if _, err := io.Copy(log, out); err != nil {
			_, _ = io.Copy(io.Discard, out)
		}
		// The exit status is ignored: the rig's user ends processes on purpose.
		_ = cmd.Wait()
	}()
	select {
	case <-first:
		return nil
	case <-ended:
		return fault.ChildFailed.New("%s ended before its first line, end of its log: %s", p.Name, p.tail())
	case <-time.After(processTimeout):
		return fault.ChildFailed.New("%s printed no line within %s", p.Name, processTimeout)
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
	return p.Wait(processTimeout)
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful shutdown.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// CloseOutput closes the reading end of the process's standard output, as if the reader of its log
// had ended.
func (p *Process) CloseOutput() error {
	p.mu.Lock()
	output := p.output
	p.mu.Unlock()
	if output == nil {
		return fault.ChildFailed.New("%s was not started", p.Name)
	}
	if err := output.Close(); err != nil {
		return fault.ChildFailed.Wrap(err, "close output of %s", p.Name)
	}
	return nil
}

// Hangup sends SIGHUP, which announces a change of the settings.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Wait waits until the process has ended, at most for the limit.
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

// WaitDone waits as Wait does, and fails if the process has not ended by itself with status 0.
func (p *Process) WaitDone(limit time.Duration) error {
	if err := p.Wait(limit); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.cmd.ProcessState.Success() {
		return fault.ChildFailed.New("%s has ended: %s", p.Name, p.cmd.ProcessState)
	}
	return nil
}

// WaitAndStart waits until the process has ended, at most for the limit, and
// starts it again. It does not end the process.
func (p *Process) WaitAndStart(limit time.Duration) error {
	if err := p.Wait(limit); err != nil {
		return err
	}
	return p.Start()
}

// PID returns the process id, or 0 if the process was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
