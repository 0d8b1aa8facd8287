package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/load"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/rig"
)

const (
	shutdownLimit = 90 * time.Second
	recoveryLimit = 60 * time.Second
)

// safety counts what must be zero.
type safety struct {
	DoubleStarts int `json:"double_starts"`
	// Doubles are the tasks that started more than once.
	Doubles       []string `json:"doubles,omitempty"`
	WrongAnswers  int      `json:"partial_or_wrong_answers"`
	FalseNotRun   int      `json:"false_not_run"`
	ProgramFaults int      `json:"panics_races_violations"`
}

// loaded is a load that runs while disturb does something to the system.
func loaded(o load.Options, disturb func(stop context.Context) error) (*load.Report, []load.JobResult, error) {
	var mu sync.Mutex
	var jobs []load.JobResult
	o.OnJobDone = func(j load.JobResult) {
		mu.Lock()
		defer mu.Unlock()
		jobs = append(jobs, j)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration)
	defer cancel()
	disturbed := make(chan error, 1)
	go func() { disturbed <- disturb(ctx) }()
	report, err := load.Run(context.Background(), o)
	if err != nil {
		return nil, nil, err
	}
	return report, jobs, <-disturbed
}

func safetyOf(r *rig.Rig, report *load.Report, jobs []load.JobResult) safety {
	starts := r.StartCounts()
	doubles := rig.DuplicateStarts(starts)
	s := safety{DoubleStarts: len(doubles), Doubles: describeDoubles(r, doubles, jobs), ProgramFaults: len(r.FailureLogLines())}
	for _, n := range report.Wrong {
		s.WrongAnswers += n
	}
	for _, j := range jobs {
		if load.FalseNotRun(j, starts) {
			s.FalseNotRun++
		}
	}
	return s
}

// describeDoubles tells the starts of the tasks and how their jobs ended.
func describeDoubles(r *rig.Rig, tasks []string, jobs []load.JobResult) []string {
	if len(tasks) == 0 {
		return nil
	}
	var lines []string
	log := r.StartLog()
	for _, j := range jobs {
		for _, id := range tasks {
			if strings.HasPrefix(id, j.ID) {
				lines = append(lines, fmt.Sprintf("%s job %s: starts %v, answers %+v", id, j.Key, log[id], j.Copies))
			}
		}
	}
	return lines
}

// stormResult is that of a storm of resubmissions.
type stormResult struct {
	safety
	Kills  int          `json:"kills"`
	Load   *load.Report `json:"load"`
	Served int          `json:"jobs_with_a_complete_answer"`
}

