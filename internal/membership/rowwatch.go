package membership

import (
	"time"

	"github.com/damasklb/damasklb/internal/platform"
)

// Timing of the agents' rows. An agent that cannot renew its row for
// AgentRowLife starts nothing until it can, so an entry that has seen a row
// unchanged for longer may delete it.
const (
	AgentRenewInterval = 10 * time.Minute
	AgentRowTTL        = time.Hour
)

// clockRateMargin covers the difference in rate between two monotonic clocks.
const clockRateMargin = 1.005

type seenRow struct {
	version uint64
	since   time.Duration
}

// RowWatch finds rows that have not changed for a time on the watcher's clock.
type RowWatch struct{ seen map[string]seenRow }

// NewRowWatch returns a watch that has seen no rows.
func NewRowWatch() *RowWatch { return &RowWatch{seen: map[string]seenRow{}} }

// Observe notes the rows read now and returns those unchanged for the given time.
func (w *RowWatch) Observe(now time.Duration, rows []platform.Row, life time.Duration) []platform.Row {
	next := make(map[string]seenRow, len(rows))
	var expired []platform.Row
	for _, row := range rows {
		s, ok := w.seen[row.Key]
		if !ok || s.version != row.Version {
			s = seenRow{version: row.Version, since: now}
		}
		next[row.Key] = s
		if now-s.since >= time.Duration(float64(life)*clockRateMargin) {
			expired = append(expired, row)
		}
	}
	w.seen = next
	return expired
}
