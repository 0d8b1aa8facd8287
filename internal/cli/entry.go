package cli

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/clientlimit"
	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/signals"
)

const (
	// minMemoryMB is the least memory with which an entry serves ordinary load.
	minMemoryMB = 64
	// ownHeapShare is the share of the memory that is set as the runtime's memory limit. It leaves
	// some for stacks and for the buffers of links.
	ownHeapShare = 0.8
)

// descriptorLimit returns the number of descriptors that the process may have, or 0 if it is not
// known.
func descriptorLimit(log *slog.Logger) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.Warn("limit of descriptors not known", "error", err)
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors is above what one process uses.
const maxDescriptors = 1 << 20

func newEntry(env Env) *ffcli.Command {
	fs := newFlagSet("entry", env)
	host := fs.String("host", "", "name of this host, also the name in its certificate")
	dataCentre := fs.String("data-centre", "", "data centre of this host")
	linkListen := fs.String("link-listen", "127.0.0.1:7400", "UDP address for agents and other entries")
	linkAddress := fs.String("link-address", "", "UDP address that others dial (default: the bound address)")
	httpListen := fs.String("listen", "127.0.0.1:8080", "TCP address of the callers' interface")
	httpAddress := fs.String("http-address", "", "TCP address that others use (default: the bound address)")
	table := fs.String("table-url", "", "URL of the platform's table service")
	keys := fs.String("keys", "", "directory with ca.crt and this host's entry certificate")
	memory := fs.Int("memory-mb", clientlimit.DefaultMemory/mebibyte, "memory of the process in `MB`, from which the limits of clients follow")
	dev := fs.Bool("dev", false, "plain HTTP, and callers are named by the Damasklb-Caller header; for tests only")
	drainDelay := fs.Duration("drain-delay", 3*time.Second, "time after SIGTERM in which requests are still accepted")
	limit := fs.Duration("shutdown-limit", 70*time.Second, "longest graceful shutdown")
	return addSettings(env, &ffcli.Command{
		Name:       "entry",
		ShortUsage: "damasklb entry --host NAME --table-url URL --keys DIR [flags]",
		ShortHelp:  "serve callers and dispatch their jobs",
		LongHelp:   "Example:\n  damasklb entry --host e1 --data-centre bdg-a --table-url http://127.0.0.1:7300 --keys keys",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			sig, log, flush := startServer(env, signals.Ignore)
			defer flush()
			if *host == "" || *table == "" || *keys == "" {
				return fault.Usage.New("entry: --host, --table-url and --keys are needed")
			}
			if *memory < minMemoryMB {
				return fault.Usage.New("entry: --memory-mb is %d, allowed are %d and more", *memory, minMemoryMB)
			}
			debug.SetMemoryLimit(int64(ownHeapShare * float64(*memory) * mebibyte))
			files := pki.FilesOf(*keys, pki.RoleEntry, *host)
			serverTLS, err := pki.ServerConfig(files, pki.RoleEntry, pki.RoleAgent)
			if err != nil {
				return err
			}
			clientTLS, err := pki.ClientConfig(files, pki.RoleEntry)
			if err != nil {
				return err
			}
			o := entry.Options{
				ID: *host + "-" + randomID(), Host: *host, DataCentre: *dataCentre,
				LinkListen: *linkListen, LinkAddress: *linkAddress, HTTPListen: *httpListen, HTTPAddress: *httpAddress,
				Table: platform.NewHTTPTable(*table, nil), LinkServerTLS: serverTLS, LinkClientTLS: clientTLS,
				Dev: *dev, Settings: owner.DefaultSettings(), DrainDelay: *drainDelay, Log: log,
				Memory: int64(*memory) * mebibyte, Descriptors: descriptorLimit(log),
			}
			if !*dev {
				if o.HTTPServerTLS, err = pki.OptionalCertServerConfig(files, pki.RoleCaller, pki.RoleOperator); err != nil {
					return err
				}
			}
			e, err := entry.Start(o)
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Stdout, "entry %s http %s\n", o.ID, e.HTTPAddress())
			waitForShutdown(ctx, sig, e.DrainRequested())
			stopGracefully(sig, *limit, e.Stop)
			return nil
		},
	})
}
