// Command bench compares the dispatch policy with baselines and with versions that
// lack one of its mechanisms. It drives the policy by an event loop on virtual
// time against simulated workers, and writes a table, a CSV file and plots.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"golang.org/x/sync/errgroup"

	"github.com/damasklb/damasklb/internal/invariant"
)

// options are the command line settings.
type options struct {
	seeds    int
	first    uint64
	scenario string
	policy   string
	site     string
	out      string
	workers  int
}

func main() {
	var o options
	fs := flag.NewFlagSet("bench", flag.ContinueOnError)
	fs.IntVar(&o.seeds, "seeds", 5, "number of seeds; the table shows medians")
	fs.Uint64Var(&o.first, "first-seed", 1, "first seed")
	fs.StringVar(&o.scenario, "scenario", "", "only scenarios whose name contains this")
	fs.StringVar(&o.policy, "policy", "", "only policies whose name contains this")
	fs.StringVar(&o.site, "site", "", "only deployments whose name contains this")
	fs.StringVar(&o.out, "out", "bench/out", "directory for CSV files and plots; empty for none")
	fs.IntVar(&o.workers, "workers", runtime.GOMAXPROCS(0), "number of runs at a time")
	if err := ff.Parse(fs, os.Args[1:]); err != nil {
		os.Exit(2)
	}
	invariant.SetStrict(true)
	if err := measureAll(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// row is one line of the table: the results of one policy in one scenario on one
// deployment, with one result per seed.
type row struct {
	site, scenario, policy string
	results                []result
	median                 result
}

func measureAll(o options) error {
	rows := selectRows(o)
	var g errgroup.Group
	g.SetLimit(o.workers)
	for _, r := range rows {
		for i := range r.results {
			g.Go(func() error {
				r.results[i] = r.newSimulation(o.first + uint64(i)).measure()
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range rows {
		r.median = medians(r.results)
	}
	return report(o, rows)
}

// selectRows returns the rows that the options select.
func selectRows(o options) []*row {
	var rows []*row
	for _, st := range sites {
		for _, sc := range scenarios() {
			for _, p := range policies() {
				if !strings.Contains(st.name, o.site) || !strings.Contains(sc.name, o.scenario) ||
					!strings.Contains(p.name, o.policy) {
					continue
				}
				if p.disabled != 0 && sc.machines > machineCount {
					// Versions without a mechanism run only with the usual number of
					// workers, which takes far less time.
					continue
				}
				rows = append(rows, &row{site: st.name, scenario: sc.name, policy: p.name, results: make([]result, o.seeds)})
			}
		}
	}
	return rows
}

func policies() []policy {
	all := append([]policy{}, baselines...)
	all = append(all, fullPolicy)
	return append(all, ablations...)
}

func (r *row) newSimulation(seed uint64) *simulation {
	for _, st := range sites {
		for _, sc := range scenarios() {
			for _, p := range policies() {
				if st.name == r.site && sc.name == r.scenario && p.name == r.policy {
					return newSimulation(st, sc, p, seed)
				}
			}
		}
	}
	return nil
}
