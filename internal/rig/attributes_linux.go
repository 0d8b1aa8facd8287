package rig

import "syscall"

// childAttributes makes the kernel kill the child when the thread that started
// it ends, so that no process is left over after a crash of the parent.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
