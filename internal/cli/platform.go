package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/callerconn"
	"github.com/damasklb/damasklb/internal/clientlimit"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/leased"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/signals"
	"github.com/damasklb/damasklb/platform"
)

const (
	// storeConnections is the number of connections to the store: one that waits for
	// changes and one for other calls.
	storeConnections = 2
	// commandConnections is the number of connections for commands that stay open to
	// an upstream: as many as the tasks that start there at a time, because opening a
	// connection costs more than keeping it open.
	commandConnections = 16
	// listConnections is the number of connections for run lists. The second one is
	// used while an answer on the first is overdue.
	listConnections = 2
	// connectionIdleTimeout is how long an idle connection is kept open, because
	// opening a connection costs more than keeping it open.
	connectionIdleTimeout = 5 * time.Minute
	// dialTimeout is the maximum time for opening a connection, which takes one round
	// trip of a few milliseconds. TCP retransmits a lost first packet only after a
	// second.
	dialTimeout = 400 * time.Millisecond
	// metricsPort is the port of the metrics on every host. The deploy file contains
	// it as well.
	metricsPort = 9464
	// drainMargin is the part of the shutdown grace period that is left for ending the
	// process after the drain.
	drainMargin = 300 * time.Millisecond
	// closeTimeout is the maximum time for writing the last answers.
	closeTimeout = 250 * time.Millisecond
	// heapShare is the share of the host's memory that is set as the runtime's memory
	// limit, near which the garbage collector runs more often.
	heapShare = 0.6
	// specShare is the share of an agent's memory for the specs of tasks that have not started. A
	// spec takes several times its length while it is read and passed on.
	specShare = 0.1
	mebibyte  = 1 << 20
	// gcPercent is the growth of the heap between two collections, in percent. Heaps
	// here are a few megabytes, and memory costs more than the time to collect them.
	gcPercent = 25
)

func newPlatform(env Env) *ffcli.Command {
	fs := newFlagSet("platform", env)
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "damasklb platform <entry|agent|check|status|explain>",
		ShortHelp:  "run on the hosting platform, with its settings file",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			platformCommand(env, "entry", "serve callers on a front host", runPlatformEntry),
			platformCommand(env, "agent", "run beside an upstream and start its tasks", runPlatformAgent),
			platformCommand(env, "check", "read the settings file and print what it says", checkPlatform),
			newPlatformStatus(env),
			newPlatformExplain(env),
		},
		Exec: unknownCommand("platform", fs),
	}
}

func platformCommand(env Env, name, help string, run func(context.Context, Env, string) error) *ffcli.Command {
	fs := newFlagSet("platform "+name, env)
	path := fs.String("file", os.Getenv(platform.SettingsVariable), "the platform's settings `file`")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "damasklb platform " + name + " [--file FILE]",
		ShortHelp:  help,
		LongHelp:   fmt.Sprintf("The file's path is taken from %s by default.\n\nExample:\n  damasklb platform %s --file settings.conf", platform.SettingsVariable, name),
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.Usage.New("platform %s: argument %q is not expected", name, args[0])
			}
			if *path == "" {
				return fault.Usage.New("platform %s: --file or %s is needed", name, platform.SettingsVariable)
			}
			return run(ctx, env, *path)
		},
	}
}

func readPlatformSettings(path string) (platform.Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return platform.Settings{}, fault.BadSettings.Wrap(err, "open settings")
	}
	defer f.Close()
	s, err := platform.ReadSettings(f)
	if err != nil {
		return s, fault.BadSettings.Wrap(err, "%s", path)
	}
	return s, nil
}

func checkPlatform(_ context.Context, env Env, path string) error {
	s, err := readPlatformSettings(path)
	if err != nil {
		return err
	}
	return printJSON(env.Stdout, s)
}

// runnerSettings returns the runner's settings on the platform.
func runnerSettings(s platform.Settings) runner.Settings {
	r := runner.DefaultSettings(s.ResendAfter, s.MaxLease)
	r.DataCentre, r.EvacuateWithin = s.DataCentre, s.EvacuateWithin
	r.Preemption = s.Preemption
	r.MaxSpecBytes = int(specShare * float64(s.MemoryMB) * mebibyte)
	return r
}

// evacuationOptions returns where evacuation requests are found, if operators of the
// deployment make any.
func evacuationOptions(s platform.Settings) leased.EvacuationOptions {
	if s.EvacuateWithin == 0 {
		return leased.EvacuationOptions{}
	}
	return leased.EvacuationOptions{Prefix: platform.EvacuationPrefix, DataCentres: s.DataCentres}
}

// runsEndedAfter returns the time after an entry's last message to an agent by which
// the entry's runs there have ended: the agent stops them when it considers the entry
// silent, and if it cannot stop them, their lease expires.
func runsEndedAfter(s platform.Settings) time.Duration {
	r := runnerSettings(s)
	return r.ConfirmationTimeout + r.StopAnswerTimeout + r.Lease*102/100 + s.StopGrace
}

func processInfo(s platform.Settings) leased.ProcessInfo {
	return leased.ProcessInfo{
		Host: s.Host, Incarnation: randomID(), DataCentre: s.DataCentre,
		LinkAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
	}
}

func newStore(s platform.Settings) *platform.Store {
	return platform.NewStore(newClient(s.Store, storeConnections))
}

func newClient(address string, connections int) *platform.Client {
	return platform.NewClient(address, platform.ClientOptions{
		Connections: connections, Idle: connectionIdleTimeout, DialTimeout: dialTimeout,
	})
}

// limitMemory configures the garbage collector to keep the process within the
// memory of its host.
func limitMemory(s platform.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * mebibyte))
}

