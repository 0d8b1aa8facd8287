package broker

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/placement"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/wire"
)

func onR1(host string) bool { return host == "a" || host == "b" }

var rackHosts = []string{"a", "b", "c", "d"}

// newRackDay returns a broker with the agents a and b on the rack r1 and c and d on r2, in a
// state drawn from r, and what it has learned from a second of jobs that prefer a rack. If hold
// is set, tasks are held while their rack is full, which the product's rule does rarely.
func newRackDay(t *testing.T, r *rand.Rand, hold bool) *rig {
	g := newRig(t, rackHosts...)
	if hold {
		g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait, Decide: alwaysHold}, 1.5)
	}
	seq := map[string]uint64{}
	report := func() {
		for i, h := range rackHosts {
			l := rackLoadOf([]string{"r1", "r2"}[i/2], r.Intn(10_001))
			if r.Intn(3) == 0 {
				l.FreeCPU = 0
			}
			l.Slowness, l.FailurePercent = uint32(80+r.Intn(100)), uint32(r.Intn(20))
			l.QueuedWork[1], l.LastSeq = uint32(r.Intn(60)), seq[h]
			g.heartbeat(h, l)
		}
	}
	var open []sent[wire.Assign]
	report()
	for i := range 100 {
		g.now += 10 * time.Millisecond
		if i%3 == 0 {
			report()
		}
		var effects []Effect
		if r.Intn(3) == 0 {
			effects = g.submitRacked(fmt.Sprint("day", i), Waiter(i+10), 1+r.Intn(3))
		}
		g.b.Tick(g.now)
		assigned := messages[wire.Assign](append(effects, g.takeEffects()...))
		for _, a := range assigned {
			seq[a.agent.Host] = a.message.Seq
		}
		open = append(open, assigned...)
		for len(open) > 3 {
			for _, state := range []wire.RunState{wire.RunStarted, wire.RunDone} {
				g.report(open[0], state, "")
			}
			open = open[1:]
		}
	}
	report()
	g.takeEffects()
	return g
}

// rackJob returns a job whose tasks prefer the rack r1.
func rackJob(r *rand.Rand) Submission {
	sub := shape(1+r.Intn(6), TaskSpec{CPU: 500 + r.Intn(9000), MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: "r1"})
	sub.ID, sub.Queue = "j", []*catalog.Queue{queue, holdQueue}[r.Intn(2)]
	return sub
}

// Guards against an explanation that names the rack although the task goes elsewhere, another
// agent there, another reason, or a placement of a task that is held. With seed 146, the random
// part of the scores decides between the rack and other capacity.
func TestExplanationAgreesWithTheRackDecision(t *testing.T) {
	seen := map[string]int{}
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		g := newRackDay(t, r, seed%4 == 0)
		sub := rackJob(r)
		e := g.b.Explain(g.now, sub, 0, 10)
		g.b.Submit(g.now, sub, 1)
		effects := g.takeEffects()
		refused, assigned := answers(effects), messages[wire.Assign](effects)
		if (e.Decision == "refuse") != (len(refused) == 1) || len(e.Tasks) != len(sub.Tasks) {
			t.Fatalf("seed %d: decision %s %s for %d tasks, but %d answers", seed, e.Decision, e.Reason, len(e.Tasks), len(refused))
		}
		if e.Decision != "place" {
			seen[e.Decision+" "+e.Reason]++
			continue
		}
		held := 0
		for _, o := range e.Tasks {
			if o.Decision == "hold" {
				held++
			}
		}
		if len(assigned) != len(sub.Tasks)-held {
			t.Fatalf("seed %d: %d of %d tasks explained as held, but %d assigned", seed, held, len(sub.Tasks), len(assigned))
		}
		var first status.TaskOutlook
		mayWin := map[string]bool{}
		for _, o := range e.Tasks {
			if o.Index == 0 {
				first = o
			}
		}
		for _, c := range e.Candidates {
			mayWin[c.Host] = c.Wins || c.MayWin
		}
		for _, d := range rackDecisions(effects) {
			if d.Index != 0 {
				continue
			}
			seen[d.Action+" "+d.Reason]++
			// The random part may decide for the other side, for another reason.
			sameSide := d.Agent == "" || first.Choice == "" || onR1(d.Agent) == onR1(first.Choice)
			if (sameSide && d.Reason != first.Reason) || (d.Action == "hold") != (first.Decision == "hold") || (d.Action == "assign" && !mayWin[d.Agent]) {
				t.Errorf("seed %d: %s %s %s, explained %+v, candidates %+v", seed, d.Action, d.Agent, d.Reason, first, e.Candidates)
			}
		}
	}
	t.Log(seen)
	for _, kind := range []string{"hold release-soon", "assign all-busy", "assign rack-free", "assign wait-too-long"} {
		if seen[kind] == 0 {
			t.Errorf("no seed led to %q", kind)
		}
	}
}

