package scarcity

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const ms = time.Millisecond

// Queues of three priorities.
var (
	urgent = Job{Queue: "urgent", Priority: 0, Expected: 60 * ms}
	middle = Job{Queue: "middle", Priority: 1, Expected: 200 * ms}
	long   = Job{Queue: "long", Priority: 2, Expected: 900 * ms}
)

// fleet returns a snapshot of 60 full upstreams at which work of each priority waits, in
// milliseconds of an upstream.
func fleet(free int, waiting ...uint32) Snapshot {
	var s Snapshot
	l := wire.Load{CapacityCPU: 64_000, TaskCPU: 5000}
	copy(l.QueuedWork[:], waiting)
	for range 60 {
		s.Add(&l, free)
	}
	return s
}

// play lets a job of each kind arrive every 10 ms and returns the admitted and all jobs of
// each in the last second.
func play(c *Controller, from, d time.Duration, s func(time.Duration) (Snapshot, bool), jobs ...Job) (admitted map[string]int, of int) {
	admitted = map[string]int{}
	for now := from; now < from+d; now += 10 * ms {
		if snapshot, ok := s(now); ok {
			c.Observe(now, snapshot)
		}
		last := now >= from+d-time.Second
		if last {
			of++
		}
		for _, j := range jobs {
			c.Arrived(now, j)
			admit := !c.Judge(now, j).Refuse
			c.Decided(now, j, admit)
			if last && admit {
				admitted[j.Queue]++
			}
		}
	}
	return admitted, of
}

func always(s Snapshot) func(time.Duration) (Snapshot, bool) {
	return func(time.Duration) (Snapshot, bool) { return s, true }
}

// Guards against refusals outside scarcity and of the most urgent work, against the wrong
// order of refusals, and against a queue that is starved or not refused.
func TestAdmittedShares(t *testing.T) {
	for name, c := range map[string]struct {
		off                  bool
		s                    Snapshot
		jobs                 []Job
		urgent, middle, long int
	}{
		"free capacity":                  {s: fleet(10_000), urgent: 100, middle: 100, long: 100},
		"short queues":                   {s: fleet(0, 0, 0, 80), urgent: 100, middle: 100, long: 100},
		"half of the last priority":      {s: fleet(0, 0, 0, 180), urgent: 100, middle: 100, long: 50},
		"the floor of the last priority": {s: fleet(0, 0, 0, 900), urgent: 100, middle: 100, long: 40},
		"half of the middle priority":    {s: fleet(0, 0, 120, 900), urgent: 100, middle: 50, long: 40},
		"floors of both":                 {s: fleet(0, 60, 400, 900), urgent: 100, middle: 40, long: 40},
		"off":                            {off: true, s: fleet(0, 60, 400, 900), urgent: 100, middle: 100, long: 100},
		"one priority":                   {s: fleet(0, 0, 400, 900), jobs: []Job{long}, long: 100},
	} {
		settings := DefaultSettings()
		settings.Off = c.off
		jobs := c.jobs
		if jobs == nil {
			jobs = []Job{urgent, middle, long}
		}
		got, _ := play(New(settings), time.Second, 3*time.Second, always(c.s), jobs...)
		for queue, want := range map[string]int{"urgent": c.urgent, "middle": c.middle, "long": c.long} {
			if n := got[queue]; n < want-1 || n > want+1 {
				t.Errorf("%s: %d of 100 jobs of %s are admitted, want %d", name, n, queue, want)
			}
		}
	}
}

// Guards against retries that come back the sooner the less is admitted.
func TestRetryDelay(t *testing.T) {
	c := New(DefaultSettings())
	play(c, time.Second, 2*time.Second, always(fleet(0, 0, 120, 900)), urgent, middle, long)
	delay := map[string]time.Duration{}
	for i := range 10 {
		for _, j := range []Job{middle, long} {
			v := c.Judge(3*time.Second, j)
			if v.Refuse {
				delay[j.Queue] = v.RetryAfter
			}
			c.Decided(3*time.Second+time.Duration(i), j, !v.Refuse)
		}
	}
	if delay["middle"] != time.Second || delay["long"] != 1250*ms {
		t.Errorf("retry delays %v, want 1 s for half and 1.25 s for 0.4 of the jobs", delay)
	}
}

