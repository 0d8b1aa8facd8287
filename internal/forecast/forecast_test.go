package forecast

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// Guards against waits that are predicted from the length of a queue alone: the same eleven
// occupied slots come free ten times more slowly if their runs last ten times longer.
func TestLongRunsReleaseSlowly(t *testing.T) {
	runs := func(expected time.Duration) []Run {
		var out []Run
		for i := range 11 {
			out = append(out, Run{CPU: 5600, Age: expected * time.Duration(i) / 11, Expected: expected})
		}
		return out
	}
	short, long := Until(runs(90*time.Millisecond), 5600), Until(runs(900*time.Millisecond), 5600)
	if ratio := float64(long) / float64(short); ratio < 8 || ratio > 12 {
		t.Errorf("%v and %v, ratio %.1f, want about 10", short, long, ratio)
	}
}

// Guards against forecasts that are wrong in the mean: the time until k of eleven slots have
// come free is compared with simulated run times of the assumed spread.
func TestForecastMatchesSimulatedRuns(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, k := range []int{1, 3, 6} {
		var predicted, actual float64
		const samples = 400
		for range samples {
			var runs []Run
			var ends []float64
			for len(runs) < 11 {
				expected := []float64{0.06, 0.2, 0.9}[rng.Intn(3)]
				// A long run is more likely to be met than a short one, by its length.
				lasts := expected * math.Exp(logSpread*rng.NormFloat64()+logSpread*logSpread)
				age := rng.Float64() * lasts
				runs = append(runs, Run{CPU: 1000, Age: time.Duration(age * 1e9), Expected: time.Duration(expected * 1e9)})
				ends = append(ends, lasts-age)
			}
			predicted += Until(runs, 1000*k).Seconds() / samples
			actual += kth(ends, k) / samples
		}
		t.Logf("%d slots: predicted %.1f ms, simulated %.1f ms", k, predicted*1000, actual*1000)
		if predicted < actual/1.5 || predicted > actual*1.5 {
			t.Errorf("%d slots: predicted %.1f ms, simulated %.1f ms", k, predicted*1000, actual*1000)
		}
	}
}

func kth(values []float64, k int) float64 {
	for range k - 1 {
		least := 0
		for i, v := range values {
			if v < values[least] {
				least = i
			}
		}
		values[least] = math.Inf(1)
	}
	least := math.Inf(1)
	for _, v := range values {
		least = min(least, v)
	}
	return least
}

// Guards against a forecast that does not grow with what waits ahead.
func TestForecastGrowsWithTheQueue(t *testing.T) {
	runs := []Run{{CPU: 4000, Expected: 200 * time.Millisecond}, {CPU: 4000, Age: 100 * time.Millisecond, Expected: 200 * time.Millisecond}}
	last := time.Duration(0)
	for cpu := 1000; cpu < 100_000; cpu *= 2 {
		w := Until(runs, cpu)
		if w <= last {
			t.Errorf("%d: %v after %v", cpu, w, last)
		}
		last = w
	}
	// 80 cores at 8 cores in 200 ms.
	if w := Until(runs, 80_000); w < time.Second || w > 3*time.Second {
		t.Errorf("80 cores of work ahead wait %v, want about 2 s", w)
	}
	if Until(nil, 1000) != 0 || Until(runs, 0) != 0 {
		t.Error("nothing to wait for takes time")
	}
}

func BenchmarkUntil(b *testing.B) {
	var runs []Run
	for i := range 17 {
		runs = append(runs, Run{CPU: 5600, Age: time.Duration(i) * 20 * time.Millisecond, Expected: 400 * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		Until(runs, 11_200)
	}
}
