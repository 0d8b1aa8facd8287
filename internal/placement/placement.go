// Package placement compares the upstreams on which a task could run.
//
// It handles upstreams of unequal speed near and at their capacity: the task goes where it
// starts at once and its job still ends on time, even if another upstream is faster but busy.
// Slow upstreams would otherwise stay idle while tasks wait for fast ones.
package placement

import (
	"slices"
	"time"
)

// Candidate is an upstream on which a task could run.
type Candidate struct {
	// Wait is the predicted time until the start, Run the expected run time there, Travel the
	// time of the messages to another data centre and back.
	Wait, Run, Travel time.Duration
	// Failing, Avoided, Stuck and Suspect are added to the end for an upstream whose runs
	// fail, on which the task has failed before, whose runs make no progress, and for reasons
	// that have to do with crashes.
	Failing, Avoided, Stuck, Suspect time.Duration
	// Spread is a preference for upstreams with much free capacity, and Random the random
	// part of it, which explanations leave out.
	Spread, Random time.Duration
}

// End returns the expected time until the task's end, with all that speaks against the
// upstream.
func (c Candidate) End() time.Duration {
	return c.Wait + c.Run + c.Travel + c.Failing + c.Avoided + c.Stuck + c.Suspect
}

// Score returns the figure by which upstreams of one class are compared.
func (c Candidate) Score() time.Duration { return c.End() + c.Spread + c.Random }

// Penalty is a part of a score beside wait, run and travel.
type Penalty struct {
	Name string
	Time time.Duration
}

// Penalties returns the penalties that are not 0.
func (c Candidate) Penalties() []Penalty {
	all := []Penalty{{"use", c.Spread}, {"failures", c.Failing}, {"failed-here", c.Avoided}, {"stuck", c.Stuck}, {"suspects", c.Suspect}}
	return slices.DeleteFunc(all, func(p Penalty) bool { return p.Time == 0 })
}

// Class says what an upstream is good for.
type Class uint8

// Classes of candidates, the best first.
const (
	// AtOnce: the task starts at once and its job ends on time.
	AtOnce Class = iota
	// AfterWait: the task waits and its job is expected to end on time.
	AfterWait
	// Late: the job is not expected to end on time.
	Late
)

func (c Class) String() string {
	switch c {
	case AtOnce:
		return "at-once"
	case AfterWait:
		return "after-wait"
	case Late:
		return "late"
	}
	return "unknown"
}

// Class returns the class of the candidate for a task that has to end within the given time.
func (c Candidate) Class(within time.Duration) Class {
	switch {
	case c.End() > within:
		return Late
	case c.Wait > 0:
		return AfterWait
	}
	return AtOnce
}

// Better reports whether a task that has to end within the given time is better placed on c
// than on other.
func (c Candidate) Better(other Candidate, within time.Duration) bool {
	if a, b := c.Class(within), other.Class(within); a != b {
		return a < b
	}
	return c.Score() < other.Score()
}
