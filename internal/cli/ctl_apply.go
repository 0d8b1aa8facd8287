package cli

import (
	"context"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
)

const (
	// defaultWait is the bound within which a version is in force everywhere.
	defaultWait = 18 * time.Second
	// newestBase stands for the newest version at the start of a command.
	newestBase = -1
	baseUsage  = "`version` that the change was made from, 0 for none; -1 means the newest at the start of the command"
	// waitPoll is how often a waiting command asks for the status.
	waitPoll = 500 * time.Millisecond
)

// acceptance is the result of apply and rollback for programs.
type acceptance struct {
	Audit configstore.AuditRecord `json:"audit"`
	// Unchanged means that the newest version has this content already, so no
	// version was added.
	Unchanged bool       `json:"unchanged,omitempty"`
	Force     *inForceIn `json:"in_force,omitempty"`
}

// inForceIn counts the processes that have a version in force.
type inForceIn struct {
	Processes int      `json:"processes"`
	All       int      `json:"all"`
	Lacking   []string `json:"lacking,omitempty"`
}

func newCtlApply(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl apply", env)
	f.output(fs)
	f.table(fs)
	f.admin(fs)
	f.authorship(fs)
	reason := fs.String("reason", "", "`text` for the audit trail: why the change is made")
	base := fs.Int64("base", newestBase, baseUsage)
	id := fs.String("change-id", "", "`id` of an earlier try whose outcome is unknown, to take effect at most once")
	f.waiting(fs)
	return f.command(&ffcli.Command{
		Name:       "apply",
		ShortUsage: "damasklb ctl apply [flags] <directory>",
		ShortHelp:  "validate a configuration and make it the newest version",
		LongHelp: `The whole configuration is validated first. If another operator's change has
become the newest version meanwhile, this one is refused and names it.
With --base the change is refused if that version is no longer the newest.

Examples:
  damasklb ctl apply --reason "new workshop in Dago" conf/
  damasklb ctl apply --reason "longer quiet hours" --base 41 --wait conf/`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := f.checkWait(); err != nil {
				return err
			}
			return f.apply(ctx, args[0], *reason, *base, *id)
		},
	}, 1)
}

func (f *ctlFlags) apply(ctx context.Context, dir, reason string, base int64, id string) error {
	p, err := f.proposal(reason)
	if err != nil {
		return err
	}
	store, err := f.store()
	if err != nil {
		return err
	}
	proposed, content, err := f.load(dir)
	if err != nil {
		return err
	}
	p.Content = content
	newest, number, err := readVersion(ctx, store, 0)
	if err != nil {
		return err
	}
	p.BaseVersion = baseOr(base, number)
	if id != "" {
		p.ChangeID = id
	}
	changes := config.Diff(newest, proposed)
	if newest != nil && len(changes) == 0 && id == "" && p.BaseVersion == number {
		return f.unchanged(ctx, store, number)
	}
	record, err := store.Apply(ctx, p)
	return f.accepted(ctx, record, content, withRetry(err, p))
}

func (f *ctlFlags) unchanged(ctx context.Context, store *configstore.Store, version uint64) error {
	record, err := store.Audit(ctx, version)
	if err != nil {
		return err
	}
	f.say("no changes against version %d; no version was added\n", version)
	return f.finish(ctx, acceptance{Audit: record, Unchanged: true})
}

// baseOr returns the base that was asked for, or else the newest version.
func baseOr(base int64, newest uint64) uint64 {
	if base >= 0 {
		return uint64(base)
	}
	return newest
}

// withRetry tells how to retry a change whose outcome is unknown. The base
// belongs to it: over a newer version the retry would undo that one unseen.
func withRetry(err error, p configstore.Proposal) error {
	if errorx.IsOfType(err, fault.ChangeUnknown) {
		return fault.ChangeUnknown.Wrap(err, "run the command again with --change-id %s --base %d to find out or retry", p.ChangeID, p.BaseVersion)
	}
	return err
}

// accepted reports an accepted change, tells the entries of it and waits if asked.
func (f *ctlFlags) accepted(ctx context.Context, record configstore.AuditRecord, content []byte, err error) error {
	if err != nil {
		return err
	}
	f.push(ctx, record.Version, content)
	if !f.json {
		f.printChanges(record.PreviousVersion, record.Changes)
	}
	f.say("version %d accepted\n", record.Version)
	return f.finish(ctx, acceptance{Audit: record})
}

// push tells the entries of a version, if their addresses are given. Without it
// they find the version with their next read of the table, so a failure is not
// one of the command.
func (f *ctlFlags) push(ctx context.Context, version uint64, content []byte) {
	if f.entryURLs == "" {
		return
	}
	client, err := f.adminClient()
	if err == nil {
		err = client.pushConfig(ctx, version, content)
	}
	if err != nil {
		f.say("entries were not told of the version, they will find it: %s\n", fault.Text(err))
	}
}

// finish waits for a version if asked, and prints the result for programs.
func (f *ctlFlags) finish(ctx context.Context, result acceptance) error {
	var waitErr error
	if f.wait {
		result.Force, waitErr = f.await(ctx, result.Audit.Version)
	}
	if !f.json {
		return waitErr
	}
	if err := printJSON(f.env.Stdout, result); err != nil {
		return err
	}
	f.json = false // the result is printed
	return waitErr
}

func (f *ctlFlags) checkWait() error {
	if f.wait && f.entryURLs == "" {
		return fault.Usage.New("--wait needs --entry-url: the base URLs of entries")
	}
	return nil
}

// await asks entries for the status until all processes have the version.
func (f *ctlFlags) await(ctx context.Context, version uint64) (*inForceIn, error) {
	client, err := f.adminClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.waitLimit)
	defer cancel()
	started := time.Now()
	force := &inForceIn{}
	var lastErr error
	for {
		report, err := client.status(ctx)
		if err == nil {
			force.Processes, force.All = report.InForce(version)
			force.Lacking = report.Lacking(version)
			lastErr = nil
			if force.All > 0 && force.Processes == force.All {
				f.say("version %d in force on %d of %d processes after %.1f s\n", version, force.Processes, force.All, time.Since(started).Seconds())
				return force, nil
			}
		} else if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return force, f.notInForce(version, force, lastErr)
		case <-time.After(waitPoll):
		}
	}
}

func (f *ctlFlags) notInForce(version uint64, force *inForceIn, err error) error {
	text := "version %d is accepted, but in force on %d of %d processes only; lacking: %s"
	lacking := strings.Join(force.Lacking, ", ")
	if err != nil {
		return fault.NotInForce.Wrap(err, text, version, force.Processes, force.All, lacking)
	}
	return fault.NotInForce.New(text, version, force.Processes, force.All, lacking)
}

// say prints for people only.
func (f *ctlFlags) say(format string, args ...any) {
	if !f.json {
		f.printf(format, args...)
	}
}
