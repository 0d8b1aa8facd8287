package broker

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/agentlink"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

// An entry places nothing in a data centre that operators are evacuating. The free capacity
// there no longer counts, so admission follows the capacity that is left at once. The entry
// passes its knowledge on to its agents, which make the last check before a start.

// Evacuations handles an update of the evacuation requests.
func (b *Broker) Evacuations(now time.Duration, u evacuation.Update) {
	if b.settings.EvacuateWithin == 0 {
		return
	}
	changes := b.evacuations.Apply(now, u)
	for _, c := range changes {
		b.evacuationChanged(now, c)
	}
	if len(changes) == 0 {
		return
	}
	b.updateQuarantine(now)
	for _, a := range b.agentList {
		if a.Connected && a.HeartbeatAt > 0 {
			a.EvacuationsSentAt = 0
			b.confirm(now, a, &wire.EntryBeat{EchoMS: a.EchoMS})
		}
	}
	b.placeUnplaced(now)
}

// evacuationChanged takes back the tasks that wait in a data centre that is being evacuated.
func (b *Broker) evacuationChanged(now time.Duration, c evacuation.Change) {
	waiting, running := 0, 0
	for _, a := range b.agentList {
		if a.DataCentre != c.DataCentre {
			continue
		}
		a.Evacuated = !c.Deleted
		for _, t := range slices.Collect(a.tasks.all()) {
			switch {
			case t.started:
				running++
			case !c.Deleted && !t.withdrawn:
				waiting++
				b.withdraw(now, t, true)
			}
		}
	}
	d := Decision{Action: "evacuate", Agent: c.DataCentre, Runs: running, Tasks: waiting, Version: c.Version}
	if c.Deleted {
		d.Action = "evacuation-ended"
	}
	b.emit(d)
}

// addEvacuations adds what the entry knows of evacuations to a message, at intervals.
func (b *Broker) addEvacuations(now time.Duration, a *agent, m *wire.EntryBeat) {
	if b.settings.EvacuateWithin == 0 {
		return
	}
	if m.Evacuations = b.evacuations.Message(now, a.EvacuationsSentAt); m.Evacuations != nil {
		a.EvacuationsSentAt = now
	}
}

// verifyEvacuations asks for the requests in the store after a pause of the process, in
// which it has missed changes.
func (b *Broker) verifyEvacuations(now time.Duration) {
	if b.settings.EvacuateWithin == 0 {
		return
	}
	b.evacuations.Resumed(now)
	b.emit(QueryEvacuations{})
}

// suspended reports whether no new command may be sent, shortly after a pause of the
// process.
func (b *Broker) suspended(now time.Duration) bool {
	return now < b.suspendedUntil || b.evacuations.Awaited(now)
}

// onlyEvacuated reports whether upstreams could run the task, but all are in data centres
// that are being evacuated.
func (b *Broker) onlyEvacuated(now time.Duration, t *task) bool {
	return agentlink.OnlyEvacuated(b.links(), now, &b.settings.Limits, t.need())
}

// HasEvacuatedAgent reports whether an agent is in order but for the evacuation of its data
// centre. An entry with such agents only still answers callers: it refuses their jobs.
func (b *Broker) HasEvacuatedAgent(now time.Duration) bool {
	return slices.ContainsFunc(b.agentList, func(a *agent) bool { return a.InOrder(now, &b.settings.Limits) })
}

// evacuatedRetryAfter is the delay given to callers while all data centres are being
// evacuated.
const evacuatedRetryAfter = 3 * time.Second

// maxUnawareHosts bounds the hosts that the state of an evacuation names.
const maxUnawareHosts = 20

// EvacuationStates returns the evacuations in force and the age of that knowledge.
func (b *Broker) EvacuationStates(now time.Duration) ([]status.HostedEvacuation, time.Duration) {
	var out []status.HostedEvacuation
	for _, r := range b.evacuations.Requests() {
		s := status.HostedEvacuation{DataCentre: r.DataCentre, Version: r.Version, SinceMS: (now - r.Since).Milliseconds()}
		for _, a := range b.agentList {
			if a.DataCentre != r.DataCentre || !a.Connected {
				continue
			}
			s.Agents++
			if a.View.Load.Ready {
				if s.Unaware++; len(s.UnawareHosts) < maxUnawareHosts {
					s.UnawareHosts = append(s.UnawareHosts, a.ID.Host)
				}
			}
			for t := range a.tasks.all() {
				if t.started {
					s.Running++
				}
			}
		}
		out = append(out, s)
	}
	return out, b.evacuations.Age(now)
}
