package e2e

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/rig"
)

// Guards against a break anywhere on the path from a caller to an upstream and
// back, through an entry that owns the key and through those that do not.
func TestWholePathThroughEachEntry(t *testing.T) {
	r := start(t, nil)
	for i, url := range r.URLs() {
		for k := range 8 {
			a := submit(url, fmt.Sprintf("path-%d-%d", i, k), jobOf(3, 10*time.Millisecond, 5*time.Second))
			if a.err != nil || a.status != 200 {
				t.Fatalf("entry %d: status %d %s %v", i, a.status, a.body, a.err)
			}
		}
	}
	t.Run("copies at three entries at once", func(t *testing.T) { copiesAtOnce(t, r) })
}

// Guards against a second start or a different answer when the copies of a job
// arrive at different entries at the same time.
func copiesAtOnce(t *testing.T, r *rig.Rig) {
	const rounds = 20
	for round := range rounds {
		answers := make([]answer, len(r.URLs()))
		var all sync.WaitGroup
		for i, url := range r.URLs() {
			all.Add(1)
			go func() {
				defer all.Done()
				answers[i] = submit(url, fmt.Sprintf("copy-%d", round), jobOf(4, 30*time.Millisecond, 5*time.Second))
			}()
		}
		all.Wait()
		for _, a := range answers {
			if a.status != 200 || !bytes.Equal(a.body, answers[0].body) {
				t.Fatalf("round %d: status %d, answers %q and %q, error %v", round, a.status, a.body, answers[0].body, a.err)
			}
		}
	}
	if double := rig.DuplicateStarts(r.StartCounts()); len(double) > 0 {
		t.Fatalf("tasks started twice: %v", double)
	}
}
