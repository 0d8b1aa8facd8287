// Package explain builds the explanations that operators get of a placement: the
// candidates with the parts of their scores, the winner, or why nothing is placed. The
// cores supply what their decisions rest on, through the functions that decide, and this
// package sorts, bounds and prints it. It decides nothing, and has no clock and no random
// source.
package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/placement"
	"github.com/damasklb/damasklb/internal/status"
)

const (
	// MaxTasks bounds the tasks of a job that an explanation lists.
	MaxTasks = 16
	// maxAssessments bounds the comparisons of a task with an agent that an explanation makes
	// while the entry's lock is held, except that MaxTasks tasks are always planned. They
	// take about a millisecond.
	maxAssessments = 4096
	// MaxCandidates bounds the candidates that an explanation lists, DefaultCandidates is
	// their number if the operator names none.
	MaxCandidates     = 64
	DefaultCandidates = 10
	// maxExcludedHosts bounds the hosts that are named for each reason.
	maxExcludedHosts = 5
)

// PlannedTasks returns the number of a job's tasks that an explanation plans.
func PlannedTasks(tasks, agents int) int {
	return min(tasks, max(MaxTasks, maxAssessments/max(agents, 1)))
}

// Candidate is an agent that may get a task.
type Candidate struct {
	status.Candidate
	Scored placement.Candidate
	// OnRack is whether the agent is on the task's preferred rack.
	OnRack bool
}

// Candidates collects the agents for the task that an explanation details.
type Candidates struct {
	list     []Candidate
	excluded []status.Exclusion
	// byRack is whether the task waits for a rack or was decided to go there or not: only
	// candidates with this onRack may win, and none if noWinner is set.
	byRack, onRack, noWinner bool
	// mayNear and mayFar are whether the random part may decide for the rack, or for other
	// capacity.
	mayNear, mayFar bool
}

// ByRack notes the decision about a task that prefers a rack: whether it is placed, and if so
// whether on its rack. mayNear and mayFar are the sides for which the random part of the scores
// may decide. The candidates on the side of the decision come first.
func (c *Candidates) ByRack(placed, onRack, mayNear, mayFar bool) {
	c.byRack, c.onRack, c.noWinner, c.mayNear, c.mayFar = true, onRack, !placed, mayNear, mayFar
}

// possible reports whether the random part may decide for the candidate's side.
func (c *Candidates) possible(x Candidate) bool {
	return c.eligible(x) || (x.OnRack && c.mayNear) || (!x.OnRack && c.mayFar)
}

// eligible reports whether the decision about the rack leaves the candidate.
func (c *Candidates) eligible(x Candidate) bool {
	return !c.noWinner && (!c.byRack || x.OnRack == c.onRack)
}

// Add adds an agent that may get the task.
func (c *Candidates) Add(a Candidate) { c.list = append(c.list, a) }

// Exclude adds an agent that cannot get the task.
func (c *Candidates) Exclude(host, reason string) {
	i := slices.IndexFunc(c.excluded, func(x status.Exclusion) bool { return x.Reason == reason })
	if i < 0 {
		i = len(c.excluded)
		c.excluded = append(c.excluded, status.Exclusion{Reason: reason})
	}
	x := &c.excluded[i]
	if x.Agents++; len(x.Hosts) < maxExcludedHosts {
		x.Hosts = append(x.Hosts, host)
	}
}

// Finish adds the agents to an explanation, the possible winners and the best ones first, and at
// most limit. within is the time in which the task has to end, jitter the upper bound of the
// random part of a score.
func (c *Candidates) Finish(e *status.Explanation, limit int, within, jitter time.Duration) {
	slices.SortStableFunc(c.list, func(x, y Candidate) int {
		switch xe, ye := c.eligible(x), c.eligible(y); {
		case xe != ye && xe:
			return -1
		case xe != ye:
			return 1
		case x.Scored.Better(y.Scored, within):
			return -1
		case y.Scored.Better(x.Scored, within):
			return 1
		}
		return 0
	})
	all := make([]status.Candidate, len(c.list))
	for i := range c.list {
		all[i] = c.shown(i, within, jitter)
	}
	// Possible winners on the other side of a rack decision come before those that cannot win.
	slices.SortStableFunc(all, func(x, y status.Candidate) int {
		switch xw, yw := x.Wins || x.MayWin, y.Wins || y.MayWin; {
		case xw && !yw:
			return -1
		case yw && !xw:
			return 1
		}
		return 0
	})
	shown := min(len(all), limit)
	e.Candidates = append(e.Candidates, all[:shown]...)
	e.CandidatesOmitted = len(all) - shown
	e.Excluded = c.Excluded()
}

// Excluded returns the reasons for which agents are no candidates, the most frequent first.
func (c *Candidates) Excluded() []status.Exclusion {
	slices.SortFunc(c.excluded, func(x, y status.Exclusion) int {
		return cmp.Or(cmp.Compare(y.Agents, x.Agents), cmp.Compare(x.Reason, y.Reason))
	})
	return c.excluded
}

// shown returns the i-th best candidate as an explanation shows it.
func (c *Candidates) shown(i int, within, jitter time.Duration) status.Candidate {
	out, scored := c.list[i].Candidate, c.list[i].Scored
	out.WaitMS, out.RunMS, out.DistanceMS = Milliseconds(scored.Wait), Milliseconds(scored.Run), Milliseconds(scored.Travel)
	out.ScoreMS = Milliseconds(scored.Score())
	out.Class = scored.Class(within).String()
	for _, p := range scored.Penalties() {
		out.Penalties = append(out.Penalties, status.Penalty{Name: p.Name, MS: Milliseconds(p.Time)})
	}
	eligible := c.eligible(c.list[i])
	out.Wins = i == 0 && eligible
	scored.Random = -jitter
	// The best candidate of each side comes first there.
	first := slices.IndexFunc(c.list, func(x Candidate) bool { return !c.byRack || x.OnRack == c.list[i].OnRack })
	out.MayWin = !out.Wins && c.possible(c.list[i]) && scored.Better(c.list[first].Scored, within)
	return out
}

// Milliseconds returns a duration in milliseconds with two decimals.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
