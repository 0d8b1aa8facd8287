package cli

import (
	"context"
	"encoding/json"
	neturl "net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

func newPlatformExplain(env Env) *ffcli.Command {
	f := &askFlags{ctlFlags: ctlFlags{env: env}}
	fs := newFlagSet("damasklb platform explain", env)
	f.addAskFlags(fs)
	job := fs.String("job", "", "`id` of a job that waits or runs at the entry")
	queue := fs.String("queue", "", "`name` of a queue, for a job that is not submitted")
	tasks := fs.Int("tasks", 1, "`number` of tasks")
	cpu := fs.Int("cpu", 0, "cores of a task in thousandths, such as 5600")
	memory := fs.Int("memory-mb", 0, "memory of a task in `MiB`")
	estimate := fs.Int("estimate-ms", 0, "declared run time of a task in `milliseconds`")
	label := fs.String("label", "", "`label` that the upstream must have")
	rack := fs.String("rack", "", "`label` of the rack on which the tasks run fastest")
	most := fs.Int("max-per-upstream", 0, "largest `number` of the job's tasks on one upstream; 0 means no limit")
	task := fs.Int("task", -1, "`index` of the task whose candidates are listed; by default the first that waits")
	candidates := fs.Int("candidates", explain.DefaultCandidates, "largest `number` of candidates that are listed")
	return f.command(&ffcli.Command{
		Name:       "explain",
		ShortUsage: "damasklb platform explain --url URL (--job ID | --queue NAME --cpu N [flags])",
		ShortHelp:  "show where an entry would place a job now, and why",
		LongHelp: `The question starts nothing, reserves nothing and changes no later decision.

Examples:
  damasklb platform explain --url http://10.0.0.1:9464 --queue render --tasks 8 --cpu 5600 --memory-mb 64
  damasklb platform explain --url http://10.0.0.1:9464 --job 0123456789abcdef --json`,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			q := neturl.Values{}
			setText(q, "job", *job)
			setText(q, "queue", *queue)
			setInt(q, "tasks", *tasks, 1)
			setInt(q, "cpu", *cpu, 0)
			setInt(q, "memory_mb", *memory, 0)
			setInt(q, "estimate_ms", *estimate, 0)
			setText(q, "label", *label)
			setText(q, "rack", *rack)
			setInt(q, "max_per_upstream", *most, 0)
			setInt(q, "task", *task, -1)
			setInt(q, "candidates", *candidates, explain.DefaultCandidates)
			raw, err := f.ask(ctx, status.PlatformExplainPath, q)
			if err != nil {
				return err
			}
			var e status.Explanation
			if err := json.Unmarshal(raw, &e); err != nil {
				return fault.BadResponse.Wrap(err, "process: answer of %s", f.url)
			}
			if f.json {
				return printJSON(env.Stdout, e)
			}
			explain.Print(env.Stdout, e)
			return nil
		},
	}, 0)
}
