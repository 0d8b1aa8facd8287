package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/eventlog"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/hosted"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/platform"
)

const (
	// storeConnections are the connections to the store: one that waits for
	// changes and one for other calls.
	storeConnections = 2
	// orderConnections are the connections for orders that stay open to an
	// upstream: as many as tasks start there at a time, for opening one costs more
	// than keeping it.
	orderConnections = 16
	// listConnections are the connections for lists of runs; a second one serves
	// while an answer is overdue.
	listConnections = 2
	// connectionIdle is how long an unused connection is kept open. Opening one
	// costs more than keeping it.
	connectionIdle = 5 * time.Minute
	// dialTimeout bounds the opening of a connection, which takes one round trip
	// of a few milliseconds. The first packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond
	// headerTimeout and idleTimeout bound connections of callers before a
	// configuration says otherwise.
	headerTimeout = 3 * time.Second
	idleTimeout   = 2 * time.Minute
	// metricsPort is the port of the metrics on every host. It stands in the
	// deploy file as well.
	metricsPort = 9464
	// leaveMargin is kept from the grace time for the end of the process.
	leaveMargin = 300 * time.Millisecond
	// closeTimeout bounds the writing of the last answers.
	closeTimeout = 250 * time.Millisecond
	// heapShare is the share of the host's memory at which the garbage collector
	// works harder.
	heapShare = 0.6
	mebibyte  = 1 << 20
	// gcPercent is the growth of the heap between two collections. Heaps here are of
	// a few megabytes, and memory is dearer than the time to collect them.
	gcPercent = 25
)

func newPlatform(env Env) *ffcli.Command {
	fs := newFlagSet("platform", env)
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "damasklb platform <entry|agent|check>",
		ShortHelp:  "run on the hosting platform, with its settings file",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			platformCommand(env, "entry", "serve callers on a front host", runPlatformEntry),
			platformCommand(env, "agent", "run beside an upstream and start its tasks", runPlatformAgent),
			platformCommand(env, "check", "read the settings file and print what it says", checkPlatform),
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

// runnerSettings are the agents' limits on the platform.
func runnerSettings(s platform.Settings) runner.Settings {
	return runner.DefaultSettings(s.ResendAfter, s.MaxLease)
}

// endedAfter is the time after an entry's last message to an agent at which the
// entry's runs there have ended: the agent stops them when the entry counts as
// silent, and if it cannot, their lease lapses.
func endedAfter(s platform.Settings) time.Duration {
	r := runnerSettings(s)
	return r.ConfirmationTimeout + r.StopAnswerTimeout + r.Lease*102/100 + s.StopGrace
}

func identity(s platform.Settings) hosted.ProcessInfo {
	return hosted.ProcessInfo{
		Host: s.Host, Incarnation: newIncarnation(), DataCentre: s.DataCentre,
		LinkAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
	}
}

func newStore(s platform.Settings) *platform.Store {
	return platform.NewStore(newClient(s.Store, storeConnections))
}

func newClient(address string, connections int) *platform.Client {
	return platform.NewClient(address, platform.ClientOptions{
		Connections: connections, Idle: connectionIdle, DialTimeout: dialTimeout,
	})
}

// limitMemory makes the garbage collector keep the process within its host.
func limitMemory(s platform.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * mebibyte))
}

// hostedProcess is an entry or an agent.
type hostedProcess interface {
	Drain(grace time.Duration)
	Stop()
}

// runHosted runs a process of the platform until it is told to end. start opens
// the process and returns it with what it serves.
func runHosted(ctx context.Context, env Env, path, role string, start func(platform.Settings, hosted.ProcessInfo, *slog.Logger) (hostedProcess, []listen, error)) error {
	s, err := readPlatformSettings(path)
	if err != nil {
		return err
	}
	limitMemory(s)
	log, flush := eventlog.New(env.Stdout)
	defer flush()
	id := identity(s)
	log = log.With("host", s.Host)
	log.Info("start", "role", role, "incarnation", id.Incarnation, "version", Version, "settings", s)
	process, servers, err := start(s, id, log)
	if err != nil {
		return err
	}
	closeAll, err := serveAll(append(servers, listen{metricsAddress(s), http.HandlerFunc(writeMetrics)}), log)
	if err != nil {
		return err
	}
	untilTerminated(ctx, path, log)
	process.Drain(s.ShutdownGrace - leaveMargin)
	closeAll()
	log.Info("stop", "role", role, "incarnation", id.Incarnation)
	return nil
}

func runPlatformEntry(ctx context.Context, env Env, path string) error {
	return runHosted(ctx, env, path, "entry", startPlatformEntry)
}

func startPlatformEntry(s platform.Settings, id hosted.ProcessInfo, log *slog.Logger) (hostedProcess, []listen, error) {
	settings := broker.DefaultSettings(s.DataCentre, endedAfter(s))
	settings.FarRackFactor = s.FarRackFactor
	e, err := hosted.StartEntry(hosted.EntryOptions{
		Process: id, Broker: settings, Store: newStore(s),
		ConfigKey: platform.ConfigKey, ConfigTable: platform.ConfigTable, Decode: platform.DecodeConfig, Log: log,
	})
	if err != nil {
		return nil, nil, err
	}
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return e, []listen{{s.CallerListen, platform.NewIngress(e, log)}, {s.ReadyListen, ready}}, nil
}

func runPlatformAgent(ctx context.Context, env Env, path string) error {
	return runHosted(ctx, env, path, "agent", startPlatformAgent)
}

func startPlatformAgent(s platform.Settings, id hosted.ProcessInfo, log *slog.Logger) (hostedProcess, []listen, error) {
	var seeds []string
	for _, ip := range s.Seeds {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(s.FirstPort)))
	}
	a := hosted.StartAgent(hosted.AgentOptions{
		Process: id, Runner: runnerSettings(s), Store: newStore(s), Seeds: seeds,
		Upstream: platform.NewUpstream(
			newClient(s.Upstream, orderConnections),
			newClient(s.Upstream, listConnections)),
		Token: uint64(time.Now().UnixMilli()), Log: log,
	})
	return a, []listen{{s.AnnounceListen, platform.NewAnnouncementHandler(a, log)}}, nil
}

func metricsAddress(s platform.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, false) }

// listen is an address with its handler.
type listen struct {
	address string
	handler http.Handler
}

// serveAll serves each address. The function that it returns waits until the
// answers of all requests have been written.
func serveAll(servers []listen, log *slog.Logger) (closeAll func(), err error) {
	var open []*http.Server
	for _, l := range servers {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, fault.Listen.Wrap(err, "listen on %s", l.address)
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		}
		open = append(open, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				log.Error("server ended", "address", l.address, "error", err.Error())
			}
		}()
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		for _, server := range open {
			if err := server.Shutdown(ctx); err != nil {
				log.Warn("requests cut at the end", "error", err.Error())
			}
		}
	}, nil
}

// untilTerminated waits for SIGTERM. SIGHUP reads the settings file again and
// reports what it says: addresses and bounds of a running process do not change.
func untilTerminated(ctx context.Context, path string, log *slog.Logger) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			s, err := readPlatformSettings(path)
			if err != nil {
				log.Error("reload", "error", err.Error())
				continue
			}
			log.Info("reload", "settings", s)
		}
	}
}
