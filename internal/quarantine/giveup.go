package quarantine

import (
	"time"

	"github.com/damasklb/damasklb/internal/poison"
	"github.com/damasklb/damasklb/internal/wire"
)

// maxTrialWait is how long a suspect may wait for an upstream that may run it.
const maxTrialWait = 300 * time.Millisecond

// GiveUpSuspect reports whether a job is given up that has probably crashed an upstream: its
// queue is quarantined, and no other job of the queue was under the crash, or a task of the job
// was under two. Another run would take one more of the few upstreams that the queue has.
func GiveUpSuspect(now time.Duration, d *poison.Detector, queue, job string, tasks int) bool {
	if d.Caution(now, queue) != poison.Quarantined {
		return false
	}
	for i := range tasks {
		if crashes, _ := d.Suspicion(wire.LeasedTask{Job: job, Index: uint16(i)}); crashes > 1 {
			return true
		}
	}
	return d.SoleSuspect(job)
}

// GiveUpWaiting reports whether a task is given up that has waited for an upstream that may run
// it, because it is a suspect or its queue is quarantined, and whether it is a suspect.
func (t *Task) GiveUpWaiting(now time.Duration, d *poison.Detector, waited time.Duration) (giveUp, suspect bool) {
	trial, _ := t.Trial(now, d)
	if d.Caution(now, t.Queue) != poison.Quarantined && trial != wire.TrialAlone {
		return false, false
	}
	return waited >= maxTrialWait, trial != wire.TrialNone
}
