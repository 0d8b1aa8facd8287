package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// usageInterval is the time between two samples of the processes' usage.
const usageInterval = 20 * time.Millisecond

// Usage is what a process uses of its host at most. Sizes are in bytes.
type Usage struct {
	// Memory is the resident memory and the unread bytes of the process's sockets, Unread
	// these alone.
	Memory, Unread int64
	// Descriptors is the number of open files and sockets.
	Descriptors int
	// Ended is set if the process no longer runs.
	Ended bool
}

// Sampler records the largest usage of processes until it is stopped. It reads /proc.
type Sampler struct {
	processes []*Process
	stopping  chan struct{}
	stopped   chan struct{}
	largest   map[string]Usage
}

// StartSampler starts to record the usage of running processes.
func StartSampler(processes []*Process) *Sampler {
	s := &Sampler{processes: processes, stopping: make(chan struct{}), stopped: make(chan struct{}), largest: map[string]Usage{}}
	go func() {
		defer close(s.stopped)
		for {
			s.sample()
			select {
			case <-s.stopping:
				s.sample()
				return
			case <-time.After(usageInterval):
			}
		}
	}()
	return s
}

func (s *Sampler) sample() {
	unread := unreadBytes()
	for _, p := range s.processes {
		now, most := usageOf(p.PID(), unread), s.largest[p.Name]
		s.largest[p.Name] = Usage{
			Memory: max(most.Memory, now.Memory), Unread: max(most.Unread, now.Unread),
			Descriptors: max(most.Descriptors, now.Descriptors), Ended: now.Ended,
		}
	}
}

// Stop ends the recording and returns the usage by the names of the processes.
func (s *Sampler) Stop() map[string]Usage {
	close(s.stopping)
	<-s.stopped
	return s.largest
}

// isRunning reports whether a process has not ended; a zombie has.
func isRunning(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(state, "Z")
}

// usageOf returns the usage of a process now. Its memory is at least the kernel's record of the
// largest resident memory, which has what came and went between two samples.
func usageOf(pid int, unread map[string]int64) Usage {
	u := Usage{Ended: !isRunning(pid)}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u
	}
	var peak int64
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			u.Memory = kilobytes(value)
		}
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			peak = kilobytes(value)
		}
	}
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return u
	}
	u.Descriptors = len(links)
	for _, link := range links {
		target, err := os.Readlink(link)
		if err != nil {
			continue // The descriptor was closed meanwhile.
		}
		u.Unread += unread[target]
	}
	u.Memory = max(u.Memory+u.Unread, peak)
	return u
}

func kilobytes(value string) int64 {
	n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
	if err != nil {
		return 0
	}
	return n << 10
}

const (
	// listening and timeWait are the states in /proc/net/tcp of sockets without unread data.
	listening = "0A"
	timeWait  = "06"
	// inodeField is the column of the inode.
	inodeField = 9
)

// unreadBytes returns the unread bytes of all TCP sockets by the name that /proc/PID/fd has for the
// socket.
func unreadBytes() map[string]int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	unread := map[string]int64{}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= inodeField || slices.Contains([]string{listening, timeWait, "st"}, f[3]) {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil && n > 0 {
			unread["socket:["+f[inodeField]+"]"] += n
		}
	}
	return unread
}

// BuildProgram builds damasklb as it is shipped and returns its path. A test's own executable may have
// the race detector, with which a process takes several times the memory.
func BuildProgram(dir string) (string, error) {
	path := filepath.Join(dir, "damasklb")
	out, err := exec.Command("go", "build", "-o", path, "github.com/damasklb/damasklb/cmd/damasklb").CombinedOutput()
	if err != nil {
		return "", fault.ChildFailed.Wrap(err, "build damasklb: %s", out)
	}
	return path, nil
}
