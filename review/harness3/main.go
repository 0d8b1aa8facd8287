// Command harness3 runs one case of the review: it starts the platform's programs as separate
// processes on loopback, with stand-ins for the store, the upstreams and the callers, brings one
// disruption about and checks one rule by what the stand-ins have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenario is one case with the rule that it checks. run returns an error if it could not run.
type scenario struct {
	rule string
	run  func(d *deployment, trouble bool) error
}

var scenarios = map[string]scenario{
	"stray-entry":      {"RECOVER", strayEntry},
	"behind-the-cut":   {"LIMIT", behindTheCut},
	"cut-after-freeze": {"TWICE", cutAfterFreeze},
	"cancelled-again":  {"UNASKED", cancelledAgain},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]].run == nil {
		fmt.Fprintln(os.Stderr, "want the name of a case and the folder of its record")
		return notRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	rec.rule = scenarios[args[0]].rule
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", args[0], trouble)
	d, err := newDeployment(rec)
	if err != nil {
		return rec.couldNotRun(err)
	}
	defer d.close()
	if err := scenarios[args[0]].run(d, trouble); err != nil {
		return rec.couldNotRun(err)
	}
	if n := d.processesEnded(); n > 0 {
		return rec.couldNotRun(fmt.Errorf("%d processes have ended", n))
	}
	return rec.verdict()
}

var errNothingServed = errors.New("the deployment serves no job")
