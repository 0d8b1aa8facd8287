// Package owner is the core of an entry. It owns partitions of the key space,
// runs the jobs whose keys fall into them by sending their tasks to agents, is a
// witness for jobs of other owners, and takes partitions over when their owner
// has stopped. It does no I/O and has no clock: its inputs are messages and
// ticks, its outputs are effects.
//
// Invariants:
//   - A task is sent to an agent only while the partition is owned, its job
//     records are complete, the entry's authority is valid and the job is
//     unanswered.
//   - A task has at most one attempt whose outcome is open.
//   - A complete answer has the result of every task.
//   - After an answer that says not_run, no task of the job starts unless the
//     caller submits the job again after the stated time.
package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// Settings are the entry's limits.
type Settings struct {
	// ResubmissionWindow is how long answers and job records are retained for
	// resubmissions.
	ResubmissionWindow time.Duration
	// AuthorityTimeout is how long the entry acts on a map that it has read, or that
	// all other members have confirmed.
	AuthorityTimeout time.Duration
	// PeerAuthorityTimeout is how long confirmations by members may replace reads of
	// the table.
	PeerAuthorityTimeout time.Duration
	// CreditTTL is the longest lifetime of a credit at agents.
	CreditTTL time.Duration
	// WitnessTimeout is how long the entry waits for one peer's acknowledgement
	// before it asks another.
	WitnessTimeout time.Duration
	// MaxDeadline is the longest deadline of a job.
	MaxDeadline time.Duration
	// MaxAge is the age up to which a submission may start tasks. An older one
	// may be a copy of a request whose job records have expired. Callers may
	// resubmit for ResubmissionWindow less MaxAge and the longest delay of a
	// message.
	MaxAge time.Duration
	// TakeoverWait is how long requests wait for a takeover before they are refused.
	TakeoverWait time.Duration
	// JobRecordsPerMessage is the maximum number of job records in one message.
	JobRecordsPerMessage int
}

// DefaultSettings returns the limits that the design document gives.
func DefaultSettings() Settings {
	return Settings{
		ResubmissionWindow:   120 * time.Second,
		AuthorityTimeout:     60 * time.Second,
		PeerAuthorityTimeout: time.Hour,
		CreditTTL:            20 * time.Second,
		WitnessTimeout:       100 * time.Millisecond,
		MaxDeadline:          60 * time.Second,
		MaxAge:               10 * time.Second,
		TakeoverWait:         2 * time.Second,
		JobRecordsPerMessage: 8192,
	}
}

// clockRateMargin covers the difference in rate between two hosts' monotonic
// clocks. Crystal oscillators stay below 0.05%; 0.5% leaves room for slewing.
const clockRateMargin = 1.005

// Effect is an action that the I/O layer around the core carries out.
type Effect interface{ effect() }

// Send sends a message to an entry or agent, if there is a link to it.
type Send struct {
	To      string
	Message wire.Message
}

// Reply gives the final answer to a local request.
type Reply struct {
	Token  uint64
	Answer *wire.Answer
}

// CommitMap writes Next to the table if the map still has version Next.Version-1
// (0: no map), and reports the map that is then in the table by MapRead.
type CommitMap struct{ Next *membership.Map }

// ReadMap reads the map row and reports it by MapRead.
type ReadMap struct{}

// ReadEntryRow reads a member's row and reports it by EntryRowRead.
type ReadEntryRow struct{ ID string }

// ListAgents lists the agents' rows and reports them by AgentsListed. Takeover is
// the id to report; it is 0 for a periodic read.
type ListAgents struct{ Takeover uint64 }

// DeleteAgentRow deletes an agent's row if it still has this content.
type DeleteAgentRow struct{ Row AgentRow }

func (Send) effect()           {}
func (Reply) effect()          {}
func (CommitMap) effect()      {}
func (ReadMap) effect()        {}
func (ReadEntryRow) effect()   {}
func (ListAgents) effect()     {}
func (DeleteAgentRow) effect() {}

// Counters are totals since the start of the process.
type Counters struct {
	Accepted, Complete, Failed, Refused, OutcomeUnknown uint64
	Starts, NotStarted, Wants, Takeovers                uint64
	// TakeoverTime is the duration of the last takeover: from its map until its
	// keys were served again.
	TakeoverTime time.Duration
}

// Core is the state of one entry process.
type Core struct {
	self     membership.Member
	settings Settings
	policy   dispatch.Policy
	detector *membership.Detector
	started  time.Duration

	m *membership.Map
	// mapReadAt is when the last read of the current map started.
	mapReadAt   time.Duration
	confirmedAt map[string]time.Duration
	leaving     bool
	// joined is when this entry became a member.
	joined time.Duration

	fences    [wire.PartitionCount]uint64
	owned     map[wire.Partition]*ownership
	jobs      map[wire.JobID]*job
	records   map[wire.JobID]*jobRecord
	forwards  map[uint64]*forward
	witnesses map[uint64]*witnessCall
	takeovers map[uint64]*takeover
	rebase    *rebase
	agents    map[string]*agent
	peers     map[string]bool
	// evacuations are the operators' requests that nothing starts in a data centre.
	evacuations evacuation.Tracker
	// linkedMembers and linkedAgents are asked in turn to store job records.
	linkedMembers rotation
	linkedAgents  rotation
	timers        timerQueue
	released      map[wire.Partition]*releasedPartition
	nextID        uint64
	nextMapRead   time.Duration
	// waiting counts the tasks in the policy's queues. wantCheckPending is set
	// while a timer is set that checks whether they need slots. wantRotation
	// selects the upstream that is asked first.
	waiting          int
	wantCheckPending bool
	wantRotation     int
	// pauseStart and pauseEnd bound the last pause of the process.
	lastTick   time.Duration
	pauseStart time.Duration
	pauseEnd   time.Duration
	committing bool
	// leftAgents are the agents that have left, by host.
	leftAgents        map[string]leftAgent
	nextAgentRowsRead time.Duration
	readingAgentRows  bool

	counters Counters
	effects  []Effect
}