// Guards against a restarted entry that refuses before it has learned, and against reports
// that stay in force for longer than 500 ms.
func TestUnknownStateRefusesNothing(t *testing.T) {
	c := New(DefaultSettings())
	short := fleet(0, 0, 0, 900)
	got, of := play(c, time.Second, learnFor-10*ms, always(short), urgent, long)
	if got["long"] != of {
		t.Errorf("%d of %d jobs are admitted before the entry has learned, want all", got["long"], of)
	}
	play(c, time.Second+learnFor, time.Second, always(short), urgent, long)
	begin := 2*time.Second + learnFor
	none := func(time.Duration) (Snapshot, bool) { return Snapshot{}, false }
	play(c, begin, 400*ms, none, urgent, long)
	if !c.Scarce(begin + 400*ms) {
		t.Error("scarcity ends 400 ms after the last snapshot, want 500 ms")
	}
	if c.Scarce(begin + 600*ms) {
		t.Error("a snapshot is in force after 600 ms, want 500 ms at most")
	}
}

// Guards against a slow reaction to the begin of a burst and to its end, and against scarcity
// that begins with a single short peak.
func TestBeginAndEnd(t *testing.T) {
	c := New(DefaultSettings())
	idle, short := fleet(20_000), fleet(0, 0, 0, 900)
	play(c, time.Second, time.Second, always(idle), urgent, long)
	play(c, 2*time.Second, 50*ms, always(short), urgent, long)
	if c.Scarce(2050 * ms) {
		t.Error("scarcity begins after 50 ms")
	}
	play(c, 2050*ms, 70*ms, always(short), urgent, long)
	if !c.Scarce(2120 * ms) {
		t.Error("scarcity has not begun after 120 ms")
	}
	play(c, 2120*ms, 320*ms, always(idle), urgent, long)
	if c.Scarce(2440 * ms) {
		t.Error("scarcity has not ended after 320 ms with free capacity")
	}
}

// Guards against refusals in favour of a priority that no longer arrives.
func TestPriorityWithoutArrivalsIsForgotten(t *testing.T) {
	c := New(DefaultSettings())
	short := fleet(0, 0, 0, 900)
	play(c, time.Second, 2*time.Second, always(short), urgent, long)
	got, of := play(c, 3*time.Second, priorityExpiry+2*time.Second, always(short), long)
	if got["long"] != of {
		t.Errorf("%d of %d jobs are admitted, want all: nothing more urgent has arrived for %v", got["long"], of, priorityExpiry)
	}
}

// Guards against an entry that refuses on what it saw before it was paused or had no arrivals: one
// short peak before and one after are not scarcity, and neither is scarcity that has begun before.
func TestGapInSnapshots(t *testing.T) {
	for name, before := range map[string]time.Duration{"a short peak": 50 * ms, "scarcity": time.Second} {
		c := New(DefaultSettings())
		play(c, time.Second, time.Second, always(fleet(20_000)), urgent, long)
		play(c, 2*time.Second, before, always(fleet(0, 0, 0, 900)), urgent, long)
		got, of := play(c, 10*time.Second, 50*ms, always(fleet(0, 0, 0, 900)), urgent, long)
		if c.Scarce(10*time.Second+50*ms) || got["long"] != of {
			t.Errorf("%s 7 s ago: %d of %d jobs are admitted within 50 ms, want all", name, got["long"], of)
		}
	}
}

