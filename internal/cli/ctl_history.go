package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
)

const defaultHistory = 20

func newCtlHistory(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl history", env)
	f.addOutputFlag(fs)
	f.addTableFlags(fs)
	count := fs.Int("count", defaultHistory, "largest `number` of versions, the newest first")
	version := fs.Uint64("version", 0, "show one `version` with all that it changed")
	evacuations := fs.Bool("evacuations", false, "show the changes of evacuations in place of those of the configuration")
	return f.command(&ffcli.Command{
		Name:       "history",
		ShortUsage: "damasklb ctl history [flags]",
		ShortHelp:  "show who changed what, when, from where and why",
		LongHelp: `Examples:
  damasklb ctl history --count 5
  damasklb ctl history --version 41
  damasklb ctl history --evacuations`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *count < 1 {
				return fault.Usage.New("--count %d is not allowed; allowed: 1 or more", *count)
			}
			store, err := f.store()
			if err != nil {
				return err
			}
			if *version != 0 {
				return f.showRecord(ctx, store, *version)
			}
			if *evacuations {
				return f.showEvacuationHistory(ctx, store, *count)
			}
			records, err := store.History(ctx, *count)
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(env.Stdout, records)
			}
			f.printHistory(records)
			return nil
		},
	}, 0)
}

func (f *ctlFlags) printHistory(records []configstore.AuditRecord) {
	rows := make([][]string, 0, len(records))
	for _, r := range records {
		rows = append(rows, []string{
			strconv.FormatUint(r.Version, 10), r.Time.Format(time.RFC3339), r.Author, r.Host,
			actionText(r), strconv.Itoa(len(r.Changes)), r.Reason,
		})
	}
	f.printTable([]string{"VERSION", "TIME", "AUTHOR", "FROM", "ACTION", "CHANGES", "REASON"}, rows)
}

func (f *ctlFlags) showEvacuationHistory(ctx context.Context, store *configstore.Store, count int) error {
	records, err := store.EvacuationHistory(ctx, count)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(f.env.Stdout, records)
	}
	f.printEvacuationHistory(records)
	return nil
}

func actionText(r configstore.AuditRecord) string {
	if r.Action == configstore.ActionRollback {
		return fmt.Sprintf("rollback to %d", r.RollbackTo)
	}
	return string(r.Action)
}

func (f *ctlFlags) showRecord(ctx context.Context, store *configstore.Store, version uint64) error {
	r, err := store.Audit(ctx, version)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(f.env.Stdout, r)
	}
	f.printf("version %d, %s\nchange id: %s\nauthor: %s on %s\ntime: %s\nreason: %s\n",
		r.Version, actionText(r), r.ChangeID, r.Author, r.Host, r.Time.Format(time.RFC3339), r.Reason)
	f.printChanges(r.PreviousVersion, r.Changes)
	return nil
}
