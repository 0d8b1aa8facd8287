// Command reviewcase plays one case of the review: it starts the programs of the platform as
// processes, with stand-ins for the store, the workers and the clients, and checks one rule.
//
// It exits with 0 if the rule was kept, 1 if it was broken, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitKept = iota
	exitBroken
	exitNotRun
)

// caseLimit bounds the time of a case.
const caseLimit = 110 * time.Second

// reviewCase plays a case. It returns an error if the case could not run.
type reviewCase func(r *recorder, trouble bool) error

var cases = map[string]reviewCase{}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE RECORD")
		return exitNotRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs of the deploy file first:", err)
		return exitNotRun
	}
	r, err := newRecorder(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case %s, trouble %t", args[0], trouble)
	result := make(chan error, 1)
	go func() { result <- cases[args[0]](r, trouble) }()
	select {
	case err = <-result:
	case <-time.After(caseLimit):
		err = fmt.Errorf("the case has not ended within %s", caseLimit)
		killAll()
	}
	switch n := r.broken(); {
	case err != nil:
		r.log("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case n > 0:
		r.log("the rule was broken %d times", n)
		fmt.Printf("the rule was broken %d times, first: %s\n", n, r.violations[0])
		return exitBroken
	}
	r.log("the rule was kept")
	fmt.Println("the rule was kept")
	return exitKept
}
