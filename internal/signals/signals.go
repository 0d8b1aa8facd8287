// Package signals handles the signals of a server process in all phases, from its start until it
// has ended, so that none of them ends the process while requests are open.
package signals

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Handler receives the signals of the process.
type Handler struct {
	sequence sequence
	// hangup has room for one signal, as one reload covers all that arrived before it. It is a
	// channel of its own, so that a series of them displaces no other signal.
	hangup, others chan os.Signal
	shutdown       chan struct{}
	abort          chan struct{}
	reloads        chan struct{}
}

// maxWaiting is the number of signals except SIGHUP that can wait for Start.
const maxWaiting = 8

// Catch takes over SIGTERM, SIGINT, SIGHUP and SIGPIPE until the process has ended. A server calls
// it before it does anything else. onHangup is the action on SIGHUP: Reload, Shutdown or Ignore.
func Catch(onHangup Action) *Handler {
	h := newHandler(onHangup)
	signal.Notify(h.others, syscall.SIGTERM, os.Interrupt)
	signal.Notify(h.hangup, syscall.SIGHUP)
	// A log whose reader has ended is no reason to end. Writes to it fail instead.
	signal.Ignore(syscall.SIGPIPE)
	return h
}

func newHandler(onHangup Action) *Handler {
	return &Handler{
		sequence: sequence{onHangup: onHangup},
		hangup:   make(chan os.Signal, 1), others: make(chan os.Signal, maxWaiting),
		shutdown: make(chan struct{}), abort: make(chan struct{}), reloads: make(chan struct{}, 1),
	}
}

// Start begins to handle the signals, including those that have arrived since Catch. reload
// carries out Reload, one call at a time, and delays no other signal. Both log and reload are used
// until the process has ended. A program that never reloads passes nil.
func (h *Handler) Start(log *slog.Logger, reload func()) {
	go func() {
		for {
			select {
			case s := <-h.others:
				h.handle(s, log)
			case s := <-h.hangup:
				h.handle(s, log)
			}
		}
	}()
	go func() {
		for range h.reloads {
			reload()
		}
	}()
}

func (h *Handler) handle(s os.Signal, log *slog.Logger) {
	action := h.sequence.next(s)
	log.Info("signal", "name", s.String(), "action", action.String())
	switch action {
	case Shutdown:
		close(h.shutdown)
	case Abort:
		close(h.abort)
	case Reload:
		select {
		case h.reloads <- struct{}{}:
		default:
			// A reload that has not begun covers this one.
		}
	}
}

// Context returns a context that ends with parent or when the graceful shutdown has to begin.
func (h *Handler) Context(parent context.Context) (context.Context, context.CancelFunc) {
	return untilClosed(parent, h.shutdown)
}

// GraceContext returns a context that ends with parent or when the graceful shutdown has to be
// given up.
func (h *Handler) GraceContext(parent context.Context) (context.Context, context.CancelFunc) {
	return untilClosed(parent, h.abort)
}

func untilClosed(parent context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-ctx.Done():
		case <-done:
			cancel()
		}
	}()
	return ctx, cancel
}
