package leasetest

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/preemption"
)

// arrival is a job of a demand that was drawn before the simulation.
type arrival struct {
	at    time.Duration
	kind  int
	job   *clientJob
	entry int
}

// playPaired plays the demand with jobs that are drawn beforehand, so that simulations with
// different settings get the same jobs.
func (d demand) playPaired(t *testing.T, load float64, s preemption.Settings) result {
	t.Helper()
	w := newWorld(d.seed, len(d.entryShares), d.upstreams)
	w.noLog = true
	for i, u := range w.upstreams {
		u.capacity = d.sizes[i%len(d.sizes)]
		u.slow = d.slowness[w.rng.Intn(len(d.slowness))]
	}
	var arrivals []arrival
	for at := time.Duration(0); at < d.duration; at += step {
		for i := range d.types {
			for range poisson(w, load*d.rate(i, at)*step.Seconds()) {
				j := w.newJob(&d.types[i], len(arrivals))
				for k := range j.tasks {
					j.tasks[k].cpu = max(1, int(float64(d.cpu)*(1+0.2*w.rng.NormFloat64())))
				}
				arrivals = append(arrivals, arrival{at: at, kind: i, job: j, entry: d.entry(w)})
			}
		}
	}
	w.scarcityOff = d.scarcityOff
	w.setPreemption(s)
	w.run(1600 * time.Millisecond)
	begin := w.now
	out := result{w: w, jobs: make([][]*clientJob, len(d.types))}
	for w.now < begin+d.duration && w.failure == "" {
		for len(arrivals) > 0 && arrivals[0].at <= w.now-begin {
			a := arrivals[0]
			arrivals = arrivals[1:]
			a.job.sentAt = w.now
			out.jobs[a.kind] = append(out.jobs[a.kind], a.job)
			w.submit(a.job, w.entries[a.entry])
		}
		w.run(step)
	}
	w.run(6 * time.Second)
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	for i := range d.types {
		out.byQueue = append(out.byQueue, summarize(out.jobs[i], begin))
	}
	return out
}

// preemptionTotals sums what simulations with the same settings have given.
type preemptionTotals struct {
	seeds int
	worth float64
	// worths is the worth of each seed.
	worths                      []float64
	onTime, late, refused       [3]int
	offered                     [3]int
	worthOf                     [3]float64
	stops, saved, latePreempted int
	discarded, work             float64
}

func (p *preemptionTotals) add(d demand, r result) {
	p.seeds++
	all, byQueue := r.worth(d, 0, d.duration)
	p.worth += all
	p.worths = append(p.worths, all)
	for i, q := range r.byQueue {
		n := d.types[i].queue.Priority
		p.onTime[n] += q.onTime
		p.late[n] += q.late
		p.refused[n] += q.refused
		p.offered[n] += q.offered
		p.worthOf[n] += byQueue[i]
	}
	m := &r.w.preempt
	p.stops += m.stops
	p.discarded += m.discarded.Seconds()
	onTime := func(id string) bool {
		j := r.w.jobs[id]
		return j.outcome == broker.Completed && j.responseTime <= j.target()
	}
	for id := range m.urgentJobs {
		if onTime(id) {
			p.saved++
		}
	}
	for id := range m.preemptedJobs {
		if !onTime(id) {
			p.latePreempted++
		}
	}
	for _, j := range r.w.jobs {
		for _, s := range j.tasks {
			p.work += s.runTime.Seconds() * float64(s.cpu) / 1000
		}
	}
}

func (p *preemptionTotals) String() string {
	n := float64(max(p.seeds, 1))
	out := fmt.Sprintf("worth %.4f", p.worth/n)
	for i := range p.offered {
		out += fmt.Sprintf("; priority %d: worth %.4f, on time %d, late %d, refused %d of %d", i, p.worthOf[i]/n, p.onTime[i], p.late[i], p.refused[i], p.offered[i])
	}
	return out + fmt.Sprintf("; %d stops, %d jobs in whose favour on time, %d stopped jobs not on time, %.1f core-s discarded (%.3f%% of the offered work)",
		p.stops, p.saved, p.latePreempted, p.discarded, 100*p.discarded/max(p.work, 1e-9))
}

// Measures what preemption saves and discards on the days of heavy load, at the load as it
// is and at 1.3 times it. DAMASKLB_PREEMPTION_SEEDS sets the number of seeds; without it the
// test only guards against more core time that is discarded than the budget allows, and against
// stops while preemption is off, in the first seconds of one load.
func TestPreemptionOnDaysOfHeavyLoad(t *testing.T) {
	t.Parallel()
	seeds := int64(1)
	loads := []float64{1.3}
	days := map[string]func(int64) demand{"longBurst": func(seed int64) demand {
		d := longBurst(seed)
		d.duration = 4 * time.Second
		return d
	}}
	if s := os.Getenv("DAMASKLB_PREEMPTION_SEEDS"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds, loads = n, []float64{1, 1.3}
		days = map[string]func(int64) demand{"longBurst": longBurst, "swingingDemand": swingingDemand}
	}
	for name, day := range days {
		for _, load := range loads {
			var off, on preemptionTotals
			settings := preemption.DefaultSettings(stopGrace)
			for seed := range seeds {
				d := day(seed)
				settings.On = false
				off.add(d, d.playPaired(t, load, settings))
				settings.On = true
				on.add(d, d.playPaired(t, load, settings))
			}
			gain, sd := pairedGain(off.worths, on.worths)
			t.Logf("%s at %.1f times its load, %d seeds: worth changes by %+.4f, standard error %.4f\noff: %v\non:  %v", name, load, seeds, gain, sd, &off, &on)
			if off.stops > 0 || on.stops == 0 {
				t.Errorf("%d stops with preemption off, %d with it on, want none and some", off.stops, on.stops)
			}
			if limit := settings.Budget * on.capacityTime(day); on.discarded > limit {
				t.Errorf("%.1f core-s discarded, want at most the budget of %.1f", on.discarded, limit)
			}
		}
	}
}

// pairedGain returns the mean difference between simulations of the same jobs, and its standard
// error.
func pairedGain(off, on []float64) (mean, standardError float64) {
	n := float64(len(off))
	for i := range off {
		mean += (on[i] - off[i]) / n
	}
	variance := 0.0
	for i := range off {
		d := on[i] - off[i] - mean
		variance += d * d / max(n-1, 1)
	}
	return mean, math.Sqrt(variance / n)
}

// capacityTime returns the core-seconds of the upstreams over the simulated demands.
func (p *preemptionTotals) capacityTime(day func(int64) demand) float64 {
	d := day(0)
	sum := 0
	for i := range d.upstreams {
		sum += d.sizes[i%len(d.sizes)]
	}
	// The window before the end of the demand may use a budget of its own.
	return float64(p.seeds) * float64(sum) / 1000 * (d.duration + preemption.BudgetWindow).Seconds()
}
