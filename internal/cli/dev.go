package cli

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/agent"
	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/sample"
	"github.com/damasklb/damasklb/internal/signals"
)

const (
	// devTimeout is the maximum time for the start and for the shutdown.
	devTimeout      = 20 * time.Second
	devPollInterval = 20 * time.Millisecond
	devValidity     = 24 * time.Hour
	loopback        = "127.0.0.1"
	anyPort         = "127.0.0.1:0"
	devSlots        = 8
)

func newDev(env Env) *ffcli.Command {
	fs := newFlagSet("dev", env)
	listen := fs.String("listen", "127.0.0.1:8080", "TCP address of the callers' interface")
	upstream := fs.String("upstream-listen", "127.0.0.1:8081", "TCP address of the sample upstream")
	slots := fs.Int("slots", devSlots, "tasks that the sample upstream runs at a time")
	return addSettings(env, &ffcli.Command{
		Name:       "dev",
		ShortUsage: "damasklb dev [flags] | damasklb dev table|upstream [flags]",
		ShortHelp:  "run everything in one process, for evaluation only",
		LongHelp: "Prints one line, \"ready URL\", when jobs are accepted.\n\nExample:\n" +
			"  damasklb dev --listen 127.0.0.1:8080 --upstream-listen 127.0.0.1:8081\n" +
			"  curl -H 'Idempotency-Key: k1' -H 'Damasklb-Caller: me' http://127.0.0.1:8080/v1/jobs \\\n" +
			"    -d '{\"class\":\"echo\",\"deadline_ms\":1000,\"tasks\":[{\"payload\":1}]}'",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{newDevTable(env), newDevUpstream(env)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.Usage.New("dev: unknown command %q", args[0])
			}
			invariant.SetStrict(true)
			return runDev(ctx, env, *listen, *upstream, *slots)
		},
	})
}

func runDev(ctx context.Context, env Env, listen, upstreamListen string, slots int) error {
	sig, log, flush := startServer(env, signals.Shutdown)
	defer flush()
	keys, err := os.MkdirTemp("", "damasklb-dev-")
	if err != nil {
		return fault.BadSettings.Wrap(err, "make a directory for keys")
	}
	defer os.RemoveAll(keys)
	e, a, err := startDev(log, keys, listen)
	if err != nil {
		return err
	}
	u, err := sample.Start(sample.Options{
		Listen: upstreamListen, AgentURL: "http://" + a.AnnounceAddress(), Service: "sample", Site: "dev", Slots: slots,
	})
	if err != nil {
		return err
	}
	ctx, cancel := sig.Context(ctx)
	defer cancel()
	if err := waitReady(ctx, e, a); err != nil {
		return err
	}
	if ctx.Err() == nil {
		fmt.Fprintf(env.Stdout, "ready http://%s\n", e.HTTPAddress())
	}
	<-ctx.Done()
	stopGracefully(sig, devTimeout, func(ctx context.Context) {
		e.Stop(ctx)
		a.Stop(ctx)
		u.Stop()
	})
	return nil
}

// startDev starts an entry and an agent with newly issued certificates.
func startDev(log *slog.Logger, keys, listen string) (*entry.Entry, *agent.Agent, error) {
	entryFiles, agentFiles, err := devKeys(keys)
	if err != nil {
		return nil, nil, err
	}
	serverTLS, err := pki.ServerConfig(entryFiles, pki.RoleEntry, pki.RoleAgent)
	if err != nil {
		return nil, nil, err
	}
	entryClientTLS, err := pki.ClientConfig(entryFiles, pki.RoleEntry)
	if err != nil {
		return nil, nil, err
	}
	agentClientTLS, err := pki.ClientConfig(agentFiles, pki.RoleEntry)
	if err != nil {
		return nil, nil, err
	}
	table := standin.NewMemory()
	if err := seedConfig(table); err != nil {
		return nil, nil, err
	}
	e, err := entry.Start(entry.Options{
		ID: "dev-" + randomID(), Host: "dev", DataCentre: "dev", LinkListen: anyPort, HTTPListen: listen,
		Table: table, LinkServerTLS: serverTLS, LinkClientTLS: entryClientTLS, Dev: true,
		Settings: owner.DefaultSettings(), Log: log,
	})
	if err != nil {
		return nil, nil, err
	}
	a, err := agent.Start(agent.Options{
		Host: "dev", Incarnation: randomID(), DataCentre: "dev", AnnounceListen: anyPort, LinkListen: anyPort,
		LinkClientTLS: agentClientTLS, Table: table, Settings: ledger.DefaultSettings(), Log: log,
	})
	return e, a, err
}

