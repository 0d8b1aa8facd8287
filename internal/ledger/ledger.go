// Package ledger is the core of an agent: it keeps the records of the tasks
// that the agent has started, the fences of the partitions and the credits of
// the entries, and it alone decides whether a task starts. It does no I/O and
// has no clock: messages and ticks go in, effects come out.
//
// Invariants:
//   - A task has at most one record with a start, whatever the attempt.
//   - An attempt that was refused or queried without a record never starts.
//   - No task starts below the fence of its partition, on an expired or spent
//     credit, at a closed site, in a data centre that the agent knows to be evacuated,
//     or on an upstream that is leaving.
package ledger

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// Instant is a moment on the two clocks of the host. Mono is the time since the
// start of the process and decides when credits and records expire; Wall is only
// for quiet hours.
type Instant struct {
	Mono time.Duration
	Wall time.Time
}

// Gate decides whether the configuration in force lets a class start at a site.
type Gate interface {
	// Check returns 0 if the start is allowed, or the reason why it is not. For
	// ReasonQuietHours it also returns the time until the site opens.
	Check(wall time.Time, site, class string) (wire.Reason, time.Duration)
	// SiteOpen reports whether any class may start at the site.
	SiteOpen(wall time.Time, site string) bool
	// Version is the configuration version that the gate applies; 0 if none.
	Version() uint64
}

// Settings are the agent's own limits.
type Settings struct {
	// CreditTTL is how long a credit may be used.
	CreditTTL time.Duration
	// ResubmissionWindow is how long a record is retained after its task has ended.
	ResubmissionWindow time.Duration
	// Reservation is how long a freed slot is reserved for the entry that it was
	// offered to.
	Reservation time.Duration
	// AnnounceTTL is how long an upstream counts as present after an announcement.
	AnnounceTTL time.Duration
	// ReplyRecords is the number of records in one part of a reply to a fence.
	ReplyRecords int
	// DataCentre is where the agent and its upstreams are.
	DataCentre string
	// EvacuationQueryAge is the age of the agent's knowledge of evacuations above which it
	// reads the requests from the table itself.
	EvacuationQueryAge time.Duration
}

// DefaultSettings returns the limits that the design page gives.
func DefaultSettings() Settings {
	return Settings{
		CreditTTL:          20 * time.Second,
		ResubmissionWindow: 120 * time.Second,
		Reservation:        time.Second,
		AnnounceTTL:        3 * time.Second,
		ReplyRecords:       4096,
		EvacuationQueryAge: 15 * time.Second,
	}
}

// Upstream is what an upstream has announced.
type Upstream struct {
	Service string
	Site    string
	Classes []string
	Address string
	Slots   int
}

// Effect is an action for the I/O layer to carry out: Send, Run or QueryEvacuations.
type Effect interface{ effect() }

// Send sends a message to an entry, if there is a link to it.
type Send struct {
	Entry   string
	Message wire.Message
}

// Run calls the upstream with a task. The I/O layer reports the end by Ended.
type Run struct {
	Start   *wire.Start
	Address string
}

func (Send) effect() {}
func (Run) effect()  {}

type record struct {
	wire.TaskRecord
	// resultTo is the entry that receives the result. startedBy is the entry whose
	// start took the slot; after a takeover they differ.
	resultTo  string
	startedBy string
	upstream  string
	expires   time.Duration
	// deadline is when the entry that sent the start has certainly ended the job.
	deadline time.Duration
}

type voidKey struct {
	task    wire.TaskID
	attempt uint32
}

// Ledger is the state of one agent process.
type Ledger struct {
	settings  Settings
	gate      Gate
	records   map[wire.TaskID]*record
	voids     map[voidKey]time.Duration
	expiry    []expiryItem
	refusals  map[wire.JobID]storedRefusal
	fences    [wire.PartitionCount]uint64
	upstreams map[string]*upstream
	entries   map[string]bool
	draining  bool
	suspended bool
	running   int
	// replySerial is the number of the last reply to a fence.
	replySerial uint64
	effects     []Effect

	evacuations evacuation.Tracker
	// evacuationQueries counts the queries since the knowledge of evacuations was recent;
	// evacuationQueriedAt is the time of the last one.
	evacuationQueries   int
	evacuationQueriedAt time.Duration
}

