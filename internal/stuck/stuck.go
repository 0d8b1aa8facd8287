// Package stuck decides when a run on an upstream whose runs make no progress is stopped, so that
// its task runs elsewhere. It handles upstreams that accept tasks and then end none of them.
package stuck

import "time"

const (
	// reassignFactor is the multiple of its expected run time after which a run on
	// a stuck upstream is stopped and its task run elsewhere, but not before
	// minReassignAfter.
	reassignFactor   = 2
	minReassignAfter = 150 * time.Millisecond
)

// Siblings are the other tasks of a run's job. The tasks of a job are alike, so the run times of
// those that have ended, or that still run on other upstreams, predict better than the expected
// one.
type Siblings struct{ ended, running time.Duration }

// Ended adds a task that has ended after a run time.
func (s *Siblings) Ended(after time.Duration) {
	if s.ended == 0 || after < s.ended {
		s.ended = after
	}
}

// Running adds a task that runs on an upstream that is not stuck.
func (s *Siblings) Running(since time.Duration) { s.running = max(s.running, since) }

// ReassignAfter returns the run time from which the run is stopped.
func (s *Siblings) ReassignAfter(expected time.Duration) time.Duration {
	reference := s.ended
	if reference == 0 {
		reference = s.running
	}
	return max(minReassignAfter, reassignFactor*expected, reassignFactor*reference)
}
