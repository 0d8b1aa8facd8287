// Package malformed reports rows and messages that cannot be read: each is counted once
// and logged once with its key, until it can be read again.
package malformed

import (
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxKeys bounds the memory of a Reporter. Further keys are counted, not logged.
	maxKeys = 1024
	// maxKeyBytes bounds a key in memory and in a log line.
	maxKeyBytes = 256
)

// Reporter holds the keys that have been reported. It is safe for concurrent use.
type Reporter struct {
	log *slog.Logger

	mu       sync.Mutex
	reported map[string]bool
}

// New returns a reporter that writes to log.
func New(log *slog.Logger) *Reporter { return &Reporter{log: log, reported: map[string]bool{}} }

// Check reports the row at key if err is not nil, unless it is reported already. A nil
// err ends the report.
func (r *Reporter) Check(kind, key string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key = key[:min(len(key), maxKeyBytes)]
	id := kind + " " + key
	switch {
	case err == nil && r.reported[id]:
		delete(r.reported, id)
		r.log.Info("row can be read again", "kind", kind, "key", key)
	case err != nil && !r.reported[id]:
		metrics.GetOrCreateCounter(`damasklb_malformed_rows_total{kind="` + kind + `"}`).Inc()
		if len(r.reported) < maxKeys {
			r.reported[id] = true
			r.log.Warn("row cannot be read", "kind", kind, "key", key, "error", err)
		}
	}
}
