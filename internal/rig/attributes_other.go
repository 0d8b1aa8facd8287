//go:build !linux

package rig

import "syscall"

// childAttributes has no equivalent of the parent-death signal here: children
// outlive a parent that is killed.
func childAttributes() *syscall.SysProcAttr { return nil }
