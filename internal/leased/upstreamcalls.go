package leased

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/runner"
)

// The agent calls its upstream to start and stop runs and to ask for the list of
// runs.
const (
	// listWait is how long the upstream may delay its list until a run ends. It is
	// a fraction of the lease, so that several renewals fit into one lease.
	listWait = 60 * time.Millisecond
	// listOverdue is added to listWait for the age at which a list request counts
	// as overdue; the next one is then sent without waiting for the answer.
	listOverdue = 25 * time.Millisecond
	// maxOpenLists bounds the list requests without an answer.
	maxOpenLists = 4
	// listPause is the pause between two list requests while a stop is in progress.
	listPause = 10 * time.Millisecond
	// maxListPause bounds the pause after failures. Several list requests have to
	// fit into a lease, because they renew it.
	maxListPause = 120 * time.Millisecond
	// maxPauseDoublings keeps the doubled pause from overflowing its type.
	maxPauseDoublings = 10
)

func (a *Agent) start(call *startCall, m runner.StartRun, token uint64) {
	defer call.cancel()
	begin := time.Now()
	overdue := time.AfterFunc(a.options.Runner.StartAnswerTimeout+time.Millisecond, a.notifyListLoop)
	answer := a.options.Upstream.Start(call.ctx, m, token)
	answer.SentAt = m.SentAt
	overdue.Stop()
	startTime.UpdateDuration(begin)
	if answer.Outcome != runner.StartAccepted {
		a.log.Warn("start not accepted", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
			"unanswered", answer.Outcome == runner.StartUnanswered, "reason", answer.Reason, "until_ms", m.LeaseEndMS, "clock_ms", answer.ClockMS)
	}
	a.withCore(func(now time.Duration, core *runner.Runner) {
		if a.startCalls[m.Attempt] == call {
			delete(a.startCalls, m.Attempt)
		}
		core.Started(now, m.Attempt, answer)
	})
	a.notifyListLoop()
}

func (a *Agent) stop(m runner.StopRun, token uint64) {
	ctx, cancel := context.WithTimeout(a.ctx, a.options.Runner.CommandTimeout)
	defer cancel()
	accepted, _, err := a.options.Upstream.Stop(ctx, m, token)
	if err != nil {
		a.log.Warn("stop command failed", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run, "error", err.Error())
	}
	a.withCore(func(now time.Duration, core *runner.Runner) { core.Stopped(now, m.Attempt, accepted) })
	a.notifyListLoop()
}

// listLoop asks the upstream for its runs as long as there is a reason to. An
// overdue answer does not delay the next request.
func (a *Agent) listLoop() {
	slots := make(chan struct{}, maxOpenLists)
	for a.ctx.Err() == nil {
		var req runner.ListRequest
		var id runner.UpstreamID
		var token uint64
		var requestedAt time.Duration
		a.withCore(func(now time.Duration, core *runner.Runner) {
			req, id, token, requestedAt = core.NextListRequest(now), core.UpstreamID(), core.Token(), now
		})
		if !req.Needed {
			select {
			case <-a.ctx.Done():
			case <-a.notify:
			}
			continue
		}
		select {
		case <-a.ctx.Done():
			return
		case slots <- struct{}{}:
		}
		answered := make(chan struct{})
		a.spawn(func() {
			a.listRuns(id, req, token, requestedAt)
			close(answered)
			<-slots
		})
		a.awaitListDue(listWait+listOverdue, answered)
		a.pauseBetweenLists(req)
	}
}

// awaitListDue waits until the next list request is due, done is closed or d has
// passed.
func (a *Agent) awaitListDue(d time.Duration, done <-chan struct{}) {
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
		case <-a.notify:
			due := false
			a.withCore(func(now time.Duration, core *runner.Runner) { due = core.ListDue(now) })
			if due {
				return
			}
		}
	}
}

// pauseBetweenLists waits between two list requests. Each failure in a row doubles
// the pause, because it may have cost a connection. If the last request succeeded,
// the pause ends early when a request is due. An end that cannot be read is never
// acknowledged, and lists with it are answered without a wait.
func (a *Agent) pauseBetweenLists(req runner.ListRequest) {
	failures := a.listFailures.Load()
	switch {
	case failures > 0:
		sleep(a.ctx, min(listPause<<min(failures, maxPauseDoublings), maxListPause))
	case !req.Wait || a.unreadableList.Load():
		a.awaitListDue(listPause, nil)
	}
}

func (a *Agent) listRuns(id runner.UpstreamID, req runner.ListRequest, token uint64, requestedAt time.Duration) {
	wait := time.Duration(0)
	if req.Wait {
		wait = listWait
	}
	ctx, cancel := context.WithTimeout(a.ctx, wait+a.options.Runner.CommandTimeout)
	defer cancel()
	answer, err := a.options.Upstream.ListRuns(ctx, id, req, token, wait)
	answer.RequestedAt = requestedAt
	a.upstreamDep.observe(err)
	if err == nil {
		a.listFailures.Store(0)
		a.reportMalformedRuns(answer.MalformedRows)
	} else {
		a.listFailures.Add(1)
	}
	a.withCore(func(now time.Duration, core *runner.Runner) {
		switch {
		case err == nil:
			core.ListReceived(now, answer)
		case errorx.IsOfType(err, fault.ConnectionRefused):
			core.ConnectionRefused(now, requestedAt, id)
		case errorx.IsOfType(err, fault.Conflict):
			core.Fenced()
		default:
			core.ListFailed(now)
		}
	})
}

// reportMalformedRuns logs and counts the rows of a list that cannot be read.
func (a *Agent) reportMalformedRuns(rows []string) {
	a.unreadableList.Store(len(rows) > 0)
	a.malformedRuns.retain(rows)
	for _, row := range rows {
		a.malformedRuns.found(row, 0, "row of a list of runs cannot be read")
	}
}
