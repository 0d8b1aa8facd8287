package cli

import (
	"context"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Version is the version of this build.
const Version = "0.1.0"

func newVersion(env Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "damasklb version",
		ShortHelp:  "print the version",
		LongHelp:   "Example:\n  damasklb version",
		FlagSet:    newFlagSet("version", env),
		Options:    options(),
		Exec: func(context.Context, []string) error {
			fmt.Fprintf(env.Stdout, "damasklb %s %s\n", Version, runtime.Version())
			return nil
		},
	}
}
