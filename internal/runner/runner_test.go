package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

const begin = time.Hour

var (
	entryA      = EntryID{Host: "a", Incarnation: "1"}
	entryB      = EntryID{Host: "b", Incarnation: "1"}
	incarnation = UpstreamID{ID: "u", StartMS: 7}
)

// newStrict returns a runner without an upstream, for which a violated invariant ends
// the test.
func newStrict(t *testing.T) *Runner {
	t.Helper()
	before := invariant.SetStrict(true)
	t.Cleanup(func() { invariant.SetStrict(before) })
	return New(DefaultSettings(1300*time.Millisecond, time.Second))
}

// newReady returns a runner whose upstream has 10 cores and runs nothing.
func newReady(t *testing.T) *Runner {
	t.Helper()
	r := newStrict(t)
	r.SetToken(1)
	r.Connected(begin, entryA)
	r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	r.ListReceived(begin, RunList{RequestedAt: begin, ClockMS: 500, StartMS: incarnation.StartMS})
	r.TakeEffects()
	return r
}

func attemptOf(job string, run uint64) wire.LeasedAttempt {
	return wire.LeasedAttempt{Task: wire.LeasedTask{Job: job}, Run: run}
}

func assign(r *Runner, now time.Duration, id EntryID, job string, change func(*wire.Assign)) {
	m := wire.Assign{Attempt: attemptOf(job, 1), Service: "s", CPU: 4000, MemMB: 10, ExpectedMS: 100,
		EchoMS: uint64(now / time.Millisecond)}
	if change != nil {
		change(&m)
	}
	r.Assign(now, id, m)
}

// effects returns the effects of one type.
func effects[T Effect](r *Runner) []T {
	var out []T
	for _, e := range r.TakeEffects() {
		if m, ok := e.(T); ok {
			out = append(out, m)
		}
	}
	return out
}

func lastReport(t *testing.T, r *Runner) Report {
	t.Helper()
	reports := effects[Report](r)
	if len(reports) == 0 {
		t.Fatal("no report")
	}
	return reports[len(reports)-1]
}

// Guards against starts that exceed the upstream's cores (a third task of 4 cores on
// 10).
func TestStartsStayWithinCapacity(t *testing.T) {
	r := newReady(t)
	for _, job := range []string{"j1", "j2", "j3"} {
		assign(r, begin, entryA, job, nil)
	}
	if n := len(effects[StartRun](r)); n != 2 {
		t.Fatalf("%d starts, want 2", n)
	}
	r.ListReceived(begin+time.Millisecond, RunList{RequestedAt: begin, ClockMS: 501, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("j1", 1), Kind: EndDone}}})
	if n := len(effects[StartRun](r)); n != 1 {
		t.Errorf("%d starts after an end, want 1", n)
	}
}

// Guards against a task that waits at a full upstream while another is free.
func TestOfferIsRefusedWithoutFreeCapacity(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.CPU = 9000 })
	r.TakeEffects()
	assign(r, begin, entryA, "j2", func(m *wire.Assign) { m.OnlyIfFits = true })
	if got := lastReport(t, r); got.State != wire.RunNotStarted || got.Reason != "no-room" {
		t.Errorf("report %v %q", got.State, got.Reason)
	}
}

// Guards against an Assign that a network partition has delayed and that starts a task
// which another entry runs by then.
func TestDelayedAssignStartsNothing(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) {
		m.EchoMS = uint64((begin - r.settings.ConfirmationTimeout - time.Millisecond) / time.Millisecond)
	})
	reports := effects[Report](r)
	if len(reports) != 1 || reports[0].Reason != "stale-order" {
		t.Errorf("reports %v", reports)
	}
}

// Guards against a run that outlives its entry: a paused or dead entry no longer
// confirms it, and its caller resubmits the job elsewhere.
func TestRunOfSilentEntryIsStopped(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.TakeEffects()
	r.Tick(begin + r.settings.ConfirmationTimeout)
	if n := len(effects[StopRun](r)); n != 0 {
		t.Fatalf("%d stops within the limit", n)
	}
	r.Tick(begin + r.settings.ConfirmationTimeout + time.Millisecond)
	if n := len(effects[StopRun](r)); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	// An unanswered stop ends the renewals, so that the lease expires.
	request := r.NextListRequest(begin + r.settings.ConfirmationTimeout + 2*time.Millisecond)
	if request.LeaseEndMS == 0 {
		t.Error("the lease is not renewed before the stop is overdue")
	}
	request = r.NextListRequest(begin + r.settings.ConfirmationTimeout + r.settings.StopAnswerTimeout + 10*time.Millisecond)
	if request.LeaseEndMS != 0 {
		t.Errorf("the lease is renewed to %d after an unanswered stop", request.LeaseEndMS)
	}
}

