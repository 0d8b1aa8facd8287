// Package broker decides what an entry does with jobs for leased upstreams:
// which agent gets a task, which job is refused, what is tried again and when a
// job has ended.
//
// The package does no I/O. Events come in as method calls with the time of a
// steady clock; effects come out of Take.
package broker

import (
	"math/rand"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/wire"
)

// Settings are the broker's limits.
type Settings struct {
	DataCentre string
	// Distance is the assumed one-way latency to another data centre.
	Distance time.Duration
	// FarRackFactor is how much longer a task takes away from its rack.
	FarRackFactor float64
	// Silence is the age of an agent's last beat from which it gets no tasks.
	HeartbeatTimeout time.Duration
	// EndedAfter is the time after the last message to an unreachable agent at
	// which its runs have ended for certain: the agent stops them or their lease
	// lapses.
	RunsEndedAfter time.Duration
	// KeepAnswers is how long the answer of a job is kept for a copy of its
	// request that arrives late.
	AnswerRetention time.Duration
	// ThawPause is the time without new orders after the process was paused, in
	// which it learns which callers have left.
	ResumeDelay time.Duration
}

// DefaultSettings returns settings that fit agents whose runs end within
// endedAfter of the entry's last message.
func DefaultSettings(dataCentre string, endedAfter time.Duration) Settings {
	return Settings{
		DataCentre:       dataCentre,
		Distance:         1500 * time.Microsecond,
		FarRackFactor:    1.5,
		HeartbeatTimeout: 300 * time.Millisecond,
		RunsEndedAfter:   endedAfter,
		AnswerRetention:  6 * time.Second,
		ResumeDelay:      30 * time.Millisecond,
	}
}

// TaskSpec is what a job says of its tasks.
type TaskSpec struct {
	CPU, MemMB int
	// Estimate is the run time that the caller declares.
	Estimate time.Duration
	// Label is a label that the upstream must have; empty means any.
	RequiredLabel string
	// Near is the label of the rack that the tasks run fastest on.
	PreferredRack string
	// PerUpstream is the largest number of tasks on one upstream; 0 means no limit.
	MaxPerUpstream int
}

// Submission is a job as a caller hands it in.
type Submission struct {
	ID    string
	Queue *catalog.Queue
	Spec  string
	Tasks []TaskSpec
	// Patience is how long the caller waits for the answer; 0 means no limit.
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

	jobs    map[string]*job
	answers map[string]answer
	oldest  []expiry
	agents  map[string]*agent
	// agentList are the agents in the order of their arrival, so that a run of the
	// broker can be repeated exactly.
	agentList []*agent
	kinds     map[string]*kind
	// unplaced are tasks that no agent could take yet.
	unplaced []*task

	draining bool
	lastTick time.Duration
	quiet    time.Duration
	// gathering is the time until which more agents are expected.
	gathering time.Duration
	// usableAt is when an agent could last be given tasks.
	usableAt time.Duration
	out      []Effect
}

type answer struct {
	outcome Outcome
	lastRun uint64
}

type expiry struct {
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
		kinds:    map[string]*kind{},
	}
}

// Take returns the effects since the last call, in order.
func (b *Broker) TakeEffects() []Effect {
	out := b.out
	b.out = nil
	return out
}

func (b *Broker) emit(e Effect) { b.out = append(b.out, e) }

// Jobs returns the number of jobs without an answer.
func (b *Broker) UnansweredJobs() int {
	n := 0
	for _, j := range b.jobs {
		if !j.closing {
			n++
		}
	}
	return n
}

// Live returns the number of jobs of which runs may be left.
func (b *Broker) LiveJobs() int { return len(b.jobs) }

// Usable returns the number of agents that may get tasks.
func (b *Broker) UsableAgents(now time.Duration) int {
	n := 0
	for _, a := range b.agentList {
		if a.usable(now, b.settings.HeartbeatTimeout) {
			n++
		}
	}
	return n
}

// State returns the state of a job for its caller.
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

// Pending returns the number of a queue's jobs without a started task.
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
	b.loseSilentAgents(now)
	b.retryWithdrawals(now)
	b.moveWaiting(now)
	b.rescueStuck(now)
	if b.UsableAgents(now) > 0 {
		b.usableAt = now
	}
	b.placeKept(now)
	b.forgetAnswers(now)
}

// Thawed handles a pause of the process that was longer than a few ticks. Until
// ThawPause has passed the broker gives no orders, so that it first learns which
// callers have left: their jobs may run elsewhere by now.
func (b *Broker) ProcessResumed(now time.Duration) { b.quiet = now + b.settings.ResumeDelay }

func (b *Broker) forgetAnswers(now time.Duration) {
	for len(b.oldest) > 0 && now >= b.oldest[0].at {
		delete(b.answers, b.oldest[0].id)
		b.oldest = b.oldest[1:]
	}
}

func (b *Broker) send(a *agent, m wire.Message) {
	b.emit(Send{Agent: a.id, Message: m})
}
