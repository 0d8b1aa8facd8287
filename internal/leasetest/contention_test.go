package leasetest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
)

// demand is a load of several queues on unequal upstreams behind unequal entries.
type demand struct {
	types []jobType
	// rates is the number of jobs of each type a second.
	rates []float64
	// cpu is the mean size of a task in thousandths of a core.
	cpu int
	// swing and period describe a wave on all rates.
	swing  float64
	period time.Duration
	bursts []burst
	// upstreams is the number of upstreams. Sizes are assigned in turn, and the factors on run
	// times are drawn at random.
	upstreams int
	sizes     []int
	slowness  []float64
	// entryShares are the shares of the callers that reach each entry.
	entryShares []float64
	seed        int64
	// scarcityOff turns admission under scarcity off.
	scarcityOff bool
	duration    time.Duration
	// submit, if set, is called with each job before it is submitted.
	submit func(*clientJob)
	// prepare, if set, is called before the load begins.
	prepare func(*world)
}

// burst multiplies the rate of a type (or of all, -1) for a time.
type burst struct {
	kind     int
	factor   float64
	from, to time.Duration
}

// longBurst is deployment A of docs/contention-plan.md on a day of heavy load: a burst of long work
// of the lowest priority on upstreams that are nearly full.
func longBurst(seed int64) demand {
	return demand{
		types: []jobType{
			{queue: queueOf("check", 0), mean: 60 * time.Millisecond, width: 8},
			{queue: queueOf("renewal", 2), mean: 900 * time.Millisecond, width: 4},
			{queue: queueOf("report", 1), mean: 200 * time.Millisecond, width: 2},
		},
		rates: []float64{227, 41, 660}, cpu: 5600, swing: 0.15, period: 11 * time.Second,
		bursts:    []burst{{kind: 1, factor: 2.5, from: 2 * time.Second, to: 8 * time.Second}},
		upstreams: 59, sizes: []int{64_000, 64_000, 96_000}, slowness: []float64{1, 1, 1.3},
		entryShares: []float64{0.18, 0.15, 0.12, 0.1, 0.09, 0.09, 0.08, 0.07, 0.06, 0.06},
		seed:        seed, duration: 9 * time.Second,
	}
}

// swingingDemand is deployment B of docs/contention-plan.md on a day of heavy load: a demand that
// varies by 55% on upstreams of unequal speed, and a burst of urgent work.
func swingingDemand(seed int64) demand {
	return demand{
		types: []jobType{
			{queue: queueOf("lookup", 0), mean: 51 * time.Millisecond, width: 8},
			{queue: queueOf("confirm", 2), mean: 760 * time.Millisecond, width: 4},
			{queue: queueOf("cancel", 1), mean: 170 * time.Millisecond, width: 2},
		},
		rates: []float64{199, 36, 582}, cpu: 1400, swing: 0.55, period: 13 * time.Second,
		bursts:    []burst{{kind: 0, factor: 1.4, from: 3 * time.Second, to: 6 * time.Second}},
		upstreams: 58, sizes: []int{16_000, 16_000, 24_000}, slowness: []float64{0.6, 1, 1.6},
		entryShares: []float64{0.18, 0.15, 0.12, 0.1, 0.09, 0.09, 0.08, 0.07, 0.06, 0.06},
		seed:        seed, duration: 9 * time.Second,
	}
}

func (d demand) rate(kind int, at time.Duration) float64 {
	r := d.rates[kind] * (1 + d.swing*math.Sin(2*math.Pi*(float64(at)/float64(d.period)-0.1)))
	for _, b := range d.bursts {
		if (b.kind == kind || b.kind < 0) && at >= b.from && at < b.to {
			r *= b.factor
		}
	}
	return r
}

// result holds the outcomes of a simulated demand.
type result struct {
	w       *world
	jobs    [][]*clientJob
	byQueue []summary
}