// Guards against timeouts whose sum exceeds the time after which a caller resubmits
// its job.
func TestRunsEndBeforeCallersResubmit(t *testing.T) {
	const resend, stopGrace, tick = 1300 * time.Millisecond, 50 * time.Millisecond, 20 * time.Millisecond
	s := DefaultSettings(resend, time.Second)
	sum := s.ConfirmationTimeout + tick + s.StopAnswerTimeout + s.Lease*102/100 + stopGrace
	if sum >= resend {
		t.Errorf("runs end after %v, callers resubmit after %v", sum, resend)
	}
}

// Guards against releasing capacity when a start command gets no answer: carried out
// late, it would run beside its replacement. The capacity stays occupied until a list
// requested after the stop lacks the run.
func TestLostStartOccupiesCapacityUntilItIsVoid(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.CPU = 9000 })
	r.TakeEffects()
	list := func(requested time.Duration) {
		r.ListReceived(requested+time.Millisecond, RunList{RequestedAt: requested, ClockMS: 500, StartMS: incarnation.StartMS})
	}
	list(begin + 10*time.Millisecond)
	if n := len(effects[StopRun](r)); n != 0 {
		t.Fatalf("%d stops before the answer is overdue", n)
	}
	list(begin + r.settings.StartAnswerTimeout + time.Millisecond)
	if n := len(effects[StopRun](r)); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	if free := r.Load(begin, entryA).FreeCPU; free != 1000 {
		t.Errorf("free cores %d while the start is unconfirmed, want 1000", free)
	}
	stopAnswered := begin + 60*time.Millisecond
	r.Stopped(stopAnswered, attemptOf("j1", 1), true)
	list(stopAnswered - time.Millisecond)
	if len(effects[Report](r)) != 0 {
		t.Error("a list requested before the stop ended the attempt")
	}
	list(stopAnswered)
	if got := lastReport(t, r); got.State != wire.RunNotStarted {
		t.Errorf("state %v, want not started", got.State)
	}
	if free := r.Load(begin, entryA).FreeCPU; free != 10_000 {
		t.Errorf("free cores %d, want all", free)
	}
}

// Guards against lists that overtake each other: an older one still has a run that has
// ended, which must not be taken for a run of another process.
func TestOlderListCreatesNoForeignRun(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.TakeEffects()
	r.ListReceived(begin+30*time.Millisecond, RunList{RequestedAt: begin + 20*time.Millisecond, ClockMS: 520, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: attemptOf("j1", 1), Kind: EndDone}}})
	r.ListReceived(begin+31*time.Millisecond, RunList{RequestedAt: begin + 10*time.Millisecond, ClockMS: 510, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	r.ListReceived(begin+32*time.Millisecond, RunList{RequestedAt: begin + 25*time.Millisecond, ClockMS: 511, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	if n := len(effects[StopRun](r)); n != 0 || !r.ready() {
		t.Errorf("%d stops, ready %v", n, r.ready())
	}
}

// Guards against starts beside runs of an earlier agent process, whose cores the new
// process does not count as used.
func TestForeignRunsEndBeforeTheFirstStart(t *testing.T) {
	r := New(DefaultSettings(1300*time.Millisecond, time.Second))
	r.Connected(begin, entryA)
	r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	foreign := attemptOf("old", 3)
	r.ListReceived(begin, RunList{RequestedAt: begin, ClockMS: 500, StartMS: incarnation.StartMS, Running: []wire.LeasedAttempt{foreign}})
	if stops := effects[StopRun](r); len(stops) != 1 || stops[0].Attempt != foreign {
		t.Fatalf("stops %v", stops)
	}
	assign(r, begin, entryA, "j1", nil)
	if got := lastReport(t, r); got.Reason != "not-ready" {
		t.Errorf("reason %q, want not-ready", got.Reason)
	}
	r.ListReceived(begin+time.Millisecond, RunList{RequestedAt: begin + time.Millisecond, ClockMS: 501, StartMS: incarnation.StartMS,
		Ended: []EndedRun{{Number: 1, Attempt: foreign, Kind: EndStopped}}})
	if !r.Load(begin, entryA).Ready {
		t.Error("not ready after the last foreign run has ended")
	}
}

// Guards against new work for an upstream that is leaving.
func TestDrainingUpstreamGetsNothing(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.CPU = 9000 })
	assign(r, begin, entryA, "j2", nil)
	r.TakeEffects()
	r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 2, Draining: true})
	if got := lastReport(t, r); got.Attempt != attemptOf("j2", 1) || got.Reason != "draining" {
		t.Errorf("report %v %q", got.Attempt, got.Reason)
	}
	r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	if !r.Load(begin, entryA).Draining {
		t.Error("an older heartbeat ended the drain")
	}
	if n := r.Running(); n != 1 {
		t.Errorf("%d runs, want the one that had started", n)
	}
}

