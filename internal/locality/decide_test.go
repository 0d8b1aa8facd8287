package locality

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// unset stands for an Input.Within that follows from Left, the time left for a wait.
const unset = -time.Hour

// base is a task of 100 ms whose rack is full and that runs twice as long elsewhere.
func base() Input {
	return Input{
		Now: time.Second, Near: Option{Usable: true, Wait: 20 * ms, Run: 100 * ms}, Far: Option{Usable: true, Run: 200 * ms},
		Release: -1, Left: time.Second, Within: unset, Expected: 100 * ms, NearLoad: 0.85, ShareForAll: 1, MaxWait: time.Second,
	}
}

// Guards against each wrong choice between the rack and other capacity.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Input)
		want   Action
		reason string
	}{
		{"nothing can take the task", func(in *Input) { in.Near, in.Far = Option{}, Option{} }, Unplaceable, ReasonNoUpstream},
		{"the rack is gone", func(in *Input) { in.Near = Option{} }, Far, ReasonRackGone},
		{"only the rack is left", func(in *Input) { in.Far = Option{} }, QueueNear, ReasonOnlyRack},
		{"the rack is free", func(in *Input) { in.Near.Wait = 0 }, NearNow, ReasonRackFree},
		{"a short wait", func(in *Input) {}, QueueNear, ReasonWaitPays},
		{"a long wait", func(in *Input) { in.Near.Wait = 150 * ms }, Far, ReasonWaitTooLong},
		{"a long wait while others need the capacity", func(in *Input) { in.Near.Wait, in.Price = 150*ms, 0.5 }, QueueNear, ReasonWaitPays},
		{"a hot spot", func(in *Input) { in.ShareForAll = 0.05 }, Far, ReasonWaitTooLong},
		{"a short task where not all tasks find room", func(in *Input) { in.ShareForAll, in.MeanRun = 0.7, 300*ms }, QueueNear, ReasonWaitPays},
		{"a long task there", func(in *Input) { in.ShareForAll, in.MeanRun = 0.7, 30*ms }, Far, ReasonWaitTooLong},
		{"a task of mean length on a slow rack there", func(in *Input) {
			in.ShareForAll, in.MeanRun, in.Near.Run, in.Far.Run, in.Near.Wait = 0.7, 100*ms, 200*ms, 400*ms, 40*ms
		}, QueueNear, ReasonWaitPays},
		{"a very long task where most find room", func(in *Input) { in.ShareForAll, in.MeanRun, in.Near.Wait = 0.9, 5*ms, ms }, QueueNear, ReasonWaitPays},
		{"a long task where all find room", func(in *Input) { in.MeanRun = 30 * ms }, QueueNear, ReasonWaitPays},
		{"the rack is slow or fails", func(in *Input) { in.Near.Wait, in.Near.Penalty = 0, 300*ms }, Far, ReasonRackSlow},
		{"the wait exceeds the bound", func(in *Input) { in.MaxWait = 10 * ms }, Far, ReasonWaitTooLong},
		{"the bound is used up", func(in *Input) { in.MaxWait = 0 }, Far, ReasonWaitTooLong},
		{"the job is late after the wait, off the rack as well", func(in *Input) { in.Left = 110 * ms }, Far, ReasonWaitTooLong},
		{"only the rack is in time", func(in *Input) { in.Left = 90 * ms; in.Near.Wait = 80 * ms }, QueueNear, ReasonOnlyOnTime},
		{"nothing is in time", func(in *Input) { in.Left = 10 * ms }, Far, ReasonWaitTooLong},
		{"a hot spot at admission, where off-rack runs are on time", func(in *Input) { in.ShareForAll, in.Left, in.Within = 0.05, 30*ms, 260*ms }, Far, ReasonWaitTooLong},
		{"the job is late on the rack as well", func(in *Input) { in.ShareForAll, in.Left, in.Within = 0.05, 30*ms, 110*ms }, Far, ReasonWaitTooLong},
		{"a slow rack, after which an off-rack run is late", func(in *Input) {
			in.Near.Run, in.Left, in.Within, in.ShareForAll, in.Price = 160*ms, 112*ms, 212*ms, 1, 1
		}, Far, ReasonWaitTooLong},
		{"no time to move off the rack after the wait", func(in *Input) { in.Within, in.MoveTime = 250*ms, 31*ms }, Far, ReasonWaitTooLong},
		{"an off-rack run that is barely on time", func(in *Input) { in.ShareForAll, in.Left, in.Within, in.MoveTime = 0.05, 33*ms, 210*ms, 25*ms }, QueueNear, ReasonOnlyOnTime},
		{"time enough to move off the rack", func(in *Input) { in.Within, in.MoveTime = 250*ms, 30*ms }, QueueNear, ReasonWaitPays},
		{"another task ends later anyway", func(in *Input) { in.JobEnd = 900 * ms; in.Near.Wait = 150 * ms }, QueueNear, ReasonWaitPays},
		{"both are busy", func(in *Input) { in.Near.Wait, in.Far.Wait = 300*ms, 400*ms; in.Left = 50 * ms }, QueueNear, ReasonAllBusy},
		{"both are busy, with time left", func(in *Input) { in.Near.Wait, in.Far.Wait = 100*ms, 10*ms }, QueueNear, ReasonAllBusy},
		{"both are busy, the rack longer", func(in *Input) { in.Near.Wait, in.Far.Wait = 111*ms, 10*ms }, Far, ReasonWaitTooLong},
		{"the rack releases capacity soon", func(in *Input) { in.Near.Wait, in.Release = 150*ms, 20*ms }, Hold, ReasonReleaseSoon},
		{"a group needs more than that", func(in *Input) { in.Near.Wait, in.Release, in.Together = 150*ms, 20*ms, 3 }, Far, ReasonWaitTooLong},
		{"no hold while others wait", func(in *Input) { in.Near.Wait, in.Release, in.Far.Wait = 300*ms, 20*ms, ms }, Far, ReasonWaitTooLong},
		{"the hold is over", func(in *Input) { in.Near.Wait, in.Release, in.HoldUntil = 150*ms, 20*ms, time.Second }, Far, ReasonHoldOver},
	} {
		in := base()
		c.change(&in)
		if in.Within == unset {
			in.Within = in.Left + in.Near.Run
		}
		if d := Decide(in); d.Action != c.want || d.Reason != c.reason {
			t.Errorf("%s: %+v, want %v %s", c.name, d, c.want, c.reason)
		}
	}
}

