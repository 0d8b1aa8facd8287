package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
)

// validationResult is the output of validate with --json.
type validationResult struct {
	Valid    bool             `json:"valid"`
	Problems []config.Problem `json:"problems"`
}

func newCtlValidate(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl validate", env)
	f.addOutputFlag(fs)
	return f.command(&ffcli.Command{
		Name:       "validate",
		ShortUsage: "damasklb ctl validate [flags] <directory>",
		ShortHelp:  "check a configuration and report every problem in it",
		LongHelp: `The directory holds base.jsonc and an overlay sites/<site>.jsonc per site.
Nothing is sent anywhere.

Examples:
  damasklb ctl validate examples/kannuliit
  damasklb ctl validate --json conf/`,
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			c, problems := config.Load(args[0])
			if f.json {
				return f.validationJSON(problems)
			}
			if err := f.reportProblems(args[0], problems); err != nil {
				return err
			}
			f.printf("valid: %d classes, %d data centres, %d sites, %d callers, %d operators\n",
				len(c.Classes), len(c.DataCentres), len(c.Sites), len(c.Callers), len(c.Operators))
			return nil
		},
	}, 1)
}

func (f *ctlFlags) validationJSON(problems []config.Problem) error {
	if problems == nil {
		problems = []config.Problem{}
	}
	if err := printJSON(f.env.Stdout, validationResult{Valid: len(problems) == 0, Problems: problems}); err != nil {
		return err
	}
	f.json = false // the result is printed already, so command prints no failure
	return problemsError(len(problems))
}

// reportProblems prints the problems and returns an error if there are any.
func (f *ctlFlags) reportProblems(dir string, problems []config.Problem) error {
	for _, p := range problems {
		f.printf("%s\n", p)
	}
	return problemsError(len(problems))
}

func problemsError(problems int) error {
	if problems == 0 {
		return nil
	}
	return fault.BadConfig.New("the configuration has %d problems", problems)
}

// loadConfig returns the configuration in a directory and its encoded form. If it
// has problems, it prints them and returns an error.
func (f *ctlFlags) loadConfig(dir string) (*config.Config, []byte, error) {
	c, problems := config.Load(dir)
	if f.json && len(problems) > 0 {
		return nil, nil, f.validationJSON(problems)
	}
	if err := f.reportProblems(dir, problems); err != nil {
		return nil, nil, err
	}
	content, err := c.Encode()
	return c, content, err
}
