// Command capacity measures the processor time, memory, traffic and table calls of
// entries and agents on one machine and how they grow with the number of agents,
// entries, tasks, task records and callers. It prints each value, fits straight
// lines and stores the values as CSV. The figures in docs/CAPACITY.md come from it.
//
// Usage: go run ./bench/capacity [flags]
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Kinds of child processes.
const (
	kindEntries = "entries-child"
	kindAgents  = "agents-child"
)

const (
	// memoryLimit is the soft memory limit of the measuring program itself.
	memoryLimit = 4 << 30
	// timeLimit ends the whole run, so that it cannot hang.
	timeLimit = 8 * time.Minute
)

// measurement is one part of the program's run. Its name selects it on the command line.
type measurement struct {
	name  string
	title string
	run   func(r *report) error
}

var measurements = []measurement{
	{"memory", "Memory per task record, job and job record (cores)", measureMemory},
	{"policy", "Dispatch policy: cost by callers (core)", measurePolicy},
	{"pump", "Entry core: cost per task by agents (core, no links)", measureEntryCore},
	{"map", "Partition map: bytes and time by entries (core)", measureMap},
	{"config", "Configuration: bytes and time by callers (core)", measureConfig},
	{"fence", "Takeover: time by task records and agents (cores)", measureTakeoverCores},
	{"messages", "Messages: encoded bytes and codec time", measureMessages},
	{"links", "Idle entry–entry links (processes)", measureEntryLinks},
	{"agents", "Idle agents, then tasks, by agents (processes)", measureAgents},
	{"forward", "Tasks by entries (processes)", measureForward},
	{"takeover", "Entry killed, by entries and agents (processes)", measureTakeover},
}

func main() {
	if len(os.Args) > 1 && (os.Args[1] == kindEntries || os.Args[1] == kindAgents) {
		exit(childMain(os.Args[1], os.Args[2:]))
	}
	only := flag.String("run", "", "comma-separated names of measurements (default: all)")
	sizes := flag.String("agents", "3,10,30,100,300", "numbers of agents in the measurement \"agents\"")
	out := flag.String("out", "bench/out", "directory for the CSV file")
	flag.Parse()
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < 1 {
			exit(fault.Usage.New("-agents: %q is not a positive number", size))
		}
		agentSizes = append(agentSizes, n)
	}
	exit(runMeasurements(*only, *out))
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runMeasurements(only, out string) error {
	runtime.GOMAXPROCS(parentCores)
	debug.SetMemoryLimit(memoryLimit)
	time.AfterFunc(timeLimit, func() { exit(fault.Internal.New("measurements not done after %s", timeLimit)) })
	r := newReport(os.Stdout)
	fmt.Printf("%s, %s/%s, %d cores in the machine; at most 4 used: %d for this process, %d for the entries, %d for the agents\n",
		runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), parentCores, childCores, childCores)
	started := time.Now()
	for _, m := range measurements {
		if !selected(only, m.name) {
			continue
		}
		begin := time.Now()
		r.section(m.title)
		if err := m.run(r); err != nil {
			return err
		}
		fmt.Printf("  (%s took %.1f s)\n", m.name, time.Since(begin).Seconds())
	}
	r.printFits()
	fmt.Printf("\nThe whole run took %.0f s.\n", time.Since(started).Seconds())
	return writeCSVFile(r, out)
}

func selected(only, name string) bool {
	if only == "" {
		return true
	}
	for _, n := range strings.Split(only, ",") {
		if n == name {
			return true
		}
	}
	return false
}

func writeCSVFile(r *report, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fault.Internal.Wrap(err, "create directory %s", dir)
	}
	f, err := os.Create(filepath.Join(dir, "capacity.csv"))
	if err != nil {
		return fault.Internal.Wrap(err, "create CSV file")
	}
	if err := r.writeCSV(f); err != nil {
		_ = f.Close()
		return fault.Internal.Wrap(err, "write CSV")
	}
	if err := f.Close(); err != nil {
		return fault.Internal.Wrap(err, "close CSV")
	}
	return nil
}
