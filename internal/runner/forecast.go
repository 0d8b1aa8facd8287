package runner

import (
	"math"
	"time"

	"github.com/damasklb/damasklb/internal/forecast"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// minReleaseShare is the smallest share of the released cores that more urgent work is
	// assumed to leave, because its present rate may be a short peak.
	minReleaseShare = 0.04
	// startRateTime is the time over which the rate of starts is averaged. For about as long
	// after a restart of the agent, forecasts are too short.
	startRateTime = 400 * time.Millisecond
)

// startRates holds the rates at which cores are taken by starts, by priority, in thousandths
// of a core per second. More urgent work takes the cores that become free first. Its share of
// the starts counts, not its share of the cores: short urgent runs take most of what is
// released although they hold a small part.
type startRates struct {
	at    time.Duration
	rates [wire.PriorityLevels]float64
}

func (s *startRates) decayTo(now time.Duration) {
	f := math.Exp(-float64(now-s.at) / float64(startRateTime))
	for i := range s.rates {
		s.rates[i] *= f
	}
	s.at = now
}

func (s *startRates) add(now time.Duration, priority, cpu int) {
	s.decayTo(now)
	s.rates[wire.PriorityLevel(priority)] += float64(cpu) / startRateTime.Seconds()
}

// addForecast adds to a load how long a further task of ordinary size would wait at each
// priority. Only the agent has the ages of the runs and the queue at this moment.
func (r *Runner) addForecast(now time.Duration, l *wire.Load) {
	slowness := float64(l.Slowness) / healthySlowness
	// More may run than the upstream has left: its capacity has shrunk.
	cores := shortage{runs: r.forecastRuns(now, slowness, func(m *wire.Assign) int { return m.CPU }), lacking: r.usedCPU - r.usableCPU(now)}
	if r.usedCPU == 0 {
		return
	}
	cores.needFor(r.usedCPU / len(cores.runs))
	l.TaskCPU = cores.task
	cpuAhead, memAhead := r.queue.size()
	// Memory may be full while cores are free.
	memory := shortage{lacking: r.usedMem - r.upstream.MemMB}
	memory.needFor(r.usedMem / len(cores.runs))
	if memory.lacking+sum(memAhead) > 0 {
		memory.runs = r.forecastRuns(now, slowness, func(m *wire.Assign) int { return m.MemMB })
	}
	released := forecast.Rate(cores.runs)
	r.startRates.decayTo(now)
	urgentRate := 0.0
	for i := range l.WaitMS {
		wait, memoryWait := cores.waitBehind(cpuAhead[i]), memory.waitBehind(memAhead[i])
		share := max(1-urgentRate/released, minReleaseShare)
		// A rate of 0 would say that there is no forecast, and a wait of 0 that a task starts at
		// once.
		l.ReleaseRate[i] = uint32(max(min(released*share, math.MaxUint32), 1))
		l.WaitMS[i] = uint16(min(float64(max(wait, memoryWait)/time.Millisecond)/share, math.MaxUint16))
		if l.WaitMS[i] == 0 && max(wait, memoryWait) > 0 {
			l.WaitMS[i] = 1
		}
		if by, ok := r.waitByPreemption(now, i, cores.need, wait); ok && memoryWait == 0 {
			l.WaitMS[i] = uint16(min(by/time.Millisecond, math.MaxUint16))
		}
		urgentRate += r.startRates.rates[i]
	}
}

// forecastRuns returns the runs with what they hold of one resource.
func (r *Runner) forecastRuns(now time.Duration, slowness float64, size func(*wire.Assign) int) []forecast.Run {
	var runs []forecast.Run
	for _, a := range r.active {
		if !a.occupies() {
			continue
		}
		run := forecast.Run{CPU: size(&a.assign), Age: now - a.startSentAt, Expected: time.Duration(float64(a.assign.ExpectedMS) * slowness * float64(time.Millisecond))}
		if a.phase == phaseStopping {
			run.Age, run.Expected = now-a.stopFirstSentAt, r.settings.StopAnswerTimeout
		}
		runs = append(runs, run)
	}
	return runs
}

// shortage predicts waits for cores or for memory.
type shortage struct {
	runs []forecast.Run
	// task is what a task of ordinary size takes, lacking what is missing for it behind those
	// that wait so far; need is that in whole tasks, and wait the time until it comes free.
	task, lacking, need int
	wait                time.Duration
}

func (s *shortage) needFor(task int) {
	s.task = task
	s.lacking += task
}

// waitBehind returns the wait behind further tasks.
func (s *shortage) waitBehind(ahead int) time.Duration {
	s.lacking += ahead
	if need := wholeTasks(s.lacking, s.task); need != s.need {
		s.need, s.wait = need, forecast.Until(s.runs, need)
	}
	return s.wait
}

func sum(byPriority [wire.PriorityLevels]int) int {
	n := 0
	for _, x := range byPriority {
		n += x
	}
	return n
}

// wholeTasks rounds cores up to a multiple of the size of a task: cores are released by whole
// runs.
func wholeTasks(cpu, task int) int {
	if cpu <= 0 || task <= 0 {
		return 0
	}
	return (cpu + task - 1) / task * task
}
