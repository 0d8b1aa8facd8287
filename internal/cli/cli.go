// Package cli holds the commands of the damasklb binary, a file per command.
// Commands parse flags and wire packages together; the work is done elsewhere.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/fault"
)

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// EnvPrefix is the prefix of environment variables that set flags: the flag
// --table-url is also DAMASKLB_TABLE_URL.
const EnvPrefix = "DAMASKLB"

// Env holds the standard streams of the process.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	root := newRoot(env)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		fmt.Fprintf(env.Stderr, "damasklb: %s\n", fault.Text(err))
		return ExitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitDone
	case errorx.IsOfType(err, fault.Usage):
		fmt.Fprintf(env.Stderr, "damasklb: %s\n", fault.Text(err))
		return ExitUsage
	default:
		fmt.Fprintf(env.Stderr, "damasklb: %s\n", fault.Text(err))
		return ExitFailed
	}
}

func newRoot(env Env) *ffcli.Command {
	fs := newFlagSet("damasklb", env)
	return &ffcli.Command{
		Name:       "damasklb",
		ShortUsage: "damasklb <command> [flags]",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			newEntry(env),
			newAgent(env),
			newSubmit(env),
			newDev(env),
			newPlatform(env),
			newCtl(env),
			newVersion(env),
		},
		Exec: unknownCommand("damasklb", fs),
	}
}

// unknownCommand returns the Exec of a command that only has subcommands.
func unknownCommand(name string, fs *flag.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		fs.Usage()
		if len(args) == 0 {
			return fault.Usage.New("%s: a command is needed", name)
		}
		return fault.Usage.New("%s: unknown command %q", name, args[0])
	}
}

func newFlagSet(name string, env Env) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	return fs
}