// Guards against a task that waits past the point from which a run off the rack is late, in
// a grid of inputs, and against a wait beyond the bound.
func TestWaitEndsWhileOffRackRunsAreOnTime(t *testing.T) {
	waits := 0
	for wait := time.Duration(1); wait < 400*ms; wait += 7 * ms {
		for left := -10 * ms; left < 600*ms; left += 13 * ms {
			for _, price := range []float64{0, 1, 8} {
				for _, farWait := range []time.Duration{0, 50 * ms} {
					in := base()
					in.Near.Wait, in.Release, in.Left, in.Price, in.MaxWait, in.Far.Wait = wait, wait/2, left, price, 300*ms, farWait
					in.Within = left + in.Near.Run
					d := Decide(in)
					if d.Action != QueueNear && d.Action != Hold {
						continue
					}
					waits++
					spare := left - farWait - (in.Far.Run - in.Near.Run)
					// Without any time left and free capacity, the task waits where it ends first.
					late := left <= 0 && farWait > 0
					if w := d.Until - in.Now; w > in.MaxWait || (w > left && !late) || (spare >= 0 && w > spare) {
						t.Fatalf("wait of %v with %v left until off-rack runs are late, %v in all: %+v", w, spare, left, in)
					}
					if d.Action == Hold && spare < 0 {
						t.Fatalf("held although off-rack runs are late: %+v", in)
					}
				}
			}
		}
	}
	if waits == 0 {
		t.Error("no input led to a wait")
	}
}

// The cost of a decision; it must not allocate.
func BenchmarkDecide(b *testing.B) {
	in, s, key := base(), Supply{}, Key{"s", "r"}
	s.Observe(time.Second, key, RackReport{CapacityCPU: 64_000, OtherCPU: 640_000, OtherUsedCPU: 500_000})
	b.ReportAllocs()
	for range b.N {
		in.ShareForAll, in.Price = s.ShareForAll(in.Now, key, 2000), s.Price(key, 2000)
		in.Release = s.Release(in.Now, key, 2000, 0)
		Decide(in)
	}
}
