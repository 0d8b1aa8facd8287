package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

func crashes(r *Runner) []UpstreamCrashed { return effects[UpstreamCrashed](r) }

// Guards against crashes that leave no record, or one per observation: the refused
// connection, the heartbeat and the list of the next incarnation.
func TestCrashIsRecordedOnceWithItsRuns(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	assign(r, begin, entryA, "j2", nil)
	r.ListReceived(begin+time.Millisecond, RunList{RequestedAt: begin + time.Millisecond, ClockMS: 501, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1), attemptOf("j2", 1)}})
	r.TakeEffects()
	now := begin + 30*time.Millisecond
	r.ConnectionRefused(now, now, incarnation)
	got := crashes(r)
	if len(got) != 1 || got[0].Upstream.StartMS != incarnation.StartMS || len(got[0].Runs) != 2 || got[0].Runs[0].AgeMS != 30 {
		t.Fatalf("crashes %+v, want one of %v with two runs of 30 ms", got, incarnation)
	}
	next := UpstreamID{ID: incarnation.ID, StartMS: incarnation.StartMS + 3000}
	r.Announce(now+3*time.Second, Announcement{UpstreamID: next, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.ListReceived(now+3*time.Second, RunList{RequestedAt: now + 3*time.Second, ClockMS: 500, StartMS: next.StartMS})
	if got := crashes(r); len(got) != 0 {
		t.Errorf("crashes %+v, want none for the return", got)
	}
}

// Guards against a silent crash without a record: the leases of its runs expire before the
// next incarnation shows that the upstream has crashed.
func TestCrashOfSilentUpstreamNamesLapsedRuns(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.ListFailed(begin + 5*time.Second)
	r.TakeEffects()
	next := UpstreamID{ID: incarnation.ID, StartMS: incarnation.StartMS + 3000}
	r.ListReceived(begin+6*time.Second, RunList{RequestedAt: begin + 6*time.Second, ClockMS: 500, StartMS: next.StartMS})
	if got := crashes(r); len(got) != 1 || len(got[0].Runs) != 1 || got[0].Runs[0].Attempt != attemptOf("j1", 1) {
		t.Errorf("crashes %+v, want one with the run of j1", got)
	}
}

// Guards against an upstream that leaves, or was only silent, being recorded as crashed.
func TestLeavingOrSilentUpstreamHasNotCrashed(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.ListFailed(begin + 5*time.Second)
	r.ListReceived(begin+6*time.Second, RunList{RequestedAt: begin + 6*time.Second, ClockMS: 500, StartMS: incarnation.StartMS})
	r.UpstreamLeaving(begin+6*time.Second, incarnation.ID)
	r.ConnectionRefused(begin+7*time.Second, begin+7*time.Second, incarnation)
	if got := crashes(r); len(got) != 0 {
		t.Errorf("crashes %+v, want none", got)
	}
}

// Guards against two suspects on one upstream, whose crash then shows neither.
func TestSuspectsOfDifferentJobsRunApart(t *testing.T) {
	r := newReady(t)
	suspect := func(trial wire.Trial) func(*wire.Assign) {
		return func(m *wire.Assign) { m.Trial, m.TrialMS = trial, 100 }
	}
	assign(r, begin, entryA, "j1", suspect(wire.TrialAlone))
	assign(r, begin, entryA, "j2", suspect(wire.TrialBesideOthers))
	if got := lastReport(t, r); got.Reason != "trial-limit" {
		t.Errorf("second suspect: %v %q, want refused", got.State, got.Reason)
	}
	if got := r.Load(begin, entryA).Trial; got != wire.TrialAlone {
		t.Errorf("load shows trial %d, want alone", got)
	}
	// The run outlives its trial.
	later := begin + 101*time.Millisecond
	assign(r, later, entryA, "j3", func(m *wire.Assign) { suspect(wire.TrialApart)(m); m.CPU = 1000 })
	if got := lastReport(t, r); got.State != wire.RunStarted {
		t.Errorf("suspect after the trial: %v %q, want started", got.State, got.Reason)
	}
}

// Guards against an entry that connects after a crash and never hears of it.
func TestCrashesAreSentOnEachLinkOnce(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.Queue = "q" })
	r.ConnectionRefused(begin+time.Millisecond, begin+time.Millisecond, incarnation)
	for _, id := range []EntryID{entryA, entryB} {
		r.Connected(begin+time.Second, id)
		got := r.TakeCrashes(begin+time.Second, id)
		if len(got) != 1 || len(got[0].Runs) != 1 || got[0].Runs[0].Queue != "q" || got[0].SinceMS != 999 {
			t.Errorf("entry %v gets %+v, want the crash with the run of j1", id, got)
		}
		if again := r.TakeCrashes(begin+time.Second, id); len(again) != 0 {
			t.Errorf("entry %v gets the crash twice", id)
		}
	}
}
