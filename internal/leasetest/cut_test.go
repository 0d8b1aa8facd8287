package leasetest

import (
	"fmt"
	"testing"
	"time"
)

// cutWithALeavingCaller plays one fault: an entry is cut off while it runs a job, the caller
// leaves during the cut and submits the job again at the other entry. The close of its
// connection is lost, or arrives within healTime after the cut like the links' messages.
func cutWithALeavingCaller(seed int64, cut, left, runTime time.Duration, lost bool) string {
	w := newWorld(seed, 2, 3)
	w.enable(cutEntries, resubmissions)
	if lost {
		w.enable(lostInCut)
	}
	w.run(500 * time.Millisecond)
	e := w.entries[0]
	j := &clientJob{id: "job", done: map[int]bool{}, tasks: []taskSpec{{cpu: 1000, runTime: runTime}}}
	w.jobs[j.id] = j
	w.submit(j, e)
	w.run(50 * time.Millisecond)
	e.cutUntil, e.cutLength = w.now+cut, cut
	w.after(left, func() { w.disconnectCaller(j) })
	w.run(cut + 6*time.Second)
	w.checkAllEnded()
	return w.failure
}

// Guards against an entry that starts a task again after it was cut off, although the caller
// has left meanwhile and another entry runs the job.
func TestEntryBackFromACutRestartsNoJobOfACallerThatLeft(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		lost bool
	}{{"close-held-up", false}, {"close-lost", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, cut := range []time.Duration{600, 900, 1200, 1800, 3000} {
				for _, runTime := range []time.Duration{300, 900, 2500} {
					checkCuts(t, cut*time.Millisecond, runTime*time.Millisecond, c.lost)
				}
			}
		})
	}
}

// checkCuts plays cuts of one length in which the caller leaves at different times.
func checkCuts(t *testing.T, cut, runTime time.Duration, lost bool) {
	t.Helper()
	const plays = 20
	var failures []string
	for seed := range int64(plays) {
		left := time.Duration(seed+1) * cut / (plays + 1)
		if failure := cutWithALeavingCaller(seed, cut, left, runTime, lost); failure != "" {
			failures = append(failures, fmt.Sprintf("seed %d: %s", seed, failure))
		}
	}
	if len(failures) > 0 {
		t.Errorf("cut of %v, run of %v: %d of %d fail, e.g. %s", cut, runTime, len(failures), plays, failures[0])
	}
}

// Guards against two runs of a task at a time, and the other violations of the random model, if
// entries are cut off from agents and callers, of whom some leave meanwhile.
func TestInvariantsWithEntriesCutOff(t *testing.T) {
	t.Parallel()
	for _, hazards := range [][]hazard{{cutEntries}, {cutEntries, resubmissions, slowEntries}} {
		for seed := range int64(60) {
			if _, failure := simulateHazards(seed, true, hazards); failure != "" {
				t.Errorf("%v, seed %d: %s", hazards, seed, failure)
			}
		}
	}
}

// Guards against two runs of a task at a time if the close of its caller's connection is lost while
// the entry is out of touch too shortly to notice, or only with its callers.
func TestCloseLostUnnoticedLeavesNoSecondRun(t *testing.T) {
	t.Parallel()
	checkCuts(t, 250*time.Millisecond, 2500*time.Millisecond, true)
}
