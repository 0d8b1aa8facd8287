// Package runner decides what an agent does with the tasks that entries assign
// to its upstream. It keeps the runs within the upstream's cores and memory, orders
// waiting tasks, and makes sure that a run ends soon after its entry has stopped
// confirming it.
//
// The package does no I/O. Events come in as method calls with the time of a
// monotonic clock; TakeEffects returns the effects.
//
// A run continues only while its entry confirms it. The agent stops it
// Settings.ConfirmationTimeout after the last confirmation. If the stop gets no
// answer, the agent no longer renews the upstream's lease after
// Settings.StopAnswerTimeout, and if the agent is paused or dead, nobody renews it:
// after Settings.Lease the upstream ends all its runs. The sum of these three bounds
// stays below the time after which a caller resubmits a job, so no run is left of a
// job that another entry starts again.
package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/preemption"
	"github.com/damasklb/damasklb/internal/wire"
)

// Settings are the runner's limits.
type Settings struct {
	// ConfirmationTimeout is the age of an entry's last confirmation at which its
	// runs are stopped. It allows for a reconnection after a silent link.
	ConfirmationTimeout time.Duration
	// Lease is the time for which the upstream continues its runs without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that the upstream grants. A start command made
	// for the clock of an earlier incarnation gets it, whatever it asks for.
	MaxLease time.Duration
	// CommandTimeout is the maximum time until a command is carried out or void,
	// unless its upstream delays it.
	CommandTimeout time.Duration
	// StartAnswerTimeout is the age of an unanswered start command from which a list
	// of runs without it shows that the command is lost or late.
	StartAnswerTimeout time.Duration
	// StopRetry is the time after which an unanswered stop command is sent again. It
	// doubles with each retry up to StopRetryMax, because each may cost a connection.
	StopRetry, StopRetryMax time.Duration
	// StopAnswerTimeout is the age of an unanswered stop command from which the lease
	// is no longer renewed, so that the run ends with it.
	StopAnswerTimeout time.Duration
	// RestoredMaxAge is how long an announcement to an earlier process of the agent is
	// used without a new one from the upstream. Heartbeats come every 1.5 s.
	RestoredMaxAge time.Duration
	// AnnouncementMaxAge is the age of the upstream's last announcement above which nothing
	// is started: its capacity may have shrunk meanwhile.
	AnnouncementMaxAge time.Duration
	// EndedRetention is how long the outcome of an ended attempt is retained for an
	// entry that reconnects. It is far longer than a reconnection takes.
	EndedRetention time.Duration
	// DataCentre is the data centre of the upstream.
	DataCentre string
	// EvacuateWithin is the time from an operator's request to evacuate a data centre after
	// which no task may start there; 0 means that there are no such requests.
	EvacuateWithin time.Duration
	// MaxSpecBytes bounds the specs of the tasks that wait or are being started; 0 means no limit.
	MaxSpecBytes int
	// NoSpeed keeps the agent from reporting the speed of its type of host.
	NoSpeed bool
	// Preemption are the limits of stops for more urgent work.
	Preemption preemption.Settings
}

// DefaultSettings returns settings for callers that resubmit a job after resend.
// About half of that time is for the lease, the rest for ConfirmationTimeout, for the
// stop itself and for clock rates that differ by 2%. A healthy upstream, which is on
// the same host, answers a command within a millisecond.
func DefaultSettings(resend, maxLease time.Duration) Settings {
	return Settings{
		ConfirmationTimeout: resend * 38 / 100,
		Lease:               min(resend*46/100, maxLease),
		MaxLease:            maxLease,
		CommandTimeout:      250 * time.Millisecond,
		StartAnswerTimeout:  15 * time.Millisecond,
		StopRetry:           15 * time.Millisecond,
		StopRetryMax:        120 * time.Millisecond,
		StopAnswerTimeout:   50 * time.Millisecond,
		RestoredMaxAge:      2500 * time.Millisecond,
		AnnouncementMaxAge:  4 * time.Second,
		EndedRetention:      5 * time.Second,
	}
}

// UpstreamID identifies one incarnation of an upstream.
type UpstreamID struct {
	ID string
	// StartMS is the time of the upstream's start in milliseconds since 1970.
	StartMS int64
}

