package locality

import (
	"time"

	"github.com/damasklb/damasklb/internal/placement"
)

// Choice is an agent on which a task could run; its agent is the zero value if there is none.
type Choice[A comparable] struct {
	Agent  A
	Scored placement.Candidate
}

// option returns the choice as the decision sees it.
func (c Choice[A]) option() Option {
	var none A
	s := c.Scored
	return Option{Usable: c.Agent != none, Wait: s.Wait, Run: s.Run, Penalty: s.Score() - s.Wait - s.Run}
}

// Prefer takes an agent instead if a task that has to end within the given time is better placed
// there.
func (c *Choice[A]) Prefer(a A, s placement.Candidate, within time.Duration) {
	var none A
	if c.Agent == none || s.Better(c.Scored, within) {
		*c = Choice[A]{Agent: a, Scored: s}
	}
}

// Sides are the best choices on a task's rack and off it.
type Sides[A comparable] struct{ Near, Far Choice[A] }

// Prefer takes an agent instead of the present one of its side if the task is better placed there.
func (s *Sides[A]) Prefer(near bool, a A, c placement.Candidate, within time.Duration) {
	if near {
		s.Near.Prefer(a, c, within)
	} else {
		s.Far.Prefer(a, c, within)
	}
}

// Input returns the input of a decision with the two sides as options.
func (s *Sides[A]) Input() Input { return Input{Near: s.Near.option(), Far: s.Far.option()} }

// Chosen returns the choice that a decision stands for, with the wait that it predicts, and
// whether the task is held instead.
func (s *Sides[A]) Chosen(d Decision) (c Choice[A], hold bool) {
	switch d.Action {
	case NearNow:
		return s.Near, false
	case QueueNear:
		c = s.Near
		c.Scored.Wait = d.Wait
		return c, false
	case Far:
		return s.Far, false
	}
	return c, d.Action == Hold
}

// Ended counts the capacity of an attempt that has ended, at each rack that the labels of its
// upstream name.
func (r *Racks) Ended(now time.Duration, t *Task, started bool, labels []string) {
	if t == nil {
		return
	}
	t.EndAt = 0
	if started {
		for _, label := range labels {
			r.Released(now, Key{Service: t.Key.Service, Rack: label}, t.CPU)
		}
	}
}

// RunTimeOnRack learns from a run that has succeeded, and returns the run time that it would have
// had on its rack. expected is the run time that was expected of its upstream on the rack.
func (r *Racks) RunTimeOnRack(t *Task, runTime time.Duration, expected float64) time.Duration {
	if t == nil {
		return runTime
	}
	return time.Duration(float64(runTime) / r.Succeeded(t, float64(runTime)/max(expected, 1)))
}
