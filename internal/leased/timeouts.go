package leased

import (
	"context"
	"encoding/json"
	"math/rand"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
)

// Entries keep in the store how long the callers of each queue usually wait, because they need it
// most right after all hosts have lost power, when they have learned nothing yet.

const (
	// timeoutsTable has a row for each entry.
	timeoutsTable = "timeouts"
	// timeoutsCheckInterval is the shortest time between two comparisons of what an entry has
	// learned with its row. Ten entries thus write two rows per second at most.
	timeoutsCheckInterval = 5 * time.Second
	// timeoutsTolerance is the share of a usual timeout by which a row may be off before it is
	// written again.
	timeoutsTolerance = 0.1
	// maxTimeoutRows bounds the rows that are read. Rows of hosts that are gone stay in the table.
	maxTimeoutRows = 64
)

// timeoutsRow is the row of an entry.
type timeoutsRow struct {
	// UsualMS is the short end of the usual timeouts of each queue.
	UsualMS map[string]int64 `json:"usual_ms"`
}

// keepTimeouts reads what the entries have learned before and then keeps the entry's row.
func (e *Entry) keepTimeouts(ctx context.Context) {
	if !e.options.Broker.LateJobsYield {
		return
	}
	dep := newDependency("store-timeouts", e.log)
	for ctx.Err() == nil {
		_, err := snapshot(ctx, e.options.Store, timeoutsTable, e.timeoutsRead)
		if dep.observe(err); err == nil {
			break
		}
		sleep(ctx, storeRetry)
	}
	written := map[string]int64{}
	for ctx.Err() == nil {
		sleep(ctx, timeoutsCheckInterval+time.Duration(rand.Int63n(int64(timeoutsCheckInterval))))
		learned := map[string]int64{}
		e.withCore(func(_ time.Duration, core *broker.Broker) {
			for queue, usual := range core.Timeouts().Learned() {
				learned[queue] = usual.Milliseconds()
			}
		})
		if !differs(written, learned) {
			continue
		}
		err := e.writeTimeouts(ctx, timeoutsRow{UsualMS: learned})
		if dep.observe(err); err == nil {
			written = learned
			e.log.Info("usual timeouts stored", "usual_ms", learned)
		}
	}
}

// differs reports whether a queue's learned timeout is off from the written one.
func differs(written, learned map[string]int64) bool {
	for queue, usual := range learned {
		if off := float64(usual - written[queue]); off > timeoutsTolerance*float64(usual) || -off > timeoutsTolerance*float64(usual) {
			return true
		}
	}
	return false
}

func (e *Entry) writeTimeouts(ctx context.Context, row timeoutsRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = e.options.Store.Commit(call, platform.Transaction{Writes: []platform.Write{{Key: timeoutsTable + "/" + e.options.Process.Host, Value: value}}})
	return err
}

// timeoutsRead restores what the entries had learned. A row that cannot be read is left out.
func (e *Entry) timeoutsRead(u tableUpdate) {
	var learned []map[string]time.Duration
	invalid := newMalformedRows(timeoutsTable, e.log)
	for _, r := range u.rows {
		l, err := decodeTimeoutsRow(r.Value)
		if err != nil {
			invalid.found(r.Key, r.Version, fault.Text(err))
			continue
		}
		if learned = append(learned, l); len(learned) == maxTimeoutRows {
			break
		}
	}
	e.withCore(func(_ time.Duration, core *broker.Broker) { core.Timeouts().Restore(learned) })
}

func decodeTimeoutsRow(value []byte) (map[string]time.Duration, error) {
	var row timeoutsRow
	if err := decodeRow(value, &row); err != nil {
		return nil, err
	}
	l := map[string]time.Duration{}
	for queue, ms := range row.UsualMS {
		if ms > 0 && len(queue) <= maxName {
			l[queue] = time.Duration(min(ms, maxUsualMS)) * time.Millisecond
		}
	}
	return l, nil
}

// maxUsualMS bounds the values of rows, which would overflow in nanoseconds otherwise.
const maxUsualMS = int64(time.Hour / time.Millisecond)