type expiryItem struct {
	at   time.Duration
	task wire.TaskID
	void bool
	key  voidKey
	// refusal is set for the refusal of a job.
	refusal *wire.JobID
}

// New returns the ledger of a new agent process.
func New(s Settings, gate Gate) *Ledger {
	return &Ledger{
		settings:  s,
		gate:      gate,
		records:   map[wire.TaskID]*record{},
		voids:     map[voidKey]time.Duration{},
		refusals:  map[wire.JobID]storedRefusal{},
		upstreams: map[string]*upstream{},
		entries:   map[string]bool{},
	}
}

// TakeEffects returns the effects since the last call, in order, and clears them.
func (l *Ledger) TakeEffects() []Effect {
	effects := l.effects
	l.effects = nil
	return effects
}

// Running returns the number of running tasks.
func (l *Ledger) Running() int { return l.running }

// Records returns the number of task records.
func (l *Ledger) Records() int { return len(l.records) }

func (l *Ledger) send(entry string, m wire.Message) {
	l.effects = append(l.effects, Send{Entry: entry, Message: m})
}

// SetGate replaces the gate after a new configuration was accepted.
func (l *Ledger) SetGate(now Instant, gate Gate) {
	invariant.Check(l.gate == nil || gate.Version() >= l.gate.Version(), "configuration never steps back")
	l.gate = gate
	for _, u := range l.upstreams {
		l.sendCreditsToAll(now, u)
	}
}

// SetSuspended stops or resumes all starts, while the agent cannot be sure that a
// takeover would find it in the table.
func (l *Ledger) SetSuspended(now Instant, on bool) {
	if l.suspended == on {
		return
	}
	l.suspended = on
	for _, u := range l.upstreams {
		l.sendCreditsToAll(now, u)
	}
}

// SetResubmissionWindow changes how long records of tasks that end from now on are
// retained.
func (l *Ledger) SetResubmissionWindow(window time.Duration) { l.settings.ResubmissionWindow = window }

// RaiseFences refuses epochs below the given ones from now on.
func (l *Ledger) RaiseFences(partitions []wire.PartitionEpoch) {
	for _, pe := range partitions {
		if int(pe.Partition) < len(l.fences) {
			l.fences[pe.Partition] = max(l.fences[pe.Partition], pe.Epoch)
		}
	}
}

// LinkUp reports the upstreams to an entry over a new link. The entry sends its
// wants again.
func (l *Ledger) LinkUp(now Instant, entry string) {
	l.entries[entry] = true
	for _, u := range l.upstreams {
		l.sendCredits(now, u, u.slots.Remove(now.Mono, entry))
		if !u.leaving {
			l.sendUpstream(now, u, entry)
		}
	}
}

// LinkDown withdraws the entry's wants and credits.
func (l *Ledger) LinkDown(now Instant, entry string) {
	delete(l.entries, entry)
	for _, u := range l.upstreams {
		// The sequence number of the last start stays, so that it never decreases.
		u.grant(entry).remaining = 0
		l.sendCredits(now, u, u.slots.Remove(now.Mono, entry))
	}
}

// Receive handles a message from an entry.
func (l *Ledger) Receive(now Instant, entry string, m wire.Message) {
	switch m := m.(type) {
	case *wire.Start:
		l.start(now, entry, m)
	case *wire.Want:
		l.want(now, entry, m)
	case *wire.Query:
		l.query(now, entry, m)
	case *wire.Fence:
		l.fence(now, entry, m)
	case *wire.Witness:
		l.storeRefusals(now, entry, m)
	}
}

