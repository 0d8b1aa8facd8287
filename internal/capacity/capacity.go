// Package capacity holds what an entry knows of an upstream's capacity: the last report of
// its agent, and what was sent to the agent since. It predicts how long a further task would
// wait there. It handles loads from idle to above capacity, at which the last report is older than
// some of the entry's assignments.
package capacity

import (
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// View is an entry's view of an upstream.
type View struct {
	Load wire.Load
	seq  uint64
	// unreported holds the assignments that Load does not include yet.
	unreported []assignment
}

type assignment struct {
	seq uint64
	// at is when it was sent.
	at       time.Duration
	cpu, mem int
	workMS   int
}

// Task is the part of a task's requirements that takes capacity.
type Task struct {
	CPU, MemMB, Priority int
	Expected             time.Duration
}

// Reset forgets what was sent, as on a new link.
func (v *View) Reset() { v.seq, v.unreported = 0, nil }

// Clone returns a copy whose changes do not affect the view.
func (v *View) Clone() View {
	c := *v
	c.unreported = slices.Clone(v.unreported)
	return c
}

// Report handles a report of the agent.
func (v *View) Report(l wire.Load) {
	v.Load = l
	n := 0
	for n < len(v.unreported) && v.unreported[n].seq <= l.LastSeq {
		n++
	}
	v.unreported = v.unreported[n:]
}

// Reserve counts a task against the free capacity until a report includes it. It returns
// the sequence number of its assignment.
func (v *View) Reserve(now time.Duration, t Task) uint64 {
	v.seq++
	v.unreported = append(v.unreported, assignment{seq: v.seq, at: now, cpu: t.CPU, mem: t.MemMB,
		workMS: t.CPU * int(t.Expected/time.Millisecond) / max(v.Load.CapacityCPU, 1)})
	return v.seq
}

// CancelLast takes the last reservation back.
func (v *View) CancelLast() {
	v.seq--
	v.unreported = v.unreported[:len(v.unreported)-1]
}

// Unanswered returns the age of the oldest assignment that no report includes, or 0.
func (v *View) Unanswered(now time.Duration) time.Duration {
	if len(v.unreported) == 0 {
		return 0
	}
	return now - v.unreported[0].at
}

// Free returns the free capacity, and the work that waits at a priority and above in
// milliseconds, after what was sent since the last report.
func (v *View) Free(priority int) (cpu, mem int, workMS int) {
	cpu, mem = v.Load.FreeCPU, v.Load.FreeMem
	for i, w := range v.Load.QueuedWork {
		if i <= wire.PriorityLevel(priority) {
			workMS += int(w)
		}
	}
	for _, u := range v.unreported {
		cpu -= u.cpu
		mem -= u.mem
		workMS += u.workMS
	}
	return cpu, mem, workMS
}

// queuedWork returns the work that waits at all priorities, in milliseconds.
func (v *View) queuedWork() int {
	sum := 0
	for _, w := range v.Load.QueuedWork {
		sum += int(w)
	}
	return sum
}

// Used returns the share of the cores in use, from 0 to 1.
func (v *View) Used(priority int) float64 {
	cpu, _, _ := v.Free(priority)
	return 1 - float64(max(cpu, 0))/float64(max(v.Load.CapacityCPU, 1))
}

// minSlowdown bounds the run time relative to the expected one.
const minSlowdown = 0.5

// Slowdown returns the upstream's run time relative to the expected one.
func (v *View) Slowdown() float64 { return max(float64(v.Load.Slowness)/100, minSlowdown) }

const (
	// turnover is the time in which a busy upstream completes as much work as it runs at a
	// time, for agents that report no forecast.
	turnover = 200 * time.Millisecond
	// minAvailableShare is the smallest share that more urgent work is assumed to leave,
	// because its present share may be a short peak.
	minAvailableShare = 0.25
)

// Wait predicts how long a task would wait.
func (v *View) Wait(t Task) time.Duration {
	cpu, mem, workMS := v.Free(t.Priority)
	if cpu >= t.CPU && mem >= t.MemMB && (workMS == 0 || v.queuedWork() == 0) {
		// Work that was sent since the last report waits only as far as it exceeds the
		// free capacity.
		return 0
	}
	if v.Load.ReleaseRate[wire.PriorityLevel(t.Priority)] > 0 {
		return v.forecastWait(t)
	}
	untilFree := float64(turnover) * float64(t.CPU) / float64(max(v.Load.CapacityCPU, 1))
	return bounded((float64(workMS)*float64(time.Millisecond) + untilFree) * max(v.Slowdown(), 1) / v.availableShare(t.Priority))
}

// forecastWait predicts the wait from the agent's forecast and from what was sent since.
func (v *View) forecastWait(t Task) time.Duration {
	level := wire.PriorityLevel(t.Priority)
	wait := time.Duration(v.Load.WaitMS[level]) * time.Millisecond
	lacking := t.CPU - v.Load.TaskCPU
	if wait == 0 {
		// The forecast's task would have started at once.
		lacking = t.CPU - v.Load.FreeCPU
	}
	for _, u := range v.unreported {
		lacking += u.cpu
	}
	rate := float64(v.Load.ReleaseRate[level])
	wait += bounded(float64(lacking) / rate * float64(time.Second))
	return max(wait, v.memoryWait(t, rate), minWait)
}

// memoryWait predicts the wait for memory alone: runs release it with their cores, in proportion
// to what is in use.
func (v *View) memoryWait(t Task, cpuRate float64) time.Duration {
	_, free, _ := v.Free(t.Priority)
	usedCPU, usedMem := v.Load.CapacityCPU-v.Load.FreeCPU, v.Load.CapacityMem-v.Load.FreeMem
	if free >= t.MemMB || usedMem <= 0 {
		return 0
	}
	rate := cpuRate * float64(usedMem) / float64(max(usedCPU, 1))
	return bounded(float64(t.MemMB-free) / rate * float64(time.Second))
}

// maxWait bounds a predicted wait. No caller waits for as long, and sums of absurd reported
// figures would exceed the range of a duration.
const maxWait = time.Hour

func bounded(wait float64) time.Duration {
	return time.Duration(min(max(wait, -float64(maxWait)), float64(maxWait)))
}

// minWait is the wait predicted for a task that does not fit now.
const minWait = time.Millisecond

// availableShare returns the share of the upstream that more urgent work leaves to a
// priority: more urgent work goes first even if it arrives later.
func (v *View) availableShare(priority int) float64 {
	percent := 0
	for i := range wire.PriorityLevel(priority) {
		percent += int(v.Load.BusyPercent[i])
	}
	return max(1-float64(percent)/100, minAvailableShare)
}
