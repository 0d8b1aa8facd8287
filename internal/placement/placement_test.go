package placement

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against slow upstreams that stay idle while tasks wait for fast ones, and against
// a slow upstream that makes a job late.
func TestFreeUpstreamThatIsFastEnoughComesFirst(t *testing.T) {
	fastBusy := Candidate{Wait: 40 * ms, Run: 100 * ms}
	slowFree := Candidate{Run: 270 * ms}
	if !slowFree.Better(fastBusy, 280*ms) {
		t.Error("the task waits although it would end on time at once")
	}
	if !fastBusy.Better(slowFree, 260*ms) {
		t.Error("the task goes to an upstream where it ends late")
	}
}

// Guards against a preference for slow upstreams while fast ones are free.
func TestFastestFreeUpstreamComesFirst(t *testing.T) {
	fast, slow := Candidate{Run: 100 * ms}, Candidate{Run: 160 * ms}
	if !fast.Better(slow, time.Second) || slow.Better(fast, time.Second) {
		t.Error("the slow upstream comes first")
	}
}

// Guards against a failing or stuck upstream that is used because it is free.
func TestFreeUpstreamOutOfOrderComesLast(t *testing.T) {
	busy := Candidate{Wait: 100 * ms, Run: 100 * ms}
	for name, c := range map[string]Candidate{
		"failing": {Run: 100 * ms, Failing: time.Second},
		"stuck":   {Run: 100 * ms, Stuck: time.Second},
		"avoided": {Run: 100 * ms, Avoided: time.Second},
	} {
		if !busy.Better(c, 300*ms) {
			t.Errorf("a %s upstream comes before one with a wait", name)
		}
	}
}

// Guards against an order that depends on who is compared first.
func TestOrderIsConsistent(t *testing.T) {
	all := []Candidate{{Run: 100 * ms}, {Wait: ms, Run: 50 * ms}, {Run: 400 * ms}, {Wait: 300 * ms, Run: 50 * ms}}
	for _, a := range all {
		for _, b := range all {
			if a != b && a.Better(b, 300*ms) == b.Better(a, 300*ms) {
				t.Errorf("%+v and %+v have no order", a, b)
			}
		}
	}
}
