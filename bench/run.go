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
	name     string
	choose   chooser
	disabled dispatch.Mechanism
}

var fullPolicy = policy{name: "damasklb"}

var baselines = []policy{
	{name: "random", choose: chooseRandom},
	{name: "round-robin", choose: chooseRoundRobin},
	{name: "least-outstanding", choose: chooseLeast},
	{name: "power-of-two", choose: choosePowerOfTwo},
}

var ablations = []policy{
	{name: "no-fairness", disabled: dispatch.Fairness},
	{name: "no-shortest-first", disabled: dispatch.ShortestFirst},
	{name: "no-learning", disabled: dispatch.Learning},
	{name: "no-long-share", disabled: dispatch.LongShare},
	{name: "no-stragglers", disabled: dispatch.Stragglers},
	{name: "no-job-size", disabled: dispatch.JobSize},
	{name: "no-admission", disabled: dispatch.Admission},
	{name: "no-late-drop", disabled: dispatch.LateDrop},
	{name: "no-ejection", disabled: dispatch.Ejection},
	{name: "no-placement", disabled: dispatch.Placement},
	{name: "no-storms", disabled: dispatch.StaleCredits},
}

// system takes jobs; it is an owner with the scheduler or a baseline.
type dispatcher interface {
	submit(j *job)
	cancel(j *job)
}

// run is one scenario under one policy with one seed.
type simulation struct {
	loop        loop
	site        site
	seed        uint64
	scenario    scenario
	dispatchers [ownerCount]dispatcher
	queues      []*queueMachine
	agents      []*agent
	jobs        []*job

	retries, retriesAdmitted                          int
	messages, refusals, wants, failures               int
	starts, brokenStarts, measuredStarts              int
	slotTime                                          map[string]time.Duration
	responseRatio                                     *hdrhistogram.Histogram
	shortRatio                                        *hdrhistogram.Histogram
	shortTime                                         *hdrhistogram.Histogram
	inTime, measuredJobs                              int
	inTimeSlotTime, infeasibleSlotTime, totalSlotTime time.Duration
	singleRatio                                       *hdrhistogram.Histogram
}

// Resolution of the histograms: ratios in thousandths, times in microseconds.
const (
	ratioUnit  = 1000
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newSimulation(s site, sc scenario, p policy, seed uint64) *simulation {
	r := &simulation{
		site:          s,
		seed:          seed,
		scenario:      sc,
		slotTime:      map[string]time.Duration{},
		responseRatio: hdrhistogram.New(1, histMax, histDigits),
		shortRatio:    hdrhistogram.New(1, histMax, histDigits),
		singleRatio:   hdrhistogram.New(1, histMax, histDigits),
		shortTime:     hdrhistogram.New(1, histMax, histDigits),
	}
	for i := range sc.machines {
		m := machine{sim: r, index: i, dataCentre: i % s.dataCentres, slots: machineSlots}
		if i == 0 {
			m.brokenAt, m.repairedAt = sc.brokenAt, sc.repairedAt
		}
		if p.choose != nil {
			r.queues = append(r.queues, &queueMachine{machine: m})
		} else {
			r.agents = append(r.agents, &agent{machine: m})
		}
	}
	for i := range ownerCount {
		r.dispatchers[i] = r.newDispatcher(i, p)
	}
	for _, a := range r.agents {
		r.loop.after(creditTTL/4, a.renewCredits)
	}
	r.scheduleArrivals()
	return r
}

func (r *simulation) newDispatcher(index int, p policy) dispatcher {
	if p.choose != nil {
		return newBaseline(r, index, p.choose)
	}
	o := newOwner(r, index, p.disabled)
	for _, a := range r.agents {
		o.connect(a)
	}
	return o
}

func (r *simulation) scheduleArrivals() {
	for i, l := range r.scenario.loads {
		g := newGenerator(r.seed*16+uint64(i)+1, l)
		r.jobs = append(r.jobs, g.jobs(r.scenario.arrivalsEnd, r.scenario.slots(), len(r.jobs))...)
	}
	for _, j := range r.jobs {
		r.loop.after(j.arrival, func() { r.dispatchers[j.owner].submit(j) })
		if r.scenario.cancels(j) {
			j.cancelAt = r.scenario.cancelAt
			r.loop.after(j.cancelAt, func() { r.dispatchers[j.owner].cancel(j) })
		}
	}
}

func (r *simulation) settings(dataCentre int) dispatch.Settings {
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

func (r *simulation) classNames() []string {
	var names []string
	for _, l := range r.scenario.loads {
		for _, c := range l.classes {
			names = append(names, c.name)
		}
	}
	return names
}

func (r *simulation) distance(from, to int) time.Duration {
	if from == to {
		return localDistance
	}
	return r.site.distance
}

// send delivers a message after one network latency and counts it.
func (r *simulation) send(from, to int, deliver func()) {
	r.messages++
	r.loop.after(r.distance(from, to), deliver)
}

// overlap is the part of [from, to) within the measured window.
func (r *simulation) overlap(from, to time.Duration) time.Duration {
	return max(0, min(to, r.scenario.windowEnd)-max(from, r.scenario.windowStart))
}

func (r *simulation) measured(at time.Duration) bool {
	return at >= r.scenario.windowStart && at < r.scenario.windowEnd
}

func (r *simulation) recordStart(m *machine, j *job, ran time.Duration) {
	r.starts++
	used := r.overlap(r.loop.now, r.loop.now+ran)
	j.slotTime += used
	r.slotTime[j.caller] += used
	if r.measured(r.loop.now) {
		r.measuredStarts++
		if m.brokenAt > 0 && m.index == 0 {
			r.brokenStarts++
		}
	}
}

func (r *simulation) refuse(j *job) {
	j.refused = true
	j.ended = true
}

func (r *simulation) endJob(j *job, complete bool) {
	j.ended = true
	if !complete {
		return
	}
	j.inTime = true
	if !r.measured(j.arrival) {
		return
	}
	took := r.loop.now - j.arrival
	ratio := int64(ratioUnit * float64(took) / float64(j.idealTime(2*localDistance)))
	record(r.responseRatio, ratio)
	if len(j.runTimes) == 1 {
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

func (r *simulation) measure() result {
	r.loop.run(r.scenario.arrivalsEnd + grace)
	for _, j := range r.jobs {
		r.totalSlotTime += j.slotTime
		if j.inTime {
			r.inTimeSlotTime += j.slotTime
		} else if j.arrival+j.idealTime(2*localDistance) > j.deadline {
			r.infeasibleSlotTime += j.slotTime
		}
		if !r.measured(j.arrival) || j.cancelAt > 0 {
			continue
		}
		r.measuredJobs++
		if j.inTime {
			r.inTime++
		}
	}
	return r.result()
}
