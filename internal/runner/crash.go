package runner

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// crashRetention is how long an agent sends a crash to entries that connect. It exceeds the
// time for which callers resubmit a job.
const crashRetention = 60 * time.Second

// UpstreamCrashed reports a crash: an incarnation of the upstream has ended without a notice
// that it leaves, or seems to have because it refuses connections.
type UpstreamCrashed struct {
	Upstream UpstreamID
	Runs     []wire.CrashedRun
}

// CrashRetracted reports that an incarnation that seemed to have crashed has answered since.
type CrashRetracted struct{ Upstream UpstreamID }

// loggedCrash is a crash that is sent to all entries.
type loggedCrash struct {
	at     time.Duration
	number uint64
	crash  wire.UpstreamCrash
}

// recordCrash reports the end of the present incarnation as a crash, unless the upstream
// was leaving or next is the same incarnation.
func (r *Runner) recordCrash(now time.Duration, next UpstreamID) {
	crashed := r.upstreamID()
	if r.lease.startMS != 0 {
		crashed.StartMS = r.lease.startMS
	}
	runs := r.lapsed
	r.lapsed = nil
	if crashed.StartMS == next.StartMS || crashed.StartMS == r.lastCrashStartMS || r.upstream.Draining {
		return
	}
	r.lastCrashStartMS = crashed.StartMS
	for _, a := range r.active {
		if !a.occupies() {
			continue
		}
		var age time.Duration
		if a.confirmedAt > 0 {
			// A start without an answer may have reached nobody.
			age = max(0, now-a.startSentAt)
		}
		runs = append(runs, crashedRun(a, age))
	}
	r.logCrash(now, wire.UpstreamCrash{StartMS: crashed.StartMS, Runs: runs})
	r.emit(UpstreamCrashed{Upstream: crashed, Runs: runs})
}

func (r *Runner) logCrash(now time.Duration, c wire.UpstreamCrash) {
	r.crashCount++
	r.crashLog = append(r.crashLog, loggedCrash{at: now, number: r.crashCount, crash: c})
}

// retractCrash takes the report of a crash of the incarnation that the last list came from back.
func (r *Runner) retractCrash(now time.Duration) {
	id := UpstreamID{ID: r.upstreamID().ID, StartMS: r.lease.startMS}
	if id.StartMS == 0 || r.lastCrashStartMS != id.StartMS {
		return
	}
	r.lastCrashStartMS = 0
	r.crashLog = slices.DeleteFunc(r.crashLog, func(c loggedCrash) bool { return c.crash.StartMS == id.StartMS })
	r.logCrash(now, wire.UpstreamCrash{StartMS: id.StartMS, Retracted: true})
	r.emit(CrashRetracted{Upstream: id})
}

func crashedRun(a *attempt, age time.Duration) wire.CrashedRun {
	return wire.CrashedRun{Attempt: a.id, Queue: a.assign.Queue, AgeMS: uint32(age / time.Millisecond)}
}

// runLapsed retains a run whose lease has expired at a silent upstream. If the next list
// comes from another incarnation, the upstream may have crashed under it.
func (r *Runner) runLapsed(a *attempt) {
	r.lapsed = append(r.lapsed, crashedRun(a, 0))
}

// RestoreCrashes handles crashes that an earlier process of the agent has stored.
func (r *Runner) RestoreCrashes(now time.Duration, crashes []wire.UpstreamCrash) {
	for _, c := range crashes {
		r.logCrash(now-time.Duration(c.SinceMS)*time.Millisecond, c)
	}
}

// TakeCrashes returns the crashes that were not sent on the entry's link yet.
func (r *Runner) TakeCrashes(now time.Duration, id EntryID) []wire.UpstreamCrash {
	if r.crashCount == 0 {
		return nil
	}
	s := r.entry(id)
	var out []wire.UpstreamCrash
	for _, c := range r.crashLog {
		if c.number > s.crashesSent {
			c.crash.SinceMS = uint32((now - c.at) / time.Millisecond)
			out = append(out, c.crash)
		}
	}
	s.crashesSent = r.crashCount
	return out
}

func (r *Runner) expireCrashes(now time.Duration) {
	for len(r.crashLog) > 0 && now-r.crashLog[0].at > crashRetention {
		r.crashLog = r.crashLog[1:]
	}
}

// trialOf returns the trial that an attempt is in. A run that has outlived the time of its
// trial is no suspect any more.
func (a *attempt) trialOf(now time.Duration) wire.Trial {
	if a.phase != phaseWaiting && now-a.startSentAt >= time.Duration(a.assign.TrialMS)*time.Millisecond {
		return wire.TrialNone
	}
	if a.assign.Trial == wire.TrialApart {
		return wire.TrialBesideOthers
	}
	return a.assign.Trial
}

func (r *Runner) strictestTrial(now time.Duration) wire.Trial {
	strictest := wire.TrialNone
	for _, a := range r.active {
		strictest = max(strictest, a.trialOf(now))
	}
	return strictest
}

// trialConflicts reports whether a suspect may not run beside those that are here.
func (r *Runner) trialConflicts(now time.Duration, a *attempt) bool {
	if a.assign.Trial == wire.TrialNone {
		return false
	}
	for _, other := range r.active {
		trial := other.trialOf(now)
		if other.id.Task.Job != a.id.Task.Job && trial != wire.TrialNone && max(trial, a.assign.Trial) > wire.TrialBesideOthers {
			return true
		}
	}
	return false
}