// platformProcess is an entry or an agent.
type platformProcess interface {
	Drain(grace time.Duration)
	Stop()
	// ClientLimits returns the limits of clients in the configuration in force.
	ClientLimits() callerconn.Limits
	// Pages returns the handler of the metrics' address: the pages for operators, and rest.
	Pages(rest http.Handler) http.Handler
}

// runPlatformProcess runs an entry or an agent on the platform until a signal to shut down. start
// starts the process and returns it with the endpoints that it serves.
func runPlatformProcess(ctx context.Context, env Env, path, role string, start func(platform.Settings, leased.ProcessInfo, *slog.Logger) (platformProcess, []endpoint, error)) error {
	sig := signals.Catch(signals.Reload)
	s, err := readPlatformSettings(path)
	if err != nil {
		return err
	}
	limitMemory(s)
	log, flush := newLogger(env.Stdout)
	defer flush()
	info := processInfo(s)
	log = log.With("host", s.Host)
	log.Info("start", "role", role, "incarnation", info.Incarnation, "version", Version, "settings", s)
	sig.Start(log, func() { logReload(path, log) })
	process, endpoints, err := start(s, info, log)
	if err != nil {
		return err
	}
	pages := process.Pages(http.HandlerFunc(writeMetrics))
	endpoints = append(endpoints, endpoint{metricsAddress(s), pages, clientlimit.ServiceConnections})
	closeAll, err := serveAll(ctx, endpoints, s.Clients, process.ClientLimits, log)
	if err != nil {
		return err
	}
	waitForShutdown(ctx, sig, nil)
	grace := s.ShutdownGrace - drainMargin
	stopGracefully(sig, grace, func(ctx context.Context) {
		drained := make(chan struct{})
		go func() {
			process.Drain(grace)
			close(drained)
		}()
		select {
		case <-drained:
		case <-ctx.Done():
			log.Warn("shutdown given up", "role", role)
		}
	})
	closeAll()
	log.Info("stop", "role", role, "incarnation", info.Incarnation)
	return nil
}

func runPlatformEntry(ctx context.Context, env Env, path string) error {
	return runPlatformProcess(ctx, env, path, "entry", startPlatformEntry)
}

func startPlatformEntry(s platform.Settings, info leased.ProcessInfo, log *slog.Logger) (platformProcess, []endpoint, error) {
	settings := broker.DefaultSettings(s.DataCentre, runsEndedAfter(s))
	settings.FarRackFactor = s.FarRackFactor
	settings.Locality.MaxWait = s.RackMaxWait
	settings.EvacuateWithin = s.EvacuateWithin
	settings.Preemption = s.Preemption
	settings.LateJobsYield = s.LateJobsYield
	settings.Scarcity = s.Scarcity
	e, err := leased.StartEntry(leased.EntryOptions{
		Process: info, Broker: settings, Store: newStore(s),
		ConfigKey: platform.ConfigKey, ConfigTable: platform.ConfigTable, Decode: platform.DecodeConfig,
		Evacuations: evacuationOptions(s), Log: log,
	})
	if err != nil {
		return nil, nil, err
	}
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return e, []endpoint{
		{s.CallerListen, platform.NewIngress(e, log), s.ClientConnections},
		{s.ReadyListen, ready, clientlimit.ServiceConnections},
	}, nil
}

func runPlatformAgent(ctx context.Context, env Env, path string) error {
	return runPlatformProcess(ctx, env, path, "agent", startPlatformAgent)
}

func startPlatformAgent(s platform.Settings, info leased.ProcessInfo, log *slog.Logger) (platformProcess, []endpoint, error) {
	var seeds []string
	for _, ip := range s.Seeds {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(s.FirstPort)))
	}
	a := leased.StartAgent(leased.AgentOptions{
		Process: info, Runner: runnerSettings(s), Store: newStore(s), Seeds: seeds, Evacuations: evacuationOptions(s),
		Upstream: platform.NewUpstream(
			newClient(s.Upstream, commandConnections),
			newClient(s.Upstream, listConnections)),
		Token: uint64(time.Now().UnixMilli()), Log: log,
	})
	return a, []endpoint{{s.AnnounceListen, platform.NewAnnouncementHandler(a, log).ForService(s.Service), clientlimit.ServiceConnections}}, nil
}

func metricsAddress(s platform.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, false) }

// endpoint is a listen address with its handler.
type endpoint struct {
	address string
	handler http.Handler
	// connections is the largest number of open connections.
	connections int
}

// serveAll serves all endpoints until ctx ends, whose clients share the limits. configured returns the
// limits in the configuration in force. The function that it returns shuts the servers down
// and waits, for closeTimeout at most, until the answers to all requests have been
// written.
func serveAll(ctx context.Context, endpoints []endpoint, limits clientlimit.Settings, configured func() callerconn.Limits, log *slog.Logger) (closeAll func(), err error) {
	var servers []*http.Server
	var connections []int
	for _, e := range endpoints {
		connections = append(connections, e.connections)
	}
	guard := callerconn.NewGuard(ctx, limits, configured, log, connections...)
	for i, e := range endpoints {
		listener, err := guard.Listen(ctx, e.address, i)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: e.handler, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
		guard.Serve(server)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				log.Error("http server failed", "address", e.address, "error", err.Error())
			}
		}()
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		for _, server := range servers {
			if err := server.Shutdown(ctx); err != nil {
				log.Warn("shutdown interrupted requests", "error", err.Error())
			}
		}
	}, nil
}

// logReload reads the settings file again and only logs the result: addresses and bounds of a
// running process do not change.
func logReload(path string, log *slog.Logger) {
	s, err := readPlatformSettings(path)
	if err != nil {
		log.Error("reload", "error", err.Error())
		return
	}
	log.Info("reload", "settings", s)
}
