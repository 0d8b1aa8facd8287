package leasetest

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// agent drives a runner as its I/O layer does.
type agent struct {
	process
	w     *world
	index int
	core  *runner.Runner
	links map[runner.EntryID]*conn
	// linksCheckedAt, listRequestedAt and announcedAt are the times of the last check of
	// the links, list request and announcement.
	linksCheckedAt, listRequestedAt, announcedAt time.Duration
	seq                                          uint64
	openListRequests                             int
	listPauseUntil                               time.Duration
	// stored is the announcement of the upstream in the platform's store.
	stored runner.Announcement
	// storedCrashes are the crashes in the store.
	storedCrashes []storedCrash
	// openingStarts holds functions that close the connections of start commands
	// which are not open yet.
	openingStarts map[wire.LeasedAttempt]func()
	storePath     storePath
}

func (a *agent) restart() {
	a.incarnation++
	a.startedAt = a.w.now
	a.paused, a.off, a.pendingInputs, a.backlog, a.slow = false, false, nil, nil, nil
	settings := runner.DefaultSettings(resendAfter, maxLease)
	settings.DataCentre, settings.EvacuateWithin = a.w.dataCentre(a.index), a.w.evacuations.agentBound()
	settings.Preemption = a.w.preempt.settings
	a.core = runner.New(settings)
	a.core.SetToken(uint64((a.w.now - a.w.tokenSkew()) / time.Millisecond))
	a.links = map[runner.EntryID]*conn{}
	for _, closeConn := range a.openingStarts {
		closeConn()
	}
	a.openingStarts = map[wire.LeasedAttempt]func(){}
	a.linksCheckedAt, a.listRequestedAt, a.openListRequests, a.listPauseUntil = 0, 0, 0, 0
	incarnation := a.incarnation
	a.w.after(a.w.between(step, 60*time.Millisecond), func() {
		if a.incarnation == incarnation && a.stored.StartMS > 0 {
			a.receive(func() {
				a.do(func(r *runner.Runner) {
					r.RestoreCrashes(a.now(), a.crashesInStore())
					r.Restore(a.now(), a.stored)
				})
			})
		}
	})
}

// storedCrash is a crash in the store.
type storedCrash struct {
	at    time.Duration
	crash wire.UpstreamCrash
}

func (a *agent) crashesInStore() []wire.UpstreamCrash {
	var out []wire.UpstreamCrash
	for _, c := range a.storedCrashes {
		c.crash.SinceMS = uint32((a.w.now - c.at) / time.Millisecond)
		out = append(out, c.crash)
	}
	return out
}

// storeCrash stores a crash, of which the entries then hear. The write may be lost.
func (a *agent) storeCrash(m runner.UpstreamCrashed) {
	if a.w.chance(0.2) {
		return
	}
	c := storedCrash{at: a.w.now, crash: wire.UpstreamCrash{StartMS: m.Upstream.StartMS, Runs: m.Runs}}
	a.w.after(a.w.between(5*step, 300*time.Millisecond), func() {
		a.storedCrashes = append(a.storedCrashes, c)
		for _, e := range a.w.entries {
			e.receive(func() { e.readCrashes(a) })
		}
	})
}

// retractCrash stores that an incarnation has not crashed. The write may be lost.
func (a *agent) retractCrash(m runner.CrashRetracted) {
	if a.w.chance(0.2) {
		return
	}
	c := storedCrash{at: a.w.now, crash: wire.UpstreamCrash{StartMS: m.Upstream.StartMS, Retracted: true}}
	a.w.after(a.w.between(5*step, 300*time.Millisecond), func() {
		a.storedCrashes = append(a.storedCrashes, c)
		for _, e := range a.w.entries {
			e.receive(func() { e.readCrashes(a) })
		}
	})
}

func (a *agent) now() time.Duration { return a.w.now - a.startedAt + time.Hour }

func (a *agent) upstream() *upstream { return a.w.upstreams[a.index] }

func (a *agent) do(f func(*runner.Runner)) {
	f(a.core)
	for _, effect := range a.core.TakeEffects() {
		a.perform(effect)
	}
}