func (l *Ledger) start(now Instant, entry string, m *wire.Start) {
	if r, ok := l.records[m.Task]; ok {
		l.answerDuplicate(now, r, entry)
		return
	}
	u := l.upstreams[m.Upstream]
	if u != nil {
		u.grant(entry).lastSeq = max(u.grant(entry).lastSeq, m.Seq)
	}
	reason, opens := l.admit(now, entry, u, m)
	if reason != 0 {
		l.refuse(now, entry, u, m, reason, opens)
		return
	}
	l.running++
	r := &record{resultTo: entry, startedBy: entry, upstream: m.Upstream, deadline: now.Mono + longestDeadline(m)}
	r.TaskRecord = wire.TaskRecord{
		Task: m.Task, Attempt: m.Attempt, State: wire.TaskRunning,
		Digest: m.Digest, TaskCount: m.TaskCount,
	}
	l.records[m.Task] = r
	l.effects = append(l.effects, Run{Start: m, Address: u.info.Address})
}

// answerDuplicate answers a Start for a task that has a record: the task never
// starts again.
func (l *Ledger) answerDuplicate(now Instant, r *record, entry string) {
	r.resultTo = entry
	if r.State != wire.TaskRunning {
		l.sendResult(now, r)
	}
}

// admit returns 0 if the task may start now, and has then taken a slot for it.
// Only the slot is checked after the gate, so that the clock is read as close to
// the start as possible.
func (l *Ledger) admit(now Instant, entry string, u *upstream, m *wire.Start) (wire.Reason, time.Duration) {
	if _, void := l.voids[voidKey{m.Task, m.Attempt}]; void {
		return wire.ReasonVoid, 0
	}
	if m.Epoch < l.fences[m.Task.Job.Partition()] {
		return wire.ReasonFenced, 0
	}
	if u == nil || l.suspended {
		return wire.ReasonNoUpstream, 0
	}
	if l.draining || u.leaving {
		return wire.ReasonLeaving, 0
	}
	if !u.serves(m.Class) {
		return wire.ReasonClass, 0
	}
	if m.DeadlineMS == 0 {
		return wire.ReasonDeadline, 0
	}
	if reason := u.spend(now.Mono, entry); reason != 0 {
		return reason, 0
	}
	if l.gate == nil || l.gate.Version() == 0 {
		return wire.ReasonConfig, 0
	}
	if reason, opens := l.gate.Check(now.Wall, u.info.Site, m.Class); reason != 0 {
		return reason, opens
	}
	if l.evacuated() {
		return wire.ReasonEvacuated, 0
	}
	if !u.slots.Acquire(now.Mono, entry) {
		return wire.ReasonNoSlot, 0
	}
	invariant.Check(u.slots.Used() <= u.info.Slots, "slots in use within the announced number", "upstream", u.info.Service)
	return 0, 0
}

// refuse voids the attempt, so that a second copy of the message does not start it
// after the entry has sent the task elsewhere.
func (l *Ledger) refuse(now Instant, entry string, u *upstream, m *wire.Start, reason wire.Reason, opens time.Duration) {
	l.void(now, m.Task, m.Attempt)
	reply := &wire.NotStarted{Task: m.Task, Attempt: m.Attempt, Reason: reason, OpensMS: uint64(opens / time.Millisecond)}
	if u != nil {
		reply.Credit = l.renewCredit(now, u, entry)
	}
	l.send(entry, reply)
}

func (l *Ledger) void(now Instant, task wire.TaskID, attempt uint32) {
	key := voidKey{task, attempt}
	if _, ok := l.voids[key]; ok {
		return
	}
	l.voids[key] = now.Mono
	l.addExpiry(expiryItem{at: now.Mono + l.settings.ResubmissionWindow, void: true, key: key})
}

// Ended reports the outcome of a task that Run has started.
func (l *Ledger) Ended(now Instant, task wire.TaskID, ok bool, payload []byte, runTime time.Duration) {
	r := l.records[task]
	running := r != nil && r.State == wire.TaskRunning
	invariant.Check(running, "only a running task ends", "task", task)
	if !running {
		return
	}
	r.State = wire.TaskFailed
	if ok {
		r.State = wire.TaskDone
	}
	r.Payload, r.RunUS = payload, uint64(runTime/time.Microsecond)
	r.expires = max(now.Mono+l.settings.ResubmissionWindow, r.deadline)
	l.addExpiry(expiryItem{at: r.expires, task: task})
	l.running--
	u := l.upstreams[r.upstream]
	if u != nil {
		l.releaseSlot(now, u, r.startedBy, r.resultTo)
	}
	l.sendResult(now, r)
	if u != nil && u.leaving && u.slots.Used() == 0 {
		delete(l.upstreams, u.info.Service)
	}
}

