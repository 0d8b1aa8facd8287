package scarcity

import "time"

// State is the state of a controller for operators.
type State struct {
	// Scarce is whether jobs are refused in favour of more urgent ones.
	Scarce bool `json:"scarce"`
	// Headroom is the share of the capacity that is free, less what waits at any priority.
	Headroom float64 `json:"headroom"`
	// SnapshotAgeMS is the age of the sum over the upstreams in milliseconds.
	SnapshotAgeMS int64 `json:"snapshot_age_ms"`
	// Priorities are those that have arrived of late, the most urgent first.
	Priorities []PriorityState `json:"priorities"`
}

// PriorityState is the admission of the jobs of one priority.
type PriorityState struct {
	Priority int `json:"priority"`
	// Headroom leaves out what waits at less urgent priorities.
	Headroom float64 `json:"headroom"`
	// AdmittedShare is the share of the jobs that is admitted.
	AdmittedShare float64 `json:"admitted_share"`
}

// State returns the state at a time. It changes nothing.
func (c *Controller) State(now time.Duration) State {
	s := State{Scarce: c.Scarce(now), Headroom: c.Headroom(), SnapshotAgeMS: (now - c.observedAt).Milliseconds()}
	for i, l := range c.levels {
		p := PriorityState{Priority: l.priority, AdmittedShare: c.share(now, l.priority)}
		if c.snapshot.Capacity > 0 {
			p.Headroom = c.headroom(i)
		}
		s.Priorities = append(s.Priorities, p)
	}
	return s
}
