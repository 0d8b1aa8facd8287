package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/quarantine"
	"github.com/damasklb/damasklb/internal/wire"
)

// Tasks that crash their upstreams. All runs that an upstream had when it crashed are
// suspects: they run again apart from each other, so that the next crash
// identifies the one at fault, and a poison job ends as failed.

// maxLostRuns is the number of runs of a task whose end is unknown after which its job is given
// up.
const maxLostRuns = 3

const (
	reasonCrashes  = "crashes-upstreams"
	reasonSuspect  = "crashed-upstream"
	reasonNoTrial  = "no-upstream-for-suspect"
	reasonRunsLost = "runs-lost"
)

// CrashReported handles a report of a crash of a host's upstream, or that there was none. It may
// come from the host's agent or the store, and more than once.
func (b *Broker) CrashReported(now time.Duration, host string, c wire.UpstreamCrash) {
	id := poison.CrashID{Host: host, StartMS: c.StartMS}
	if c.Retracted {
		if b.poison.Retract(id) {
			b.emit(Decision{Agent: host, Action: "crash-retracted"})
		}
		return
	}
	runs := make([]poison.Run, len(c.Runs))
	for i, r := range c.Runs {
		runs[i] = poison.Run{Task: r.Attempt.Task, Queue: r.Queue, Age: time.Duration(r.AgeMS) * time.Millisecond}
	}
	isNew, found := b.poison.Add(now, now-time.Duration(c.SinceMS)*time.Millisecond, id, runs)
	if isNew {
		b.emit(Decision{Agent: host, Action: "upstream-crashed", Runs: len(runs)})
	}
	for _, r := range runs {
		if j := b.jobs[r.Task.Job]; j != nil {
			j.started = true
		}
	}
	b.giveUpPoison(now, found)
}

// giveUpPoison ends the jobs that crash their upstreams.
func (b *Broker) giveUpPoison(now time.Duration, found []string) {
	for _, id := range found {
		b.emit(Decision{Job: id, Action: "give-up", Reason: reasonCrashes, Crashes: b.poison.Crashes(id)})
		if j := b.jobs[id]; j != nil && !j.closing {
			b.close(now, j, b.poisonOutcome(id))
		}
	}
}

// poisonOutcome is the outcome of a poison job. It counts as failed only if two upstreams have
// certainly crashed under it.
func (b *Broker) poisonOutcome(id string) Outcome {
	if !b.poison.IsCertain(id) {
		return Outcome{Kind: Unknown, Reason: reasonCrashes}
	}
	return Outcome{Kind: Failed, Reason: reasonCrashes}
}

// restartedUnder handles a new process of an agent whose upstream has another incarnation
// than the one to which the earlier process had assigned tasks. That process may have ended
// before it could report the crash.
func (b *Broker) restartedUnder(now time.Duration, earlier *agent) {
	present := b.agents[earlier.ID.Host]
	before := earlier.View.Load.StartMS
	if present == nil || before == 0 || present.View.Load.StartMS == 0 || present.View.Load.StartMS == before || earlier.View.Load.Draining {
		return
	}
	c := wire.UpstreamCrash{StartMS: before}
	for t := range earlier.tasks.all() {
		if t.started {
			c.Runs = append(c.Runs, wire.CrashedRun{Attempt: t.attempt(), Queue: t.job.sub.Queue.Name})
		}
	}
	b.CrashReported(now, earlier.ID.Host, c)
}

// giveUpSuspect gives a job up that has probably crashed an upstream. The evidence is
// too weak to call the job failed.
func (b *Broker) giveUpSuspect(now time.Duration, j *job) bool {
	if !quarantine.GiveUpSuspect(now, b.poison, j.sub.Queue.Name, j.sub.ID, len(j.tasks)) {
		return false
	}
	b.emit(Decision{Job: j.sub.ID, Action: "give-up", Reason: reasonSuspect, Crashes: b.poison.Crashes(j.sub.ID)})
	b.close(now, j, Outcome{Kind: Unknown, Reason: reasonSuspect})
	return true
}

// runLost counts a run of a task whose end is unknown. A job whose runs are lost again and
// again is given up: its task may be what silences its upstreams.
func (b *Broker) runLost(now time.Duration, t *task) {
	t.lostRuns++
	if t.lostRuns >= maxLostRuns && !t.job.closing {
		b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Action: "give-up", Reason: reasonRunsLost, Crashes: t.lostRuns})
		b.close(now, t.job, Outcome{Kind: Unknown, Reason: reasonRunsLost})
	}
}

func (t *task) suspect() quarantine.Task {
	return quarantine.Task{ID: t.attempt().Task, Queue: t.job.sub.Queue.Name, Expected: t.expected, Refusals: t.trialRefusals}
}

// trial returns how the task has to run if upstreams have crashed under it.
func (b *Broker) trial(now time.Duration, t *task) (wire.Trial, time.Duration) {
	s := t.suspect()
	return s.Trial(now, b.poison)
}

// mayTry reports whether the task may be assigned to the agent as far as crashes are
// concerned, and the penalty for it.
func (b *Broker) mayTry(now time.Duration, a *agent, t *task) (bool, time.Duration) {
	trial, _ := b.trial(now, t)
	s := t.suspect()
	allowed, penalty := s.MayRun(now, b.poison, trial, a.quarantined)
	if !allowed || (a.View.Load.Trial == wire.TrialNone && a.suspects == 0) {
		return allowed, penalty
	}
	other := a.View.Load.Trial
	for o := range a.tasks.all() {
		switch trial := o.trialAt(now); {
		case o.job != t.job:
			other = max(other, trial)
		case trial != wire.TrialNone:
			// The load does not say whose suspects there are.
			return true, penalty
		}
	}
	beside, more := quarantine.MayRunBeside(trial, other)
	return beside, penalty + more
}

// trialAt returns the trial that the task's attempt is in.
func (t *task) trialAt(now time.Duration) wire.Trial {
	if t.started && now-t.startedAt > t.trialTime {
		return wire.TrialNone
	}
	return t.trial
}

// beginTrial marks the task's new attempt as that of a suspect if upstreams have crashed
// under it.
func (b *Broker) beginTrial(now time.Duration, a *agent, t *task, m *wire.Assign) {
	t.trial, t.trialTime = b.trial(now, t)
	if t.trial == wire.TrialNone {
		return
	}
	a.suspects++
	m.Trial, m.TrialMS = t.trial, uint32(t.trialTime/time.Millisecond)
}

// suspectWithoutUpstream gives a suspect's job up if no upstream may run it for too long, or
// the job if its queue has no upstream left. It reports whether it did.
func (b *Broker) suspectWithoutUpstream(now time.Duration, t *task) bool {
	s := t.suspect()
	giveUp, suspect := s.GiveUpWaiting(now, b.poison, now-t.unplacedAt)
	if !giveUp {
		return false
	}
	reason := reasonQuarantine
	if suspect {
		reason = reasonNoTrial
	}
	b.close(now, t.job, Outcome{Kind: Refused, Reason: reason, RetryAfter: b.jitter(quarantineRetryAfter)})
	return true
}
