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
	shutdownTimeout = 90 * time.Second
	recoveryTimeout = 60 * time.Second
)

// safetyViolations counts violations of what the system guarantees. All counts must be
// zero.
type safetyViolations struct {
	DuplicateStarts int `json:"double_starts"`
	// DuplicateTasks describes the tasks that started more than once.
	DuplicateTasks  []string `json:"doubles,omitempty"`
	WrongAnswers    int      `json:"partial_or_wrong_answers"`
	FalseNotRun     int      `json:"false_not_run"`
	FailureLogLines int      `json:"panics_races_violations"`
}

// runLoadWith runs a load and, at the same time, disturb, which acts on the system.
// The context stop ends when the duration of the load is over.
func runLoadWith(o load.Options, disturb func(stop context.Context) error) (*load.Report, []load.JobResult, error) {
	var mu sync.Mutex
	var jobs []load.JobResult
	o.OnJobDone = func(j load.JobResult) {
		mu.Lock()
		defer mu.Unlock()
		jobs = append(jobs, j)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration)
	defer cancel()
	disturbErr := make(chan error, 1)
	go func() { disturbErr <- disturb(ctx) }()
	report, err := load.Run(context.Background(), o)
	if err != nil {
		return nil, nil, err
	}
	return report, jobs, <-disturbErr
}

func countViolations(r *rig.Rig, report *load.Report, jobs []load.JobResult) safetyViolations {
	starts := r.StartCounts()
	duplicates := rig.DuplicateStarts(starts)
	s := safetyViolations{DuplicateStarts: len(duplicates), DuplicateTasks: describeDuplicates(r, duplicates, jobs), FailureLogLines: len(r.FailureLogLines())}
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

// describeDuplicates returns a line for each task, with its starts and the answers to
// its job.
func describeDuplicates(r *rig.Rig, tasks []string, jobs []load.JobResult) []string {
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

// stormResult is the result of a resubmission storm.
type stormResult struct {
	safetyViolations
	Kills      int          `json:"kills"`
	Load       *load.Report `json:"load"`
	ServedJobs int          `json:"jobs_with_a_complete_answer"`
}

// measureStorm sends each job to all entries while these are killed one after
// another and restarted.
func measureStorm(r *rig.Rig, s settings) (any, error) {
	const rate = 60
	o := loadOptions(r, s, rate, time.Duration(s.stormJobs)*time.Second/rate)
	o.Copies = len(r.Entries)
	var result stormResult
	report, jobs, err := runLoadWith(o, func(stop context.Context) error {
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
	result.Load, result.safetyViolations = report, countViolations(r, report, jobs)
	for _, j := range jobs {
		if slices.ContainsFunc(j.Copies, func(out load.Outcome) bool { return out.Status == 200 }) {
			result.ServedJobs++
		}
	}
	return result, nil
}

// restartDelay leaves time for the takeover before the entry is started again.
const restartDelay = 5 * time.Second

func killAndRestart(r *rig.Rig, p *rig.Process) error {
	if err := p.Kill(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
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
		killed := i % len(r.Entries)
		took, err := recoverOnce(r, s, killed)
		if err != nil {
			return nil, err
		}
		result.Seconds = append(result.Seconds, took.Seconds())
	}
	sorted := slices.Sorted(slices.Values(result.Seconds))
	result.MedianSeconds, result.WorstSeconds = sorted[len(sorted)/2], sorted[len(sorted)-1]
	return result, nil
}

// recoverOnce kills the entry with the index killed and restarts it. It returns the
// time until the other entries serve new keys of all its partitions.
func recoverOnce(r *rig.Rig, s settings, killed int) (time.Duration, error) {
	m, err := r.Map()
	if err != nil {
		return 0, err
	}
	o := loadOptions(r, s, 1, time.Second)
	o.URLs = slices.Delete(r.URLs(), killed, killed+1)
	o.KeyPrefix = time.Now().Format("150405.000")
	if err := r.Entries[killed].Kill(); err != nil {
		return 0, err
	}
	took, err := load.WaitUntilServed(context.Background(), o, r.OwnedBy(m, killed), recoveryTimeout)
	if err != nil {
		return 0, err
	}
	if err := r.Entries[killed].Start(); err != nil {
		return 0, err
	}
	return took, r.WaitReady(rig.DefaultReadyTimeout)
}

// drainResult is the result of graceful shutdowns under load.
type drainResult struct {
	safetyViolations
	Entries int `json:"entries_shut_down"`
	Agents  int `json:"agents_shut_down"`
	// Cut counts the requests that were neither completed nor refused with not_run.
	// A refused connection does not count, as nothing was accepted.
	Cut int `json:"cut_requests"`
	// CutBy counts them by problem or error, with its detail.
	CutBy map[string]int `json:"cut_by,omitempty"`
	// CutJobs has a line for each of them, with the job and the time of its end.
	CutJobs []string     `json:"cut_jobs,omitempty"`
	Load    *load.Report `json:"load"`
}

// measureDrain shuts entries and agents down one after another. The client sends
// a request to the next entry if the connection was refused, and repeats no other.
func measureDrain(r *rig.Rig, s settings) (any, error) {
	const rate = 200
	o := loadOptions(r, s, rate, time.Duration(s.drainRequests)*time.Second/rate)
	o.Tasks = 1
	result := drainResult{CutBy: map[string]int{}}
	report, jobs, err := runLoadWith(o, func(stop context.Context) error { return drainInTurn(stop, r, s, &result) })
	if err != nil {
		return nil, err
	}
	result.Load, result.safetyViolations = report, countViolations(r, report, jobs)
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

func drainInTurn(stop context.Context, r *rig.Rig, s settings, result *drainResult) error {
	for i := 0; stop.Err() == nil; i++ {
		p := r.Entries[i%len(r.Entries)]
		if err := drainAndRestart(r, p); err != nil {
			return err
		}
		result.Entries++
		for k := range s.agentDrains {
			if err := drainAndRestart(r, r.Agents[(s.agentDrains*i+k)%len(r.Agents)]); err != nil {
				return err
			}
			result.Agents++
		}
	}
	return nil
}

func drainAndRestart(r *rig.Rig, p *rig.Process) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	if err := p.WaitAndStart(shutdownTimeout); err != nil {
		return err
	}
	return r.WaitReady(rig.DefaultReadyTimeout)
}

// outageResult is the result of a load while the table is down.
type outageResult struct {
	safetyViolations
	Seconds     float64      `json:"outage_s"`
	ShareServed float64      `json:"share_served"`
	Load        *load.Report `json:"load"`
}

func measureOutage(r *rig.Rig, s settings) (any, error) {
	const rate = 50
	if err := r.SetTableFaults(standin.Faults{Down: true}); err != nil {
		return nil, err
	}
	o := loadOptions(r, s, rate, s.outageDuration)
	o.Sleep = load.Sleep{Mixed: true}
	o.Tasks = 1
	o.Deadline = 20 * time.Second
	report, jobs, err := runLoadWith(o, func(context.Context) error { return nil })
	if err != nil {
		return nil, err
	}
	if err := r.SetTableFaults(standin.Faults{}); err != nil {
		return nil, err
	}
	return outageResult{safetyViolations: countViolations(r, report, jobs), Seconds: s.outageDuration.Seconds(), ShareServed: report.ShareServed(), Load: report}, nil
}
