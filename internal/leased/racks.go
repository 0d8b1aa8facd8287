package leased

import "github.com/damasklb/damasklb/internal/broker"

// logRack logs and counts a decision for a task that prefers a rack, with what it rests on.
func (e *Entry) logRack(m broker.Decision) {
	r := m.Rack
	countRack(m)
	e.log.Info(m.Action, append([]any{"job", m.Job, "task", m.Index, "run", m.Run, "agent", m.Agent, "reason", m.Reason,
		"wait_ms", m.Wait.Milliseconds(), "age_ms", m.ReportAge.Milliseconds(), "free_cpu", m.FreeCPU,
		"rack", r.Rack, "near", r.Near, "held_ms", r.Held.Milliseconds(), "max_wait_ms", r.MaxWait.Milliseconds(),
		"share_for_all", r.ShareForAll, "price", r.Price, "regretted", r.Regretted}, previousFields(m.Previous)...)...)
}

func countRack(m broker.Decision) {
	if m.Action == "hold" {
		rackHeld.Inc()
		return
	}
	if m.Rack.Near {
		rackNear.Inc()
	} else {
		rackFar.Inc()
	}
	if m.Rack.Held > 0 {
		rackHoldTime.Update(m.Rack.Held.Seconds())
	}
	if m.Rack.Regretted {
		rackRegretted.Inc()
	}
}
