package leased

import (
	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/runner"
)

// previousFields are the log fields of the run before the one that a line is about.
func previousFields(p *broker.PreviousRun) []any {
	if p == nil {
		return nil
	}
	return []any{"previous_run", p.Run, "previous_agent", p.Agent, "previous_agent_incarnation", p.AgentIncarnation,
		"previous_state", p.State, "previous_reason", p.Reason, "previous_age_ms", p.Age.Milliseconds()}
}

// logRunBeside logs and counts a run that an agent reports although the entry has given it up
// and started the task again.
func (e *Entry) logRunBeside(m broker.Decision) {
	runsBeside.Inc()
	e.log.Error("two runs of a task", append([]any{"job", m.Job, "task", m.Index, "run", m.Run, "agent", m.Agent,
		"also_at", m.Reason}, previousFields(m.Previous)...)...)
}

// logRunFound logs and counts a run that the upstream lists although the agent has reported it
// as ended.
func (a *Agent) logRunFound(m runner.RunFound) {
	runsFound.Inc()
	a.log.Error("run goes on although it was reported as ended", "job", m.Attempt.Task.Job, "task", m.Attempt.Task.Index,
		"run", m.Attempt.Run, "state", m.State.String(), "reason", m.Reason, "age_ms", m.Age.Milliseconds())
}
