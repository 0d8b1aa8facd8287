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

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/runtimes"
	"github.com/damasklb/damasklb/internal/scarcity"
	"github.com/damasklb/damasklb/internal/wire"
)

// Settings are the broker's limits.
type Settings struct {
	DataCentre string
	// Distance is the assumed one-way latency to another data centre.
	Distance time.Duration
	// FarRackFactor is the factor on the run time of a task outside its preferred
	// rack.
	FarRackFactor float64
	// HeartbeatTimeout is the age of an agent's last heartbeat above which the agent
	// gets no tasks.
	HeartbeatTimeout time.Duration
	// ReactionTimeout is the time without a reaction to a sent Assign after which the
	// agent gets no further tasks. Agents react within a few milliseconds.
	ReactionTimeout time.Duration
	// RunsEndedAfter is the time after the last message to an unreachable agent by
	// which its runs have certainly ended: the agent stops them or their lease
	// expires.
	RunsEndedAfter time.Duration
	// AnswerRetention is how long the answer of a job is retained for a copy of its
	// request that arrives late.
	AnswerRetention time.Duration
	// ResumeDelay is the time without new commands after a pause of the process, in
	// which the broker learns which callers have left.
	ResumeDelay time.Duration
	// EvacuateWithin is the time from an operator's request to empty a data centre after
	// which no task may start there; 0 means that there are no such requests.
	EvacuateWithin time.Duration
	// Preemption are the limits of stops for more urgent work.
	Preemption preemption.Settings
	// Locality bounds the wait of tasks for their preferred rack.
	Locality locality.Settings
	// Scarcity are the limits of admission while capacity is scarce.
	Scarcity scarcity.Settings
}

// DefaultSettings returns settings that fit agents whose runs end within
// endedAfter of the entry's last message.
func DefaultSettings(dataCentre string, endedAfter time.Duration) Settings {
	return Settings{
		DataCentre:       dataCentre,
		Distance:         1500 * time.Microsecond,
		FarRackFactor:    1.5,
		HeartbeatTimeout: 420 * time.Millisecond,
		ReactionTimeout:  60 * time.Millisecond,
		RunsEndedAfter:   endedAfter,
		AnswerRetention:  6 * time.Second,
		ResumeDelay:      30 * time.Millisecond,
		Locality:         locality.Settings{MaxWait: locality.DefaultMaxWait},
		Scarcity:         scarcity.DefaultSettings(),
	}
}

// TaskSpec holds the requirements of a task.
type TaskSpec struct {
	CPU, MemMB int
	// Estimate is the run time that the caller declares.
	Estimate time.Duration
	// RequiredLabel is a label that the upstream must have; empty means any.
	RequiredLabel string
	// PreferredRack is the label of the rack on which the task runs fastest.
	PreferredRack string
	// MaxPerUpstream is the largest number of the job's tasks on one upstream; 0
	// means no limit.
	MaxPerUpstream int
}

// Submission is a job as a caller submits it.
type Submission struct {
	ID    string
	Queue *catalog.Queue
	Spec  string
	Tasks []TaskSpec
	// Timeout is how long the caller waits for the answer; 0 means no limit.
	Timeout time.Duration
}

// Waiter identifies a request that waits for a job's answer.
type Waiter uint64

// AgentID identifies one process of an agent.
type AgentID struct{ Host, Incarnation string }

// Broker is the state machine. It is not safe for concurrent use.
type Broker struct {
	settings Settings
	random   *rand.Rand

	jobs           map[string]*job
	answers        map[string]answer
	answerExpiries []answerExpiry
	agents         map[string]*agent
	// agentList holds the agents in the order of their arrival, which makes the
	// broker deterministic.
	agentList []*agent
	// retained holds, by host, the agent processes that have ended and whose tasks may
	// still run. They are in agentList as well.
	retained map[string][]*agent
	stats    map[string]*runtimes.Stats
	// poison holds the crashes of upstreams.
	poison *poison.Detector
	// cautions holds the last logged caution of each queue.
	cautions map[string]poison.Caution
	// verifying holds the jobs that wait for new reports before they may be refused.
	verifying []*verification
	// nextQuery is the position in agentList at which the next queries begin.
	nextQuery int
	// unplaced holds the tasks that wait for an agent that can take them.
	unplaced []*task
	// unplacedTriedAt is when the broker last tried to place them.
	unplacedTriedAt time.Duration

	// scarcity decides, by service, which jobs are refused while capacity is scarce.
	scarcity map[string]*scarcity.Controller
	// racks decides for the tasks that prefer a rack.
	racks *locality.Racks

	evacuations evacuation.Tracker
	// resumedAt is when the process last resumed after a pause, evacuationsExpectedUntil
	// the time until which no command is sent without newer news of evacuations.
	resumedAt, evacuationsExpectedUntil time.Duration

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

type answer struct {
	outcome Outcome
	lastRun uint64
}

type answerExpiry struct {
	id string
	at time.Duration
}

// New returns a broker without agents.
func New(settings Settings, src rand.Source) *Broker {
	return &Broker{
		settings: settings,
		random:   rand.New(src),
		jobs:     map[string]*job{},
		answers:  map[string]answer{},
		agents:   map[string]*agent{},
		retained: map[string][]*agent{},
		stats:    map[string]*runtimes.Stats{},
		poison:   poison.New(),
		cautions: map[string]poison.Caution{},
		scarcity: map[string]*scarcity.Controller{},
		racks:    locality.NewRacks(settings.Locality, settings.FarRackFactor),
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
	return slices.ContainsFunc(b.agentList, func(a *agent) bool { return a.present(now, &b.settings) })
}

// State returns the state of a job for its caller, and whether there is one.
func (b *Broker) State(id string) (State, bool) {
	if j := b.jobs[id]; j != nil && !j.closing {
		if j.started {
			return StateRunning, true
		}
		return StateQueued, true
	}
	if a, ok := b.answers[id]; ok {
		switch a.outcome.Kind {
		case Completed:
			return StateCompleted, true
		case Failed:
			return StateFailed, true
		}
	}
	return 0, false
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
	b.expireAnswers(now)
}

// ProcessResumed handles the end of a pause of the process that was longer than a
// few ticks. Until ResumeDelay has passed the broker sends no commands, so that it
// first learns which callers have left: their jobs may run elsewhere by now.
func (b *Broker) ProcessResumed(now time.Duration) {
	b.suspendedUntil = now + b.settings.ResumeDelay
	b.verifyEvacuations(now)
	for _, a := range b.agentList {
		if b.runsEnded(now, a) {
			a.assumeStarted()
		}
	}
}

func (b *Broker) expireAnswers(now time.Duration) {
	for len(b.answerExpiries) > 0 && now >= b.answerExpiries[0].at {
		delete(b.answers, b.answerExpiries[0].id)
		b.answerExpiries = b.answerExpiries[1:]
	}
}

func (b *Broker) send(a *agent, m wire.Message) {
	b.emit(Send{Agent: a.id, Message: m})
}
