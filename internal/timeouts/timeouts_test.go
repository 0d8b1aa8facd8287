package timeouts

import (
	"math/rand"
	"testing"
	"time"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

// usualTimeout draws a timeout of two seconds and more, as callers have who give a job the time
// that it usually takes and a second and a half.
func usualTimeout(r *rand.Rand) time.Duration {
	return 1900*ms + time.Duration(r.ExpFloat64()*float64(300*ms))
}

func learn(u *Usual, r *rand.Rand, n int) (wrong int) {
	for range n {
		if u.Submitted("q", usualTimeout(r)) > 0 {
			wrong++
		}
	}
	return wrong
}

// Guards against new jobs that pass for ones that were submitted again.
func TestNewJobsHaveNotWaited(t *testing.T) {
	var u Usual
	if wrong := learn(&u, rand.New(rand.NewSource(1)), 10_000); wrong > 10 {
		t.Errorf("%d of 10000 new jobs pass for old ones", wrong)
	}
	if u.Submitted("q", 0) != 0 || u.Submitted("other", second) != 0 {
		t.Error("a job without a timeout, or of an unknown queue, passes for an old one")
	}
}

// Guards against jobs that were lost 1.3 s ago and pass for new ones, also after several seconds in
// which most submissions are such jobs.
func TestLostJobsAreRecognized(t *testing.T) {
	var u Usual
	r := rand.New(rand.NewSource(2))
	learn(&u, r, 5000)
	recognized, wrong := 0, 0
	for range 1000 {
		if w := u.Submitted("q", usualTimeout(r)-1300*ms); w > 600*ms && w <= 1300*ms {
			recognized++
		}
		if r.Intn(3) == 0 && u.Submitted("q", usualTimeout(r)) > 0 {
			wrong++
		}
	}
	if recognized < 800 || wrong > 5 {
		t.Errorf("%d of 1000 old jobs are recognized, %d new ones pass for old", recognized, wrong)
	}
}

// Guards against a time that callers are said to have waited although they have not: it has to
// be a lower bound.
func TestWaitedIsALowerBound(t *testing.T) {
	var u Usual
	r := rand.New(rand.NewSource(3))
	learn(&u, r, 5000)
	above := 0
	for range 2000 {
		waited := time.Duration(r.Int63n(int64(1900 * ms)))
		if w := u.Submitted("q", usualTimeout(r)-waited); w > waited+50*ms {
			above++
		}
	}
	if above > 20 {
		t.Errorf("the time is too long for %d of 2000 jobs", above)
	}
}

// Guards against callers that wait less from some day on and are taken for late ones for ever.
func TestShorterTimeoutsAreLearned(t *testing.T) {
	var u Usual
	r := rand.New(rand.NewSource(4))
	learn(&u, r, 5000)
	for range 20 * memory {
		u.Submitted("q", usualTimeout(r)/2)
	}
	if w := u.Submitted("q", 1100*ms); w != 0 {
		t.Errorf("callers with shorter timeouts are said to have waited %v", w)
	}
}

// Guards against a process that knows nothing after a restart, and against one wrong process that
// misleads the others.
func TestRestoredTimeoutsCount(t *testing.T) {
	var before, u Usual
	learn(&before, rand.New(rand.NewSource(5)), 5000)
	l := before.Learned()
	u.Restore([]map[string]time.Duration{l, {"q": time.Hour}, l, {"q": -1}})
	if w := u.Submitted("q", 700*ms); w < second {
		t.Errorf("waited %v, want more than a second", w)
	}
	if got := u.Learned()["q"]; got != l["q"] {
		t.Errorf("after a restart %v is kept, want %v: a second restart would lose it", got, l["q"])
	}
	if wrong := learn(&u, rand.New(rand.NewSource(6)), 1000); wrong > 5 {
		t.Errorf("%d of 1000 new jobs pass for old ones", wrong)
	}
}