// Announcement is an upstream's description of itself.
type Announcement struct {
	UpstreamID
	Service    string
	CPU, MemMB int
	Labels     []string
	Draining   bool
	// ColdFor is how much longer the upstream stays slow after its start.
	ColdFor time.Duration
	// Seq increases with each announcement of an incarnation.
	Seq uint64
}

// EntryID identifies one process of an entry.
type EntryID struct{ Host, Incarnation string }

// entryState is the runner's state of an entry.
type entryState struct {
	// confirmedAt is the latest agent time that the entry has echoed.
	confirmedAt time.Duration
	connected   bool
	// lastSeq is the sequence number of the last Assign.
	lastSeq uint64
	// crashesSent is the number of the last crash that was sent on the entry's link.
	crashesSent uint64
}

// Runner is the state machine. It is not safe for concurrent use.
type Runner struct {
	settings Settings
	upstream *Announcement
	// announced is set once the upstream has announced itself to this process, at
	// announcedAt for the last time.
	announced   bool
	announcedAt time.Duration
	restored    restoredState
	// reportedReady is the readiness in the last ReadyChanged.
	reportedReady bool
	// draining is set when the agent shuts down.
	draining bool

	entries map[EntryID]*entryState
	// entryOrder holds the keys of entries in a fixed order, or is nil after a change.
	entryOrder []EntryID
	attempts   map[wire.LeasedAttempt]*attempt
	// active holds the attempts that wait or run, in the order of their arrival,
	// which makes the runner deterministic.
	active []*attempt
	// liveByTask is the attempt of a task that waits or runs here.
	liveByTask map[wire.LeasedTask]*attempt
	queue      queue
	// barred holds the attempts of which a late Assign starts nothing, with the time of their
	// withdrawal.
	barred map[barredAttempt]time.Duration
	// foreign holds runs on the upstream that this process did not start.
	foreign map[wire.LeasedAttempt]*foreignRun

	usedCPU, usedMem int
	// specBytes is the length of the specs that are retained.
	specBytes int

	lease  leaseState
	health health
	cold   coldState
	// startRates are the rates of recent starts.
	startRates startRates
	preempt    preemptState
	effects    []Effect
	ended      []endedAttempt

	evacuations evacuation.Tracker
	// evacuationQueriedAt is when the store was last asked for evacuation requests,
	// evacuationQueries the number of times since they were last known.
	evacuationQueriedAt time.Duration
	evacuationQueries   int
	// firstTickAt is when the process began to wait for the first evacuation requests.
	firstTickAt time.Duration

	// refusedSince is when the upstream began to refuse connections; 0 if it does not.
	refusedSince time.Duration
	// lapsed holds the runs whose lease has expired since the last list.
	lapsed []wire.CrashedRun
	// lastCrashStartMS identifies the incarnation that crashed last.
	lastCrashStartMS int64
	// crashLog holds the recent crashes, crashCount the number of all.
	crashLog   []loggedCrash
	crashCount uint64
}

// New returns a runner without an upstream.
func New(settings Settings) *Runner {
	return &Runner{
		settings:   settings,
		entries:    map[EntryID]*entryState{},
		attempts:   map[wire.LeasedAttempt]*attempt{},
		liveByTask: map[wire.LeasedTask]*attempt{},
		foreign:    map[wire.LeasedAttempt]*foreignRun{},
		barred:     map[barredAttempt]time.Duration{},
	}
}

// TakeEffects returns the effects since the last call, in order.
func (r *Runner) TakeEffects() []Effect {
	if ready := r.ready(); ready != r.reportedReady {
		r.reportedReady = ready
		r.emit(ReadyChanged{Ready: ready})
	}
	out := r.effects
	r.effects = nil
	return out
}

func (r *Runner) emit(e Effect) { r.effects = append(r.effects, e) }

