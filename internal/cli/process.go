package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"log/slog"
	"time"

	"github.com/damasklb/damasklb/internal/eventlog"
	"github.com/damasklb/damasklb/internal/signals"
)

// randomIDBytes is the length of a random id before it is hex-encoded.
const randomIDBytes = 6

// randomID returns an id that no other process has had, such as the incarnation of
// this one.
func randomID() string {
	b := make([]byte, randomIDBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// newLogger returns the logger of a program, which also reports violated invariants, and a function
// that flushes it. A reader of the log that has stopped reading delays nothing.
func newLogger(out io.Writer) (*slog.Logger, func()) {
	log, flush := eventlog.New(out)
	slog.SetDefault(log)
	return log, flush
}

// startServer takes over the signals of a program whose settings do not change while it runs, and
// opens its log. onHangup is the action on SIGHUP.
func startServer(env Env, onHangup signals.Action) (sig *signals.Handler, log *slog.Logger, flush func()) {
	sig = signals.Catch(onHangup)
	log, flush = newLogger(env.Stderr)
	sig.Start(log, nil)
	return sig, log, flush
}

// waitForShutdown waits for a signal to shut down or the closing of done.
func waitForShutdown(ctx context.Context, sig *signals.Handler, done <-chan struct{}) {
	ctx, cancel := sig.Context(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// stopGracefully runs stop with a context that ends after timeout or at a second interrupt.
func stopGracefully(sig *signals.Handler, timeout time.Duration, stop func(ctx context.Context)) {
	ctx, cancel := sig.GraceContext(context.Background())
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	defer cancelTimeout()
	stop(ctx)
}
