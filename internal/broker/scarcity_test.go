package broker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/reasons"
	"github.com/damasklb/damasklb/internal/scarcity"
	"github.com/damasklb/damasklb/internal/wire"
)

// scarcityRefusals lets jobs of the given priorities arrive for a second, while the agents
// report that work of the last priority waits, and returns those refused under scarcity by
// priority.
func scarcityRefusals(t *testing.T, off bool, priorities ...int) map[int]int {
	g := newRig(t, "a", "b")
	g.b.settings.Scarcity.Off = off
	refused := map[int]int{}
	for i := range 100 {
		g.now += 20 * time.Millisecond
		if i%5 == 0 {
			l := load(0)
			l.QueuedWork = [wire.PriorityLevels]uint32{0, 0, 900}
			g.heartbeat("a", l)
			g.heartbeat("b", l)
		}
		for _, p := range priorities {
			q := &catalog.Queue{Name: fmt.Sprint("q", p), Service: "s", Priority: p, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 60 * time.Millisecond}
			sub := Submission{ID: fmt.Sprint("j", p, "-", i), Queue: q, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond}}}
			g.b.Submit(g.now, sub, Waiter(i*10+p+1))
		}
		for _, e := range g.takeEffects() {
			d, ok := e.(Decision)
			if !ok || d.Reason != reasonScarcity {
				continue
			}
			if d.Share <= 0 || d.Share >= 1 || d.Headroom >= 0 {
				t.Errorf("refused with share %v at headroom %v", d.Share, d.Headroom)
			}
			var p int
			if _, err := fmt.Sscanf(d.Queue, "q%d", &p); err != nil {
				t.Fatal(err)
			}
			refused[p]++
		}
	}
	return refused
}

// Guards against a broker that does not apply admission under scarcity, or applies it to the
// most urgent queue, to queues of one priority, or while it is off.
func TestScarcityRefusals(t *testing.T) {
	if got := scarcityRefusals(t, false, 0, 2); got[2] == 0 || got[0] > 0 {
		t.Errorf("refused by priority: %v, want some of priority 2 only", got)
	}
	if got := scarcityRefusals(t, false, 2); len(got) > 0 {
		t.Errorf("refused with one priority: %v", got)
	}
	if got := scarcityRefusals(t, true, 0, 2); len(got) > 0 {
		t.Errorf("refused while off: %v", got)
	}
}

// scarce returns agents that report work of the last priority that waits, and a broker for which
// capacity is scarce and whose next job of the last priority is over its queue's share.
func scarce(t *testing.T) *rig {
	g := newRig(t, "a", "b")
	for i := range 50 {
		g.now += 20 * time.Millisecond
		g.reportWaiting()
		for _, p := range []int{0, 2} {
			g.submitSized(fmt.Sprint("before", p, "-", i), p, 4000)
		}
	}
	if !g.b.scarcity["s"].Scarce(g.now) {
		t.Fatal("capacity is not scarce")
	}
	for range 2 {
		g.b.scarcity["s"].Decided(g.now, scarcity.Job{Queue: "q2", Priority: 2}, true)
	}
	g.takeEffects()
	return g
}

// reportWaiting lets the agents report that work of the last priority waits.
func (g *rig) reportWaiting() {
	l := load(0)
	l.QueuedWork = [wire.PriorityLevels]uint32{0, 0, 900}
	g.heartbeat("a", l)
	g.heartbeat("b", l)
}

func sized(id string, priority, cpu int) Submission {
	q := &catalog.Queue{Name: fmt.Sprint("q", priority), Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 60 * time.Millisecond}
	return Submission{ID: id, Queue: q, Tasks: []TaskSpec{{CPU: cpu, MemMB: 10, Estimate: 100 * time.Millisecond}}}
}

func (g *rig) submitSized(id string, priority, cpu int) {
	g.b.Submit(g.now, sized(id, priority, cpu), Waiter(g.b.LiveJobs()+1))
}