// Guards against counting runs as live after their upstream was restarted under the
// same ID, and against giving up a run whose start command reached the new
// incarnation.
func TestNewIncarnationEndsRuns(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.TakeEffects()
	r.Started(begin, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted})
	assign(r, begin, entryA, "j2", nil)
	r.Started(begin+time.Millisecond, attemptOf("j2", 1), StartAnswer{Outcome: StartAccepted})
	r.TakeEffects()
	r.Announce(begin+time.Millisecond, Announcement{UpstreamID: UpstreamID{ID: "u", StartMS: 8}, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	if r.Token() <= 1 {
		t.Errorf("token %d, want one above that of the commands for the earlier incarnation", r.Token())
	}
	if n := len(effects[Report](r)); n != 0 || r.ready() {
		t.Fatalf("%d reports before the first list of the new incarnation, ready %v", n, r.ready())
	}
	r.ListReceived(begin+3*time.Millisecond, RunList{RequestedAt: begin + 2*time.Millisecond, ClockMS: 5, StartMS: 8, Running: []wire.LeasedAttempt{attemptOf("j2", 1)}})
	if n := r.Running(); n != 1 {
		t.Fatalf("%d runs, want the one in the list", n)
	}
	if got := lastReport(t, r); got.State != wire.RunStopped || got.Reason != "upstream-restarted" {
		t.Errorf("report %v %q", got.State, got.Reason)
	}
	r.ListReceived(begin+2*time.Millisecond, RunList{RequestedAt: begin, ClockMS: 900, StartMS: 7, Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	if n := len(effects[StopRun](r)); n != 0 {
		t.Error("a list of the old incarnation was taken for the new one's")
	}
}

// Guards against runs that are given up before their lease has certainly expired, and
// against waiting longer than that for a silent upstream.
func TestLeaseLapsesOnSilentUpstream(t *testing.T) {
	r := newReady(t)
	assign(r, begin, entryA, "j1", nil)
	r.ListReceived(begin+2*time.Millisecond, RunList{RequestedAt: begin + time.Millisecond, ClockMS: 502, StartMS: incarnation.StartMS,
		Running: []wire.LeasedAttempt{attemptOf("j1", 1)}})
	r.TakeEffects()
	r.ListFailed(begin + r.settings.Lease)
	if len(effects[Report](r)) != 0 {
		t.Fatal("the run was given up within its lease")
	}
	r.ListFailed(begin + time.Duration(maxClockRatio*float64(r.settings.Lease)) + lapseMargin + time.Millisecond)
	if got := lastReport(t, r); got.State != wire.RunStopped || got.Reason != "lease-lapsed" {
		t.Errorf("report %v %q", got.State, got.Reason)
	}
}

// Guards against runs of a new incarnation that are given up before their lease has expired:
// a list request made for the clock of the incarnation before got the longest lease, which
// counts for all runs.
func TestRenewalForTheEarlierClockExtendsAllLeases(t *testing.T) {
	r := newReady(t)
	restarted := begin + 10*time.Millisecond
	r.ListReceived(restarted, RunList{RequestedAt: restarted - time.Millisecond, ClockMS: 5, StartMS: incarnation.StartMS + 1})
	r.Announce(restarted, Announcement{UpstreamID: UpstreamID{ID: incarnation.ID, StartMS: incarnation.StartMS + 1}, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	list := func(at time.Duration, running ...wire.LeasedAttempt) {
		r.ListReceived(at+time.Millisecond, RunList{RequestedAt: at, ClockMS: 8, StartMS: incarnation.StartMS + 1, Running: running})
	}
	list(restarted + time.Millisecond)
	assign(r, restarted+2*time.Millisecond, entryA, "j1", nil)
	if n := len(effects[StartRun](r)); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	list(restarted+3*time.Millisecond, attemptOf("j1", 1))
	r.TakeEffects()
	r.ListFailed(restarted + r.settings.MaxLease + r.settings.CommandTimeout)
	if reports := effects[Report](r); len(reports) != 0 {
		t.Fatalf("the run was given up within its lease: %+v", reports)
	}
	r.ListFailed(restarted + 1400*time.Millisecond)
	if got := lastReport(t, r); got.State != wire.RunStopped || got.Reason != "lease-lapsed" {
		t.Errorf("report %v %q", got.State, got.Reason)
	}
}

// Guards against runs that are given up while a new incarnation of the upstream runs
// them: its clock has started anew, so a start command for the earlier clock gets the
// longest lease.
func TestStartWithoutAListMayHaveTheLongestLease(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed bool
		runs   []wire.LeasedAttempt
	}{
		{"no list since the start", false, nil},
		{"the new incarnation's list has it", true, []wire.LeasedAttempt{attemptOf("j1", 1)}},
		{"the new incarnation's list lacks it", true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReady(t)
			assign(r, begin+time.Millisecond, entryA, "j1", nil)
			if c.listed {
				r.ListReceived(begin+3*time.Millisecond, RunList{RequestedAt: begin + 2*time.Millisecond, ClockMS: 5, StartMS: incarnation.StartMS + 1, Running: c.runs})
			}
			r.TakeEffects()
			r.ListFailed(begin + r.settings.MaxLease + r.settings.CommandTimeout)
			if len(effects[Report](r)) != 0 {
				t.Fatal("the run was given up within its lease")
			}
			r.ListFailed(begin + 1400*time.Millisecond)
			if got := lastReport(t, r); got.State != wire.RunStopped || got.Reason != "lease-lapsed" {
				t.Errorf("report %v %q", got.State, got.Reason)
			}
		})
	}
}

// Guards against confusing two entries' attempts with the same run number: a
// withdrawal by one entry must not stop the run of the other.
func TestAttemptsOfTwoEntriesAreDistinct(t *testing.T) {
	r := newReady(t)
	r.Connected(begin, entryB)
	assign(r, begin, entryA, "j1", nil)
	r.TakeEffects()
	assign(r, begin, entryB, "j1", nil)
	if got := lastReport(t, r); got.Entry != entryB || got.Reason != reasonLive {
		t.Errorf("report to %v: %q", got.Entry, got.Reason)
	}
	r.Withdraw(begin, entryB, wire.Withdraw{Attempt: attemptOf("j1", 1)})
	if n := len(effects[StopRun](r)); n != 0 {
		t.Error("an entry stopped another entry's run")
	}
}

// Guards against upstreams that are reported slow because of random variation, which
// left some idle while others had queues.
func TestRandomVariationIsNotSlowness(t *testing.T) {
	r := newReady(t)
	times := []time.Duration{60, 180, 90, 700, 110, 50, 140, 80, 100, 210}
	now := begin
	for i := range 40 {
		a := &attempt{id: attemptOf(fmt.Sprint("a", i), 1), startSentAt: now, assign: wire.Assign{ExpectedMS: 100}}
		now += 20 * time.Millisecond
		r.health.addRun(now, a, EndDone, times[i%len(times)]*time.Millisecond)
	}
	if s := r.slowness(now); s != healthySlowness {
		t.Errorf("slowness %d, want %d", s, healthySlowness)
	}
	for i := range 10 {
		a := &attempt{id: attemptOf(fmt.Sprint("b", i), 1), startSentAt: now, assign: wire.Assign{ExpectedMS: 100}}
		now += 20 * time.Millisecond
		r.health.addRun(now, a, EndDone, 500*time.Millisecond)
	}
	if s := r.slowness(now); s < 150 {
		t.Errorf("slowness %d after ten runs of five times the expected time", s)
	}
	if s := r.slowness(now + 20*time.Second); s != healthySlowness {
		t.Errorf("slowness %d after 20 s without work, want %d", s, healthySlowness)
	}
}

// Guards against taking one long job, or one that fails wherever it runs, for evidence
// of a slow or broken upstream. At a demand peak, an upstream got almost no tasks for
// 0.8 s because of it.
func TestTasksOfOneJobCountOnceForHealth(t *testing.T) {
	r := newReady(t)
	now := begin
	end := func(job string, how EndKind, ran time.Duration) {
		now += 20 * time.Millisecond
		r.health.addRun(now, &attempt{id: attemptOf(job, 1), startSentAt: now - ran, assign: wire.Assign{ExpectedMS: 100}}, how, ran)
	}
	for i := range 10 {
		end(fmt.Sprint("a", i), EndDone, 100*time.Millisecond)
	}
	for range 6 {
		end("long", EndDone, 600*time.Millisecond)
	}
	if s := r.slowness(now); s != healthySlowness {
		t.Errorf("slowness %d after one long job, want %d", s, healthySlowness)
	}
	for range 6 {
		end("poison", EndFailed, 100*time.Millisecond)
	}
	if avoided, _ := r.avoided(now); avoided {
		t.Error("avoided after one job that fails")
	}
	for i := range 8 {
		end(fmt.Sprint("b", i), EndFailed, 100*time.Millisecond)
	}
	if avoided, _ := r.avoided(now); !avoided {
		t.Error("not avoided after eight jobs that fail")
	}
}

// Guards against taking a long job for evidence of a stuck upstream: its tasks are long
// together, so several overdue runs of one job count as one.
func TestStuckNeedsOverdueRunsOfSeveralJobs(t *testing.T) {
	for _, c := range []struct {
		name  string
		jobs  []string
		stuck bool
	}{
		{"one job", []string{"j1", "j1", "j1", "j1"}, false},
		{"several jobs", []string{"j1", "j2", "j3", "j4"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReady(t)
			for i, job := range c.jobs {
				assign(r, begin, entryA, job, func(m *wire.Assign) {
					m.CPU = 1000
					m.Attempt.Task.Index = uint16(i)
				})
			}
			for _, s := range effects[StartRun](r) {
				r.Started(begin, s.Attempt, StartAnswer{Outcome: StartAccepted})
			}
			for now := begin; now <= begin+2*time.Second; now += 20 * time.Millisecond {
				r.Confirm(entryA, now)
				r.Tick(now)
			}
			if got := r.Load(begin+2*time.Second, entryA).Stuck; got != c.stuck {
				t.Errorf("stuck is %v, want %v", got, c.stuck)
			}
		})
	}
}

// Guards against avoiding an upstream because commands to it get no answer, although
// its lists arrive: with 40% of the commands lost, half of the upstreams were idle.
func TestLostCommandsDoNotMarkTheUpstreamStuck(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed bool
	}{{"lists arrive", true}, {"the upstream is unresponsive", false}} {
		t.Run(c.name, func(t *testing.T) {
			r := newReady(t)
			for _, job := range []string{"j1", "j2", "j3", "j4"} {
				assign(r, begin, entryA, job, func(m *wire.Assign) { m.CPU, m.ExpectedMS = 1000, 50 })
			}
			now := begin
			for ; now < begin+600*time.Millisecond; now += 20 * time.Millisecond {
				r.Confirm(entryA, now)
				if c.listed {
					r.ListReceived(now, RunList{RequestedAt: now - time.Millisecond, ClockMS: 500 + int64((now-begin)/time.Millisecond), StartMS: incarnation.StartMS})
				}
				r.Tick(now)
			}
			if got := r.Load(now, entryA).Stuck; got != !c.listed {
				t.Errorf("stuck is %v", got)
			}
			r.ListReceived(now, RunList{RequestedAt: now - time.Millisecond, ClockMS: 1200, StartMS: incarnation.StartMS})
			if r.Load(now, entryA).Stuck {
				t.Error("stuck although a list has arrived")
			}
		})
	}
}
