package protocoltest

import (
	"testing"
	"time"
)

// newScenario returns a run without random faults, in which the test causes the
// faults itself.
func newScenario(t *testing.T, entries int) *simulation {
	t.Helper()
	sim := newSimulation(1)
	for i := range entries {
		sim.startEntry(entryHost(i))
	}
	for i := range agentHosts {
		sim.startAgent(agentHost(i))
	}
	sim.runFor(4 * time.Second)
	return sim
}

func (sim *simulation) runFor(d time.Duration) { sim.run(sim.now+d, 1<<62) }

// isolate cuts off the given hosts from all others, the table included.
func (sim *simulation) isolate(hosts ...string) {
	side := map[string]bool{}
	for _, h := range hosts {
		side[h] = true
	}
	for _, a := range sim.hosts() {
		for _, b := range sim.hosts() {
			if side[a] && !side[b] {
				sim.unreachable[pair(a, b)] = true
			}
		}
	}
}

func (sim *simulation) entryOn(host string) *entryProc {
	for _, e := range sim.entries {
		if e.host == host {
			return e
		}
	}
	return nil
}

// submitAt submits a job at an entry and returns the request.
func (sim *simulation) submitAt(host string, j *jobState) *request {
	r := sim.callers.newRequestAt(sim.entryOn(host), j, 3*time.Second)
	sim.callers.send(r, j.payloads)
	return r
}

// Guards against a second run of a job whose resubmission waited in the socket of
// a paused entry until the records of the job had expired.
func TestRequestThatWaitedDuringPause(t *testing.T) {
	sim := newScenario(t, 3)
	var jobs []*jobState
	for range 40 {
		j := sim.callers.newJob()
		jobs = append(jobs, j)
		sim.submitAt(entryHost(0), j)
	}
	sim.runFor(2 * time.Second)
	e := sim.entryOn(entryHost(1))
	e.pause(window + 4*time.Second)
	for _, j := range jobs {
		sim.submitAt(entryHost(1), j)
	}
	sim.runFor(window + 8*time.Second)
	if sim.check.failure != "" {
		t.Error(sim.check.failure)
	}
}

// Guards against a successor that computes the uncertainty window too short: all
// members are on one side of a network partition and confirm each other, and all
// entries that take over have joined on the other side.
func TestMembersOnOneSideKeepTheirAuthority(t *testing.T) {
	sim := newScenario(t, 2)
	sim.isolate(entryHost(0), entryHost(1), agentHost(0))
	sim.startEntry(entryHost(2))
	sim.startEntry(entryHost(3))
	for sim.now < 60*time.Second && sim.check.failure == "" {
		sim.runFor(500 * time.Millisecond)
		for range 8 {
			j := sim.callers.newJob()
			sim.submitAt(entryHost(0), j)
			sim.submitAt(entryHost(2), j)
		}
	}
	sim.runFor(4 * time.Second)
	if sim.check.failure != "" {
		t.Error(sim.check.failure)
	}
}

// probe checks that new jobs at every entry complete.
func (sim *simulation) probe() {
	var requests []*request
	for range 40 {
		for _, id := range sortedKeys(sim.entries) {
			if sim.entries[id].leaving {
				continue
			}
			requests = append(requests, sim.submitAt(sim.entries[id].host, sim.callers.newJob()))
		}
		// All jobs at once would be more than admission accepts.
		sim.runFor(probeInterval)
	}
	sim.runFor(4 * time.Second)
	for _, r := range requests {
		if r.answer == nil || !isComplete(r.answer) {
			sim.check.fail("recovery", "%s partition %d at %s: %s", r.job.name, r.job.id.Partition(), r.entry.id, bodyOf(r.answer))
		}
	}
}

// Guards against a takeover that takes longer than section 11 of the design page
// allows, counted from the failure to the first submission that must complete.
func TestRecoveryBounds(t *testing.T) {
	const takeover = 5 * time.Second
	// The window includes an allowance of 0.5% for the rates of clocks.
	unknown := (authorityTimeout+creditTTL+window)*1005/1000 + takeover
	tests := []struct {
		name  string
		bound time.Duration
		fail  func(sim *simulation)
	}{
		{"entry killed", takeover, func(sim *simulation) { sim.entryOn(entryHost(1)).kill() }},
		{"entry leaves", time.Second, func(sim *simulation) { sim.entryOn(entryHost(1)).leave() }},
		{"entry joins", 2 * time.Second, func(sim *simulation) { sim.startEntry(entryHost(3)) }},
		{"agent killed", takeover, func(sim *simulation) { sim.agents[agentHost(1)].kill() }},
		{"owner and agent killed together", takeover, func(sim *simulation) {
			sim.entryOn(entryHost(1)).kill()
			sim.agents[agentHost(1)].kill()
		}},
		{"all entries killed", takeover, func(sim *simulation) {
			for i := range 3 {
				sim.entryOn(entryHost(i)).kill()
			}
			sim.startEntry(entryHost(0))
			sim.startEntry(entryHost(1))
		}},
		{"all entries killed after an agent had left", takeover, func(sim *simulation) {
			sim.agents[agentHost(1)].drain()
			sim.runFor(3 * window)
			for i := range 3 {
				sim.entryOn(entryHost(i)).kill()
			}
			sim.startEntry(entryHost(0))
			sim.startEntry(entryHost(1))
		}},
		{"owner, witness and agent killed together", unknown, func(sim *simulation) {
			sim.entryOn(entryHost(1)).kill()
			sim.entryOn(entryHost(2)).kill()
			sim.agents[agentHost(1)].kill()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newScenario(t, 3)
			sim.probe()
			test.fail(sim)
			sim.runFor(test.bound)
			sim.probe()
			if sim.check.failure != "" {
				t.Error(sim.check.failure)
			}
		})
	}
}