// Announce handles an announcement of the upstream and reports whether it is used.
// Announcements older than the last one, and those of an earlier incarnation, change
// nothing.
func (r *Runner) Announce(now time.Duration, a Announcement) bool {
	old := r.upstream
	if old != nil {
		if (a.StartMS < old.StartMS && !r.gone()) || (a.UpstreamID == old.UpstreamID && a.Seq <= old.Seq) {
			return false
		}
		if a.UpstreamID != old.UpstreamID {
			r.newIncarnation(now, a.UpstreamID)
		}
	}
	r.upstream = &a
	r.announced, r.announcedAt = true, now
	r.cold.announced(now, a.ColdFor)
	r.restored = restoredState{}
	if a.Draining {
		r.dropWaiting(now, "draining")
	}
	r.returnTooLarge(now)
	r.startWaiting(now)
	return true
}

// UpstreamLeaving handles the upstream's notice that it is leaving: waiting tasks are
// dropped and no more are taken. It returns the upstream's announcement with that change,
// and whether the notice is for the present upstream.
func (r *Runner) UpstreamLeaving(now time.Duration, id string) (Announcement, bool) {
	if r.upstream == nil || r.upstream.ID != id {
		return Announcement{}, false
	}
	r.dropWaiting(now, "departed")
	r.upstream.Draining = true
	return *r.upstream, true
}

// Drain makes the runner refuse new tasks, as the agent shuts down. Running tasks
// continue.
func (r *Runner) Drain(now time.Duration) {
	r.draining = true
	r.dropWaiting(now, "agent-leaving")
}

// Running returns the number of attempts that may be running.
func (r *Runner) Running() int {
	n := 0
	for _, a := range r.active {
		if a.occupies() {
			n++
		}
	}
	return n
}

// StopAll stops all runs.
func (r *Runner) StopAll(now time.Duration, reason string) {
	for _, a := range r.active {
		if a.occupies() {
			r.stop(now, a, reason)
		}
	}
}

// mayStart reports whether the upstream may start tasks now.
func (r *Runner) mayStart(now time.Duration) bool {
	return r.ready() && (r.restored.active || now-r.announcedAt <= r.settings.AnnouncementMaxAge)
}

// Capacity returns the upstream's capacity, or zeros if it is unknown.
func (r *Runner) Capacity() (cpu, memMB int) {
	if r.upstream == nil {
		return 0, 0
	}
	return r.upstream.CPU, r.upstream.MemMB
}

// ready reports whether the upstream may be assigned tasks: it is in order, and its data
// centre is not being evacuated.
func (r *Runner) ready() bool { return r.inOrder() && !r.evacuated() }

// inOrder reports whether the upstream is in order. The free capacity is unknown before
// the first list of runs, and while runs of an earlier agent process have not ended.
func (r *Runner) inOrder() bool {
	return r.upstream != nil && !r.upstream.Draining && !r.draining && r.lease.listed && r.refusedSince == 0 && len(r.foreign) == 0 && r.announcementValid()
}

// Connected handles a new link from an entry.
func (r *Runner) Connected(now time.Duration, id EntryID) {
	s := r.entry(id)
	s.connected = true
	s.lastSeq = 0
	s.crashesSent = 0
	// An earlier entry process on the same host has ended: nobody waits for its
	// tasks.
	for _, other := range r.entryIDs() {
		if other.Host == id.Host && other != id {
			r.abandon(now, other, "entry-restarted")
			r.removeEntry(other)
		}
	}
}

// Disconnected handles the end of an entry's link.
func (r *Runner) Disconnected(id EntryID) {
	if s := r.entries[id]; s != nil {
		s.connected = false
	}
}

func (r *Runner) entry(id EntryID) *entryState {
	s := r.entries[id]
	if s == nil {
		s = &entryState{}
		r.entries[id] = s
		r.entryOrder = nil
	}
	return s
}

func (r *Runner) removeEntry(id EntryID) {
	delete(r.entries, id)
	r.entryOrder = nil
}

// Confirm handles an entry's heartbeat, which echoes the agent's time echo and
// confirms the entry's tasks.
func (r *Runner) Confirm(id EntryID, echo time.Duration) {
	s := r.entry(id)
	s.confirmedAt = max(s.confirmedAt, echo)
}

// entrySilent reports whether the entry's last confirmation is older than
// ConfirmationTimeout.
func (r *Runner) entrySilent(now time.Duration, id EntryID) bool {
	s := r.entries[id]
	return s == nil || now-s.confirmedAt > r.settings.ConfirmationTimeout
}

