package leasetest

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/runner"
)

// hazard is an extension of the random model. All are off by default, and draw no random
// number then.
type hazard string

const (
	// longRuns makes a third of the tasks run for up to 5 s, longer than callers wait before
	// they submit a job again.
	longRuns hazard = "long-runs"
	// resubmissions makes half of the callers leave and submit again at another entry.
	resubmissions hazard = "resubmissions"
	// lostDepartures loses the close of a caller's connection on its way to the entry.
	lostDepartures hazard = "lost-departures"
	// cutEntries cuts entries off from agents and callers. What is sent meanwhile arrives
	// when the cut ends. lostInCut loses closes of callers' connections instead.
	cutEntries hazard = "cut-entries"
	lostInCut  hazard = "lost-in-cut"
	// slowRetransmissions delays what callers have sent in a cut by up to the length of the cut
	// after its end.
	slowRetransmissions hazard = "slow-retransmissions"
	// downtimes gives upstreams times between two incarnations in which connections are
	// refused.
	downtimes hazard = "downtimes"
	// flapSilent, flapReset and flapRefused make upstreams unreachable for a while although
	// their runs go on.
	flapSilent  hazard = "flap-silent"
	flapReset   hazard = "flap-reset"
	flapRefused hazard = "flap-refused"
	// lateLists carries list requests out late; relativeLeases counts the time of late list
	// requests and starts from their arrival.
	lateLists      hazard = "late-lists"
	relativeLeases hazard = "relative-leases"
	// slowClocks makes all clocks of upstreams 2% slow.
	slowClocks hazard = "slow-clocks"
	// restartCuts restarts upstreams and, within a lease, kills, pauses or cuts off their
	// agents.
	restartCuts hazard = "restart-cuts"
	// slowEntries and slowAgents delay the inputs of a process, each connection by a delay
	// of its own. With oneQueue all are delayed alike.
	slowEntries hazard = "slow-entries"
	slowAgents  hazard = "slow-agents"
	oneQueue    hazard = "one-queue"
	// powerLosses stops hosts of agents, and entries, for a while.
	powerLosses hazard = "power-losses"
	// oldAnnouncements delays announcements, which then arrive in any order.
	oldAnnouncements hazard = "old-announcements"
	// clockSteps sets the wall clock of an agent's host back between two processes.
	clockSteps hazard = "clock-steps"
	// lostStarts carries starts out, resets their connections, and kills some agents then.
	lostStarts hazard = "lost-starts"
	// lateAnswers delays answers to list requests, and lateStartAnswers those to starts.
	lateAnswers      hazard = "late-answers"
	lateStartAnswers hazard = "late-start-answers"
	// slowStarts carries starts out late, and answers them in time.
	slowStarts hazard = "slow-starts"
	// onlyHazards leaves the faults of the basic model out.
	onlyHazards hazard = "only-hazards"
)

var allHazards = []hazard{longRuns, resubmissions, lostDepartures, cutEntries, lostInCut, slowRetransmissions, downtimes, flapSilent, flapReset,
	flapRefused, lateLists, relativeLeases, slowClocks, restartCuts, slowEntries, slowAgents, oneQueue, powerLosses,
	oldAnnouncements, clockSteps, lostStarts, lateAnswers, lateStartAnswers, slowStarts, onlyHazards}

// hazardRate is the probability of a hazard at each opportunity.
const hazardRate = 0.1

// on reports whether a hazard is part of the model.
func (w *world) on(h hazard) bool { return w.hazards[h] }

// strikes reports whether a hazard occurs now.
func (w *world) strikes(h hazard) bool { return w.hazards[h] && w.chance(hazardRate) }

func (w *world) enable(hazards ...hazard) {
	if w.hazards == nil {
		w.hazards = map[hazard]bool{}
	}
	for _, h := range hazards {
		w.hazards[h] = true
	}
	for _, u := range w.upstreams {
		if w.on(slowClocks) {
			u.rate = 0.98
		}
	}
}

// injectHazards injects faults that the hazards in force add to the model.
func (w *world) injectHazards() {
	for _, f := range []struct {
		hazard hazard
		inject func()
	}{
		{cutEntries, w.cutEntry}, {downtimes, w.takeUpstreamDown}, {flapSilent, func() { w.flap(flapSilent) }},
		{flapReset, func() { w.flap(flapReset) }}, {flapRefused, func() { w.flap(flapRefused) }},
		{restartCuts, w.restartAndCut}, {slowEntries, w.slowEntry}, {slowAgents, w.slowAgent}, {powerLosses, w.losePower},
	} {
		if w.on(f.hazard) && w.rng.Intn(4) == 0 {
			f.inject()
		}
	}
}

