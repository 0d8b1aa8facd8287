package hosted

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/runner"
)

// The agent's calls to its upstream: orders to start and stop, and questions for
// the list of runs.
const (
	// holdWait is how long the upstream may delay its list until a run ends. A
	// fraction of the lease, so that several renewals fit into it.
	holdWait = 60 * time.Millisecond
	// holdOverdue is added to holdWait for the age of a question at which the next
	// is asked without its answer.
	holdOverdue = 25 * time.Millisecond
	// holdsOpen bounds the questions without an answer.
	holdsOpen = 4
	// holdPause is the pause between two lists while a stop is under way.
	holdPause = 10 * time.Millisecond
	// holdPauseMax bounds the pause after failures. Several questions have to fit
	// into a lease, as its renewals go with them.
	holdPauseMax = 120 * time.Millisecond
	// maxDoublings keeps the doubling of the pause within its type.
	maxDoublings = 10
)

func (a *Agent) start(call *startCall, m runner.StartRun, token uint64) {
	defer call.giveUp()
	begin := time.Now()
	overdue := time.AfterFunc(a.options.Runner.StartAnswerTimeout+time.Millisecond, a.wakeUp)
	answer, clock := a.options.Upstream.Start(call.ctx, m, token)
	overdue.Stop()
	startTime.UpdateDuration(begin)
	if answer.Outcome != runner.StartAccepted {
		a.log.Warn("start not accepted", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
			"unanswered", answer.Outcome == runner.StartUnanswered, "reason", answer.Reason, "until_ms", m.LeaseEndMS, "clock_ms", clock)
	}
	a.do(func(now time.Duration, core *runner.Runner) {
		if a.starting[m.Attempt] == call {
			delete(a.starting, m.Attempt)
		}
		if clock > 0 {
			core.SetClock(now, clock)
		}
		core.Started(now, m.Attempt, answer)
	})
	a.wakeUp()
}

func (a *Agent) stop(m runner.StopRun, token uint64) {
	ctx, cancel := context.WithTimeout(a.ctx, a.options.Runner.CommandTimeout)
	defer cancel()
	taken, _, err := a.options.Upstream.Stop(ctx, m, token)
	if err != nil {
		a.log.Warn("stop not answered", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run, "error", err.Error())
	}
	a.do(func(now time.Duration, core *runner.Runner) { core.Stopped(now, m.Attempt, taken) })
	a.wakeUp()
}

// holdLoop asks the upstream for its runs as long as there is a reason to. An
// answer that is overdue does not delay the next question.
func (a *Agent) holdLoop() {
	slots := make(chan struct{}, holdsOpen)
	for a.ctx.Err() == nil {
		var plan runner.ListRequest
		var id runner.UpstreamID
		var token uint64
		var asked time.Duration
		a.do(func(now time.Duration, core *runner.Runner) {
			plan, id, token, asked = core.NextListRequest(now), core.UpstreamID(), core.Token(), now
		})
		if !plan.Needed {
			select {
			case <-a.ctx.Done():
			case <-a.wake:
			}
			continue
		}
		select {
		case <-a.ctx.Done():
			return
		case slots <- struct{}{}:
		}
		answered := make(chan struct{})
		a.run(func() {
			a.hold(id, plan, token, asked)
			close(answered)
			<-slots
		})
		a.untilListDue(holdWait+holdOverdue, answered)
		a.pauseLists(plan)
	}
}

// untilListDue waits until a list is due, for at most d and no longer than until done
// is closed.
func (a *Agent) untilListDue(d time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-timer.C:
			return
		case <-a.ctx.Done():
			return
		case <-a.wake:
			due := false
			a.do(func(now time.Duration, core *runner.Runner) { due = core.ListDue(now) })
			if due {
				return
			}
		}
	}
}

// pauseLists waits between two questions. Failures in a row double the pause, because
// each may have cost a connection; without one a list that is due ends it.
func (a *Agent) pauseLists(plan runner.ListRequest) {
	failures := a.holdFailures.Load()
	switch {
	case failures > 0:
		sleep(a.ctx, min(holdPause<<min(failures, maxDoublings), holdPauseMax))
	case !plan.Wait:
		a.untilListDue(holdPause, nil)
	}
}

func (a *Agent) hold(id runner.UpstreamID, plan runner.ListRequest, token uint64, asked time.Duration) {
	wait := time.Duration(0)
	if plan.Wait {
		wait = holdWait
	}
	ctx, cancel := context.WithTimeout(a.ctx, wait+a.options.Runner.CommandTimeout)
	defer cancel()
	answer, err := a.options.Upstream.ListRuns(ctx, id, plan, token, wait)
	answer.RequestedAt = asked
	a.listing.note(err)
	if err == nil {
		a.holdFailures.Store(0)
	} else {
		a.holdFailures.Add(1)
	}
	a.do(func(now time.Duration, core *runner.Runner) {
		switch {
		case err == nil:
			core.ListReceived(now, answer)
		case errorx.IsOfType(err, fault.ConnectionRefused):
			core.UpstreamEnded(now)
		case errorx.IsOfType(err, fault.Conflict):
			core.Fenced()
		default:
			core.ListFailed(now)
		}
	})
}
