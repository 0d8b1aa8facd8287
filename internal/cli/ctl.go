package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
)

const defaultCtlTimeout = 30 * time.Second

// newCtl is the operators' client.
func newCtl(env Env) *ffcli.Command {
	fs := newFlagSet("damasklb ctl", env)
	return &ffcli.Command{
		Name:       "ctl",
		ShortUsage: "damasklb ctl <command> [flags] [arguments]",
		ShortHelp:  "configure and operate an installation",
		LongHelp: `Flags go before arguments. Each flag can also be set by an environment variable
(--table-url is DAMASKLB_TABLE_URL) or by a file named with --settings.
Exit codes: 0 done, 1 refused or failed, 2 wrong usage.

Examples:
  damasklb ctl validate conf/
  damasklb ctl apply --reason "longer quiet hours" --wait conf/`,
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			newCtlValidate(env), newCtlDiff(env), newCtlApply(env), newCtlShow(env), newCtlHistory(env),
			newCtlRollback(env), newCtlStatus(env), newCtlDrain(env), newCtlKeys(env),
		},
		Exec: unknownCommand("damasklb ctl", fs),
	}
}

// ctlFlags are flags that several ctl commands share. Each command registers
// the groups that it uses.
type ctlFlags struct {
	env     Env
	json    bool
	timeout time.Duration

	tableURL string
	author   string

	entryURLs string
	files     pki.Files
	token     string

	wait      bool
	waitLimit time.Duration
}

func (f *ctlFlags) output(fs *flag.FlagSet) {
	fs.BoolVar(&f.json, "json", false, "print JSON for programs")
}

func (f *ctlFlags) table(fs *flag.FlagSet) {
	fs.StringVar(&f.tableURL, "table-url", "", "base `URL` of the platform's table service")
	f.limit(fs)
}

func (f *ctlFlags) limit(fs *flag.FlagSet) {
	if fs.Lookup("timeout") == nil {
		fs.DurationVar(&f.timeout, "timeout", defaultCtlTimeout, "largest `duration` of the command, such as 30s")
	}
}

func (f *ctlFlags) admin(fs *flag.FlagSet) {
	fs.StringVar(&f.entryURLs, "entry-url", "", "base `URLs` of entries, separated by commas, tried in turn")
	fs.StringVar(&f.files.CA, "tls-ca", "", "`file` with the certificates of trusted authorities")
	fs.StringVar(&f.files.Cert, "tls-cert", "", "`file` with the operator's certificate")
	fs.StringVar(&f.files.Key, "tls-key", "", "`file` with the operator's key")
	fs.StringVar(&f.token, "token", "", "operator's bearer `token`, in place of a certificate; better set as DAMASKLB_TOKEN")
	f.limit(fs)
}

func (f *ctlFlags) waiting(fs *flag.FlagSet) {
	fs.BoolVar(&f.wait, "wait", false, "wait until the version is in force on all processes; needs --entry-url")
	fs.DurationVar(&f.waitLimit, "wait-timeout", defaultWait, "longest `duration` to wait in addition to --timeout, such as 18s")
}

func (f *ctlFlags) authorship(fs *flag.FlagSet) {
	fs.StringVar(&f.author, "author", "", "`name` for the audit trail; by default that in the operator's certificate, or the name of the system's user")
}

// store opens the configuration store.
func (f *ctlFlags) store() (*configstore.Store, error) {
	if f.tableURL == "" {
		return nil, fault.Usage.New("--table-url is needed: the base URL of the platform's table service")
	}
	return configstore.New(platform.NewHTTPTable(strings.TrimSuffix(f.tableURL, "/"), nil)), nil
}

// proposal is a change with its author and host. Only a certificate proves who
// the author is.
func (f *ctlFlags) proposal(reason string) (configstore.Proposal, error) {
	if strings.TrimSpace(reason) == "" {
		return configstore.Proposal{}, fault.Usage.New("--reason is needed: why the change is made, for the audit trail")
	}
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	author := f.author
	if author == "" {
		author = f.defaultAuthor()
	}
	return configstore.Proposal{ChangeID: configstore.NewChangeID(), Author: author, Host: host, Reason: reason}, nil
}

func (f *ctlFlags) defaultAuthor() string {
	if name, err := pki.CommonNameOf(f.files.Cert); err == nil {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// command completes a ctl command: settings, the time limit, the number of
// arguments, and failures as JSON.
func (f *ctlFlags) command(c *ffcli.Command, arguments int) *ffcli.Command {
	run := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		if err := checkArguments(c, args, arguments); err != nil {
			return err
		}
		if f.timeout > 0 {
			limited, cancel := context.WithTimeout(ctx, f.timeout+f.waitLimit)
			defer cancel()
			ctx = limited
		}
		err := run(ctx, args)
		if err != nil && f.json {
			return f.failure(err)
		}
		return err
	}
	return addSettings(f.env, c, "token")
}

func checkArguments(c *ffcli.Command, args []string, wanted int) error {
	if len(args) == wanted {
		return nil
	}
	for _, arg := range args {
		if strings.HasPrefix(arg, "-") {
			return fault.Usage.New("%s: flag %s must come before the arguments", c.Name, arg)
		}
	}
	return fault.Usage.New("%s: %d arguments given, %d needed; usage: %s", c.Name, len(args), wanted, c.ShortUsage)
}

// failureJSON is what programs get of a failure.
type failureJSON struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// ConfigVersion and ConfigAuthor are those of the version that a change
	// lost to.
	ConfigVersion any `json:"config_version,omitempty"`
	ConfigAuthor  any `json:"config_author,omitempty"`
}

func (f *ctlFlags) failure(err error) error {
	detail := failureDetail{Type: errorx.GetTypeName(err), Message: fault.Text(err)}
	detail.ConfigVersion, _ = errorx.ExtractProperty(err, fault.ConfigVersion)
	detail.ConfigAuthor, _ = errorx.ExtractProperty(err, fault.ConfigAuthor)
	if printErr := printJSON(f.env.Stdout, failureJSON{detail}); printErr != nil {
		return printErr
	}
	return err
}

// printTable writes aligned columns for people.
func (f *ctlFlags) printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(f.env.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	// The writer's only error is that of standard output, where there is nobody
	// to tell.
	_ = w.Flush()
}

func (f *ctlFlags) printf(format string, args ...any) { fmt.Fprintf(f.env.Stdout, format, args...) }
