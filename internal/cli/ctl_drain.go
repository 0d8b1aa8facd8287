package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/fault"
)

func newCtlDrain(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl drain", env)
	f.addOutputFlag(fs)
	f.addAdminFlags(fs)
	f.addTableFlags(fs)
	f.addAuthorFlag(fs)
	f.addWaitFlags(fs)
	dataCentre := fs.String("data-centre", "", "`name` of a data centre in which nothing more may start; needs --table-url")
	undo := fs.Bool("undo", false, "with --data-centre: let tasks start there again")
	reason := fs.String("reason", "", "`text` for the audit trail, with --data-centre: why the change is made")
	c := &ffcli.Command{
		Name:       "drain",
		ShortUsage: "damasklb ctl drain [flags] <host> | damasklb ctl drain [flags] --data-centre NAME [--undo]",
		ShortHelp:  "empty an entry, an agent's host or a data centre without interrupting work",
		LongHelp: `A host takes no new work, finishes what it runs and then leaves. The request
may be repeated; it then shows how much still runs.

A data centre (--data-centre) gets no new work until the request is withdrawn with
--undo; what runs there finishes, and its processes stay. The request is stored in
the table, so it also holds for processes that start later. ctl status shows what
still runs there and which processes do not know of it yet.

Examples:
  damasklb ctl drain --entry-url https://10.0.0.1:8443 kiln-07
  damasklb ctl drain --table-url http://table.example --data-centre bdg-a --reason "power work"
  damasklb ctl drain --table-url http://table.example --data-centre bdg-a --undo`,
		FlagSet: fs,
	}
	c.Exec = func(ctx context.Context, args []string) error {
		if *dataCentre != "" {
			return f.drainDataCentre(ctx, *dataCentre, *reason, *undo)
		}
		if *undo || *reason != "" || f.wait {
			return fault.Usage.New("drain: --undo, --reason and --wait need --data-centre; a host that leaves cannot be taken back")
		}
		return f.drainHost(ctx, args[0])
	}
	return f.commandWith(c, func() int {
		if *dataCentre != "" {
			return 0
		}
		return 1
	})
}

func (f *ctlFlags) drainHost(ctx context.Context, host string) error {
	client, err := f.adminClient()
	if err != nil {
		return err
	}
	response, err := client.drain(ctx, host)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(f.env.Stdout, response)
	}
	f.printf("%s %s is %s, %d tasks still run\n", response.Role, response.Host, response.State, response.Running)
	return nil
}
