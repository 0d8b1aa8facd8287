package signals

import (
	"os"
	"syscall"
)

// Action is what a server process does on a signal.
type Action int

const (
	// Ignore changes nothing.
	Ignore Action = iota
	// Shutdown begins the graceful shutdown.
	Shutdown
	// Abort gives the graceful shutdown up and ends the process.
	Abort
	// Reload reads again what can change while the process runs.
	Reload
)

func (a Action) String() string { return [...]string{"ignore", "shutdown", "abort", "reload"}[a] }

// phase is how far the shutdown of a process has come.
type phase int

const (
	running phase = iota
	leaving
	aborting
)

// sequence decides what each signal of a process means, given those before it.
type sequence struct {
	// onHangup is the action on SIGHUP. It is Shutdown for a program that ends with its terminal.
	onHangup Action
	phase    phase
}

func (s *sequence) next(received os.Signal) Action {
	switch {
	case received == syscall.SIGHUP && s.onHangup != Shutdown:
		return s.onHangup
	case s.phase == running:
		s.phase = leaving
		return Shutdown
	case s.phase == leaving && received == os.Interrupt:
		s.phase = aborting
		return Abort
	}
	// Service managers may repeat a signal. Open requests still need their answers.
	return Ignore
}
