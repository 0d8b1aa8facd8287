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
	// startRateTime is the time over which the rate of starts is averaged.
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
	var runs []forecast.Run
	occupied := 0
	slowness := float64(l.Slowness) / healthySlowness
	for _, a := range r.active {
		if !a.occupies() {
			continue
		}
		occupied += a.assign.CPU
		run := forecast.Run{CPU: a.assign.CPU, Age: now - a.startSentAt, Expected: time.Duration(float64(a.assign.ExpectedMS) * slowness * float64(time.Millisecond))}
		if a.phase == phaseStopping {
			run.Age, run.Expected = now-a.stopFirstSentAt, r.settings.StopAnswerTimeout
		}
		runs = append(runs, run)
	}
	if len(runs) == 0 {
		return
	}
	l.TaskCPU = occupied / len(runs)
	released := forecast.Rate(runs)
	r.startRates.decayTo(now)
	ahead := r.queue.cpu()
	// More may run than the upstream has left: its capacity has shrunk.
	lacking, urgentRate := l.TaskCPU+r.usedCPU-r.usableCPU(now), 0.0
	last, wait := 0, time.Duration(0)
	for i := range l.WaitMS {
		lacking += ahead[i]
		if need := wholeTasks(lacking, l.TaskCPU); need != last {
			last, wait = need, forecast.Until(runs, need)
		}
		share := max(1-urgentRate/released, minReleaseShare)
		l.ReleaseRate[i] = uint32(min(released*share, math.MaxUint32))
		l.WaitMS[i] = uint16(min(float64(wait/time.Millisecond)/share, math.MaxUint16))
		if by, ok := r.waitByPreemption(now, i, last, wait); ok {
			l.WaitMS[i] = uint16(by / time.Millisecond)
		}
		urgentRate += r.startRates.rates[i]
	}
}

// wholeTasks rounds cores up to a multiple of the size of a task: cores are released by whole
// runs.
func wholeTasks(cpu, task int) int {
	if cpu <= 0 || task <= 0 {
		return 0
	}
	return (cpu + task - 1) / task * task
}
