package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

const (
	// defaultWaitTimeout is the time within which a version is in force on all
	// processes.
	defaultWaitTimeout = 18 * time.Second
	// newestBase is the value of --base for the newest version at the start of the
	// command.
	newestBase = -1
	baseUsage  = "`version` that the change was made from, 0 for none; -1 means the newest at the start of the command"
	// statusPollInterval is the interval at which a waiting command requests the
	// status.
	statusPollInterval = 500 * time.Millisecond
)

// changeResult is the output of apply and rollback with --json.
type changeResult struct {
	Audit configstore.AuditRecord `json:"audit"`
	// Unchanged is set if the newest version has this content already, so that no
	// version was added.
	Unchanged bool          `json:"unchanged,omitempty"`
	InForce   *inForceCount `json:"in_force,omitempty"`
}

// inForceCount counts the processes that have a version in force.
type inForceCount struct {
	Processes int      `json:"processes"`
	All       int      `json:"all"`
	Lacking   []string `json:"lacking,omitempty"`
}

func newCtlApply(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl apply", env)
	f.addOutputFlag(fs)
	f.addTableFlags(fs)
	f.addAdminFlags(fs)
	f.addAuthorFlag(fs)
	reason := fs.String("reason", "", "`text` for the audit trail: why the change is made")
	base := fs.Int64("base", newestBase, baseUsage)
	id := fs.String("change-id", "", "`id` of an earlier try whose outcome is unknown, to take effect at most once")
	f.addWaitFlags(fs)
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
	proposed, content, err := f.loadConfig(dir)
	if err != nil {
		return err
	}
	p.Content = content
	newest, number, err := readVersion(ctx, store, 0)
	if err != nil {
		return err
	}
	p.BaseVersion = baseVersion(base, number)
	if id != "" {
		p.ChangeID = id
	}
	changes := config.Diff(newest, proposed)
	if newest != nil && len(changes) == 0 && id == "" && p.BaseVersion == number {
		return f.reportUnchanged(ctx, store, number)
	}
	record, err := store.Apply(ctx, p)
	return f.reportAccepted(ctx, record, content, withRetryHint(err, p))
}

func (f *ctlFlags) reportUnchanged(ctx context.Context, store *configstore.Store, version uint64) error {
	record, err := store.Audit(ctx, version)
	if err != nil {
		return err
	}
	f.printUnlessJSON("no changes against version %d; no version was added\n", version)
	return f.finish(ctx, changeResult{Audit: record, Unchanged: true})
}

// baseVersion returns base, or newest if base is newestBase.
func baseVersion(base int64, newest uint64) uint64 {
	if base >= 0 {
		return uint64(base)
	}
	return newest
}

// withRetryHint adds to an error with an unknown outcome how to retry the change.
// The hint includes the base: a retry on top of a newer version would silently undo
// that version.
func withRetryHint(err error, p configstore.Proposal) error {
	if errorx.IsOfType(err, fault.ChangeUnknown) {
		return fault.ChangeUnknown.Wrap(err, "run the command again with --change-id %s --base %d to find out or retry", p.ChangeID, p.BaseVersion)
	}
	return err
}

// reportAccepted notifies the entries of an accepted change, prints it and waits
// until it is in force if --wait is set. It returns err unchanged if err is not nil.
func (f *ctlFlags) reportAccepted(ctx context.Context, record configstore.AuditRecord, content []byte, err error) error {
	if err != nil {
		return err
	}
	f.notifyEntries(ctx, record.Version, content)
	if !f.json {
		f.printChanges(record.PreviousVersion, record.Changes)
	}
	f.printUnlessJSON("version %d accepted\n", record.Version)
	return f.finish(ctx, changeResult{Audit: record})
}

// notifyEntries sends a version to the entries if --entry-url is set. The command
// does not fail if that fails: the entries find the version when they next read the
// table.
func (f *ctlFlags) notifyEntries(ctx context.Context, version uint64, content []byte) {
	if f.entryURLs == "" {
		return
	}
	client, err := f.adminClient()
	if err == nil {
		err = client.pushConfig(ctx, version, content)
	}
	if err != nil {
		f.printUnlessJSON("entries could not be notified of the version, they will read it from the table: %s\n", fault.Text(err))
	}
}

// finish waits until the version is in force if --wait is set, and prints the result
// if --json is set.
func (f *ctlFlags) finish(ctx context.Context, result changeResult) error {
	var waitErr error
	if f.wait {
		result.InForce, waitErr = f.waitInForce(ctx, result.Audit.Version)
	}
	if !f.json {
		return waitErr
	}
	if err := printJSON(f.env.Stdout, result); err != nil {
		return err
	}
	f.json = false // the result is printed already, so command prints no failure
	return waitErr
}

func (f *ctlFlags) checkWait() error {
	if f.wait && f.entryURLs == "" {
		return fault.Usage.New("--wait needs --entry-url: the base URLs of entries")
	}
	return nil
}

// waitInForce requests the status from the entries until all processes have the
// version in force.
func (f *ctlFlags) waitInForce(ctx context.Context, version uint64) (*inForceCount, error) {
	subject := fmt.Sprintf("version %d", version)
	return f.waitFor(ctx, subject, "accepted", func(r status.Report) []string { return r.Lacking(version) })
}

// waitFor requests the status from the entries until no process lacks what the subject
// names and state describes.
func (f *ctlFlags) waitFor(ctx context.Context, subject, state string, lacking func(status.Report) []string) (*inForceCount, error) {
	client, err := f.adminClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.waitTimeout)
	defer cancel()
	started := time.Now()
	count := &inForceCount{}
	var lastErr error
	for {
		report, err := client.status(ctx)
		if err == nil {
			count.Lacking = lacking(report)
			count.All = len(report.Entries) + len(report.Agents)
			count.Processes = count.All - len(count.Lacking)
			lastErr = nil
			if count.All > 0 && count.Processes == count.All {
				f.printUnlessJSON("%s in force on %d of %d processes after %.1f s\n", subject, count.Processes, count.All, time.Since(started).Seconds())
				return count, nil
			}
		} else if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return count, notInForceError(subject, state, count, lastErr)
		case <-time.After(statusPollInterval):
		}
	}
}

func notInForceError(subject, state string, count *inForceCount, err error) error {
	text := "%s is %s, but in force on %d of %d processes only; lacking: %s"
	lacking := strings.Join(count.Lacking, ", ")
	if err != nil {
		return fault.NotInForce.Wrap(err, text, subject, state, count.Processes, count.All, lacking)
	}
	return fault.NotInForce.New(text, subject, state, count.Processes, count.All, lacking)
}

// printUnlessJSON prints text for people. It prints nothing if --json is set.
func (f *ctlFlags) printUnlessJSON(format string, args ...any) {
	if !f.json {
		f.printf(format, args...)
	}
}
