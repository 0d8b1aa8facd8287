// Package platform is the interface to the platform's transactional table
// service, and an adapter for its HTTP protocol. All state that must outlive the
// processes of damasklb is stored there.
package platform

import "context"

// AnyVersion in a Condition means that the row must exist, at any version.
const AnyVersion = ^uint64(0)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition is one precondition of a transaction. Version 0 means that the row
// must not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is one write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect together if all conditions
// hold, and not at all otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's table service. Row versions are positive and increase
// with each write of a row, also if the row was deleted in between.
//
// Errors: fault.NotFound from Get for a missing row; fault.Conflict from Commit
// when a condition does not hold, in which case nothing was written;
// fault.Unavailable when the outcome is unknown, which for Commit means that
// the writes may have taken effect or may still do so.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the transaction and returns the new version of each
	// written row, in the order of the writes.
	Commit(ctx context.Context, t Transaction) ([]uint64, error)
}
