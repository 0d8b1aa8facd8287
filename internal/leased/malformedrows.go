package leased

import (
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// operatorRows names the rows that operators write.
	operatorRows = "operator"
	// maxMalformedRows bounds the rows of a table that are remembered as not valid. Further ones are
	// counted, but not logged.
	maxMalformedRows = 256
	// maxLoggedKey is the length to which keys are cut for the log.
	maxLoggedKey = 200
)

// malformedRows logs and counts the rows of a table that are not valid: each is logged once until it
// is valid again or gone, and each of its versions is counted once.
type malformedRows struct {
	log     *slog.Logger
	table   string
	counter *metrics.Counter

	mu sync.Mutex // guards the field below
	// versions holds the last version of each row that is not valid.
	versions map[string]uint64
}

func newMalformedRows(table string, log *slog.Logger) *malformedRows {
	return &malformedRows{log: log, table: table, versions: map[string]uint64{},
		counter: metrics.GetOrCreateCounter(`damasklb_invalid_rows_total{table="` + table + `"}`)}
}

// found handles a row that is not valid, and reports whether this version of it is new.
func (o *malformedRows) found(key string, version uint64, reason string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, known := o.versions[key]
	if known && last == version {
		return false
	}
	o.counter.Inc()
	if !known && len(o.versions) >= maxMalformedRows {
		return true
	}
	o.versions[key] = version
	if !known {
		o.log.Warn("invalid row", "table", o.table, "key", cutKey(key), "row_version", version, "reason", reason)
	}
	return true
}

// valid handles a row that is valid or gone.
func (o *malformedRows) valid(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.versions, key)
}

// retain handles a read of the whole table: all rows but those with the given keys are gone.
func (o *malformedRows) retain(keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.versions {
		if !slices.Contains(keys, key) {
			delete(o.versions, key)
		}
	}
}

// retainUpdate does the same for an update that holds the whole table.
func (o *malformedRows) retainUpdate(u tableUpdate) {
	if !u.all {
		return
	}
	keys := make([]string, len(u.rows))
	for i, r := range u.rows {
		keys[i] = r.Key
	}
	o.retain(keys)
}

func cutKey(key string) string { return key[:min(len(key), maxLoggedKey)] }
