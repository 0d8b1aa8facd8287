// Package eventlog writes structured log lines with a bounded rate and never
// blocks the caller. Lines that exceed a bound are dropped and counted, and the
// count is logged once a second.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxLinesPerSecond bounds the log lines of a process. An entry at a demand
	// peak writes about 300 lines a second.
	maxLinesPerSecond = 600
	// maxOtherLinesPerSecond bounds the lines that are not about a job, so that those
	// of many links that open and close at once leave room for decisions.
	maxOtherLinesPerSecond = 150
	// jobKey is the first attribute of a line about a job.
	jobKey = "job"
	// maxQueuedLines bounds the lines that wait for a slow reader of the output.
	maxQueuedLines = 1024
)

var droppedTotal = metrics.NewCounter("damasklb_log_lines_dropped_total")

// Log is an output of log lines.
type Log struct {
	mu sync.Mutex
	// second is the Unix time of the second in which count lines were offered, otherCount
	// of them not about a job.
	second            int64
	count, otherCount int
	// unreportedDrops is the number of lines dropped since the last report.
	unreportedDrops int
	lines           chan []byte
	done            chan struct{}
	closeOnce       sync.Once
}

// New returns a logger that writes JSON lines to w, and a function that flushes
// the queued lines, waiting at most 200 ms for them, and closes the log.
func New(w io.Writer) (*slog.Logger, func()) {
	l := &Log{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.write(w, l.lines)
	handler := slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(&limiter{Handler: handler, log: l}), l.close
}

func (l *Log) write(w io.Writer, lines <-chan []byte) {
	defer close(l.done)
	var batch bytes.Buffer
	for line := range lines {
		batch.Reset()
		batch.Write(line)
		count := 1
		for more := true; more; {
			select {
			case next, ok := <-lines:
				if more = ok; more {
					batch.Write(next)
					count++
				}
			default:
				more = false
			}
		}
		if _, err := w.Write(batch.Bytes()); err != nil {
			// Only the metrics can report that the log cannot be written.
			droppedTotal.Add(count)
		}
	}
}

// Write implements io.Writer for the JSON handler. It never blocks.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines == nil {
		return len(p), nil
	}
	select {
	case l.lines <- bytes.Clone(p):
	default:
		l.drop()
	}
	return len(p), nil
}

func (l *Log) drop() {
	l.unreportedDrops++
	droppedTotal.Inc()
}

func (l *Log) close() {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		close(l.lines)
		l.lines = nil
		l.mu.Unlock()
		select {
		case <-l.done:
		case <-time.After(200 * time.Millisecond):
		}
	})
}

// admit reports whether a line at time t is within the bound. The first call in
// each second also returns the number of lines dropped since the last report.
func (l *Log) admit(t time.Time, aboutJob bool) (ok bool, drops int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := t.Unix(); s != l.second {
		l.second = s
		l.count, l.otherCount = 0, 0
		drops, l.unreportedDrops = l.unreportedDrops, 0
	}
	if !aboutJob {
		l.otherCount++
	}
	if l.count >= maxLinesPerSecond || (!aboutJob && l.otherCount > maxOtherLinesPerSecond) {
		l.drop()
		return false, drops
	}
	l.count++
	return true, drops
}

// aboutJob reports whether a line is about a job.
func aboutJob(r slog.Record) bool {
	found := false
	r.Attrs(func(a slog.Attr) bool {
		found = a.Key == jobKey
		return false
	})
	return found
}

// limiter drops lines above the bound before they are formatted.
type limiter struct {
	slog.Handler
	log *Log
}

// Handle implements slog.Handler.
func (h *limiter) Handle(ctx context.Context, r slog.Record) error {
	ok, drops := h.log.admit(r.Time, aboutJob(r))
	if drops > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int("lines", drops))
		if err := h.Handler.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: h.Handler.WithAttrs(attrs), log: h.log}
}

// WithGroup implements slog.Handler.
func (h *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: h.Handler.WithGroup(name), log: h.log}
}
