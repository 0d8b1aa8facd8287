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
	Silence time.Duration
	// EndedAfter is the time after the last message to an unreachable agent at
	// which its runs have ended for certain: the agent stops them or their lease
	// lapses.
	EndedAfter time.Duration
	// KeepAnswers is how long the answer of a job is kept for a copy of its
	// request that arrives late.
	KeepAnswers time.Duration
	// ThawPause is the time without new orders after the process was paused, in
	// which it learns which callers have left.
	ThawPause time.Duration
}

// DefaultSettings returns settings that fit agents whose runs end within
// endedAfter of the entry's last message.
func DefaultSettings(dataCentre string, endedAfter time.Duration) Settings {
	return Settings{
		DataCentre:    dataCentre,
		Distance:      1500 * time.Microsecond,
		FarRackFactor: 1.5,
		Silence:       300 * time.Millisecond,
		EndedAfter:    endedAfter,
		KeepAnswers:   6 * time.Second,
		ThawPause:     30 * time.Millisecond,
	}
}

// TaskSpec is what a job says of its tasks.
type TaskSpec struct {
	CPU, MemMB int
	// Estimate is the run time that the caller declares.
	Estimate time.Duration
	// Label is a label that the upstream must have; empty means any.
	Label string
	// Near is the label of the rack that the tasks run fastest on.
	Near string
	// PerUpstream is the largest number of tasks on one upstream; 0 means no limit.
	PerUpstream int
}

// Submission is a job as a caller hands it in.
type Submission struct {
	ID    string
	Queue *catalog.Queue
	Spec  string
	Tasks []TaskSpec
	// Patience is how long the caller waits for the answer; 0 means no limit.
	Patience time.Duration
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
	// agentList are the agents in the order of their arrival, so that a run of the
	// broker can be repeated exactly.
	agentList []*agent
	stats     map[string]*queueStats
	// unplaced are tasks that no agent could take yet.
	unplaced []*task

	draining       bool
	lastTick       time.Duration
	suspendedUntil time.Duration
	// gathering is the time until which more agents are expected.
	agentsExpectedUntil time.Duration
	// usableAt is when an agent could last be given tasks.
	lastUsableAt time.Duration
	effects      []Effect
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
		stats:    map[string]*queueStats{},
	}
}

// Take returns the effects since the last call, in order.
func (b *Broker) Take() []Effect {
	out := b.effects
	b.effects = nil
	return out
}

func (b *Broker) emit(e Effect) { b.effects = append(b.effects, e) }

// Jobs returns the number of jobs without an answer.
func (b *Broker) Jobs() int {
	n := 0
	for _, j := range b.jobs {
		if !j.closing {
			n++
		}
	}
	return n
}

// Live returns the number of jobs of which runs may be left.
func (b *Broker) Live() int { return len(b.jobs) }

// Usable returns the number of agents that may get tasks.
func (b *Broker) Usable(now time.Duration) int {
	n := 0
	for _, a := range b.agentList {
		if a.usable(now, b.settings.Silence) {
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
func (b *Broker) Pending(queue string) int {
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
	b.retryWithdrawals(now)
	b.moveWaiting(now)
	b.reassignStuck(now)
	if b.Usable(now) > 0 {
		b.lastUsableAt = now
	}
	b.placeUnplaced(now)
	b.expireAnswers(now)
}

// Thawed handles a pause of the process that was longer than a few ticks. Until
// ThawPause has passed the broker gives no orders, so that it first learns which
// callers have left: their jobs may run elsewhere by now.
func (b *Broker) Thawed(now time.Duration) { b.suspendedUntil = now + b.settings.ThawPause }

func (b *Broker) expireAnswers(now time.Duration) {
	for len(b.answerExpiries) > 0 && now >= b.answerExpiries[0].at {
		delete(b.answers, b.answerExpiries[0].id)
		b.answerExpiries = b.answerExpiries[1:]
	}
}

func (b *Broker) send(a *agent, m wire.Message) {
	b.emit(Send{Agent: a.id, Message: m})
}
