package leased

import "github.com/damasklb/damasklb/internal/runner"

// logPreempted logs the stop of a run for more urgent work, with what decided it.
func (a *Agent) logPreempted(m runner.Preempted) {
	decisionCounter("preempt").Inc()
	a.log.Info("preempt", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run, "entry", m.Entry.Host,
		"for_job", m.For.Task.Job, "for_task", m.For.Task.Index, "age_ms", m.Age.Milliseconds(),
		"expected_ms", m.Expected.Milliseconds(), "start_within_ms", m.StartWithin.Milliseconds(),
		"missing_cpu", m.MissingCPU, "budget_left_core_ms", m.BudgetLeft.Milliseconds())
}

// logPreemptedEnded logs the end of a run that was stopped for more urgent work.
func (a *Agent) logPreemptedEnded(m runner.PreemptedEnded) {
	preemptedLost.Add(m.Lost.Seconds())
	preemptionStopTime.Update(m.StopTime.Seconds())
	a.log.Info("preempted run ended", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index, "run", m.Attempt.Run,
		"entry", m.Entry.Host, "lost_core_ms", m.Lost.Milliseconds(), "stop_ms", m.StopTime.Milliseconds())
}
