package platform

import (
	"context"
	"time"
)

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Feed is a Table whose changes can be watched. The first element of a key, up to a
// slash, names the table that the row belongs to; Snapshot and Watch cover one such
// table.
type Feed interface {
	Table
	// Snapshot returns the rows of a table, or those of its rows whose keys start with a
	// prefix ("table/prefix"), and the version from which Watch continues.
	Snapshot(ctx context.Context, prefix string) ([]Row, uint64, error)
	// Watch returns the changes of a table after a version, in order, and the
	// version from which to continue. It waits at most the given time for the
	// first change. The error fault.HistoryGone means that a new Snapshot is needed.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