func (a *agent) perform(effect runner.Effect) {
	incarnation, token := a.incarnation, a.core.Token()
	back := func(f func()) {
		a.w.after(a.w.answerDelay(lateStartAnswers), func() {
			if a.incarnation == incarnation {
				a.receive(f)
			}
		})
	}
	switch m := effect.(type) {
	case runner.Decision:
		a.w.waits.started(a.w, m)
	case runner.StartRun:
		sentAt := a.w.now
		rebased := func() runner.StartRun {
			out := m
			out.LeaseEndMS = a.w.rebased(m.LeaseEndMS, sentAt)
			return out
		}
		a.sendCommand(m.Attempt, func() { a.startNow(rebased(), token, back) },
			func() { a.upstream().start(rebased(), token) },
			func() {
				back(func() {
					a.do(func(r *runner.Runner) {
						r.Started(a.now(), m.Attempt, runner.StartAnswer{Outcome: runner.StartUnanswered})
					})
				})
			})
	case runner.StopRun:
		if closeConn := a.openingStarts[m.Attempt]; closeConn != nil {
			closeConn()
			delete(a.openingStarts, m.Attempt)
		}
		if a.upstream().holdsStopsOf == m.Attempt.Task.Job {
			a.w.after(5*time.Second, func() { a.upstream().stop(m, token) })
			return
		}
		a.sendCommand(wire.LeasedAttempt{}, func() {
			ok := a.upstream().stop(m, token)
			back(func() { a.do(func(r *runner.Runner) { r.Stopped(a.now(), m.Attempt, ok) }) })
		}, func() { a.upstream().stop(m, token) }, func() {})
	case runner.Preempted:
		a.w.preempt.stopped(a, m)
	case runner.PreemptedEnded:
		a.w.preempt.ended(a, m)
	case runner.QueryEvacuations:
		a.w.evacuations.answerAgent(a)
	case runner.UpstreamCrashed:
		a.storeCrash(m)
		a.sendHeartbeats(true)
	case runner.CrashRetracted:
		a.retractCrash(m)
		a.sendHeartbeats(true)
	case runner.ReadyChanged:
		a.sendHeartbeats(true)
	case runner.Report:
		a.w.logf("agent %d: %v is %v: %s", a.index, m.Attempt, m.State, m.Reason)
		if m.State.Final() {
			delete(a.w.committed, committedKey{a.index, m.Attempt})
		}
		m, send := a.w.preempt.altered(m)
		if c := a.links[m.Entry]; c != nil && c.answered && send {
			c.sendToEntry(&wire.RunReport{Attempt: m.Attempt, State: m.State, Reason: m.Reason,
				RanMS: uint32(m.RunTime / time.Millisecond), Load: a.core.Load(a.now(), m.Entry)})
		}
	}
}

func (a *agent) startNow(m runner.StartRun, token uint64, back func(func())) {
	answer := a.upstream().start(m, token)
	answer.ClockMS, answer.SentAt = a.upstream().clock(), m.SentAt
	back(func() { a.do(func(r *runner.Runner) { r.Started(a.now(), m.Attempt, answer) }) })
}

// sendCommand carries a command out now, or seconds later without an answer. The id
// is that of a start command, which may be given up; that of a stop command is empty.
func (a *agent) sendCommand(id wire.LeasedAttempt, now, late, unanswered func()) {
	w := a.w
	startMS, token := a.upstream().startMS, a.core.Token()
	if a.hazardousCommand(id != wire.LeasedAttempt{}, now, late, unanswered) {
		return
	}
	switch {
	case a.upstream().mute():
		w.after(250*time.Millisecond, unanswered)
	case w.chance(w.commandFaultRate):
		w.after(250*time.Millisecond, unanswered)
		w.after(w.between(2*time.Second, 12*time.Second), func() {
			// Until a higher token has reached the next incarnation, no agent can keep
			// it from carrying out commands for the one before it. This case has its
			// own test, TestLateOrdersReachTheNextLife.
			if u := a.upstream(); w.commandsOutliveIncarnations || u.startMS == startMS || u.token > token {
				late()
			}
		})
	case w.chance(w.commandFaultRate):
		// The command is carried out at once, but its answer is lost.
		w.after(step, late)
		w.after(250*time.Millisecond, unanswered)
	case w.chance(w.commandFaultRate):
		// Its connection takes long to open, to whichever incarnation is there by
		// then. An agent that gives the command up closes the connection.
		opening := true
		closeConn := func() { opening = false }
		a.openingStarts[id] = closeConn
		w.after(w.between(step, 249*time.Millisecond), func() {
			if opening {
				late()
			}
		})
		w.after(250*time.Millisecond, func() {
			closeConn()
			unanswered()
		})
	default:
		w.after(step, now)
	}
}

