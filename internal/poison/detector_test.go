package poison

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

func run(job, queue string, age time.Duration) Run {
	return Run{Task: wire.LeasedTask{Job: job}, Queue: queue, Age: age}
}

func crashOf(host string) CrashID { return CrashID{Host: host, StartMS: 1} }

// apart is a time after which two crashes do not coincide.
const apart = coincidenceWindow + time.Millisecond

// Guards against innocent neighbours that stay suspects, and against a task that is started
// after two upstreams have crashed under it at the same point.
func TestTaskUnderTwoCrashesIsBlamedAndClearsItsNeighbours(t *testing.T) {
	d := New()
	d.Add(0, 0, crashOf("h1"), []Run{run("bad", "q", 30*time.Millisecond), run("n1", "q", 200*time.Millisecond)})
	d.Add(apart, apart, crashOf("h2"), []Run{run("bad", "q", 31*time.Millisecond), run("n2", "q", 90*time.Millisecond)})
	if n, _ := d.Suspicion(wire.LeasedTask{Job: "n1"}); n != 1 {
		t.Errorf("n1 is under %d unexplained crashes before the verdict, want 1", n)
	}
	if got := d.Evaluate(3 * apart); len(got) != 1 || got[0] != "bad" || !d.IsPoison(3*apart, "bad") {
		t.Fatalf("found to be poison: %v, want bad", got)
	}
	for _, job := range []string{"n1", "n2"} {
		if n, _ := d.Suspicion(wire.LeasedTask{Job: job}); n != 0 {
			t.Errorf("%s is still suspect of %d crashes", job, n)
		}
	}
}

// Guards against a task that is taken for poison because a rack crashed under it and, as it ran again,
// another one.
func TestCoincidingCrashesBlameNoTask(t *testing.T) {
	d := New()
	d.Add(0, 0, crashOf("h1"), []Run{run("j", "q", 70*time.Millisecond)})
	d.Add(0, 0, crashOf("h2"), nil)
	d.Add(2*apart, 2*apart, crashOf("h3"), []Run{run("j", "q", 70*time.Millisecond)})
	d.Add(2*apart+100*time.Millisecond, 2*apart+100*time.Millisecond, crashOf("h4"), nil)
	if got := d.Evaluate(4 * apart); len(got) != 0 {
		t.Errorf("found to be poison: %v, want none", got)
	}
}

// Guards against a task without a bound because its crashes are always explained otherwise
// or coincide.
func TestTaskUnderManyCrashesIsBlamedWhateverElseCrashes(t *testing.T) {
	d := New()
	var found []string
	for i, host := range []string{"h1", "h2", "h3", "h4"} {
		at := time.Duration(i) * 2 * apart
		d.Add(at, at, crashOf("other-"+host), nil)
		_, now := d.Add(at, at, crashOf(host), []Run{run("j", "q", time.Duration(1+i)*time.Second)})
		found = append(found, now...)
		found = append(found, d.Evaluate(at+apart)...)
	}
	if len(found) != 1 || found[0] != "j" {
		t.Errorf("found to be poison: %v, want j by the fourth crash", found)
	}
}

// Guards against a crash that counts twice because an entry and an agent report it, or is
// lost because each knows a part of its runs.
func TestReportsOfOneCrashAreMerged(t *testing.T) {
	d := New()
	first, _ := d.Add(0, 0, crashOf("h1"), []Run{run("a", "q", 0)})
	second, _ := d.Add(apart, apart, crashOf("h1"), []Run{run("a", "q", time.Second), run("b", "q", time.Second)})
	if d.Evaluate(3 * apart); !d.crashes[crashOf("h1")].evaluated {
		t.Error("the crash is not evaluated")
	}
	d.Add(3*apart, 3*apart, crashOf("h1"), []Run{run("c", "q", time.Second)})
	if d.crashes[crashOf("h1")].evaluated {
		t.Error("the crash is not evaluated again with one more run")
	}
	if !first || second || d.Crashes("a") != 1 || d.Crashes("b") != 1 {
		t.Errorf("new %v and %v, crashes under a %d, under b %d; want one crash", first, second, d.Crashes("a"), d.Crashes("b"))
	}
}