// New returns the core of an entry that is not in the map yet. The core must be
// the only user of the policy.
func New(self membership.Member, s Settings, policy dispatch.Policy, now time.Duration) *Core {
	return &Core{
		self: self, settings: s, policy: policy, detector: membership.NewDetector(), started: now,
		confirmedAt: map[string]time.Duration{}, owned: map[wire.Partition]*ownership{},
		jobs: map[wire.JobID]*job{}, records: map[wire.JobID]*jobRecord{}, forwards: map[uint64]*forward{},
		witnesses: map[uint64]*witnessCall{}, takeovers: map[uint64]*takeover{},
		agents: map[string]*agent{}, peers: map[string]bool{}, released: map[wire.Partition]*releasedPartition{},
	}
}

// TakeEffects returns the pending effects in order and clears them.
func (c *Core) TakeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Counters returns the totals.
func (c *Core) Counters() Counters { return c.counters }

// Map returns the map in force, or nil.
func (c *Core) Map() *membership.Map { return c.m }

// Ready reports whether the entry is a member that may accept requests.
func (c *Core) Ready(now time.Duration) bool {
	if c.m == nil || c.leaving || !c.authority(now) {
		return false
	}
	_, member := c.m.Member(c.self.ID)
	return member
}

// Policy returns the policy, to configure it.
func (c *Core) Policy() dispatch.Policy { return c.policy }

// SetResubmissionWindow replaces the resubmission window.
func (c *Core) SetResubmissionWindow(window time.Duration) { c.settings.ResubmissionWindow = window }

func (c *Core) emit(e Effect)                  { c.effects = append(c.effects, e) }
func (c *Core) send(to string, m wire.Message) { c.emit(Send{To: to, Message: m}) }

func (c *Core) newID() uint64 {
	c.nextID++
	return c.nextID
}

// authority reports whether the entry may accept keys and start tasks. A pause
// or a partition that outlasts the limits ends it.
func (c *Core) authority(now time.Duration) bool {
	if c.m == nil {
		return false
	}
	if now-c.mapReadAt < c.settings.AuthorityTimeout {
		return true
	}
	if now-c.mapReadAt >= c.settings.PeerAuthorityTimeout {
		return false
	}
	for _, member := range c.m.Members {
		if member.ID == c.self.ID {
			continue
		}
		at, ok := c.confirmedAt[member.ID]
		if !ok || now-at >= c.settings.AuthorityTimeout {
			return false
		}
	}
	return true
}

// MapConfirmed records that a member had no map newer than version at the time sent.
func (c *Core) MapConfirmed(sent time.Duration, id string, version uint64) {
	if c.m == nil {
		return
	}
	if version > c.m.Version {
		c.emit(ReadMap{})
		return
	}
	c.confirmedAt[id] = max(c.confirmedAt[id], sent)
}

// LinkUp handles a new link to an entry or agent. It may replace an older one.
func (c *Core) LinkUp(now time.Duration, h wire.Hello) {
	if h.Role == wire.RoleAgent {
		c.agentUp(now, h)
		return
	}
	c.peers[h.ID] = true
	c.updateLinkedMembers()
	c.detector.MessageReceived(now, h.ID)
	if c.m != nil {
		c.send(h.ID, &wire.MapNotice{Version: c.m.Version, Row: c.m.Encode()})
	}
	c.resendForwards(now, h.ID)
	c.resendFences(h.ID)
}

// LinkDown handles the loss of the last link to an entry or agent.
func (c *Core) LinkDown(now time.Duration, role wire.Role, id string) {
	if role == wire.RoleAgent {
		c.agentDown(now, id)
		return
	}
	delete(c.peers, id)
	c.updateLinkedMembers()
}

// MessageReceived records that a message from a peer has come, whatever its type.
func (c *Core) MessageReceived(now time.Duration, id string) { c.detector.MessageReceived(now, id) }

// Receive handles a message from an entry or agent.
func (c *Core) Receive(now time.Duration, from string, m wire.Message) {
	switch m := m.(type) {
	case *wire.UpstreamUp:
		c.upstreamUp(now, from, m)
	case *wire.UpstreamDown:
		c.upstreamDown(now, from, m.Upstream)
	case *wire.Credit:
		c.credit(now, from, m)
	case *wire.NotStarted:
		c.notStarted(now, from, m)
	case *wire.Result:
		c.result(now, from, m)
	case *wire.QueryReply:
		c.queryReply(now, from, m)
	case *wire.Fence:
		c.fence(now, from, m)
	case *wire.FenceReply:
		c.fenceReply(now, from, m)
	case *wire.Forward:
		c.handleForward(now, from, m)
	case *wire.ForwardReply:
		c.forwardReply(now, from, m)
	case *wire.Lookup:
		c.handleLookup(now, from, m)
	case *wire.Witness:
		c.witness(now, from, m)
	case *wire.WitnessAck:
		c.witnessAck(now, from, m)
	case *wire.MapNotice:
		c.mapNotice(now, m)
	}
	c.dispatchTasks(now)
}

// Tick runs the timers and periodic work that are due.
func (c *Core) Tick(now time.Duration) {
	c.recordTick(now)
	for {
		t, ok := c.timers.pop(now)
		if !ok {
			break
		}
		t.fire(now)
	}
	c.tickMembers(now)
	c.tickAgentRows(now)
	c.tickTakeovers(now)
	c.tickRebase(now)
	c.dispatchTasks(now)
}
