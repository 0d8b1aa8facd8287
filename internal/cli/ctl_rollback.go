package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/fault"
)

func newCtlRollback(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl rollback", env)
	f.output(fs)
	f.table(fs)
	f.admin(fs)
	f.authorship(fs)
	reason := fs.String("reason", "", "`text` for the audit trail: why the change is made")
	to := fs.Uint64("to", 0, "`version` whose content becomes the newest version")
	base := fs.Int64("base", newestBase, baseUsage)
	id := fs.String("change-id", "", "`id` of an earlier try whose outcome is unknown, to take effect at most once")
	f.waiting(fs)
	return f.command(&ffcli.Command{
		Name:       "rollback",
		ShortUsage: "damasklb ctl rollback [flags]",
		ShortHelp:  "make the content of an old version the newest version",
		LongHelp: `The old content is validated again and becomes a new version; the history stays.

Example:
  damasklb ctl rollback --to 40 --reason "41 stopped the counter" --wait`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *to == 0 {
				return fault.Usage.New("--to is needed: the version whose content becomes the newest version")
			}
			if err := f.checkWait(); err != nil {
				return err
			}
			return f.rollback(ctx, *reason, *to, *base, *id)
		},
	}, 0)
}

func (f *ctlFlags) rollback(ctx context.Context, reason string, to uint64, base int64, id string) error {
	p, err := f.proposal(reason)
	if err != nil {
		return err
	}
	store, err := f.store()
	if err != nil {
		return err
	}
	head, err := store.Head(ctx)
	if err != nil {
		return err
	}
	p.BaseVersion = baseOr(base, head.Version)
	if id != "" {
		p.ChangeID = id
	}
	record, err := store.Rollback(ctx, to, p)
	return f.accepted(ctx, record, nil, withRetry(err, p))
}
