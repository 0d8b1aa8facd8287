package runner

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Load returns the upstream's load for an entry.
func (r *Runner) Load(now time.Duration, id EntryID) wire.Load {
	l := wire.Load{Ready: r.mayStart(now), LastSeq: r.LastSeq(id)}
	if r.upstream == nil {
		return l
	}
	u := r.upstream
	l.Draining = u.Draining || r.draining
	l.Service, l.Labels = u.Service, u.Labels
	l.CapacityCPU, l.CapacityMem = u.CPU, u.MemMB
	l.FreeCPU, l.FreeMem = max(0, r.usableCPU(now)-r.usedCPU), max(0, u.MemMB-r.usedMem)
	if r.refusedSince > 0 || !r.leaseRenewable(now) {
		// Nothing starts before the lease may be renewed again.
		l.FreeCPU, l.FreeMem = 0, 0
	}
	l.QueuedWork = r.queue.work(u.CPU)
	l.BusyPercent = r.busyPercent()
	l.Slowness = r.slowness(now)
	if r.cold.at(now) {
		l.Slowness = r.cold.slowness()
		l.ColdMS = uint32((r.cold.until - now) / time.Millisecond)
		if r.usedCPU == 0 {
			l.FreeCPU = max(l.FreeCPU, min(u.CPU, probeCapacity))
		}
	}
	l.FailurePercent = r.health.failurePercent(now)
	avoided, probing := r.avoided(now)
	l.Stuck = avoided
	l.StartMS = u.StartMS
	l.Trial = r.strictestTrial(now)
	l.Evacuated = r.evacuated() && r.inOrder()
	if probing {
		l.FreeCPU = min(l.FreeCPU, probeCapacity)
	}
	r.addForecast(now, &l)
	return l
}

// busyPercent returns the share of the cores that runs of each priority use, in
// percent.
func (r *Runner) busyPercent() [wire.PriorityLevels]uint8 {
	var cpu [wire.PriorityLevels]int
	for _, a := range r.active {
		if a.occupies() {
			cpu[wire.PriorityLevel(a.assign.Priority)] += a.assign.CPU
		}
	}
	var out [wire.PriorityLevels]uint8
	for i, n := range cpu {
		out[i] = uint8(min(100*n/max(r.upstream.CPU, 1), 100))
	}
	return out
}