// seedConfig stores the default configuration in a new table.
func seedConfig(table platform.Table) error {
	content, err := config.Default().Encode()
	if err != nil {
		return err
	}
	_, err = configstore.New(table).Apply(context.Background(), configstore.Proposal{
		ChangeID: configstore.NewChangeID(), Author: "dev", Host: "dev", Reason: "default configuration", Content: content,
	})
	return err
}

func devKeys(dir string) (entryFiles, agentFiles pki.Files, err error) {
	authority, err := pki.NewAuthority("damasklb dev")
	if err != nil {
		return entryFiles, agentFiles, err
	}
	if err := authority.Save(dir); err != nil {
		return entryFiles, agentFiles, err
	}
	entryFiles, err = authority.IssueTo(dir, "dev", pki.RoleEntry, []string{loopback}, devValidity)
	if err != nil {
		return entryFiles, agentFiles, err
	}
	agentFiles, err = authority.IssueTo(dir, "dev", pki.RoleAgent, []string{loopback}, devValidity)
	return entryFiles, agentFiles, err
}

// waitReady waits until the entry is ready and has an upstream, or ctx has ended.
func waitReady(ctx context.Context, e *entry.Entry, a *agent.Agent) error {
	deadline := time.Now().Add(devTimeout)
	for time.Now().Before(deadline) {
		if ctx.Err() != nil || e.Ready() && e.UpstreamCount() > 0 {
			return nil
		}
		time.Sleep(devPollInterval)
	}
	return fault.Internal.New("entry has no upstream or is not ready after %s", devTimeout)
}

func newDevTable(env Env) *ffcli.Command {
	fs := newFlagSet("dev table", env)
	listen := fs.String("listen", "127.0.0.1:7300", "TCP address of the table stand-in")
	return addSettings(env, &ffcli.Command{
		Name:       "table",
		ShortUsage: "damasklb dev table [flags]",
		ShortHelp:  "run a stand-in for the platform's table service",
		LongHelp:   "PUT /faults with {\"down\":true} makes it fail.\n\nExample:\n  damasklb dev table --listen 127.0.0.1:7300",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			sig, _, flush := startServer(env, signals.Shutdown)
			defer flush()
			listener, err := net.Listen("tcp", *listen)
			if err != nil {
				return fault.Listen.Wrap(err, "open table address %q", *listen)
			}
			table := standin.NewMemory()
			if err := seedConfig(table); err != nil {
				return err
			}
			server := &http.Server{Handler: table.Handler(), ReadHeaderTimeout: time.Second}
			go func() {
				// Serve returns only when the process ends.
				_ = server.Serve(listener)
			}()
			fmt.Fprintf(env.Stdout, "table http://%s\n", listener.Addr())
			waitForShutdown(ctx, sig, nil)
			return nil
		},
	})
}

func newDevUpstream(env Env) *ffcli.Command {
	fs := newFlagSet("dev upstream", env)
	listen := fs.String("listen", "127.0.0.1:8081", "TCP address of the sample upstream")
	agentURL := fs.String("agent-url", "http://127.0.0.1:7500", "announce address of the agent beside it")
	service := fs.String("service", "sample", "service name")
	site := fs.String("site", "dev", "site")
	slots := fs.Int("slots", devSlots, "tasks that it runs at a time")
	return addSettings(env, &ffcli.Command{
		Name:       "upstream",
		ShortUsage: "damasklb dev upstream [flags]",
		ShortHelp:  "run a sample upstream with the class echo",
		LongHelp:   "Example:\n  damasklb dev upstream --listen 127.0.0.1:8081 --agent-url http://127.0.0.1:7500",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			sig, _, flush := startServer(env, signals.Shutdown)
			defer flush()
			u, err := sample.Start(sample.Options{Listen: *listen, AgentURL: *agentURL, Service: *service, Site: *site, Slots: *slots})
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Stdout, "upstream http://%s\n", u.Address())
			waitForShutdown(ctx, sig, nil)
			u.Stop()
			return nil
		},
	})
}
