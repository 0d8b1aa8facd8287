// Command processes measures the system as separate processes on loopback: the
// overhead of the dispatcher over a direct call, a resubmission storm while
// entries are killed, the time until the keys of a killed entry are served again,
// requests cut by graceful shutdowns, service while the table is down, and service
// under random faults. It prints the results and stores them as JSON.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/load"
	"github.com/damasklb/damasklb/internal/rig"
)

// settings are the sizes of the measurements.
type settings struct {
	only          string
	out           string
	calls         int
	stormJobs     int
	kills         int
	drainRequests int
	// agentDrains is the number of agents shut down after each entry.
	agentDrains    int
	logDir         string
	outageDuration time.Duration
	chaosDuration  time.Duration
	seed           uint64
}

// scenario is one measurement. Each has a system of its own.
type scenario struct {
	name string
	// relays puts relays in front of the entries, so that links can be silenced.
	relays bool
	run    func(r *rig.Rig, s settings) (any, error)
}

var scenarios = []scenario{
	{"overhead", false, measureOverhead},
	{"storm", false, measureStorm},
	{"recovery", false, measureRecovery},
	{"drain", false, measureDrain},
	{"outage", false, measureOutage},
	{"chaos", true, measureChaos},
}

func main() {
	rig.Main()
	var s settings
	flag.StringVar(&s.only, "only", "", "scenarios to run, separated by commas (default: all)")
	flag.StringVar(&s.out, "out", filepath.Join("bench", "out", "processes.json"), "file for the results")
	flag.IntVar(&s.calls, "calls", 1000, "overhead: calls of each kind")
	flag.IntVar(&s.stormJobs, "storm", 3000, "storm: jobs, each sent three times")
	flag.IntVar(&s.kills, "kills", 9, "recovery: kills")
	flag.IntVar(&s.drainRequests, "requests", 12000, "drain: requests at least")
	flag.IntVar(&s.agentDrains, "agent-drains", 2, "drain: agents shut down after each entry")
	flag.StringVar(&s.logDir, "logs", "", "directory for the processes' logs (default: none are kept)")
	flag.DurationVar(&s.outageDuration, "outage", time.Minute, "outage: how long the table is down")
	flag.DurationVar(&s.chaosDuration, "chaos", time.Minute, "chaos: how long random faults happen")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of run times and faults")
	flag.Parse()
	if err := runAll(s); err != nil {
		fmt.Fprintf(os.Stderr, "processes: %s\n", err)
		os.Exit(1)
	}
}

func runAll(s settings) error {
	results := map[string]any{"when": time.Now().UTC(), "processors": runtime.NumCPU()}
	for _, c := range scenarios {
		if s.only != "" && !strings.Contains(","+s.only+",", ","+c.name+",") {
			continue
		}
		result, err := runScenario(c, s)
		if err != nil {
			return err
		}
		results[c.name] = result
		text, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		fmt.Printf("%s %s\n", c.name, text)
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(s.out), 0o755); err != nil {
		return err
	}
	return os.WriteFile(s.out, append(text, '\n'), 0o644)
}

func runScenario(c scenario, s settings) (any, error) {
	o := rig.DefaultOptions()
	o.Relays = c.relays
	if s.logDir != "" {
		o.LogDir = filepath.Join(s.logDir, c.name)
	}
	r, err := rig.Start(o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	result, err := c.run(r, s)
	for _, line := range r.FailureLogLines() {
		fmt.Fprintf(os.Stderr, "%s: %s\n", c.name, line)
	}
	return result, err
}

// loadOptions returns the options of a load that takes at most a third of the slots.
// The scenarios vary them.
func loadOptions(r *rig.Rig, s settings, rate float64, duration time.Duration) load.Options {
	return load.Options{
		URLs: r.URLs(), Class: "echo", Caller: "bench", Rate: rate, Duration: duration, Tasks: 2, Copies: 1,
		Sleep: load.Sleep{Fixed: 50 * time.Millisecond}, Deadline: 10 * time.Second, KeyPrefix: "bench", Seed: s.seed,
		Failover: true,
	}
}
