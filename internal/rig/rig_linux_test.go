package rig

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const parentEnvVar = "DAMASKLB_RIG_HOLDER"

func TestMain(m *testing.M) {
	Main()
	if os.Getenv(parentEnvVar) != "" {
		startAndBlock()
	}
	os.Exit(m.Run())
}

// startAndBlock starts a small system, prints the process ids and blocks until
// this process is killed.
func startAndBlock() {
	o := DefaultOptions()
	o.Entries, o.Agents = 1, 1
	r, err := Start(o)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for _, p := range r.all() {
		fmt.Printf("%d ", p.PID())
	}
	fmt.Println()
	select {}
}

// Guards against processes that keep running after the test or benchmark that
// started them was killed, because the parent-death signal did not reach them.
func TestChildrenEndWithTheRig(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	parent := exec.Command(self)
	parent.Env = append(os.Environ(), parentEnvVar+"=1")
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(out).ReadString('\n')
	pids := strings.Fields(line)
	if len(pids) != 4 {
		t.Errorf("process ids %q", line)
	}
	_ = parent.Process.Kill()
	_ = parent.Wait()
	end := time.Now().Add(5 * time.Second)
	for _, field := range pids {
		var pid int
		if _, err := fmt.Sscan(field, &pid); err != nil {
			t.Fatalf("process id %q: %v", field, err)
		}
		for syscall.Kill(pid, 0) == nil && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
		}
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("process %d still runs", pid)
		}
	}
}