func (l *Ledger) sendResult(now Instant, r *record) {
	m := &wire.Result{
		Task: r.Task, Attempt: r.Attempt, OK: r.State == wire.TaskDone,
		Payload: r.Payload, RunUS: r.RunUS,
	}
	if u := l.upstreams[r.upstream]; u != nil {
		m.Credit = l.renewCredit(now, u, r.resultTo)
	}
	l.send(r.resultTo, m)
}

// query reports the states of tasks and makes the entry the receiver of their
// results. Attempts without a record become void.
func (l *Ledger) query(now Instant, entry string, m *wire.Query) {
	reply := &wire.QueryReply{}
	for _, ref := range m.Tasks {
		r, ok := l.records[ref.Task]
		if !ok {
			l.void(now, ref.Task, ref.Attempt)
			reply.Records = append(reply.Records, wire.TaskRecord{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskVoid})
			continue
		}
		r.resultTo = entry
		reply.Records = append(reply.Records, r.TaskRecord)
	}
	l.send(entry, reply)
}

// maxReplyBytes bounds one part of a FenceReply. recordOverhead is the size that a
// record counts for besides its payload.
const (
	maxReplyBytes  = 1 << 20
	recordOverhead = 96
)

// fence raises the fences and gives the records of the partitions to the new
// owner, which also receives their results from now on.
func (l *Ledger) fence(now Instant, entry string, m *wire.Fence) {
	l.RaiseFences(m.Partitions)
	var partitions [wire.PartitionCount]bool
	for _, pe := range m.Partitions {
		if int(pe.Partition) < len(partitions) {
			partitions[pe.Partition] = true
		}
	}
	l.replySerial++
	reply := &wire.FenceReply{ID: m.ID, Serial: l.replySerial}
	size := 0
	for _, r := range l.refusalsOf(now, partitions) {
		reply.JobRecords = append(reply.JobRecords, r)
		size += recordOverhead + len(r.Answer.Body)
		reply, size = l.flushPart(entry, reply, size)
	}
	for _, r := range l.recordsOf(partitions) {
		r.resultTo = entry
		reply.TaskRecords = append(reply.TaskRecords, r.TaskRecord)
		size += recordOverhead + len(r.Payload)
		reply, size = l.flushPart(entry, reply, size)
	}
	reply.Last = true
	l.send(entry, reply)
}

// flushPart sends the part of a reply if it is full, and begins the next one.
func (l *Ledger) flushPart(entry string, reply *wire.FenceReply, size int) (*wire.FenceReply, int) {
	if size < maxReplyBytes && len(reply.TaskRecords)+len(reply.JobRecords) < l.settings.ReplyRecords {
		return reply, size
	}
	l.send(entry, reply)
	return &wire.FenceReply{ID: reply.ID, Serial: reply.Serial, Part: reply.Part + 1}, 0
}

// recordsOf returns the records of the partitions in a fixed order, so that
// equal inputs give equal replies.
func (l *Ledger) recordsOf(partitions [wire.PartitionCount]bool) []*record {
	var records []*record
	for _, r := range l.records {
		if partitions[r.Task.Job.Partition()] {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return a.Task.Compare(b.Task) })
	return records
}

// Tick expires announcements, reservations, records and credits.
func (l *Ledger) Tick(now Instant) {
	l.queryEvacuations(now.Mono)
	for _, u := range l.upstreams {
		if !u.leaving && now.Mono-u.announced > l.settings.AnnounceTTL {
			l.remove(u)
			continue
		}
		l.sendCredits(now, u, u.slots.OfferFree(now.Mono))
		if l.gate != nil {
			if open := l.gate.SiteOpen(now.Wall, u.info.Site); open != u.siteOpen {
				u.siteOpen = open
				l.sendCreditsToAll(now, u)
			}
		}
	}
	l.expireRecords(now.Mono)
}