func (a *agent) tick() {
	if a.paused {
		return
	}
	a.do(func(r *runner.Runner) { r.Tick(a.now()) })
	if a.w.now-a.announcedAt > announceInterval {
		a.announcedAt = a.w.now
		a.announce()
	}
	if a.w.now-a.linksCheckedAt >= linkCheckInterval {
		a.linksCheckedAt = a.w.now
		a.maintainLinks()
	}
}

func (a *agent) announce() {
	u := a.upstream()
	if u.mute() || u.down {
		return
	}
	a.seq++
	announcement := runner.Announcement{UpstreamID: u.id(), Service: "s", CPU: u.capacity, MemMB: 1000, Seq: a.seq, Labels: a.w.racks.labels(a.index)}
	clock := u.clock()
	arrive := func() {
		a.do(func(r *runner.Runner) {
			if r.Announce(a.now(), announcement) {
				r.HeartbeatClock(a.now(), clock)
				a.store(announcement)
			}
		})
	}
	if a.w.on(oldAnnouncements) && a.w.chance(0.4) {
		a.w.after(a.w.between(step, 4*time.Second), func() { a.receive(arrive) })
		return
	}
	arrive()
}

// store stores an announcement for the agent's next process. The write may be lost.
func (a *agent) store(announcement runner.Announcement) {
	if a.w.chance(0.2) {
		return
	}
	incarnation := a.incarnation
	a.w.after(a.w.between(step, 300*time.Millisecond), func() {
		if a.incarnation == incarnation {
			a.stored = announcement
		}
	})
}

// maintainLinks sends heartbeats, replaces silent links and dials entries.
func (a *agent) maintainLinks() {
	for _, id := range a.linkIDs() {
		c := a.links[id]
		age := a.w.now - c.lastReceived
		silent := a.core.LinkSilent(id, age)
		if !c.answered {
			silent = age > helloTimeout
		}
		if silent || c.closed {
			a.closeLink(id, c)
			continue
		}
	}
	a.sendHeartbeats(false)
	for _, e := range a.w.entries {
		id := entryID(e)
		if a.links[id] != nil {
			continue
		}
		c := &conn{a: a, e: e, agentIncarnation: a.incarnation, entryIncarnation: e.incarnation, lastReceived: a.w.now, silent: a.w.chance(0.1)}
		a.links[id] = c
		c.sendToEntry(&wire.Hello{})
	}
}

// dropLink closes a link that the entry has refused.
func (a *agent) dropLink(c *conn) {
	for _, id := range a.linkIDs() {
		if a.links[id] == c {
			a.closeLink(id, c)
		}
	}
}

// sendHeartbeats sends the heartbeats that are due, or all.
func (a *agent) sendHeartbeats(all bool) {
	for _, id := range a.linkIDs() {
		c := a.links[id]
		due := a.w.now-c.lastHeartbeat >= a.core.HeartbeatInterval(id)
		if !c.answered || !(due || all) {
			continue
		}
		a.sendHeartbeat(a.core, id, c)
	}
}

func (a *agent) sendHeartbeat(r *runner.Runner, id runner.EntryID, c *conn) {
	c.lastHeartbeat = a.w.now
	c.sendToEntry(&wire.AgentBeat{ClockMS: uint64(a.now() / time.Millisecond), Load: r.Load(a.now(), id), Relaxed: !r.HasTasksOf(id), Crashes: r.TakeCrashes(a.now(), id)})
}

func (a *agent) linkIDs() []runner.EntryID {
	return slices.SortedFunc(maps.Keys(a.links), func(x, y runner.EntryID) int {
		return strings.Compare(x.Host+"/"+x.Incarnation, y.Host+"/"+y.Incarnation)
	})
}

