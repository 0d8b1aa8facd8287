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

// newCtl returns the command for operators.
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
			newCtlRollback(env), newCtlStatus(env), newCtlExplain(env), newCtlDrain(env), newCtlKeys(env),
		},
		Exec: unknownCommand("damasklb ctl", fs),
	}
}

// ctlFlags holds the values of flags that several ctl commands share. Each command
// adds the groups of flags that it uses.
type ctlFlags struct {
	env     Env
	json    bool
	timeout time.Duration

	tableURL string
	author   string

	entryURLs string
	files     pki.Files
	token     string

	wait        bool
	waitTimeout time.Duration
}

func (f *ctlFlags) addOutputFlag(fs *flag.FlagSet) {
	fs.BoolVar(&f.json, "json", false, "print JSON for programs")
}

func (f *ctlFlags) addTableFlags(fs *flag.FlagSet) {
	fs.StringVar(&f.tableURL, "table-url", "", "base `URL` of the platform's table service")
	f.addTimeoutFlag(fs)
}

func (f *ctlFlags) addTimeoutFlag(fs *flag.FlagSet) {
	if fs.Lookup("timeout") == nil {
		fs.DurationVar(&f.timeout, "timeout", defaultCtlTimeout, "largest `duration` of the command, such as 30s")
	}
}

func (f *ctlFlags) addAdminFlags(fs *flag.FlagSet) {
	fs.StringVar(&f.entryURLs, "entry-url", "", "base `URLs` of entries, separated by commas, tried in turn")
	fs.StringVar(&f.files.CA, "tls-ca", "", "`file` with the certificates of trusted authorities")
	fs.StringVar(&f.files.Cert, "tls-cert", "", "`file` with the operator's certificate")
	fs.StringVar(&f.files.Key, "tls-key", "", "`file` with the operator's key")
	fs.StringVar(&f.token, "token", "", "operator's bearer `token`, in place of a certificate; better set as DAMASKLB_TOKEN")
	f.addTimeoutFlag(fs)
}

func (f *ctlFlags) addWaitFlags(fs *flag.FlagSet) {
	fs.BoolVar(&f.wait, "wait", false, "wait until the version is in force on all processes; needs --entry-url")
	fs.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest `duration` to wait in addition to --timeout, such as 18s")
}

func (f *ctlFlags) addAuthorFlag(fs *flag.FlagSet) {
	fs.StringVar(&f.author, "author", "", "`name` for the audit trail; by default that in the operator's certificate, or the name of the system's user")
}

// store opens the configuration store.
func (f *ctlFlags) store() (*configstore.Store, error) {
	if f.tableURL == "" {
		return nil, fault.Usage.New("--table-url is needed: the base URL of the platform's table service")
	}
	return configstore.New(platform.NewHTTPTable(strings.TrimSuffix(f.tableURL, "/"), nil)), nil
}

// proposal returns a change without content, with its author and host. Only an
// author read from a certificate is authenticated.
func (f *ctlFlags) proposal(reason string) (configstore.Proposal, error) {
	if strings.TrimSpace(reason) == "" {
		return configstore.Proposal{}, fault.Usage.New("--reason is needed: why the change is made, for the audit trail")
	}
	author, host := f.authorAndHost()
	return configstore.Proposal{ChangeID: configstore.NewChangeID(), Author: author, Host: host, Reason: reason}, nil
}

// authorAndHost returns who makes a change, and on which host.
func (f *ctlFlags) authorAndHost() (author, host string) {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	if f.author != "" {
		return f.author, host
	}
	return f.defaultAuthor(), host
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

// command completes a ctl command: it adds the settings, the timeout, the check of
// the number of arguments, and errors as JSON.
func (f *ctlFlags) command(c *ffcli.Command, argumentCount int) *ffcli.Command {
	return f.commandWith(c, func() int { return argumentCount })
}

// commandWith is command for a number of arguments that depends on the flags.
func (f *ctlFlags) commandWith(c *ffcli.Command, argumentCount func() int) *ffcli.Command {
	run := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		if err := checkArguments(c, args, argumentCount()); err != nil {
			return err
		}
		if f.timeout > 0 {
			timeoutCtx, cancel := context.WithTimeout(ctx, f.timeout+f.waitTimeout)
			defer cancel()
			ctx = timeoutCtx
		}
		err := run(ctx, args)
		if err != nil && f.json {
			return f.printFailure(err)
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

// failureJSON is the output of a failed command with --json.
type failureJSON struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// Field is the field or parameter at fault, if it is one.
	Field string `json:"field,omitempty"`
	// ConfigVersion and ConfigAuthor are those of the newest version, if a change
	// was refused because it was not made from that version.
	ConfigVersion any `json:"config_version,omitempty"`
	ConfigAuthor  any `json:"config_author,omitempty"`
}

// printFailure prints err as JSON and returns it.
func (f *ctlFlags) printFailure(err error) error {
	detail := failureDetail{Type: errorx.GetTypeName(err), Message: fault.Text(err), Field: fault.FieldOf(err)}
	detail.ConfigVersion, _ = errorx.ExtractProperty(err, fault.ConfigVersion)
	detail.ConfigAuthor, _ = errorx.ExtractProperty(err, fault.ConfigAuthor)
	if printErr := printJSON(f.env.Stdout, failureJSON{detail}); printErr != nil {
		return printErr
	}
	return err
}

// printTable prints the rows in aligned columns.
func (f *ctlFlags) printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(f.env.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	// Flush fails only if standard output does, and then the error cannot be
	// reported there.
	_ = w.Flush()
}

func (f *ctlFlags) printf(format string, args ...any) { fmt.Fprintf(f.env.Stdout, format, args...) }
