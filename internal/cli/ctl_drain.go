package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCtlDrain(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl drain", env)
	f.addOutputFlag(fs)
	f.addAdminFlags(fs)
	return f.command(&ffcli.Command{
		Name:       "drain",
		ShortUsage: "damasklb ctl drain [flags] <host>",
		ShortHelp:  "ask an entry or an agent's host to leave without interrupting work",
		LongHelp: `The host takes no new work, finishes what it runs and then leaves. The request
may be repeated; it then shows how much still runs.

Example:
  damasklb ctl drain --entry-url https://10.0.0.1:8443 kiln-07`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			client, err := f.adminClient()
			if err != nil {
				return err
			}
			response, err := client.drain(ctx, args[0])
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(env.Stdout, response)
			}
			f.printf("%s %s is %s, %d tasks still run\n", response.Role, response.Host, response.State, response.Running)
			return nil
		},
	}, 1)
}
