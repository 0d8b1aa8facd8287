package protocoltest

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/damasklb/damasklb/internal/invariant"
)

// Environment of the soak run; CI uses the defaults. A failure names the seed of
// its run, which DAMASKLB_PROOF_TRACE replays and prints.
const (
	envSeed  = "DAMASKLB_PROOF_SEED"  // "fresh", or the seed of gopter
	envSteps = "DAMASKLB_PROOF_STEPS" // total number of steps
	envTrace = "DAMASKLB_PROOF_TRACE" // seed of one run to print
)

const (
	ciSeed   = 20240601
	ciSteps  = 100_000
	runSteps = 60_000
	// faultTime is how long faults are injected in a run.
	faultTime = 60 * time.Second
	// recoveryTime is the uncertainty window, counted with the time for which
	// members may confirm each other, and the bound for a takeover.
	recoveryTime = peerAuthorityTimeout + creditTTL + window + 6*time.Second
	probeTime    = 6 * time.Second
)

func init() { invariant.SetStrict(true) }

// outcome is the outcome of one run.
type outcome struct {
	steps, starts, complete, refused, final int
	failure                                 string
}

// runSeed runs processes under random faults, ends the faults and checks recovery.
func runSeed(seed uint64, trace bool) (out outcome) {
	return newSimulation(seed).runWith(trace, (*simulation).checkRecovery)
}

// runWith runs the simulation under random faults, and then recovery.
func (sim *simulation) runWith(trace bool, recovery func(sim *simulation)) (out outcome) {
	if trace {
		sim.trace = func(format string, args ...any) {
			fmt.Printf("%10s %s\n", sim.now.Round(time.Microsecond), fmt.Sprintf(format, args...))
		}
	}
	defer func() {
		if r := recover(); r != nil {
			sim.check.fail("invariant of the program", "%v", r)
			if trace {
				panic(r)
			}
		}
		out = outcome{
			steps: sim.steps, starts: len(sim.check.starts), complete: sim.callers.complete,
			refused: sim.callers.refused, final: sim.callers.final, failure: sim.check.failure,
		}
	}()
	sim.begin()
	sim.run(sim.now+faultTime, runSteps)
	recovery(sim)
	return out
}

// begin starts the processes, lets them link to each other and starts the faults.
func (sim *simulation) begin() {
	for i := range entryHosts - 1 {
		sim.startEntry(entryHost(i))
	}
	for i := range agentHosts {
		sim.startAgent(agentHost(i))
	}
	sim.run(sim.now+3*time.Second, sim.steps+runSteps)
	sim.faultsActive = true
	sim.callers.submitNext()
	sim.after(sim.randomBetween(0, 3*time.Second), sim.inject)
}

// probeInterval is the interval between probes, so that none has to wait for slots.
const probeInterval = 200 * time.Millisecond

// checkRecovery ends the faults and checks that new jobs complete at every entry.
func (sim *simulation) checkRecovery() {
	sim.heal()
	sim.run(sim.now+recoveryTime, sim.steps+1_000_000)
	sim.probeEntries()
}

// probeEntries checks that new jobs complete at every entry.
func (sim *simulation) probeEntries() {
	var probes []*request
	for _, id := range sortedKeys(sim.entries) {
		e := sim.entries[id]
		if e.leaving {
			continue
		}
		for range 24 {
			j := sim.callers.newJob()
			r := sim.callers.newRequestAt(e, j, probeTime)
			sim.callers.send(r, j.payloads)
			probes = append(probes, r)
			// All jobs at once would be more than admission accepts.
			sim.run(sim.now+probeInterval, sim.steps+1_000_000)
		}
	}
	sim.run(sim.now+probeTime+answerGrace, sim.steps+1_000_000)
	for _, r := range probes {
		if r.answer == nil || !isComplete(r.answer) {
			sim.check.fail("recovery", "job %s partition %d at %s: %s", r.job.name, r.job.id.Partition(), r.entry.id, bodyOf(r.answer))
		}
	}
}

// Guards against any violation of the protocol's invariants under random failures,
// two or more of which may coincide or recur.
func TestAtMostOnceUnderRandomFailures(t *testing.T) {
	if s := os.Getenv(envTrace); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		out := runSeed(seed, true)
		t.Logf("%+v", out)
		if out.failure != "" {
			t.Fatal(out.failure)
		}
		return
	}
	parameters := gopter.DefaultTestParametersWithSeed(seedFromEnv(t))
	parameters.MinSuccessfulTests = stepsFromEnv(t) / minSteps
	parameters.MaxShrinkCount = 0
	parameters.Workers = 1
	var sum outcome
	runs := 0
	limit := stepsFromEnv(t)
	properties := gopter.NewProperties(parameters)
	properties.Property("the protocol holds", prop.ForAll(func(seed uint64) string {
		if sum.steps >= limit {
			return ""
		}
		out := runSeed(seed, false)
		runs++
		sum.steps += out.steps
		sum.starts += out.starts
		sum.complete += out.complete
		sum.refused += out.refused
		sum.final += out.final
		if out.failure != "" {
			return fmt.Sprintf("seed %d: %s", seed, out.failure)
		}
		return ""
	}, gen.UInt64()))
	t.Logf("gopter seed %d", parameters.Seed())
	properties.TestingRun(t)
	t.Logf("%d runs, %d steps, %d starts, %d answers, %d complete, %d not run", runs, sum.steps, sum.starts, sum.final, sum.complete, sum.refused)
}

// minSteps is below the number of steps of any run, so that enough runs are made.
const minSteps = 10_000

func seedFromEnv(t *testing.T) int64 {
	switch s := os.Getenv(envSeed); s {
	case "":
		return ciSeed
	case "fresh":
		return time.Now().UnixNano()
	default:
		seed, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return seed
	}
}

func stepsFromEnv(t *testing.T) int {
	s := os.Getenv(envSteps)
	if s == "" {
		return ciSteps
	}
	steps, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return steps
}
