package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/agent"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/signals"
)

func newAgent(env Env) *ffcli.Command {
	fs := newFlagSet("agent", env)
	host := fs.String("host", "", "name of this host, also the name in its certificate")
	dataCentre := fs.String("data-centre", "", "data centre of this host")
	listen := fs.String("announce-listen", "127.0.0.1:7500", "TCP loopback address for upstreams")
	linkListen := fs.String("link-listen", "127.0.0.1:0", "local UDP address of the links to entries")
	table := fs.String("table-url", "", "URL of the platform's table service")
	keys := fs.String("keys", "", "directory with ca.crt and this host's agent certificate")
	limit := fs.Duration("shutdown-limit", 70*time.Second, "longest graceful shutdown")
	return addSettings(env, &ffcli.Command{
		Name:       "agent",
		ShortUsage: "damasklb agent --host NAME --table-url URL --keys DIR [flags]",
		ShortHelp:  "run beside an upstream and start its tasks",
		LongHelp:   "Example:\n  damasklb agent --host w1 --data-centre bdg-a --table-url http://127.0.0.1:7300 --keys keys",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			sig, log, flush := startServer(env, signals.Ignore)
			defer flush()
			if *host == "" || *table == "" || *keys == "" {
				return fault.Usage.New("agent: --host, --table-url and --keys are needed")
			}
			clientTLS, err := pki.ClientConfig(pki.FilesOf(*keys, pki.RoleAgent, *host), pki.RoleEntry)
			if err != nil {
				return err
			}
			a, err := agent.Start(agent.Options{
				Host: *host, Incarnation: randomID(), DataCentre: *dataCentre, AnnounceListen: *listen,
				LinkListen: *linkListen, LinkClientTLS: clientTLS, Table: platform.NewHTTPTable(*table, nil),
				Settings: ledger.DefaultSettings(), Log: log,
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Stdout, "agent %s announce http://%s\n", *host, a.AnnounceAddress())
			waitForShutdown(ctx, sig, a.DrainRequested())
			stopGracefully(sig, *limit, a.Stop)
			return nil
		},
	})
}
