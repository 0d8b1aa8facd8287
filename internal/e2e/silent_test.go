package e2e

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/rig"
)

// silentBound is the time within which a silent link is replaced while tasks
// run. silentSlack is for the task itself, and for the race detector on a
// machine with other work.
const (
	silentBound = time.Second
	silentSlack = 500 * time.Millisecond
)

// Guards against answers that wait for a link on which nothing arrives any
// more, in both directions or in one, while new connections work.
func TestSilentLinksAreReplaced(t *testing.T) {
	r := start(t, func(o *rig.Options) { o.Relays = true })
	directions := []struct {
		name string
		drop rig.Direction
	}{{"both", rig.Both}, {"to-entry", rig.ToServer}, {"from-entry", rig.ToClient}}
	for _, d := range directions {
		t.Run(d.name, func(t *testing.T) {
			finish := background(t, prefixed(loadOf(r, 50, 4*time.Second), d.name))
			time.Sleep(time.Second)
			for _, relay := range r.Relays {
				if relay.Silence(d.drop) == 0 {
					t.Error("no flow to silence")
				}
			}
			report, jobs := finish()
			checkSafe(t, r, report, jobs)
			if report.ShareServed() < 1 {
				t.Errorf("answers: %v %v", report.Statuses, report.Problems)
			}
			limit := silentBound + silentSlack
			if worst := time.Duration(report.ResponseMS.Max * float64(time.Millisecond)); worst > limit {
				t.Errorf("slowest answer took %s, allowed are %s", worst, limit)
			}
		})
	}
}
