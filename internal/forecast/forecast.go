// Package forecast predicts when an upstream has capacity for a further task.
//
// It handles loads at which upstreams are full and run times differ by an order of magnitude:
// an upstream whose cores are held by long runs releases them far more slowly than one with
// short runs, so a wait cannot be predicted from the length of a queue alone.
package forecast

import (
	"math"
	"time"
)

// Run is a run that occupies cores.
type Run struct {
	// CPU is in thousandths of a core.
	CPU int
	// Age is the time since the start, Expected the run time that is expected on this
	// upstream.
	Age, Expected time.Duration
}

const (
	// logSpread is the standard deviation of the logarithm of run time over expected run
	// time. Declared run times are off by a factor of 1.5, and the expected one is taken
	// half from them and half from the queue's mean.
	logSpread = 0.5
	// tableStep and tableEnd are the resolution and the end of the table of the distribution,
	// in multiples of the expected run time. The few runs that outlast its end are taken to
	// go on for as long again.
	tableStep = 0.05
	tableEnd  = 8.0
	// minExpected avoids a division by zero for runs without an expectation.
	minExpected = time.Millisecond
	// searchSteps is the number of bisections in the search for a time, which halve an
	// interval of a few seconds to about a millisecond.
	searchSteps = 12
	// sharedShare is the share of the occupied cores beyond which a forecast follows the
	// mean rate of release: by then most of the cores are held by runs that had not started
	// when it was made.
	sharedShare = 0.8
)

// survival holds the probability that a run lasts longer than i*tableStep times the expected
// run time.
var survival = func() []float64 {
	t := make([]float64, int(tableEnd/tableStep)+1)
	t[0] = 1
	for i := 1; i < len(t); i++ {
		t[i] = 0.5 * math.Erfc(math.Log(float64(i)*tableStep)/(logSpread*math.Sqrt2))
	}
	return t
}()

// outlasts returns the probability that a run lasts longer than a multiple of its expected
// run time.
func outlasts(multiple float64) float64 {
	i := max(multiple, 0) / tableStep
	if i >= float64(len(survival)-1) {
		return survival[len(survival)-1] * tableEnd / multiple
	}
	n := int(i)
	part := i - float64(n)
	return survival[n]*(1-part) + survival[n+1]*part
}

// releasedBy returns the cores that the runs are expected to release within a time.
func releasedBy(runs []Run, d time.Duration) float64 {
	sum := 0.0
	for _, r := range runs {
		e := float64(max(r.Expected, minExpected))
		sum += float64(r.CPU) * (1 - outlasts(float64(r.Age+d)/e)/outlasts(float64(r.Age)/e))
	}
	return sum
}

// Rate returns the mean rate at which cores are released and taken again while the upstream
// is full, in thousandths of a core per second.
func Rate(runs []Run) float64 {
	rate := 0.0
	for _, r := range runs {
		rate += float64(r.CPU) / max(r.Expected, r.Age, minExpected).Seconds()
	}
	return rate
}

// Until returns the expected time until the runs have released the given cores, in
// thousandths.
func Until(runs []Run, cpu int) time.Duration {
	if cpu <= 0 || len(runs) == 0 {
		return 0
	}
	total, longest := 0, time.Duration(0)
	for _, r := range runs {
		total += r.CPU
		longest = max(longest, r.Expected, r.Age)
	}
	near := min(float64(cpu), sharedShare*float64(total))
	low, high := time.Duration(0), 4*longest
	for range searchSteps {
		middle := (low + high) / 2
		if releasedBy(runs, middle) >= near {
			high = middle
		} else {
			low = middle
		}
	}
	if rest := float64(cpu) - near; rest > 0 {
		high += time.Duration(rest / Rate(runs) * float64(time.Second))
	}
	return high
}