// Guards against explanations that state another decision under scarcity than the job gets.
func TestExplanationsUnderScarcity(t *testing.T) {
	for want, prepare := range map[string]func(*rig){
		"refuse": func(*rig) {},
		"verify": func(g *rig) { g.now += reportMaxAge + time.Millisecond },
		"place": func(g *rig) {
			g.connect("free", "1")
			g.heartbeat("free", load(10_000))
		},
	} {
		g := scarce(t)
		prepare(g)
		g.takeEffects()
		x := g.b.Explain(g.now, sized("", 2, 4000), 0, 10)
		g.submitSized("j", 2, 4000)
		effects := g.takeEffects()
		got := "verify"
		if a := answers(effects); len(a) == 1 && a[0].Outcome.Reason == reasonScarcity {
			got = "refuse"
		} else if len(messages[wire.Assign](effects)) == 1 {
			got = "place"
		}
		if x.Decision != want || got != want || want != "place" && x.Reason != reasonScarcity {
			t.Errorf("want %s, explained %s (%s), decided %s", want, x.Decision, x.Reason, got)
		}
	}
}

// Guards against jobs that are refused for more urgent work although they start at once.
func TestJobsThatStartAtOnceAreAdmittedUnderScarcity(t *testing.T) {
	g := scarce(t)
	g.connect("free", "1")
	for i := range 10 {
		g.now += snapshotInterval
		g.reportWaiting()
		l := load(10_000)
		l.LastSeq = 1000
		g.heartbeat("free", l)
		g.takeEffects()
		g.submitSized(fmt.Sprint("j", i), 2, 4000)
		effects := g.takeEffects()
		if n := len(messages[wire.Assign](effects)); n != 1 {
			t.Errorf("job %d: %d tasks are assigned, answers %v", i, n, answers(effects))
		}
	}
	if !g.b.scarcity["s"].Scarce(g.now) {
		t.Error("capacity is not scarce at the end")
	}
}

// Guards against jobs that are refused for more urgent work on old reports while upstreams are
// free, and against ones that are admitted or answered twice because they waited for new reports.
func TestOldReportsAreRenewedBeforeARefusalUnderScarcity(t *testing.T) {
	for _, free := range []bool{true, false} {
		g := scarce(t)
		g.now += reportMaxAge + time.Millisecond
		const jobs = 10
		for i := range jobs {
			g.submitSized(fmt.Sprint("j", i), 2, 500)
		}
		if got := answers(g.takeEffects()); len(got) > 0 {
			t.Fatalf("%d jobs are answered on old reports", len(got))
		}
		g.now += 2 * time.Millisecond
		if free {
			g.heartbeat("a", load(10_000))
			g.heartbeat("b", load(10_000))
		} else {
			g.reportWaiting()
		}
		g.now += verifyTimeout
		g.b.Tick(g.now)
		effects := g.takeEffects()
		assigned, refused, forUrgent := len(messages[wire.Assign](effects)), 0, 0
		for _, e := range effects {
			if d, ok := e.(Decision); ok && d.Action == "refuse" {
				refused++
				if d.Reason == reasonScarcity {
					forUrgent++
				}
			}
		}
		if free && assigned != jobs || !free && forUrgent == 0 || assigned+refused != jobs {
			t.Errorf("free %v: %d assigned, %d refused, %d of them under scarcity", free, assigned, refused, forUrgent)
		}
	}
}

