package agentlink

import (
	"iter"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/reasons"
)

// Need is what a task requires of an upstream.
type Need struct {
	Service string
	// Label is a label that the upstream must have; empty means any.
	Label      string
	CPU, MemMB int
}

// Excludes returns why the upstream cannot run a task, or "" if it can.
func (a *Agent) Excludes(n Need) string {
	l := &a.View.Load
	switch {
	case l.Service != n.Service:
		return "other-service"
	case n.Label != "" && !slices.Contains(l.Labels, n.Label):
		return "label-missing"
	case n.CPU > l.CapacityCPU || n.MemMB > l.CapacityMem:
		return reasons.TooLarge
	}
	return ""
}

// ExceedsAll reports whether a task is larger than each known upstream of its service, those
// included that are down.
func ExceedsAll(agents iter.Seq[*Agent], n Need) bool {
	known := false
	for a := range agents {
		if a.Service != n.Service || a.CapacityCPU == 0 {
			continue
		}
		if n.CPU <= a.CapacityCPU && n.MemMB <= a.CapacityMem {
			return false
		}
		known = true
	}
	return known
}

// OnlyEvacuated reports whether upstreams could run a task, but all are in data centres that are
// being evacuated.
func OnlyEvacuated(agents iter.Seq[*Agent], now time.Duration, l *Limits, n Need) bool {
	found := false
	for a := range agents {
		if !a.InOrder(now, l) || a.Excludes(n) != "" {
			continue
		}
		if !a.Evacuated && a.View.Load.Ready {
			return false
		}
		found = true
	}
	return found
}
