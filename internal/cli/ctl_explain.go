package cli

import (
	"context"
	neturl "net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/explain"
)

func newCtlExplain(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl explain", env)
	f.addOutputFlag(fs)
	f.addAdminFlags(fs)
	job := fs.String("job", "", "`id` of a job that waits or runs")
	class := fs.String("class", "", "`name` of a class, for a job that is not submitted")
	caller := fs.String("caller", "", "`name` of the job's caller")
	tasks := fs.Int("tasks", 1, "`number` of tasks")
	deadline := fs.Int("deadline-ms", 0, "time for which the caller waits, in `milliseconds`")
	expected := fs.Int("expected-ms", 0, "declared run time of a task in `milliseconds`")
	candidates := fs.Int("candidates", explain.DefaultCandidates, "largest `number` of upstreams that are listed")
	return f.command(&ffcli.Command{
		Name:       "explain",
		ShortUsage: "damasklb ctl explain [flags] (--job ID | --class NAME --deadline-ms N)",
		ShortHelp:  "show whether a job would be accepted now, where it would start, and why",
		LongHelp: `The question starts nothing and changes no later decision. Only the owner of a
job's key can explain it; the entries are asked in turn.

Examples:
  damasklb ctl explain --entry-url https://10.0.0.1:8443 --class price --caller workshop --tasks 8 --deadline-ms 3000
  damasklb ctl explain --entry-url https://10.0.0.1:8443,https://10.0.0.2:8443 --job 000102030405060708090a0b0c0d0e0f --json`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := f.adminClient()
			if err != nil {
				return err
			}
			q := neturl.Values{}
			setText(q, "job", *job)
			setText(q, "class", *class)
			setText(q, "caller", *caller)
			setInt(q, "tasks", *tasks, 1)
			setInt(q, "deadline_ms", *deadline, 0)
			setInt(q, "expected_ms", *expected, 0)
			q.Set("candidates", strconv.Itoa(*candidates))
			e, err := client.explain(ctx, q)
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(env.Stdout, e)
			}
			explain.PrintDispatch(env.Stdout, e)
			return nil
		},
	}, 0)
}
