// Command harness2 shows the script cases of the second review. It starts the deployed programs
// as processes on loopback addresses, stands in for the platform's store, the upstreams and the
// callers, brings the disruption of one case about, and checks the rule from what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Without
// the disruption (TROUBLE=0) the rule has to hold.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotShown = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*deployment) (bool, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintf(os.Stderr, "usage: harness2 <%s> RECORD\n", strings.Join(slices.Sorted(maps.Keys(cases)), "|"))
		os.Exit(exitNotShown)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotShown
	}
	d, err := newDeployment(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	}
	defer d.end()
	held, err := run(d)
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		return exitNotShown
	case !held:
		d.record("RESULT: the rule was broken")
		return exitBroken
	}
	d.record("RESULT: the rule held")
	return exitHeld
}
