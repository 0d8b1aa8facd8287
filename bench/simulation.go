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

// policy is a dispatch policy: a baseline if choose is set, else the scheduler
// without the disabled mechanisms.
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

// dispatcher accepts jobs. It is an owner with the scheduler, or a baseline.
type dispatcher interface {
	submit(j *job)
	cancel(j *job)
}

// simulation is the run of one scenario under one policy with one seed.
type simulation struct {
	loop        loop
	site        site
	seed        uint64
	scenario    scenario
	dispatchers [ownerCount]dispatcher
	queues      []*queueMachine
	agents      []*agent
	jobs        []*job

	// Counts over the whole run; measuredStarts and brokenStarts are within the
	// measured window, brokenStarts on the machine that breaks.
	retries, retriesAdmitted             int
	messages, refusals, wants, failures  int
	starts, brokenStarts, measuredStarts int
	slotTime                             map[string]time.Duration
	// Ratios of response time to ideal time. shortRatio and shortTime are of jobs
	// outside longClass; shortTime is their response time.
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
	sim := &simulation{
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
		m := machine{sim: sim, index: i, dataCentre: i % s.dataCentres, slots: machineSlots}
		if i == 0 {
			m.brokenAt, m.repairedAt = sc.brokenAt, sc.repairedAt
		}
		if p.choose != nil {
			sim.queues = append(sim.queues, &queueMachine{machine: m})
		} else {
			sim.agents = append(sim.agents, &agent{machine: m})
		}
	}
	for i := range ownerCount {
		sim.dispatchers[i] = sim.newDispatcher(i, p)
	}
	for _, a := range sim.agents {
		sim.loop.after(creditTTL/4, a.renewCredits)
	}
	sim.scheduleArrivals()
	return sim
}

func (sim *simulation) newDispatcher(index int, p policy) dispatcher {
	if p.choose != nil {
		return newBaseline(sim, index, p.choose)
	}
	o := newOwner(sim, index, p.disabled)
	for _, a := range sim.agents {
		o.connect(a)
	}
	return o
}

func (sim *simulation) scheduleArrivals() {
	for i, l := range sim.scenario.loads {
		g := newGenerator(sim.seed*16+uint64(i)+1, l)
		sim.jobs = append(sim.jobs, g.jobs(sim.scenario.arrivalsEnd, sim.scenario.slots(), len(sim.jobs))...)
	}
	for _, j := range sim.jobs {
		sim.loop.after(j.arrival, func() { sim.dispatchers[j.owner].submit(j) })
		if sim.scenario.cancels(j) {
			j.cancelAt = sim.scenario.cancelAt
			sim.loop.after(j.cancelAt, func() { sim.dispatchers[j.owner].cancel(j) })
		}
	}
}

func (sim *simulation) settings(dataCentre int) dispatch.Settings {
	s := dispatch.Settings{
		DataCentre: dataCentreName(dataCentre),
		Distance:   map[string]time.Duration{},
		Owners:     ownerCount,
	}
	for i := range sim.site.dataCentres {
		s.Distance[dataCentreName(i)] = sim.distance(dataCentre, i)
	}
	return s
}

func (sim *simulation) classNames() []string {
	var names []string
	for _, l := range sim.scenario.loads {
		for _, c := range l.classes {
			names = append(names, c.name)
		}
	}
	return names
}

func (sim *simulation) distance(from, to int) time.Duration {
	if from == to {
		return localDistance
	}
	return sim.site.distance
}

// send delivers a message after one network latency and counts it.
func (sim *simulation) send(from, to int, deliver func()) {
	sim.messages++
	sim.loop.after(sim.distance(from, to), deliver)
}

// overlap returns the part of [from, to) that lies within the measured window.
func (sim *simulation) overlap(from, to time.Duration) time.Duration {
	return max(0, min(to, sim.scenario.windowEnd)-max(from, sim.scenario.windowStart))
}

func (sim *simulation) measured(at time.Duration) bool {
	return at >= sim.scenario.windowStart && at < sim.scenario.windowEnd
}

func (sim *simulation) recordStart(m *machine, j *job, runTime time.Duration) {
	sim.starts++
	used := sim.overlap(sim.loop.now, sim.loop.now+runTime)
	j.slotTime += used
	sim.slotTime[j.caller] += used
	if sim.measured(sim.loop.now) {
		sim.measuredStarts++
		if m.brokenAt > 0 && m.index == 0 {
			sim.brokenStarts++
		}
	}
}

func (sim *simulation) refuse(j *job) {
	j.refused = true
	j.ended = true
}

func (sim *simulation) endJob(j *job, complete bool) {
	j.ended = true
	if !complete {
		return
	}
	j.inTime = true
	if !sim.measured(j.arrival) {
		return
	}
	took := sim.loop.now - j.arrival
	ratio := int64(ratioUnit * float64(took) / float64(j.idealTime(2*localDistance)))
	record(sim.responseRatio, ratio)
	if len(j.runTimes) == 1 {
		record(sim.singleRatio, ratio)
	}
	if j.class != longClass {
		record(sim.shortRatio, ratio)
		record(sim.shortTime, int64(took/time.Microsecond))
	}
}

func record(h *hdrhistogram.Histogram, v int64) {
	// The range check cannot fail: the value is clamped to the range.
	_ = h.RecordValue(min(max(v, 1), histMax))
}

// grace is the time after the end of arrivals in which the last jobs can end.
const grace = time.Minute

func (sim *simulation) measure() result {
	sim.loop.run(sim.scenario.arrivalsEnd + grace)
	for _, j := range sim.jobs {
		sim.totalSlotTime += j.slotTime
		if j.inTime {
			sim.inTimeSlotTime += j.slotTime
		} else if j.arrival+j.idealTime(2*localDistance) > j.deadline {
			sim.infeasibleSlotTime += j.slotTime
		}
		if !sim.measured(j.arrival) || j.cancelAt > 0 {
			continue
		}
		sim.measuredJobs++
		if j.inTime {
			sim.inTime++
		}
	}
	return sim.result()
}
