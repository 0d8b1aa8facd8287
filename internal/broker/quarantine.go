package broker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/poison"
)

// A queue with several poison jobs gets a few upstreams, the quarantine, which the other
// queues avoid: however many of its jobs crash their upstreams, the others stay up.
const (
	// minQuarantine and maxQuarantine bound the share of a service's upstreams that are
	// in the quarantine, or down. Between them it is what spareFactor times the present
	// use leaves.
	minQuarantine = 0.25
	maxQuarantine = 0.5
	spareFactor   = 1.5
	// separationPenalty is added for an upstream outside the quarantine for a queue
	// that is to be separated, and for one inside for all others. It is below the waits
	// for which jobs are refused, so a job is not refused while any upstream is free.
	separationPenalty = 8 * time.Millisecond
	// quarantineRetryAfter is the delay given to callers whose queue has no upstream left.
	quarantineRetryAfter = 2 * time.Second
)

// reasonQuarantine is the reason for refusing a job of a quarantined queue.
const reasonQuarantine = "queue-quarantined"

// updateQuarantine chooses the upstreams for quarantined queues: a share of those of each
// service, smaller the more of them are in use, less those outside that are down. All
// entries rank the hosts alike, so they choose nearly the same ones.
func (b *Broker) updateQuarantine(now time.Duration) {
	byService := map[string][]*agent{}
	for _, a := range b.agentList {
		a.quarantined = false
		if a.key == a.id.Host && a.service != "" && !a.evacuated {
			byService[a.service] = append(byService[a.service], a)
		}
	}
	for _, agents := range byService {
		slices.SortFunc(agents, func(x, y *agent) int {
			return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.id.Host, y.id.Host))
		})
		for _, a := range agents[:b.quarantineSize(now, agents)] {
			a.quarantined = true
		}
	}
}

// quarantineSize returns how many of the agents, from the first, are in the quarantine.
func (b *Broker) quarantineSize(now time.Duration, agents []*agent) int {
	used, capacity, down := 0, 0, 0
	for _, a := range agents {
		capacity += a.capacityCPU
		if a.present(now, &b.settings) {
			used += a.view.Load.CapacityCPU - a.view.Load.FreeCPU
		} else {
			down++
		}
	}
	share := 1 - spareFactor*float64(used)/float64(max(capacity, 1))
	share = min(max(share, minQuarantine), maxQuarantine)
	limit := int(math.Round(share * float64(len(agents))))
	size := limit
	for down > 0 && size > 1 {
		outside := 0
		for _, a := range agents[size:] {
			if !a.present(now, &b.settings) {
				outside++
			}
		}
		if size+outside <= limit {
			break
		}
		size--
	}
	return max(size, 1)
}

// logCautions logs the queues whose caution has changed.
func (b *Broker) logCautions(now time.Duration) {
	for _, queue := range b.poison.Queues() {
		caution := b.poison.Caution(now, queue)
		if caution == b.cautions[queue] {
			continue
		}
		b.cautions[queue] = caution
		b.emit(Decision{Queue: queue, Action: "caution", Reason: caution.String()})
		if caution == poison.Unrestricted {
			delete(b.cautions, queue)
		}
	}
}
