package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
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

func newLogger(env Env) *slog.Logger {
	return slog.New(slog.NewJSONHandler(env.Stderr, nil))
}

// waitForSignal waits for SIGTERM, an interrupt or the closing of done.
func waitForSignal(ctx context.Context, done <-chan struct{}) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// stopGracefully runs stop with a context that ends after timeout or at a second
// signal.
func stopGracefully(timeout time.Duration, stop func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx, stopNotify := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopNotify()
	stop(ctx)
}
