// Package broker decides what an entry does with jobs for leased upstreams:
// which agent gets a task, which job is refused, which tasks are retried and when
// a job has ended.
//
// The package does no I/O. Events come in as method calls with the time of a
// monotonic clock; TakeEffects returns the effects.
package broker

import (
	"math/rand"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/absence"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/outcomes"
	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/reports"
	"github.com/damasklb/damasklb/internal/runtimes"
	"github.com/damasklb/damasklb/internal/scarcity"
	"github.com/damasklb/damasklb/internal/timeouts"
	"github.com/damasklb/damasklb/internal/wire"
)

// Broker is the state machine. It is not safe for concurrent use.
type Broker struct {
	settings Settings
	random   *rand.Rand

	jobs    map[string]*job
	answers outcomes.Retained
	agents  map[string]*agent
	// agentList holds the agents in the order of their arrival, which makes the
	// broker deterministic.
	agentList []*agent
	// retained holds, by host, the agent processes that have ended and whose tasks may
	// still run. They are in agentList as well.
	retained map[string][]*agent
	stats    map[string]*runtimes.Stats
	// poison holds the crashes of upstreams.
	poison *poison.Detector
	// verifying holds the jobs that wait for new reports before they may be refused.
	verifying reports.Waiting[*job, *agent]
	// nextQuery is the position in agentList at which the next queries begin.
	nextQuery int
	// unplaced holds the tasks that wait for an agent that can take them.
	unplaced taskList
	// unplacedTriedAt is when the broker last tried to place them.
	unplacedTriedAt time.Duration

	// scarcity decides, by service, which jobs are refused while capacity is scarce.
	scarcity map[string]*scarcity.Controller
	// racks decides for the tasks that prefer a rack.
	racks *locality.Racks
	// timeouts estimates how long callers have waited before they submitted a job.
	timeouts timeouts.Usual

	evacuations evacuation.EntryTracker

	// absence is when the entry has been out of touch.
	absence absence.Tracker

	draining bool
	lastTick time.Duration
	// suspendedUntil is the time before which no new command is sent, after a
	// pause of the process.
	suspendedUntil time.Duration
	// agentsExpectedUntil is the time until which more agents are expected to
	// become usable.
	agentsExpectedUntil time.Duration
	// lastPresentAt is the last tick at which an agent was present.
	lastPresentAt time.Duration
	effects       []Effect
}

// New returns a broker without agents.
func New(settings Settings, src rand.Source) *Broker {
	return &Broker{
		settings: settings,
		random:   rand.New(src),
		jobs:     map[string]*job{},
		unplaced: taskList{kind: heldTasks},
		agents:   map[string]*agent{},
		retained: map[string][]*agent{},
		stats:    map[string]*runtimes.Stats{},
		poison:   poison.New(),
		scarcity: map[string]*scarcity.Controller{},
		racks:    locality.NewRacks(settings.Locality, settings.FarRackFactor),
		absence:  absence.New(settings.HeartbeatTimeout),
	}
}

// TakeEffects returns the effects since the last call, in order.
func (b *Broker) TakeEffects() []Effect {
	out := b.effects
	b.effects = nil
	return out
}

func (b *Broker) emit(e Effect) { b.effects = append(b.effects, e) }

// UnansweredJobs returns the number of jobs whose outcome is not decided.
func (b *Broker) UnansweredJobs() int {
	n := 0
	for _, j := range b.jobs {
		if !j.closing {
			n++
		}
	}
	return n
}

// LiveJobs returns the number of jobs that have not ended or whose runs may not
// all have ended.
func (b *Broker) LiveJobs() int { return len(b.jobs) }

// HasAgent reports whether any agent is present. Reactions do not count: those of all agents
// may be late because this process was.
func (b *Broker) HasAgent(now time.Duration) bool {
	return slices.ContainsFunc(b.agentList, func(a *agent) bool { return a.Present(now, &b.settings.Limits) })
}

// State returns the state of a job for its caller, and whether there is one.
func (b *Broker) State(id string) (State, bool) {
	if j := b.jobs[id]; j != nil && !j.closing {
		if j.started {
			return StateRunning, true
		}
		return StateQueued, true
	}
	a, _ := b.answers.Get(id)
	return a.State()
}

// QueuedJobs returns the number of a queue's jobs without a started task.
func (b *Broker) QueuedJobs(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.sub.Queue.Name == queue && !j.closing && !j.started {
			n++
		}
	}
	return n
}

// Drain makes the broker refuse new jobs.
func (b *Broker) Drain() { b.draining = true }

// Tick handles the passing of time. It is called every few tens of milliseconds.
func (b *Broker) Tick(now time.Duration) {
	b.lastTick = now
	b.absence.Begin(now)
	b.expireSilentAgents(now)
	b.decideVerified(now)
	b.retryWithdrawals(now)
	b.giveUpPoison(now, b.poison.Evaluate(now))
	if b.poison.AnyCaution(now) {
		b.updateQuarantine(now)
	}
	b.logCautions(now)
	b.observeRacks(now)
	b.moveWaiting(now)
	b.reassignStuck(now)
	if b.HasAgent(now) {
		b.lastPresentAt = now
	}
	b.placeUnplaced(now)
	b.answers.Expire(now)
}

// ProcessResumed handles the end of a pause of the process that was longer than a
// few ticks. Until ResumeDelay has passed the broker sends no commands, so that it
// first learns which callers have left: their jobs may run elsewhere by now.
func (b *Broker) ProcessResumed(now time.Duration) {
	b.suspendedUntil = now + b.settings.ResumeDelay
	b.verifyEvacuations(now)
	for _, a := range b.agentList {
		if a.RunsEnded(now, &b.settings.Limits) {
			a.assumeStarted()
		}
	}
}

func (b *Broker) send(a *agent, m wire.Message) {
	b.emit(Send{Agent: a.ID, Message: m})
}
