package broker

import (
	"testing"
	"time"
)

// Guards against callers that were refused together and return at the same moment: delays above
// maxRetryAfter were all cut to it.
func TestLongRetryDelaysAreSpread(t *testing.T) {
	b := newRig(t).b
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		shortest, longest := maxRetryAfter, time.Duration(0)
		for range 200 {
			got := b.jitter(d)
			shortest, longest = min(shortest, got), max(longest, got)
		}
		if longest > maxRetryAfter || longest-shortest < shortest*2/5 {
			t.Errorf("delays of %v: from %v to %v, want a spread of half and at most %v", d, shortest, longest, maxRetryAfter)
		}
	}
}
