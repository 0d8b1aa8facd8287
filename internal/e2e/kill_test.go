package e2e

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/load"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/wire"
)

// servedAgain is the bound of the design page for the keys of a killed entry.
const servedAgain = 5 * time.Second

func ownedBy(t *testing.T, r *rig.Rig, entry int) []wire.Partition {
	t.Helper()
	m, err := r.Map()
	must(t, err)
	owned := r.OwnedBy(m, entry)
	if len(owned) == 0 {
		t.Fatalf("entry %d owns no partition", entry)
	}
	return owned
}

func probes(r *rig.Rig, prefix string, urls ...string) load.Options {
	o := loadOf(r, 1, time.Second)
	o.Caller, o.KeyPrefix, o.URLs = "prober", prefix, urls
	return o
}

// Guards against a second start, a partial answer or a false not_run when an
// owner is killed, and against a takeover that takes longer than the bound.
func TestEntryKilledUnderLoad(t *testing.T) {
	r := start(t, nil)
	o := loadOf(r, 60, 8*time.Second)
	o.Copies, o.CopyDelay, o.Failover = 3, 20*time.Millisecond, true
	finish := background(t, o)
	time.Sleep(2 * time.Second)
	owned := ownedBy(t, r, 0)
	must(t, r.Entries[0].Kill())
	took, err := load.WaitUntilServed(t.Context(), probes(r, "kill", r.URLs()[1:]...), owned, 20*time.Second)
	must(t, err)
	t.Logf("%d partitions served again after %s", len(owned), took)
	if took > servedAgain {
		t.Errorf("keys were served again after %s, bound is %s", took, servedAgain)
	}
	must(t, r.Entries[0].Start())
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
	report, jobs := finish()
	checkSafe(t, r, report, jobs)
	if report.ShareServed() < 0.8 {
		t.Errorf("share of requests served is %.3f", report.ShareServed())
	}
}

// Guards against starts by an entry that was paused for so long that another
// one has taken its partitions over.
func TestEntryPausedPastRemovalAndResumed(t *testing.T) {
	r := start(t, nil)
	o := loadOf(r, 60, 10*time.Second)
	o.Copies, o.Failover = 3, true
	finish := background(t, o)
	time.Sleep(2 * time.Second)
	owned := ownedBy(t, r, 2)
	must(t, r.Entries[2].Pause())
	_, err := load.WaitUntilServed(t.Context(), probes(r, "pause", r.URLs()[:2]...), owned, 20*time.Second)
	must(t, err)
	must(t, r.Entries[2].Resume())
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
	report, jobs := finish()
	checkSafe(t, r, report, jobs)
}

// Guards against a second start of tasks whose agent has lost its records, and
// against an agent that is not used again after a restart.
func TestAgentKilledAndRestarted(t *testing.T) {
	r := start(t, nil)
	o := loadOf(r, 60, 5*time.Second)
	o.Copies = 2
	finish := background(t, o)
	time.Sleep(time.Second)
	must(t, r.Agents[0].Kill())
	time.Sleep(500 * time.Millisecond)
	must(t, r.Agents[0].Start())
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
	report, jobs := finish()
	checkSafe(t, r, report, jobs)
	if report.ShareServed() < 0.9 {
		t.Errorf("share of requests served is %.3f", report.ShareServed())
	}
	before := startsOf(t, r, 0)
	finish = background(t, prefixed(loadOf(r, 60, 2*time.Second), "after"))
	report, _ = finish()
	if report.ShareServed() < 1 || startsOf(t, r, 0) == before {
		t.Errorf("after the restart: share %.3f, starts %v", report.ShareServed(), startsOf(t, r, 0)-before)
	}
}

func prefixed(o load.Options, prefix string) load.Options {
	o.KeyPrefix = prefix
	return o
}

func startsOf(t *testing.T, r *rig.Rig, agent int) float64 {
	t.Helper()
	n, err := r.AgentMetric(agent, "damasklb_agent_starts_total")
	must(t, err)
	return n
}

// Guards against work that goes on being sent to an upstream that has died
// beside a working agent.
func TestUpstreamKilled(t *testing.T) {
	r := start(t, nil)
	finish := background(t, loadOf(r, 60, 2*time.Second))
	time.Sleep(500 * time.Millisecond)
	must(t, r.Upstreams[0].Kill())
	must(t, r.WaitUpstreams(2, 5*time.Second))
	report, _ := finish()
	if len(report.Wrong) > 0 || len(report.Errors) > 0 {
		t.Errorf("wrong %v, errors %v", report.Wrong, report.Errors)
	}
	report, _ = background(t, prefixed(loadOf(r, 60, 2*time.Second), "without"))()
	if report.ShareServed() < 1 {
		t.Errorf("after the announce has expired: %v", report.Problems)
	}
	must(t, r.Upstreams[0].Start())
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
}

// Guards against a loss of service while the table is down, and against a
// membership change that stalls when answers of the table are lost.
func TestTableDownAndAnswersLost(t *testing.T) {
	t.Parallel()
	r := start(t, nil)
	finish := background(t, loadOf(r, 60, 6*time.Second))
	must(t, r.SetTableFaults(standin.Faults{Down: true}))
	report, jobs := finish()
	if report.ShareServed() < 1 {
		t.Errorf("table down: %v %v", report.Statuses, report.Problems)
	}
	checkSafe(t, r, report, jobs)
	must(t, r.SetTableFaults(standin.Faults{}))
	time.Sleep(2 * time.Second)

	owned := ownedBy(t, r, 1)
	must(t, r.SetTableFaults(standin.Faults{LoseAnswers: 10, LatencyMS: 10}))
	must(t, r.Entries[1].Kill())
	took, err := load.WaitUntilServed(t.Context(), probes(r, "lost", r.URLs()[0], r.URLs()[2]), owned, 20*time.Second)
	must(t, err)
	t.Logf("with lost answers, %d partitions served again after %s", len(owned), took)
	if took > servedAgain {
		t.Errorf("keys were served again after %s, bound is %s", took, servedAgain)
	}
}
