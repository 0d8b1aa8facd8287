// Package invariant checks conditions that must always hold. In tests and in
// dev mode a violation panics; in production it is counted and reported once
// per name, because stopping an entry would harm callers that are unaffected.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	strict   atomic.Bool
	reported sync.Map
)

// SetStrict makes violations panic. It returns the previous setting.
func SetStrict(on bool) bool { return strict.Swap(on) }

// Check reports a violation of the named invariant if ok is false.
func Check(ok bool, name string, args ...any) {
	if ok {
		return
	}
	reportViolation(name, args)
}

func reportViolation(name string, args []any) {
	metrics.GetOrCreateCounter(`damasklb_invariant_violations_total{name="` + name + `"}`).Inc()
	if strict.Load() {
		panic(fmt.Sprintf("invariant violated: %s %v", name, args))
	}
	if _, seen := reported.LoadOrStore(name, true); !seen {
		slog.Error("invariant violated", append([]any{"name", name}, args...)...)
	}
}