// Guards against waiting work that counts several times: agents report all priorities from the
// fourth on as one.
func TestLastPrioritiesCountOnce(t *testing.T) {
	c := New(DefaultSettings())
	jobs := []Job{urgent, {Queue: "a", Priority: 3, Expected: 900 * ms}, {Queue: "b", Priority: 5, Expected: 900 * ms}, {Queue: "c", Priority: 7, Expected: 900 * ms}}
	// The work of 0.08 of the capacity waits, less than the 0.1 at which scarcity begins.
	got, of := play(c, time.Second, 3*time.Second, always(fleet(0, 0, 0, 0, 72)), jobs...)
	for _, j := range jobs {
		if got[j.Queue] != of {
			t.Errorf("priority %d: %d of %d jobs are admitted, want all", j.Priority, got[j.Queue], of)
		}
	}
	if c.Scarce(4 * time.Second) {
		t.Errorf("capacity is scarce at a headroom of %.2f", c.Headroom())
	}
}

// Guards against agents of an older version, which report no size of tasks and no forecast, that
// count as idle, and against free capacity that is too small for a task.
func TestSnapshot(t *testing.T) {
	var s Snapshot
	s.Add(&wire.Load{CapacityCPU: 10_000, QueuedWork: [wire.PriorityLevels]uint32{0, 100}}, 3000)
	s.Add(&wire.Load{CapacityCPU: 20_000, TaskCPU: 4000}, 7000)
	if s.Capacity != 30_000 || s.Free != 3000+4000 {
		t.Errorf("%+v, want 7000 of 30000 free", s)
	}
	if got := s.waiting(1, 200*ms); got != 5000 {
		t.Errorf("%v waits, want 5000", got)
	}
}

// Guards against queues that starve because entries disagree: whatever the others do and an
// entry sees, it admits the floor of its own jobs.
func TestFloorHoldsAtEachEntry(t *testing.T) {
	for _, waiting := range []uint32{500, 5000, 50_000} {
		got, of := play(New(DefaultSettings()), time.Second, 3*time.Second, always(fleet(0, waiting, waiting, waiting)), urgent, middle, long)
		for _, queue := range []string{"middle", "long"} {
			if got[queue] < int(0.4*float64(of))-1 {
				t.Errorf("%d ms wait: %d of %d jobs of %s are admitted, want the floor", waiting, got[queue], of, queue)
			}
		}
	}
}

// A decision with 60 agents: the sum of their reports, the arrival and the verdict. At most
// 10 µs and no allocation.
func BenchmarkAdmit(b *testing.B) {
	c := New(DefaultSettings())
	jobs := []Job{urgent, middle, long}
	loads := make([]wire.Load, 60)
	for i := range loads {
		loads[i] = wire.Load{CapacityCPU: 64_000, TaskCPU: 5000, QueuedWork: [wire.PriorityLevels]uint32{10, 20, 900}}
	}
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		var s Snapshot
		for k := range loads {
			s.Add(&loads[k], 0)
		}
		c.Observe(now, s)
		j := jobs[i%3]
		c.Arrived(now, j)
		c.Decided(now, j, !c.Judge(now, j).Refuse)
	}
}

// Guards against a status that states other shares than jobs are admitted with, and against one
// that cannot be read before the first report.
func TestState(t *testing.T) {
	c := New(DefaultSettings())
	if s := c.State(time.Second); s.Scarce || s.Headroom != 0 || len(s.Priorities) > 0 {
		t.Errorf("state %+v before the first job", s)
	}
	c.Arrived(time.Second, urgent)
	if s := c.State(time.Second); s.Scarce || s.Priorities[0].AdmittedShare != 1 {
		t.Errorf("state %+v before the first report", s)
	}
	play(c, time.Second, 3*time.Second, always(fleet(0, 0, 120, 900)), urgent, middle, long)
	now := 4 * time.Second
	s := c.State(now)
	if !s.Scarce || s.Headroom != c.Headroom() || s.SnapshotAgeMS != 10 || len(s.Priorities) != 3 {
		t.Fatalf("state %+v", s)
	}
	for i, j := range []Job{urgent, middle, long} {
		if p := s.Priorities[i]; p.Priority != j.Priority || p.AdmittedShare != c.Judge(now, j).Share {
			t.Errorf("priority %d: %+v, jobs are admitted with %.2f", j.Priority, p, c.Judge(now, j).Share)
		}
	}
}
