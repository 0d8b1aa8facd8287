package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/quarantine"
)

// quarantineRetryAfter is the delay given to callers whose queue has no upstream left.
const quarantineRetryAfter = 2 * time.Second

const reasonQuarantine = "queue-quarantined"

// updateQuarantine chooses the upstreams for quarantined queues.
func (b *Broker) updateQuarantine(now time.Duration) {
	byService := map[string][]quarantine.Upstream{}
	for i, a := range b.agentList {
		a.quarantined = false
		if a.key != a.ID.Host || a.Service == "" || a.Evacuated {
			continue
		}
		byService[a.Service] = append(byService[a.Service], quarantine.Upstream{Host: a.ID.Host, Index: i, CapacityCPU: a.CapacityCPU,
			UsedCPU: a.View.Load.CapacityCPU - a.View.Load.FreeCPU, Present: a.Present(now, &b.settings.Limits)})
	}
	for _, upstreams := range byService {
		for _, i := range quarantine.Choose(upstreams) {
			b.agentList[i].quarantined = true
		}
	}
}

// logCautions logs the queues whose caution has changed.
func (b *Broker) logCautions(now time.Duration) {
	for _, c := range b.poison.CautionChanges(now) {
		b.emit(Decision{Queue: c.Queue, Action: "caution", Reason: c.Caution.String()})
	}
}