func (w *world) anyEntry() *entry { return w.entries[w.rng.Intn(len(w.entries))] }

func (w *world) anyAgent() *agent { return w.agents[w.rng.Intn(len(w.agents))] }

// otherEntry returns an entry other than the given one, if there is one.
func (w *world) otherEntry(e *entry) *entry {
	return w.entries[(e.index+1+w.rng.Intn(len(w.entries)-1))%len(w.entries)]
}

// cutEntry cuts an entry off from all agents and callers. Some callers leave meanwhile.
func (w *world) cutEntry() {
	e, duration := w.anyEntry(), w.between(200*time.Millisecond, 3*time.Second)
	if w.now < e.cutUntil || e.paused {
		return
	}
	w.logf("entry %d is cut off for %v", e.index, duration)
	e.cutUntil, e.cutLength = w.now+duration, duration
	w.after(duration, func() { w.logf("entry %d is back from its cut", e.index) })
	for _, n := range slices.Sorted(maps.Keys(e.waiting)) {
		j := e.waiting[n]
		if w.rng.Intn(2) == 0 {
			w.after(w.between(step, duration), func() {
				if j.entry == e && j.waiter == n {
					w.disconnectCaller(j)
				}
			})
		}
	}
}

// healTime bounds the time after a cut in which what was held up arrives.
const healTime = 20 * time.Millisecond

// untilHeal calls f now, or when the entry's cut has ended.
func (e *entry) untilHeal(f func()) {
	if e.w.now >= e.cutUntil {
		f()
		return
	}
	e.w.after(e.cutUntil-e.w.now+e.w.between(step, healTime), f)
}

// takeUpstreamDown ends an incarnation; the next one starts after a while in which
// connections are refused.
func (w *world) takeUpstreamDown() {
	u := w.upstreams[w.rng.Intn(len(w.upstreams))]
	if !u.down {
		u.crash(w.between(20*time.Millisecond, 2*time.Second), false)
	}
}

// flap makes an upstream unreachable for a while, in which its runs go on.
func (w *world) flap(kind hazard) {
	u, duration := w.upstreams[w.rng.Intn(len(w.upstreams))], w.between(200*time.Millisecond, 3*time.Second)
	if u.unreachable != "" {
		return
	}
	w.logf("upstream %d: %s for %v", u.host, kind, duration)
	u.unreachable = kind
	w.after(duration, func() { u.unreachable = "" })
}

// restartAndCut restarts an upstream, and disturbs its agent while requests that were made
// for the earlier incarnation may count.
func (w *world) restartAndCut() {
	a := w.anyAgent()
	w.logf("upstream %d restarts", a.index)
	a.upstream().restart()
	kind, incarnation := w.rng.Intn(4), a.incarnation
	w.after(w.between(step, 700*time.Millisecond), func() {
		if a.incarnation != incarnation || a.paused {
			return
		}
		switch kind {
		case 0:
			w.logf("agent %d is killed", a.index)
			a.restart()
		case 1:
			w.pauseAgent(a)
		case 2:
			w.logf("upstream %d does not answer", a.index)
			a.upstream().unresponsive = true
			w.after(w.between(time.Second, 3*time.Second), func() { a.upstream().unresponsive = false })
		case 3:
			w.logf("links of agent %d are delayed", a.index)
			for _, id := range a.linkIDs() {
				a.links[id].delayedUntil = w.now + w.between(time.Second, 3*time.Second)
			}
		}
	})
}

func (w *world) pauseAgent(a *agent) {
	duration, incarnation := w.between(500*time.Millisecond, 3*time.Second), a.incarnation
	w.logf("agent %d is paused for %v", a.index, duration)
	a.paused = true
	w.after(duration, func() {
		if a.incarnation == incarnation {
			w.logf("agent %d resumes", a.index)
			a.resume(w)
		}
	})
}

// losePower stops a host. That of an agent has its upstream elsewhere, which runs on.
func (w *world) losePower() {
	duration := w.between(time.Second, 6*time.Second)
	if w.rng.Intn(2) == 0 {
		e := w.anyEntry()
		w.logf("entry %d has no power for %v", e.index, duration)
		waiting := e.waiting
		e.restart()
		e.paused, e.off = true, true
		incarnation := e.incarnation
		for _, n := range slices.Sorted(maps.Keys(waiting)) {
			if j := waiting[n]; j.entry == e && !j.answered {
				j.entry = nil
				w.after(resendAfter, func() { w.submit(j, w.anyEntry()) })
			}
		}
		w.after(duration, func() {
			if e.incarnation != incarnation {
				return
			}
			w.logf("entry %d has power", e.index)
			for _, n := range slices.Sorted(maps.Keys(e.waiting)) {
				if j := e.waiting[n]; j.entry == e && !j.answered {
					j.entry = nil
					w.after(resendAfter, func() { w.submit(j, w.anyEntry()) })
				}
			}
			e.restart()
		})
		return
	}
	a := w.anyAgent()
	w.logf("agent %d has no power for %v", a.index, duration)
	a.restart()
	a.paused, a.off = true, true
	incarnation := a.incarnation
	w.after(duration, func() {
		if a.incarnation == incarnation {
			w.logf("agent %d has power", a.index)
			a.restart()
		}
	})
}

