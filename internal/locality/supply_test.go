package locality

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var testKey = Key{Service: "s", Rack: "r"}

func observed() *Supply {
	s := &Supply{}
	s.Observe(time.Second, testKey, RackReport{CapacityCPU: 64_000, OtherCPU: 192_000, OtherUsedCPU: 96_000})
	return s
}

// Guards against waits at a hot spot: where half of the tasks find no place on the rack, a
// place that one task takes is lost for another.
func TestHotSpotLeavesNoGain(t *testing.T) {
	s := observed()
	now := time.Second
	for i := range 200 {
		now += 5 * ms
		s.Placed(now, testKey, i%2 == 0, 100*ms)
	}
	if g := s.ShareForAll(now, testKey, 2000); g > 0.05 {
		t.Errorf("share of the gain for all is %.3f at a hot spot, want next to none", g)
	}
	for range 1500 {
		now += 10 * ms
		s.Placed(now, testKey, true, 300*ms)
	}
	if g := s.ShareForAll(now, testKey, 2000); g < 0.9 {
		t.Errorf("share of the gain for all is %.3f after 15 s in which all tasks found room, want nearly all", g)
	}
	if m := s.MeanRun(now, testKey); m < 290*ms || m > 300*ms {
		t.Errorf("mean run time %v after 15 s with tasks of 300 ms, want about that", m)
	}
}

// Guards against a release rate that is off: 32 tasks of 320 ms release one task in 10 ms.
func TestReleaseIsLearned(t *testing.T) {
	s := observed()
	if r := s.Release(time.Second, testKey, 2000, 0); r >= 0 {
		t.Errorf("release in %v before anything has ended, want unknown", r)
	}
	now := time.Second
	for range 400 {
		now += 10 * ms
		s.Released(now, testKey, 2000)
	}
	if r := s.Release(now, testKey, 2000, 0); math.Abs(float64(r-10*ms)) > float64(ms) {
		t.Errorf("release in %v, want 10 ms", r)
	}
	if r := s.Release(now, testKey, 2000, 4000); math.Abs(float64(r-30*ms)) > float64(3*ms) {
		t.Errorf("release after two other tasks in %v, want 30 ms", r)
	}
	if r := s.Release(now+10*time.Second, testKey, 2000, 0); r >= 0 {
		t.Errorf("release in %v long after the last one, want unknown", r)
	}
}

// Guards against predictions that stay short although tasks wait longer.
func TestWaitsAreCorrected(t *testing.T) {
	s := observed()
	now := time.Second
	for range 200 {
		now += 5 * ms
		s.Waited(now, testKey, false, 20*ms, 100*ms)
	}
	if w := s.Wait(now, testKey, 20*ms, -1); w < 85*ms || w > 105*ms {
		t.Errorf("predicted wait %v, want about the 100 ms that tasks have waited", w)
	}
	if w := s.Wait(now+10*time.Second, testKey, 20*ms, 20*ms); math.Abs(float64(w-10*ms)) > float64(ms)/10 {
		t.Errorf("predicted wait %v at two equal sources of capacity, want half of one", w)
	}
}

// Guards against a price at low load, where others lose nothing, and none near the capacity.
func TestPriceGrowsWithTheLoad(t *testing.T) {
	last := -1.0
	for _, used := range []int{0, 96_000, 154_000, 173_000, 182_000, 192_000} {
		s := &Supply{}
		s.Observe(time.Second, testKey, RackReport{CapacityCPU: 64_000, OtherCPU: 192_000, OtherUsedCPU: used})
		p := s.Price(testKey, 2000)
		if p < last || math.IsInf(p, 0) || (used <= 96_000 && p > 0.01) {
			t.Errorf("price %.3f at %d of 192000 used, after %.3f", p, used, last)
		}
		last = p
	}
	if last < 1 {
		t.Errorf("price %.3f at the capacity, want more than the time itself", last)
	}
}

// Guards against the configured factor being used where runs show another one.
func TestFactorIsLearned(t *testing.T) {
	r := Runs{}
	if f := r.Factor(1.5); math.Abs(f-1.5) > 1e-9 {
		t.Errorf("factor %.2f without runs, want the configured one", f)
	}
	for range 200 {
		r.Add(true, 1.1)
		r.Add(false, 3.3)
	}
	if f := r.Factor(1.5); math.Abs(f-3) > 0.15 {
		t.Errorf("factor %.2f, want 3", f)
	}
	if f := (&Runs{}).Factor(0); f != 1 {
		t.Errorf("factor %.2f without a configured one, want 1", f)
	}
}

// Guards against memory that grows with the names of racks that callers make up.
func TestUnusedRacksAreForgotten(t *testing.T) {
	s := Supply{}
	for i := range 3 * maxRacks {
		s.ShareForAll(time.Second, Key{"s", fmt.Sprint(i)}, 1)
	}
	if n := len(s.Keys()); n > maxRacks {
		t.Errorf("%d racks are known, want %d at most", n, maxRacks)
	}
	s.Forget(2 * forgetAfter)
	if n := len(s.Keys()); n != 0 {
		t.Errorf("%d racks are known, want none", n)
	}
}
