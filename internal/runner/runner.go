// Package runner decides what an agent does with the tasks that entries assign
// to its upstream. It guards the upstream's cores and memory, orders waiting
// tasks, and makes sure that a run ends soon after its entry has fallen silent.
//
// The package does no I/O. Events come in as method calls with the time of a
// steady clock; effects come out of Take.
//
// A run is alive only while its entry confirms it. Three bounds follow each
// other: Settings.Silence after the last confirmation the agent stops the run;
// if the agent is paused or dead, the upstream's lease of Settings.Lease ends
// everything. Their sum stays below the time after which a caller sends a job
// again, so a job that another entry starts anew has no run left.
package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

// Settings are the runner's limits.
type Settings struct {
	// Silence is the age of an entry's last confirmation at which its runs are
	// stopped. It covers a reconnection after a silent link.
	ConfirmationTimeout time.Duration
	// Lease is the time for which the upstream keeps its runs without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that the upstream grants. An order made for the
	// clock of an earlier life gets it, whatever it asks for.
	MaxLease time.Duration
	// OrderTimeout bounds the time until an order is carried out or void, unless its
	// upstream holds it back.
	CommandTimeout time.Duration
	// StartPatience is the age of an unanswered start from which a list of runs
	// without it counts: the order is lost or late.
	StartAnswerTimeout time.Duration
	// StopRetry is the time after which a stop without an answer is sent again. It
	// doubles with each time up to StopRetryMax, as each may cost a connection.
	StopRetry, StopRetryMax time.Duration
	// StopPatience is the age of an unanswered stop from which the lease is not
	// renewed any more, so that the run lapses.
	StopAnswerTimeout time.Duration
	// RecallLife is how long an announcement of an earlier process of the agent is used
	// without one of the upstream. Heartbeats come every 1.5 s.
	RestoredMaxAge time.Duration
	// KeepEnded is how long the outcome of an ended attempt is kept for an entry
	// that reconnects. It exceeds the time of a reconnection by far.
	EndedRetention time.Duration
}

// DefaultSettings returns settings for callers that send a job again after
// resend. Half of that time is left to the lease, which leaves the rest to
// silence, to the stop itself and to clocks that differ by 2%. The upstream, on the
// same host, answers an order in a millisecond when it is well.
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
		EndedRetention:      5 * time.Second,
	}
}

// Identity tells one life of an upstream from others.
type UpstreamID struct {
	ID string
	// Born is the time of the upstream's start in milliseconds since 1970.
	StartMS int64
}

// Announcement is what an upstream says of itself.
type Announcement struct {
	UpstreamID
	Service    string
	CPU, MemMB int
	Labels     []string
	Draining   bool
	// Seq rises with each announcement of one life.
	Seq uint64
}

// EntryID identifies one process of an entry.
type EntryID struct{ Host, Incarnation string }

// session is what the runner knows of an entry.
type entryState struct {
	// confirmed is the agent's time that the entry last echoed.
	confirmed time.Duration
	connected bool
	// seen is the sequence number of the last Assign.
	seen uint64
}

// Runner is the state machine. It is not safe for concurrent use.
type Runner struct {
	settings Settings
	upstream *Announcement
	// announced is set once the upstream has announced itself to this process.
	announced bool
	restored  restoredState
	// toldReady is the readiness that the last ReadyChanged told.
	reportedReady bool
	// leaving is set when the agent shuts down.
	draining bool

	entries  map[EntryID]*entryState
	attempts map[wire.LeasedAttempt]*attempt
	// active are the attempts that wait or run, in the order of their arrival, so
	// that a run of the runner can be repeated exactly.
	active []*attempt
	// live is the attempt of a task that waits or runs here.
	liveByTask map[wire.LeasedTask]*attempt
	queue      queue
	// foreign are runs on the upstream that this process did not start.
	foreign map[wire.LeasedAttempt]*foreignRun

	usedCPU, usedMem int

	lease   leaseState
	health  health
	effects []Effect
	ended   []endedAttempt
}

type endedAttempt struct {
	attempt *attempt
	at      time.Duration
}

// New returns a runner without an upstream.
func New(settings Settings) *Runner {
	return &Runner{
		settings:   settings,
		entries:    map[EntryID]*entryState{},
		attempts:   map[wire.LeasedAttempt]*attempt{},
		liveByTask: map[wire.LeasedTask]*attempt{},
		foreign:    map[wire.LeasedAttempt]*foreignRun{},
	}
}

// Take returns the effects since the last call, in order.
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

