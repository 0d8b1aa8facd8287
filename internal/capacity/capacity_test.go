package capacity

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// full is the load of an upstream of ten tasks that all run, and of an agent that makes a
// forecast: 20 ms for the next task of priority 0, 100 ms for one of priority 2.
func full() wire.Load {
	l := wire.Load{CapacityCPU: 10_000, CapacityMem: 1000, FreeMem: 1000, Slowness: 100, TaskCPU: 1000}
	l.WaitMS = [wire.PriorityLevels]uint16{20, 40, 100, 100}
	l.ReleaseRate = [wire.PriorityLevels]uint32{50_000, 25_000, 10_000, 10_000}
	return l
}

func task(priority int) Task {
	return Task{CPU: 1000, MemMB: 1, Priority: priority, Expected: 200 * time.Millisecond}
}

// Guards against waits that ignore the agent's forecast or what was sent since.
func TestWaitFollowsTheForecast(t *testing.T) {
	var v View
	v.Report(full())
	for priority, want := range map[int]time.Duration{0: 20, 1: 40, 2: 100} {
		if w := v.Wait(task(priority)); w != want*time.Millisecond {
			t.Errorf("priority %d waits %v, want %d ms", priority, w, want)
		}
	}
	v.Reserve(0, task(0))
	// Another task is ahead: at 10 cores a second for priority 2, 100 ms more.
	if w := v.Wait(task(2)); w != 200*time.Millisecond {
		t.Errorf("priority 2 waits %v behind one more task, want 200 ms", w)
	}
	v.CancelLast()
	if w := v.Wait(task(2)); w != 100*time.Millisecond {
		t.Errorf("priority 2 waits %v after the reservation was cancelled, want 100 ms", w)
	}
}

// Guards against a task that is predicted to start at once although what was sent before
// takes the last cores.
func TestUnreportedTasksTakeFreeCores(t *testing.T) {
	var v View
	l := full()
	l.FreeCPU = 1500
	l.WaitMS = [wire.PriorityLevels]uint16{}
	v.Report(l)
	if w := v.Wait(task(0)); w != 0 {
		t.Errorf("the first task waits %v, want 0", w)
	}
	v.Reserve(0, task(0))
	if w := v.Wait(task(0)); w <= 0 || w > 20*time.Millisecond {
		t.Errorf("the second task waits %v, want the time in which half a core comes free", w)
	}
	v.Report(wire.Load{CapacityCPU: 10_000, CapacityMem: 1000, FreeCPU: 1500, FreeMem: 1000, LastSeq: 1})
	if w := v.Wait(task(0)); w != 0 {
		t.Errorf("a task waits %v after a report that includes the first, want 0", w)
	}
}

// Guards against agents of the version before, whose reports hold no forecast, that seem to
// have no wait.
func TestWaitWithoutForecast(t *testing.T) {
	var v View
	l := full()
	l.WaitMS, l.ReleaseRate = [wire.PriorityLevels]uint16{}, [wire.PriorityLevels]uint32{}
	l.QueuedWork = [wire.PriorityLevels]uint32{50, 0, 0, 0}
	v.Report(l)
	if w := v.Wait(task(0)); w < 50*time.Millisecond {
		t.Errorf("a task behind 50 ms of work waits %v", w)
	}
}

// Guards against an upstream whose memory is full and whose cores are not, and which seems to
// take a task within a millisecond: entries sent it one task after another.
func TestWaitForMemory(t *testing.T) {
	var v View
	// 5 of 10 cores and 900 of 1000 MiB are in use; 5 cores a second come free, with 900 MiB.
	l := wire.Load{CapacityCPU: 10_000, CapacityMem: 1000, FreeCPU: 5000, FreeMem: 100, Slowness: 100, TaskCPU: 1000}
	l.ReleaseRate = [wire.PriorityLevels]uint32{5000, 5000, 5000, 5000}
	v.Report(l)
	large := Task{CPU: 1000, MemMB: 400, Expected: 200 * time.Millisecond}
	// A third of the memory in use is missing.
	if w := v.Wait(large); w < 300*time.Millisecond || w > 370*time.Millisecond {
		t.Errorf("a task of 400 MiB waits %v, want a third of a second", w)
	}
	v.Reserve(0, Task{CPU: 1000, MemMB: 100, Expected: 200 * time.Millisecond})
	if w := v.Wait(large); w < 400*time.Millisecond || w > 490*time.Millisecond {
		t.Errorf("it waits %v behind a task of 100 MiB, want a ninth of a second more", w)
	}
}