// Guards against a question about tasks with a rack that changes what is learned of racks, a
// held task, or a random draw: later decisions would differ.
func TestExplanationsChangeNoRackDecision(t *testing.T) {
	for seed := range int64(30) {
		var effects [2][]Effect
		var brokers [2]*Broker
		for k := range effects {
			r := rand.New(rand.NewSource(seed))
			g := newRackDay(t, r, seed%4 == 0)
			for i := range 10 {
				sub := rackJob(r)
				sub.ID = string(rune('a' + i))
				if k == 0 {
					g.b.Explain(g.now, sub, 0, 10)
				}
				g.b.Submit(g.now, sub, Waiter(1000+i))
				g.now += 5 * time.Millisecond
				for job := 0; k == 0 && job <= i; job++ {
					g.b.ExplainJob(g.now, string(rune('a'+job)), job%3-1, 10)
				}
				g.b.Tick(g.now)
				effects[k] = append(effects[k], g.takeEffects()...)
			}
			brokers[k] = g.b
		}
		if !reflect.DeepEqual(effects[0], effects[1]) {
			t.Fatalf("seed %d: the broker that was asked did\n%v\nthe other\n%v", seed, effects[0], effects[1])
		}
		// The settings of a Racks may hold a function, which is equal to none. The learned run
		// times are compared with the tasks that refer to them.
		asked, plain := brokers[0].racks.Supply, brokers[1].racks.Supply
		brokers[0].racks, brokers[1].racks = nil, nil
		if !reflect.DeepEqual(asked, plain) || !reflect.DeepEqual(brokers[0], brokers[1]) {
			t.Errorf("seed %d: the state of the broker that was asked differs", seed)
		}
	}
}

// Guards against an explanation that has no room for a possible winner on the other side, because
// agents that cannot win come before it.
func TestExplanationListsPossibleWinnersFirst(t *testing.T) {
	g := newRackRig(t)
	g.connect("c", "1")
	g.heartbeat("c", rackLoadOf("r1", 10_000))
	usual := time.Duration(math.MinInt64)
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait, Decide: func(in locality.Input) locality.Decision {
		more := in.Near.Penalty - in.Far.Penalty
		if usual == math.MinInt64 {
			usual = more + placement.SpreadJitter
		}
		if more > usual+placement.SpreadJitter/2 {
			return locality.Decision{Action: locality.Far, Reason: locality.ReasonRackSlow}
		}
		return locality.Decision{Action: locality.NearNow, Reason: locality.ReasonRackFree}
	}}, 1.5)
	sub := Submission{Queue: holdQueue, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: "r1"}}}
	x := g.b.Explain(g.now, sub, 0, 2)
	if len(x.Candidates) != 2 || x.CandidatesOmitted != 1 || x.Candidates[0].Host != "c" || !x.Candidates[0].Wins || x.Candidates[1].Host != "b" || !x.Candidates[1].MayWin {
		t.Errorf("candidates %+v, want c, which wins, and b, which may", x.Candidates)
	}
}

// Guards against an explanation of a hold that shows no possible winner although the random part
// of the scores may decide for other capacity instead.
func TestExplanationShowsWhereAHoldMayTurn(t *testing.T) {
	g := newRackRig(t)
	usual := time.Duration(math.MinInt64)
	g.setRacks(locality.Settings{MaxWait: locality.DefaultMaxWait, Decide: func(in locality.Input) locality.Decision {
		more := in.Near.Penalty - in.Far.Penalty
		if usual == math.MinInt64 {
			usual = more + placement.SpreadJitter
		}
		if more > usual+placement.SpreadJitter/2 {
			return locality.Decision{Action: locality.Far, Reason: locality.ReasonWaitTooLong}
		}
		return alwaysHold(in)
	}}, 1.5)
	sub := Submission{Queue: holdQueue, Tasks: []TaskSpec{{CPU: 4000, MemMB: 10, Estimate: 100 * time.Millisecond, PreferredRack: "r1"}}}
	x := g.b.Explain(g.now, sub, 0, 10)
	if len(x.Tasks) != 1 || x.Tasks[0].Decision != "hold" {
		t.Fatalf("explained are %+v, want a hold", x.Tasks)
	}
	for _, c := range x.Candidates {
		if c.Wins || c.MayWin != (c.Host == "b") {
			t.Errorf("candidate %s: wins %v, may win %v; only b may", c.Host, c.Wins, c.MayWin)
		}
	}
}