// Guards against a queue that is quarantined for one bad job, and against one that stays
// unrestricted while its jobs crash upstream after upstream.
func TestQueueIsConfinedByMoreThanOneBadJob(t *testing.T) {
	d := New()
	markJob := func(job string, at time.Duration) {
		d.Add(at, at, crashOf(job+"1"), []Run{run(job, "q", 30*time.Millisecond)})
		d.Add(at+apart, at+apart, crashOf(job+"2"), []Run{run(job, "q", 30*time.Millisecond)})
		d.Evaluate(at + 3*apart)
	}
	markJob("a", 0)
	if got := d.Caution(4*apart, "q"); got != Separated {
		t.Errorf("after one job: %v, want separated", got)
	}
	markJob("b", 5*apart)
	if got := d.Caution(9*apart, "q"); got != Quarantined {
		t.Errorf("after two jobs: %v, want quarantined", got)
	}
	if got := d.Caution(9*apart+cautionTime, "q"); got != Unrestricted {
		t.Errorf("%v later: %v, want unrestricted", cautionTime, got)
	}
}

// Guards against jobs of other queues that are suspected of crashes under a queue that is
// known to crash upstreams.
func TestCrashUnderCautiousQueueCountsAgainstItsJobsOnly(t *testing.T) {
	d := New()
	d.Add(0, 0, crashOf("h1"), []Run{run("bad", "q", 30*time.Millisecond)})
	d.Add(apart, apart, crashOf("h2"), []Run{run("bad", "q", 30*time.Millisecond)})
	d.Evaluate(3 * apart)
	d.Add(4*apart, 4*apart, crashOf("h3"), []Run{run("bad2", "q", 30*time.Millisecond), run("other", "p", time.Second)})
	if n, _ := d.Suspicion(wire.LeasedTask{Job: "other"}); n != 0 {
		t.Error("a job of another queue is suspect")
	}
	if !d.SoleSuspect("bad2") {
		t.Error("the only job of the cautious queue is not the sole suspect")
	}
}

// Guards against memory that grows with the crashes.
func TestOldCrashesAreDropped(t *testing.T) {
	d := New()
	d.Add(0, 0, crashOf("h1"), []Run{run("a", "q", 0)})
	d.Add(retention+time.Second, retention+time.Second, crashOf("h2"), []Run{run("b", "q", 0)})
	if d.HasRun("a") || !d.HasRun("b") || len(d.crashes) != 1 {
		t.Errorf("%d crashes retained, want that of b", len(d.crashes))
	}
}

// Guards against a process that has just started and takes old crashes, which it reads all
// at once, for ones that happen together or now.
func TestOldCrashesCountAtTheirOwnTime(t *testing.T) {
	d := New()
	now := 30 * time.Second
	d.Add(now, 10*time.Second+apart, crashOf("h2"), []Run{run("bad", "q", 30*time.Millisecond)})
	d.Add(now, 10*time.Second, crashOf("h1"), []Run{run("bad", "q", 30*time.Millisecond)})
	if got := d.Evaluate(now); len(got) != 1 {
		t.Errorf("found to be poison: %v, want bad", got)
	}
	if got := d.Caution(now, "q"); got != Unrestricted {
		t.Errorf("the queue is %v, want unrestricted 20 s after the crashes", got)
	}
}

// Guards against a job that is called failed, or refused for a minute, although it may not have
// run under the crashes: its starts were not confirmed.
func TestUnconfirmedRunsAreNoCertainEvidence(t *testing.T) {
	d := New()
	for i, host := range []string{"h1", "h2", "h3", "h4"} {
		at := time.Duration(i) * 2 * apart
		d.Add(at, at, crashOf(host), []Run{run("j", "q", 0)})
	}
	if !d.IsPoison(8*apart, "j") || d.IsCertain("j") {
		t.Errorf("poison %v, certain %v; want an uncertain poison job", d.IsPoison(8*apart, "j"), d.IsCertain("j"))
	}
	if d.IsPoison(8*apart+uncertainTime, "j") {
		t.Error("the job is poison for good")
	}
}

// Guards against jobs that stay suspects of a crash that has not happened.
func TestRetractedCrashCountsAgainstNobody(t *testing.T) {
	d := New()
	d.Add(0, 0, crashOf("h1"), []Run{run("j", "q", 30*time.Millisecond)})
	if !d.Retract(crashOf("h1")) || d.Retract(crashOf("h2")) {
		t.Error("want only the known crash to be retracted")
	}
	d.Add(apart, apart, crashOf("h2"), []Run{run("j", "q", 30*time.Millisecond)})
	if got := d.Evaluate(3 * apart); len(got) != 0 {
		t.Errorf("found to be poison: %v, want none", got)
	}
	if n := d.Crashes("j"); n != 1 {
		t.Errorf("%d crashes, want 1", n)
	}
}