func (a *agent) closeLink(id runner.EntryID, c *conn) {
	c.closed = true
	delete(a.links, id)
	a.do(func(r *runner.Runner) { r.Disconnected(id) })
	e := c.e
	if e.incarnation != c.entryIncarnation {
		return
	}
	e.untilHeal(func() {
		e.receiveFrom(c, func() {
			aid := agentID(a)
			aid.Incarnation = itoa(c.agentIncarnation)
			if c.opened && e.links[aid] == c {
				delete(e.links, aid)
				e.do(func(b *broker.Broker) { b.Disconnected(aid) })
			}
		})
	})
}

func (a *agent) handleMessage(c *conn, m wire.Message) {
	id := runner.EntryID{Host: entryID(c.e).Host, Incarnation: itoa(c.entryIncarnation)}
	if a.links[id] != c {
		return
	}
	c.lastReceived = a.w.now
	a.do(func(r *runner.Runner) {
		switch m := m.(type) {
		case *wire.Hello:
			c.answered = true
			r.Connected(a.now(), id)
			a.sendHeartbeat(r, id, c)
		case *wire.EntryBeat:
			if m.Evacuations != nil {
				r.Evacuations(a.now(), evacuation.FromView(min(a.now(), time.Duration(m.EchoMS)*time.Millisecond), m.Evacuations))
			}
			r.Confirm(id, time.Duration(m.EchoMS)*time.Millisecond)
			if m.ReportNow {
				a.sendHeartbeat(r, id, c)
			}
		case *wire.Assign:
			r.Assign(a.now(), id, a.w.preempt.alteredAssign(*m))
			if a.w.now-c.lastHeartbeat >= r.HeartbeatInterval(id) {
				a.sendHeartbeat(r, id, c)
			}
		case *wire.Withdraw:
			r.Withdraw(a.now(), id, *m)
		case *wire.Resume:
			r.Resume(a.now(), id, *m)
		}
	})
}

// requestList requests the list of runs, with up to four requests open.
func (a *agent) requestList() {
	if a.paused || a.openListRequests >= 4 {
		return
	}
	paused := a.w.now < a.listPauseUntil || (a.openListRequests > 0 && a.w.now-a.listRequestedAt < listOverdue)
	if paused && !a.core.ListDue(a.now()) {
		return
	}
	request := a.core.NextListRequest(a.now())
	if !request.Needed {
		return
	}
	a.listRequestedAt = a.w.now
	a.openListRequests++
	incarnation, requestedAt, token, id := a.incarnation, a.now(), a.core.Token(), a.core.UpstreamID()
	finish := func(f func(r *runner.Runner)) {
		if a.incarnation != incarnation {
			return
		}
		a.receive(func() {
			a.openListRequests--
			a.do(f)
		})
	}
	failed := func() { finish(func(r *runner.Runner) { r.ListFailed(a.now()) }) }
	if a.hazardousList(request, token, finish) {
		return
	}
	if a.upstream().mute() || a.w.chance(a.w.commandFaultRate) {
		a.w.after(310*time.Millisecond, failed)
		return
	}
	if !request.Wait {
		a.listPauseUntil = a.w.now + 10*time.Millisecond
	}
	until := a.w.now + listWait
	var poll func()
	poll = func() {
		switch {
		case a.upstream().down && !a.upstream().mute():
			a.w.after(a.w.answerDelay(lateAnswers), func() { finish(func(r *runner.Runner) { r.ConnectionRefused(a.now(), requestedAt, id) }) })
		case a.upstream().mute():
			a.w.after(310*time.Millisecond, failed)
		case request.Wait && a.w.now < until && !a.upstream().hasEnd(request.LastSeen):
			a.w.after(step, poll)
		case a.w.on(clockSteps) && token < a.upstream().token:
			a.w.after(step, func() { finish(func(r *runner.Runner) { r.Fenced() }) })
		default:
			answer := a.upstream().list(request, token)
			answer.RequestedAt = requestedAt
			a.w.after(a.w.answerDelay(lateAnswers), func() { finish(func(r *runner.Runner) { r.ListReceived(a.now(), answer) }) })
		}
	}
	a.w.after(step, poll)
}