// Announce handles what the upstream says of itself. Older announcements than
// the last one, and those of an earlier life, change nothing.
func (r *Runner) Announce(now time.Duration, a Announcement) bool {
	old := r.upstream
	if old != nil {
		if a.StartMS < old.StartMS || (a.UpstreamID == old.UpstreamID && a.Seq <= old.Seq) {
			return false
		}
		if a.UpstreamID != old.UpstreamID {
			r.newIncarnation(now, a.UpstreamID)
		}
	}
	r.upstream = &a
	r.announced = true
	r.restored = restoredState{}
	if a.Draining {
		r.dropWaiting(now, "draining")
	}
	r.startWaiting(now)
	return true
}

// Depart handles the upstream's goodbye.
func (r *Runner) UpstreamLeaving(now time.Duration, id string) {
	if r.upstream == nil || r.upstream.ID != id {
		return
	}
	r.dropWaiting(now, "departed")
	r.upstream.Draining = true
}

// Leave makes the runner refuse new tasks, as the agent shuts down. Running
// tasks go on.
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

// ready is whether the upstream may start tasks. Before the first list of runs
// has come, or while runs of an earlier agent process have not ended, the free
// room is unknown.
func (r *Runner) ready() bool {
	return r.upstream != nil && !r.upstream.Draining && !r.draining && r.lease.listed && len(r.foreign) == 0 && r.announcementValid()
}

// Connected handles a new link from an entry.
func (r *Runner) Connected(now time.Duration, id EntryID) {
	s := r.entry(id)
	s.connected = true
	s.seen = 0
	// Another process of the same host has ended: nobody waits for its tasks.
	for _, other := range r.entryIDs() {
		if other.Host == id.Host && other != id {
			r.abandon(now, other, "entry-restarted")
			delete(r.entries, other)
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
	}
	return s
}

// Confirm handles an entry's beat with the agent's clock at echo.
func (r *Runner) Confirm(id EntryID, echo time.Duration) {
	s := r.entry(id)
	s.confirmed = max(s.confirmed, echo)
}

// silent is whether the entry has not confirmed its tasks for too long.
func (r *Runner) entrySilent(now time.Duration, id EntryID) bool {
	s := r.entries[id]
	return s == nil || now-s.confirmed > r.settings.ConfirmationTimeout
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
		if now-s.confirmed <= r.settings.ConfirmationTimeout {
			continue
		}
		r.abandon(now, id, "entry-silent")
		if !s.connected && now-s.confirmed > r.settings.EndedRetention {
			delete(r.entries, id)
		}
	}
	r.expireRestored(now)
	r.checkStuck(now)
	r.expireWaiting(now)
	r.retryStops(now)
	r.expireEnded(now)
	r.startWaiting(now)
	r.checkCapacity()
}

// entryIDs returns the known entries in a fixed order.
func (r *Runner) entryIDs() []EntryID {
	return slices.SortedFunc(maps.Keys(r.entries), func(a, b EntryID) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

func (r *Runner) expireEnded(now time.Duration) {
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

// Load describes the upstream for an entry.
func (r *Runner) Load(now time.Duration, id EntryID) wire.Load {
	l := wire.Load{Ready: r.ready()}
	if s := r.entries[id]; s != nil {
		l.LastSeq = s.seen
	}
	if r.upstream == nil {
		return l
	}
	u := r.upstream
	l.Draining = u.Draining || r.draining
	l.Service, l.Labels = u.Service, u.Labels
	l.CapacityCPU, l.CapacityMem = u.CPU, u.MemMB
	l.FreeCPU, l.FreeMem = max(0, u.CPU-r.usedCPU), max(0, u.MemMB-r.usedMem)
	l.QueuedWork = r.queue.work(u.CPU)
	l.BusyPercent = r.busyPercent()
	l.Slowness = r.slowness(now)
	l.FailurePercent = r.health.failurePercent(now)
	avoided, probing := r.avoided(now)
	l.Stuck = avoided
	if probing {
		l.FreeCPU = min(l.FreeCPU, probeCapacity)
	}
	return l
}

// busy is the share of the cores that runs of each priority use, in percent.
func (r *Runner) busyPercent() [wire.PriorityLevels]uint8 {
	var cpu [wire.PriorityLevels]int
	for _, a := range r.active {
		if a.occupies() {
			cpu[wire.PriorityLevel(a.assign.Priority)] += a.assign.CPU
		}
	}
	var out [wire.PriorityLevels]uint8
	for i, n := range cpu {
		out[i] = uint8(min(100*n/max(r.upstream.CPU, 1), 100))
	}
	return out
}
