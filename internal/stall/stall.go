// Package stall tells that the timer of a state machine has stopped, as when its lock is never
// released, while the process runs.
//
// The package has no clock. Times are those of the process's monotonic clock.
package stall

import "time"

const (
	// CheckInterval is how often Check is to be called.
	CheckInterval = 500 * time.Millisecond
	// Limit is the time without a tick from which a state machine counts as stalled. Callers of
	// a readiness check wait about this long, and ticks are 20 ms apart.
	Limit = 2 * time.Second
	// maxCheckGap is the time between two checks above which the whole process was paused.
	maxCheckGap = 2 * CheckInterval
)

// Detector follows the ticks of one state machine.
type Detector struct {
	ticks            uint64
	since, checkedAt time.Duration
}

// Check takes the number of ticks so far, and returns for how long there has been none and whether
// that counts as stalled. Time in which the process was paused does not count.
func (d *Detector) Check(now time.Duration, ticks uint64) (silent time.Duration, stalled bool) {
	if ticks != d.ticks || now-d.checkedAt > maxCheckGap {
		d.ticks, d.since = ticks, now
	}
	d.checkedAt = now
	return now - d.since, now-d.since >= Limit
}
