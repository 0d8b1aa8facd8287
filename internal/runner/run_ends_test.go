package runner

import (
	"testing"
	"time"
)

// startRun assigns a task of entryA and confirms its start.
func startRun(t *testing.T, r *Runner, now time.Duration, job string) {
	t.Helper()
	assign(r, now, entryA, job, nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	r.Started(now, attemptOf(job, 1), StartAnswer{Outcome: StartAccepted})
	r.TakeEffects()
}

func finalReports(r *Runner) []Report {
	var out []Report
	for _, m := range effects[Report](r) {
		if m.State.Final() {
			out = append(out, m)
		}
	}
	return out
}

// Guards against a run that is given up, and started elsewhere, within its lease because its
// upstream refuses connections for a while.
func TestRefusedConnectionDoesNotEndRunsWithinTheirLease(t *testing.T) {
	r := newReady(t)
	startRun(t, r, begin, "j1")
	if request := r.NextListRequest(begin + 50*time.Millisecond); request.LeaseEndMS == 0 {
		t.Fatal("the lease is not renewed")
	}
	r.UpstreamEnded(begin + 60*time.Millisecond)
	if reports := finalReports(r); len(reports) != 0 {
		t.Errorf("the run was reported as ended %v before its lease ends: %v", r.settings.Lease-10*time.Millisecond, reports)
	}
}