func (d demand) play(t *testing.T) result {
	t.Helper()
	w := newWorld(d.seed, len(d.entryShares), d.upstreams)
	w.noLog = true
	for i, u := range w.upstreams {
		u.capacity = d.sizes[i%len(d.sizes)]
		u.slow = d.slowness[w.rng.Intn(len(d.slowness))]
	}
	if d.scarcityOff {
		w.scarcityOff = true
		w.restartAll()
	}
	w.run(1600 * time.Millisecond)
	if d.prepare != nil {
		d.prepare(w)
	}
	begin := w.now
	out := result{w: w, jobs: make([][]*clientJob, len(d.types))}
	for n := 0; w.now < begin+d.duration && w.failure == ""; {
		for i := range d.types {
			for range poisson(w, d.rate(i, w.now-begin)*step.Seconds()) {
				n++
				j := w.newJob(&d.types[i], n)
				for k := range j.tasks {
					j.tasks[k].cpu = max(1, int(float64(d.cpu)*(1+0.2*w.rng.NormFloat64())))
				}
				out.jobs[i] = append(out.jobs[i], j)
				if d.submit != nil {
					d.submit(j)
				}
				w.submit(j, w.entries[d.entry(w)])
			}
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

// entry draws the entry of a caller.
func (d demand) entry(w *world) int {
	x := w.rng.Float64()
	for i, share := range d.entryShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// worth returns what the jobs that were sent in [from, to) are worth to their callers, as a
// share of what all would be worth on time: a job's worth grows with its work, and a late
// answer is worth a fifth.
func (r result) worth(d demand, from, to time.Duration) (all float64, byQueue []float64) {
	earned, owed := 0.0, 0.0
	for i := range r.jobs {
		e, o, mean := 0.0, 0.0, 0.0
		weight := d.types[i].mean.Seconds() * float64(d.types[i].width)
		begin := r.jobs[i][0].sentAt
		for _, j := range r.jobs[i] {
			mean += j.work() / float64(len(r.jobs[i]))
		}
		for _, j := range r.jobs[i] {
			if at := j.sentAt - begin; at < from || at >= to {
				continue
			}
			v := weight * (0.3 + 0.7*j.work()/mean)
			o += v
			switch {
			case j.outcome == broker.Completed && j.responseTime <= j.target():
				e += v
			case j.outcome == broker.Completed && j.responseTime <= 3*j.target():
				e += 0.2 * v
			}
		}
		byQueue = append(byQueue, e/max(o, 1e-9))
		earned, owed = earned+e, owed+o
	}
	return earned / owed, byQueue
}

func (j *clientJob) work() float64 {
	sum := 0.0
	for _, s := range j.tasks {
		sum += s.runTime.Seconds()
	}
	return sum
}

// target is the response time that the caller expects.
func (j *clientJob) target() time.Duration {
	longest := time.Duration(0)
	for _, s := range j.tasks {
		longest = max(longest, s.runTime)
	}
	return time.Duration(j.queue.Stretch*float64(longest)) + j.queue.LatencyTarget
}

func (r result) report(t *testing.T, d demand) {
	t.Helper()
	for at := time.Duration(0); at < d.duration; at += time.Second {
		all, byQueue := r.worth(d, at, at+time.Second)
		t.Logf("second %2.0f: worth %.3f, by queue %.3f", at.Seconds(), all, byQueue)
	}
	all, byQueue := r.worth(d, 0, d.duration)
	var lines []string
	for i := range d.types {
		lines = append(lines, fmt.Sprintf("%s: %v", d.types[i].queue.Name, r.byQueue[i]))
	}
	t.Logf("worth %.3f, by queue %.3f\n%s", all, byQueue, strings.Join(lines, "\n"))
}

// refusedFitting returns the share of the offered work that was refused although all tasks of
// the job fitted beside what ran.
func (r result) refusedFitting() float64 {
	refused, offered := 0.0, 0.0
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			offered += j.work()
			if j.outcome == broker.Refused && j.fitted {
				refused += j.work()
			}
		}
	}
	return refused / offered
}

// refusedFittingValue is like refusedFitting, as a share of the offered value.
func (r result) refusedFittingValue(d demand) float64 {
	refused, offered := 0.0, 0.0
	for i, jobs := range r.jobs {
		work := 0.0
		for _, j := range jobs {
			work += j.work()
		}
		mean := work / float64(len(jobs))
		for _, j := range jobs {
			v := d.types[i].mean.Seconds() * float64(d.types[i].width) * (0.3 + 0.7*j.work()/mean)
			offered += v
			if j.outcome == broker.Refused && j.fitted {
				refused += v
			}
		}
	}
	return refused / offered
}

// heavier returns the demand at a multiple of its rates.
func (d demand) heavier(factor float64) demand {
	d.rates = slices.Clone(d.rates)
	for i := range d.rates {
		d.rates[i] *= factor
	}
	return d
}

// Simulates a demand whose peak needs the slow upstreams too. Guards against slow upstreams that
// stay idle while tasks wait for fast ones and jobs are refused. Bound: less than 1% of the offered
// work is refused although it fits (docs/contention-plan.md); a tenth was with placement by the
// earliest end.
func TestSlowUpstreamsServeAtADemandPeak(t *testing.T) {
	t.Parallel()
	for seed := range int64(2) {
		d := swingingDemand(seed).heavier(1.45)
		r := d.play(t)
		r.report(t, d)
		share := r.refusedFitting()
		t.Logf("seed %d: %.4f of the work is refused although it fits", seed, share)
		if share > 0.01 {
			t.Errorf("seed %d: %.3f of the work is refused although it fits, want 0.01 at most", seed, share)
		}
	}
}
