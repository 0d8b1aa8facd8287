package leased

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/stall"
)

// coreWatch notices that a core no longer ticks. It needs no lock, which the core may keep for ever.
type coreWatch struct {
	ticks   atomic.Uint64
	stalled atomic.Bool
}

func (w *coreWatch) run(ctx context.Context, now func() time.Duration, log *slog.Logger) {
	ticker := time.NewTicker(stall.CheckInterval)
	defer ticker.Stop()
	var d stall.Detector
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silent, stalled := d.Check(now(), w.ticks.Load())
		coreSilence.Set(silent.Seconds())
		switch before := w.stalled.Swap(stalled); {
		case stalled && !before:
			log.Error("core is stalled", "for_ms", silent.Milliseconds())
		case before && !stalled:
			log.Warn("core is no longer stalled")
		}
	}
}