// Guards against accepted work that is given up, or restarted elsewhere, once capacity is scarce or
// its agent is slow to report: scarcity concerns arrivals only.
func TestScarcityLeavesAcceptedWork(t *testing.T) {
	g := newRig(t, "a", "b", "slow")
	g.heartbeat("a", load(0))
	g.heartbeat("b", load(0))
	g.submitSized("accepted", 2, 4000)
	assigned := messages[wire.Assign](g.takeEffects())
	if len(assigned) != 1 || assigned[0].agent.Host != "slow" {
		t.Fatalf("assigned %v, want one task at the agent with free capacity", assigned)
	}
	g.report(assigned[0], wire.RunStarted, "")
	for i := range 50 {
		g.now += 20 * time.Millisecond
		g.b.Tick(g.now)
		g.reportWaiting()
		if i%20 == 0 {
			l := load(0)
			l.LastSeq = assigned[0].message.Seq
			g.heartbeat("slow", l)
		}
		g.submitSized(fmt.Sprint("urgent", i), 0, 4000)
		g.submitSized(fmt.Sprint("long", i), 2, 4000)
		for _, e := range g.takeEffects() {
			s, ok := e.(Send)
			if _, withdraw := s.Message.(*wire.Withdraw); ok && withdraw {
				t.Errorf("%v after %d jobs", s, i)
			}
			if d, ok := e.(Decision); ok && d.Job == "accepted" {
				t.Errorf("%v after %d jobs", d, i)
			}
		}
	}
	if !g.b.scarcity["s"].Scarce(g.now) || g.b.jobs["accepted"] == nil {
		t.Error("capacity is not scarce, or the job is gone")
	}
}

// Guards against the capacity of agents that have left, whose upstream is not ready, or that are
// silent in the sum on which scarcity rests: less urgent work would be admitted for it.
func TestUnusableAgentsDoNotCount(t *testing.T) {
	idle := load(10_000)
	leaving, unready := idle, idle
	leaving.Draining, unready.Ready = true, false
	for name, lose := range map[string]func(*rig){
		"disconnected": func(g *rig) { g.b.Disconnected(g.agents["c"]) },
		"leaving":      func(g *rig) { g.heartbeat("c", leaving) },
		"not ready":    func(g *rig) { g.heartbeat("c", unready) },
		"silent":       func(g *rig) { g.now += g.b.settings.HeartbeatTimeout + time.Millisecond },
	} {
		g := scarce(t)
		g.connect("c", "1")
		g.heartbeat("c", idle)
		lose(g)
		g.now += snapshotInterval
		g.reportWaiting()
		before := g.b.scarcity["s"].Headroom()
		g.submitSized("j", 2, 4000)
		if after := g.b.scarcity["s"].Headroom(); after != before {
			t.Errorf("%s: headroom %.2f with an agent that cannot be used, %.2f without it", name, after, before)
		}
	}
}

// Guards against a log that states the end of scarcity where it begins or is not judged: while the
// part is off, and before a restarted entry has learned.
func TestScarcityIsLoggedOnce(t *testing.T) {
	for _, off := range []bool{true, false} {
		g := newRig(t, "a", "b")
		g.b.settings.Scarcity.Off = off
		var logged []string
		for i := range 60 {
			g.now += 20 * time.Millisecond
			g.reportWaiting()
			g.submitSized(fmt.Sprint("urgent", i), 0, 4000)
			g.submitSized(fmt.Sprint("long", i), 2, 4000)
			for _, e := range g.takeEffects() {
				if d, ok := e.(Decision); ok && strings.HasPrefix(d.Action, "scarcity-") {
					logged = append(logged, d.Action)
				}
			}
		}
		if want := []string{"scarcity-begins"}; off && len(logged) > 0 || !off && !slices.Equal(logged, want) {
			t.Errorf("off %v: logged %v, want %v if it is on", off, logged, want)
		}
	}
}

// Guards against a job that no upstream can ever take and that is told to come back when capacity
// is no longer scarce.
func TestCauseOfARefusalUnderScarcity(t *testing.T) {
	g := scarce(t)
	for i := range 5 {
		g.submitSized(fmt.Sprint("j", i), 2, 50_000)
	}
	got := answers(g.takeEffects())
	for _, a := range got {
		if a.Outcome.Reason != reasons.TooLarge {
			t.Errorf("refused with %s, want %s", a.Outcome.Reason, reasons.TooLarge)
		}
	}
	if len(got) != 5 {
		t.Errorf("%d of 5 jobs are refused", len(got))
	}
}