// abandon ends all tasks of an entry.
func (r *Runner) abandon(now time.Duration, id EntryID, reason string) {
	for _, a := range slices.Clone(r.active) {
		if a.entry != id || a.state.Final() {
			continue
		}
		if a.phase == phaseWaiting {
			r.finish(now, a, wire.RunNotStarted, reason, 0)
			continue
		}
		r.stop(now, a, reason)
	}
}

// Tick handles the passing of time. It is called every few tens of milliseconds.
func (r *Runner) Tick(now time.Duration) {
	for _, id := range r.entryIDs() {
		s := r.entries[id]
		if now-s.confirmedAt <= r.settings.ConfirmationTimeout {
			continue
		}
		r.abandon(now, id, "entry-silent")
		if !s.connected && now-s.confirmedAt > r.settings.EndedRetention {
			r.removeEntry(id)
		}
	}
	r.expireRestored(now)
	r.endRefused(now)
	r.checkStuck(now)
	r.expireWaiting(now)
	r.retryStops(now)
	r.expireEnded(now)
	r.expireCrashes(now)
	r.queryEvacuations(now)
	r.startWaiting(now)
	r.checkCapacity()
}

// entryIDs returns the IDs of the entries in a fixed order. The caller must not change the
// slice, which stays valid when entries are added or removed.
func (r *Runner) entryIDs() []EntryID {
	if r.entryOrder == nil {
		r.entryOrder = slices.SortedFunc(maps.Keys(r.entries), func(a, b EntryID) int {
			return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
		})
	}
	return r.entryOrder
}

func (r *Runner) expireEnded(now time.Duration) {
	maps.DeleteFunc(r.barred, func(_ barredAttempt, at time.Duration) bool { return now-at > r.settings.EndedRetention })
	for len(r.ended) > 0 && now-r.ended[0].at > r.settings.EndedRetention {
		if a := r.ended[0].attempt; r.attempts[a.id] == a {
			delete(r.attempts, a.id)
		}
		r.ended = r.ended[1:]
	}
}

func (r *Runner) checkCapacity() {
	if r.upstream == nil {
		return
	}
	invariant.Check(r.usedCPU >= 0 && r.usedMem >= 0, "runner_room_not_negative", "cpu", r.usedCPU, "mem", r.usedMem)
}

// LastSeq returns the sequence number of the entry's last Assign.
func (r *Runner) LastSeq(id EntryID) uint64 {
	if s := r.entries[id]; s != nil {
		return s.lastSeq
	}
	return 0
}

const (
	// heartbeatInterval is the time between two heartbeats to an entry with tasks here.
	// Each confirms the runs; four may be lost before ConfirmationTimeout.
	heartbeatInterval = 100 * time.Millisecond
	// idleAnswerTimeout is the age of the last message from an entry without tasks here
	// above which its link counts as silent, answerTimeout that for other entries. The
	// new link has to be up before the entry counts as silent.
	idleAnswerTimeout = 650 * time.Millisecond
	answerTimeout     = 300 * time.Millisecond
	// idleHeartbeatInterval is the time between two heartbeats to other entries. Their
	// next Assign carries the clock of the last heartbeat, which must be younger than
	// ConfirmationTimeout.
	idleHeartbeatInterval = 200 * time.Millisecond
)

// HeartbeatInterval returns the time between two heartbeats to an entry. It is shorter from
// the entry's first task on, so that its next heartbeat is due at once then: the clock that
// the Assign carries may be nearly as old as ConfirmationTimeout.
func (r *Runner) HeartbeatInterval(id EntryID) time.Duration {
	if r.HasTasksOf(id) {
		return heartbeatInterval
	}
	return idleHeartbeatInterval
}

// LinkSilent reports whether a link counts as silent whose last message is of the given
// age.
func (r *Runner) LinkSilent(id EntryID, age time.Duration) bool {
	if r.HasTasksOf(id) {
		return age > answerTimeout
	}
	return age > idleAnswerTimeout
}

// HasTasksOf reports whether tasks of the entry wait or run.
func (r *Runner) HasTasksOf(id EntryID) bool {
	return slices.ContainsFunc(r.active, func(a *attempt) bool { return a.entry == id })
}