// measureStorm sends each job to all entries while these are killed one after
// another and restarted.
func measureStorm(r *rig.Rig, s settings) (any, error) {
	const rate = 60
	o := loadOf(r, s, rate, time.Duration(s.storm)*time.Second/rate)
	o.Copies = len(r.Entries)
	var result stormResult
	report, jobs, err := loaded(o, func(stop context.Context) error {
		for stop.Err() == nil {
			p := r.Entries[result.Kills%len(r.Entries)]
			result.Kills++
			if err := killAndRestart(r, p); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	result.Load, result.safety = report, safetyOf(r, report, jobs)
	for _, j := range jobs {
		if slices.ContainsFunc(j.Copies, func(out load.Outcome) bool { return out.Status == 200 }) {
			result.Served++
		}
	}
	return result, nil
}

// restartAfter leaves time for the takeover before the entry comes back.
const restartAfter = 5 * time.Second

func killAndRestart(r *rig.Rig, p *rig.Process) error {
	if err := p.Kill(); err != nil {
		return err
	}
	time.Sleep(restartAfter)
	if err := p.Start(); err != nil {
		return err
	}
	return r.WaitReady(rig.DefaultReadyTimeout)
}

// recoveryResult has the times until all keys of a killed entry were served.
type recoveryResult struct {
	BoundSeconds  float64   `json:"bound_s"`
	MedianSeconds float64   `json:"median_s"`
	WorstSeconds  float64   `json:"worst_s"`
	Seconds       []float64 `json:"runs_s"`
}

func measureRecovery(r *rig.Rig, s settings) (any, error) {
	result := recoveryResult{BoundSeconds: 5}
	for i := range s.kills {
		victim := i % len(r.Entries)
		took, err := recoverOnce(r, s, victim)
		if err != nil {
			return nil, err
		}
		result.Seconds = append(result.Seconds, took.Seconds())
	}
	sorted := slices.Sorted(slices.Values(result.Seconds))
	result.MedianSeconds, result.WorstSeconds = sorted[len(sorted)/2], sorted[len(sorted)-1]
	return result, nil
}

func recoverOnce(r *rig.Rig, s settings, victim int) (time.Duration, error) {
	m, err := r.Map()
	if err != nil {
		return 0, err
	}
	o := loadOf(r, s, 1, time.Second)
	o.URLs = slices.Delete(r.URLs(), victim, victim+1)
	o.KeyPrefix = time.Now().Format("150405.000")
	if err := r.Entries[victim].Kill(); err != nil {
		return 0, err
	}
	took, err := load.WaitUntilServed(context.Background(), o, r.OwnedBy(m, victim), recoveryLimit)
	if err != nil {
		return 0, err
	}
	if err := r.Entries[victim].Start(); err != nil {
		return 0, err
	}
	return took, r.WaitReady(rig.DefaultReadyTimeout)
}

// drainResult is that of graceful shutdowns under load.
type drainResult struct {
	safety
	Entries int `json:"entries_shut_down"`
	Agents  int `json:"agents_shut_down"`
	// Cut counts the requests that were neither completed nor truly refused.
	Cut int `json:"cut_requests"`
	// CutBy counts them by problem detail or error.
	CutBy map[string]int `json:"cut_by,omitempty"`
	// CutJobs tells which they were and when they ended.
	CutJobs []string     `json:"cut_jobs,omitempty"`
	Load    *load.Report `json:"load"`
}

// measureDrain shuts entries and agents down one after another. The client goes
// to the next entry when a connection is refused, and repeats nothing else.
func measureDrain(r *rig.Rig, s settings) (any, error) {
	const rate = 200
	o := loadOf(r, s, rate, time.Duration(s.drained)*time.Second/rate)
	o.Tasks = 1
	result := drainResult{CutBy: map[string]int{}}
	report, jobs, err := loaded(o, func(stop context.Context) error { return drainAll(stop, r, s, &result) })
	if err != nil {
		return nil, err
	}
	result.Load, result.safety = report, safetyOf(r, report, jobs)
	for _, j := range jobs {
		for _, out := range j.Copies {
			if out.Cut() {
				result.Cut++
				result.CutBy[out.Problem+out.Err+": "+out.Detail]++
				result.CutJobs = append(result.CutJobs, fmt.Sprintf("%s %s ended %s after %s", j.ID, j.Key, out.At.UTC().Format(time.RFC3339Nano), out.Took))
			}
		}
	}
	return result, nil
}

func drainAll(stop context.Context, r *rig.Rig, s settings, result *drainResult) error {
	for i := 0; stop.Err() == nil; i++ {
		p := r.Entries[i%len(r.Entries)]
		if err := drainOne(r, p); err != nil {
			return err
		}
		result.Entries++
		for k := range s.agentDrains {
			if err := drainOne(r, r.Agents[(s.agentDrains*i+k)%len(r.Agents)]); err != nil {
				return err
			}
			result.Agents++
		}
	}
	return nil
}

func drainOne(r *rig.Rig, p *rig.Process) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	if err := p.WaitAndStart(shutdownLimit); err != nil {
		return err
	}
	return r.WaitReady(rig.DefaultReadyTimeout)
}

// outageResult is that of a table that is down under load.
type outageResult struct {
	safety
	Seconds float64      `json:"outage_s"`
	Share   float64      `json:"share_served"`
	Load    *load.Report `json:"load"`
}

func measureOutage(r *rig.Rig, s settings) (any, error) {
	const rate = 50
	if err := r.SetTableFaults(standin.Faults{Down: true}); err != nil {
		return nil, err
	}
	o := loadOf(r, s, rate, s.outage)
	o.Sleep = load.Sleep{Mixed: true}
	o.Tasks = 1
	o.Deadline = 20 * time.Second
	report, jobs, err := loaded(o, func(context.Context) error { return nil })
	if err != nil {
		return nil, err
	}
	if err := r.SetTableFaults(standin.Faults{}); err != nil {
		return nil, err
	}
	return outageResult{safety: safetyOf(r, report, jobs), Seconds: s.outage.Seconds(), Share: report.ShareServed(), Load: report}, nil
}
