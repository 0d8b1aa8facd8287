package leasetest

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// hazardSets are the sets of hazards that DAMASKLB_HAZARDS names: sets are separated by
// commas, hazards of one set by "+". "each" stands for all sets of one, "pairs" for those of
// two.
func hazardSets(spec string) (sets [][]hazard) {
	for _, set := range strings.Split(spec, ",") {
		switch set {
		case "each":
			for _, h := range allHazards {
				sets = append(sets, []hazard{h})
			}
		case "pairs":
			for i, h := range allHazards {
				for _, o := range allHazards[i+1:] {
					sets = append(sets, []hazard{h, o})
				}
			}
		default:
			var hazards []hazard
			for _, name := range strings.Split(set, "+") {
				hazards = append(hazards, hazard(name))
			}
			sets = append(sets, hazards)
		}
	}
	return sets
}

// simulateHazards runs the random model with hazards, without a log if quiet is set.
func simulateHazards(seed int64, quiet bool, hazards []hazard) (*world, string) {
	return simulateWith(seed, func(w *world) {
		w.noLog = quiet
		w.enable(hazards...)
	})
}

// Searches for violated invariants under the hazards that DAMASKLB_HAZARDS names.
// DAMASKLB_HAZARD_RUNS is the number of seeds of each set, DAMASKLB_LEASE_SEED one seed whose
// log is printed.
func TestHazards(t *testing.T) {
	spec := os.Getenv("DAMASKLB_HAZARDS")
	if spec == "" {
		t.Skip("DAMASKLB_HAZARDS is not set")
	}
	for _, hazards := range hazardSets(spec) {
		for _, h := range hazards {
			if !slices.Contains(allHazards, h) {
				t.Fatalf("unknown hazard %q", h)
			}
		}
		if s := os.Getenv("DAMASKLB_LEASE_SEED"); s != "" {
			seed, err := strconv.ParseInt(s, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			w, failure := simulateHazards(seed, false, hazards)
			t.Fatalf("%s\nseed %d: %q", strings.Join(w.log, "\n"), seed, failure)
		}
		runs, err := strconv.ParseInt(os.Getenv("DAMASKLB_HAZARD_RUNS"), 10, 64)
		if err != nil {
			runs = 100
		}
		reportHazards(t, hazards, runs)
	}
}

// reportHazards reports the failures of a number of seeds by kind.
func reportHazards(t *testing.T, hazards []hazard, runs int64) {
	t.Helper()
	var mu sync.Mutex
	seeds := make(chan int64)
	failures, starts, served := map[string][]string{}, 0, 0
	var workers sync.WaitGroup
	for range min(3, runtime.GOMAXPROCS(0)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				w, failure := simulateHazards(seed, true, hazards)
				mu.Lock()
				starts, served = starts+w.starts, served+w.served
				if failure != "" {
					kind := failureKind(failure)
					failures[kind] = append(failures[kind], strconv.FormatInt(seed, 10)+" "+failure)
				}
				mu.Unlock()
			}
		}()
	}
	for seed := range runs {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	for kind, list := range failures {
		slices.Sort(list)
		t.Errorf("%v: %s: %d of %d seeds, e.g. %s", hazards, kind, len(list), runs, strings.Join(list[:min(3, len(list))], " | "))
	}
	t.Logf("%v: %d seeds, %d starts, %d jobs served", hazards, runs, starts, served)
}

// failureKind names the invariant that a failure is about.
func failureKind(failure string) string {
	for _, kind := range []string{"twice", "is refused, but has run", "was refused and has run", "no answer", "thousandths", "still", "crashed"} {
		if strings.Contains(failure, kind) {
			return kind
		}
	}
	return "other"
}
