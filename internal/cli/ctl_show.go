package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
)

// showResult is the output of show with --json.
type showResult struct {
	Version uint64         `json:"version"`
	Config  *config.Config `json:"config"`
}

func newCtlShow(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl show", env)
	f.addOutputFlag(fs)
	f.addTableFlags(fs)
	version := fs.Uint64("version", 0, "`version` to show; 0 means the newest")
	return f.command(&ffcli.Command{
		Name:       "show",
		ShortUsage: "damasklb ctl show [flags]",
		ShortHelp:  "print the configuration of a version",
		LongHelp: `The output without --json can be saved as base.jsonc and applied again.

Examples:
  damasklb ctl show
  damasklb ctl show --version 41 --json`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			store, err := f.store()
			if err != nil {
				return err
			}
			c, number, err := readVersion(ctx, store, *version)
			if err != nil {
				return err
			}
			if c == nil {
				return fault.NoVersion.New("there is no configuration yet")
			}
			if f.json {
				return printJSON(env.Stdout, showResult{number, c})
			}
			f.printf("// version %d\n", number)
			return printJSON(env.Stdout, c)
		},
	}, 0)
}