// tokenSkew returns how far the wall clock was set back before a process starts.
func (w *world) tokenSkew() time.Duration {
	if !w.on(clockSteps) || w.now < 2500*time.Millisecond {
		return 0
	}
	return w.between(0, 2*time.Second)
}

// rebased returns the end of a lease of a request that arrives late. The protocol names an
// absolute time; with relativeLeases the time from the request on counts.
func (w *world) rebased(leaseEndMS int64, sentAt time.Duration) int64 {
	if !w.on(relativeLeases) || leaseEndMS == 0 {
		return leaseEndMS
	}
	return leaseEndMS + int64((w.now-sentAt)/time.Millisecond)
}

// answerDelay returns the time that an answer takes.
func (w *world) answerDelay(h hazard) time.Duration {
	if w.on(h) && w.chance(0.3) {
		return w.between(step, 240*time.Millisecond)
	}
	return step
}

// hazardousCommand carries a command out under the hazards in force. It returns false if none
// strikes.
func (a *agent) hazardousCommand(start bool, now, late, unanswered func()) bool {
	w := a.w
	switch u := a.upstream(); {
	case u.unreachable == flapSilent:
		w.after(250*time.Millisecond, unanswered)
	case u.unreachable == flapReset && w.rng.Intn(2) == 0:
		w.after(step, late)
		w.after(2*step, unanswered)
	case u.unreachable != "":
		w.after(step, unanswered)
	case start && w.strikes(lostStarts):
		incarnation := a.incarnation
		w.after(step, late)
		w.after(w.between(2*step, 10*step), unanswered)
		if w.rng.Intn(3) == 0 {
			w.after(w.between(step, 30*step), func() {
				if a.incarnation == incarnation {
					w.logf("agent %d is killed after a lost start", a.index)
					a.restart()
				}
			})
		}
	case start && w.strikes(slowStarts):
		// The connection ends with the incarnation.
		startMS := a.upstream().startMS
		w.after(w.between(20*step, 230*step), func() {
			if a.upstream().startMS == startMS {
				now()
			} else {
				unanswered()
			}
		})
	default:
		return false
	}
	return true
}

// hazardousList handles a list request under the hazards in force. It returns false if none
// strikes.
func (a *agent) hazardousList(request runner.ListRequest, token uint64, finish func(func(*runner.Runner))) bool {
	w, requestedAt, id := a.w, a.w.now, a.core.UpstreamID()
	failed := func() { finish(func(r *runner.Runner) { r.ListFailed(a.now()) }) }
	late := func() {
		if u := a.upstream(); !u.down && (!w.checkInstance || u.startMS == request.StartMS) {
			request.LeaseEndMS = w.rebased(request.LeaseEndMS, requestedAt)
			u.list(request, token)
		}
	}
	switch u := a.upstream(); {
	case u.unreachable == flapSilent:
		w.after(310*time.Millisecond, failed)
	case u.unreachable == flapReset && w.rng.Intn(2) == 0:
		w.after(step, late)
		w.after(2*step, failed)
	case u.unreachable == flapReset:
		w.after(step, failed)
	case u.unreachable == flapRefused:
		w.after(step, func() { finish(func(r *runner.Runner) { r.ConnectionRefused(a.now(), a.now(), id) }) })
	case w.strikes(lateLists):
		w.after(310*time.Millisecond, failed)
		w.after(w.between(step, 3*time.Second), late)
	default:
		return false
	}
	return true
}

// lengthen makes some tasks of a job run for seconds.
func (w *world) lengthen(j *clientJob) {
	if !w.on(longRuns) {
		return
	}
	for i := range j.tasks {
		if w.rng.Intn(3) == 0 {
			j.tasks[i].runTime = w.between(time.Second, 5*time.Second)
		}
	}
}

// leaves reports whether a caller closes its connection within a second.
func (w *world) leaves() bool {
	if w.on(resubmissions) {
		return w.rng.Intn(2) == 0
	}
	return w.rng.Intn(10) == 0
}
