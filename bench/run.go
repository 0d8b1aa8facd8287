package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damasklb/damasklb/internal/dispatch"
)

// site is a deployment of section 1.6.
type site struct {
	name        string
	dataCentres int
	distance    time.Duration
}

var sites = []site{
	{"tirtamaja", 3, time.Millisecond},
	{"kannuliit", 4, 1500 * time.Microsecond},
}

const (
	machineCount = 11
	machineSlots = 8
	// localDistance is the one-way latency within a data centre.
	localDistance = 250 * time.Microsecond
)

func machineName(i int) string    { return fmt.Sprintf("worker-%02d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

// policy is a way to dispatch: a baseline, or the scheduler without some of
// its mechanisms.
type policy struct {
	name   string
	choose chooser
	off    dispatch.Mechanism
}

var fullPolicy = policy{name: "damasklb"}

var baselines = []policy{
	{name: "random", choose: chooseRandom},
	{name: "round-robin", choose: chooseRoundRobin},
	{name: "least-outstanding", choose: chooseLeast},
	{name: "power-of-two", choose: choosePowerOfTwo},
}

var ablations = []policy{
	{name: "no-fairness", off: dispatch.Fairness},
	{name: "no-shortest-first", off: dispatch.ShortestFirst},
	{name: "no-learning", off: dispatch.Learning},
	{name: "no-long-share", off: dispatch.LongShare},
	{name: "no-stragglers", off: dispatch.Stragglers},
	{name: "no-job-size", off: dispatch.JobSize},
	{name: "no-admission", off: dispatch.Admission},
	{name: "no-late-drop", off: dispatch.LateDrop},
	{name: "no-ejection", off: dispatch.Ejection},
	{name: "no-placement", off: dispatch.Placement},
	{name: "no-storms", off: dispatch.StaleCredits},
}

// system takes jobs; it is an owner with the scheduler or a baseline.
type system interface {
	submit(j *job)
	cancel(j *job)
}

// run is one scenario under one policy with one seed.
type run struct {
	loop     loop
	site     site
	seed     uint64
	scenario scenario
	systems  [ownerCount]system
	queues   []*queueMachine
	agents   []*agent
	jobs     []*job

	retries, retriesAdmitted            int
	messages, refusals, wants, failures int
	starts, brokenStarts, windowStarts  int
	used                                map[string]time.Duration
	ratio                               *hdrhistogram.Histogram
	shortRatio                          *hdrhistogram.Histogram
	shortTime                           *hdrhistogram.Histogram
	inTime, offered                     int
	inTimeUse, doomedUse, allUse        time.Duration
	singleRatio                         *hdrhistogram.Histogram
}

// Resolution of the histograms: ratios in thousandths, times in microseconds.
const (
	ratioUnit  = 1000
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newRun(s site, sc scenario, p policy, seed uint64) *run {
	r := &run{
		site:        s,
		seed:        seed,
		scenario:    sc,
		used:        map[string]time.Duration{},
		ratio:       hdrhistogram.New(1, histMax, histDigits),
		shortRatio:  hdrhistogram.New(1, histMax, histDigits),
		singleRatio: hdrhistogram.New(1, histMax, histDigits),
		shortTime:   hdrhistogram.New(1, histMax, histDigits),
	}
	for i := range sc.machines {
		m := machine{run: r, index: i, dataCentre: i % s.dataCentres, slots: machineSlots}
		if i == 0 {
			m.broken, m.mended = sc.broken, sc.mended
		}
		if p.choose != nil {
			r.queues = append(r.queues, &queueMachine{machine: m})
		} else {
			r.agents = append(r.agents, &agent{machine: m})
		}
	}
	for i := range ownerCount {
		r.systems[i] = r.newSystem(i, p)
	}
	for _, a := range r.agents {
		r.loop.after(creditLife/4, a.renew)
	}
	r.arrivals()
	return r
}

func (r *run) newSystem(index int, p policy) system {
	if p.choose != nil {
		return newBaseline(r, index, p.choose)
	}
	o := newOwner(r, index, p.off)
	for _, a := range r.agents {
		o.connect(a)
	}
	return o
}

func (r *run) arrivals() {
	for i, l := range r.scenario.loads {
		g := newGenerator(r.seed*16+uint64(i)+1, l)
		r.jobs = append(r.jobs, g.jobs(r.scenario.end, r.scenario.slots(), len(r.jobs))...)
	}
	for _, j := range r.jobs {
		r.loop.after(j.arrive, func() { r.systems[j.owner].submit(j) })
		if r.scenario.cancels(j) {
			j.cancelAt = r.scenario.cancelAt
			r.loop.after(j.cancelAt, func() { r.systems[j.owner].cancel(j) })
		}
	}
}

func (r *run) settings(dataCentre int) dispatch.Settings {
	s := dispatch.Settings{
		DataCentre: dataCentreName(dataCentre),
		Distance:   map[string]time.Duration{},
		Owners:     ownerCount,
	}
	for i := range r.site.dataCentres {
		s.Distance[dataCentreName(i)] = r.distance(dataCentre, i)
	}
	return s
}

func (r *run) classNames() []string {
	var names []string
	for _, l := range r.scenario.loads {
		for _, c := range l.classes {
			names = append(names, c.name)
		}
	}
	return names
}

func (r *run) distance(from, to int) time.Duration {
	if from == to {
		return localDistance
	}
	return r.site.distance
}

// send delivers a message after one network latency and counts it.
func (r *run) send(from, to int, deliver func()) {
	r.messages++
	r.loop.after(r.distance(from, to), deliver)
}

// overlap is the part of [from, to) within the measured window.
func (r *run) overlap(from, to time.Duration) time.Duration {
	return max(0, min(to, r.scenario.to)-max(from, r.scenario.from))
}

func (r *run) measured(at time.Duration) bool {
	return at >= r.scenario.from && at < r.scenario.to
}

func (r *run) noteStart(m *machine, j *job, ran time.Duration) {
	r.starts++
	used := r.overlap(r.loop.now, r.loop.now+ran)
	j.used += used
	r.used[j.caller] += used
	if r.measured(r.loop.now) {
		r.windowStarts++
		if m.broken > 0 && m.index == 0 {
			r.brokenStarts++
		}
	}
}

func (r *run) refuse(j *job) {
	j.refused = true
	j.ended = true
}

func (r *run) end(j *job, complete bool) {
	j.ended = true
	if !complete {
		return
	}
	j.inTime = true
	if !r.measured(j.arrive) {
		return
	}
	took := r.loop.now - j.arrive
	ratio := int64(ratioUnit * float64(took) / float64(j.ideal(2*localDistance)))
	record(r.ratio, ratio)
	if len(j.service) == 1 {
		record(r.singleRatio, ratio)
	}
	if j.class != longClass {
		record(r.shortRatio, ratio)
		record(r.shortTime, int64(took/time.Microsecond))
	}
}

func record(h *hdrhistogram.Histogram, v int64) {
	// The range check cannot fail: the value is clamped to the range.
	_ = h.RecordValue(min(max(v, 1), histMax))
}

// grace is the time for the last jobs to end.
const grace = time.Minute

func (r *run) measure() result {
	r.loop.run(r.scenario.end + grace)
	for _, j := range r.jobs {
		r.allUse += j.used
		if j.inTime {
			r.inTimeUse += j.used
		} else if j.arrive+j.ideal(2*localDistance) > j.deadline {
			r.doomedUse += j.used
		}
		if !r.measured(j.arrive) || j.cancelAt > 0 {
			continue
		}
		r.offered++
		if j.inTime {
			r.inTime++
		}
	}
	return r.result()
}
