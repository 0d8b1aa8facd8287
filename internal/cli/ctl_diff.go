package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
)

// diffResult is the output of diff with --json.
type diffResult struct {
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
}

func newCtlDiff(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl diff", env)
	f.addOutputFlag(fs)
	f.addTableFlags(fs)
	version := fs.Uint64("version", 0, "`version` to compare with; 0 means the newest")
	return f.command(&ffcli.Command{
		Name:       "diff",
		ShortUsage: "damasklb ctl diff [flags] <directory>",
		ShortHelp:  "show what a configuration would change",
		LongHelp: `Lines start with + (added), - (removed) or ~ (changed).

Examples:
  damasklb ctl diff conf/
  damasklb ctl diff --version 41 conf/`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			store, err := f.store()
			if err != nil {
				return err
			}
			proposed, _, err := f.loadConfig(args[0])
			if err != nil {
				return err
			}
			old, number, err := readVersion(ctx, store, *version)
			if err != nil {
				return err
			}
			changes := config.Diff(old, proposed)
			if f.json {
				return printJSON(env.Stdout, diffResult{number, changes})
			}
			f.printChanges(number, changes)
			return nil
		},
	}, 1)
}

func (f *ctlFlags) printChanges(version uint64, changes []config.Change) {
	if len(changes) == 0 {
		f.printf("no changes against version %d\n", version)
		return
	}
	f.printf("changes against version %d:\n", version)
	for _, change := range changes {
		f.printf("  %s\n", change)
	}
}

// readVersion returns the configuration and number of a version; 0 selects the
// newest. The configuration is nil if there is no version yet.
func readVersion(ctx context.Context, store *configstore.Store, version uint64) (*config.Config, uint64, error) {
	if version == 0 {
		head, err := store.Head(ctx)
		if err != nil || head.Version == 0 {
			return nil, 0, err
		}
		version = head.Version
	}
	content, err := store.Content(ctx, version)
	if err != nil {
		return nil, 0, err
	}
	c, err := config.Decode(content)
	return c, version, err
}
