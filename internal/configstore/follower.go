package configstore

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/platform"
)

// Snapshot is the version of the configuration that is in force in a process. It
// must not be modified.
type Snapshot struct {
	Version uint64
	Config  *config.Config
	// Content is the encoded configuration, which can be sent to other processes.
	Content []byte
}

// Follower holds the newest version that a process has received, from the table
// or from its peers. It never returns to an earlier version.
type Follower struct {
	store *Store

	mu      sync.Mutex // locked while a version is replaced
	current atomic.Pointer[Snapshot]
}

// NewFollower returns a follower without a version. The table may be nil in a
// process that gets versions only from its peers, as agents do.
func NewFollower(table platform.Table) *Follower {
	f := &Follower{}
	if table != nil {
		f.store = New(table)
	}
	return f
}

// Current returns the version in force. The second result is false if there is
// none; the process must then refuse work.
func (f *Follower) Current() (Snapshot, bool) {
	s := f.current.Load()
	if s == nil {
		return Snapshot{}, false
	}
	return *s, true
}

// Version returns the number of the version in force; 0 if there is none.
func (f *Follower) Version() uint64 {
	s, _ := f.Current()
	return s.Version
}

// UpdateIfNewer puts a version in force if it is newer than the current one, and
// reports whether it did. It returns an error for content that is not a valid
// configuration.
func (f *Follower) UpdateIfNewer(version uint64, content []byte) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if current != nil && version <= current.Version {
		consistent := version < current.Version || bytes.Equal(content, current.Content)
		invariant.Check(consistent, "config_version_has_one_content", "version", version)
		return false, nil
	}
	c, err := config.Decode(content)
	if err != nil {
		return false, err
	}
	f.current.Store(&Snapshot{Version: version, Config: c, Content: bytes.Clone(content)})
	return true, nil
}

// Poll reads the head row, and the version row only if it is newer than the
// version in force. It reports whether the version in force has changed. It
// must not be called on a follower without a table.
func (f *Follower) Poll(ctx context.Context) (bool, error) {
	_, changed, err := f.PollEvacuations(ctx)
	return changed, err
}

// PollEvacuations does what Poll does, and returns the evacuation requests, which are
// read with the head row in one call. They are nil if the call has failed; an error of
// the configuration alone does not withhold them.
func (f *Follower) PollEvacuations(ctx context.Context) (*Evacuations, bool, error) {
	rows, err := f.store.table.List(ctx, HeadKey)
	if err != nil {
		return nil, false, err
	}
	evacuations := ParseEvacuations(rows)
	var head Head
	for _, row := range rows {
		if row.Key != HeadKey {
			continue
		}
		if head, err = decodeHead(row.Value); err != nil {
			return evacuations, false, err
		}
	}
	if head.Version <= f.Version() {
		return evacuations, false, nil
	}
	content, err := f.store.Content(ctx, head.Version)
	if err != nil {
		return evacuations, false, err
	}
	changed, err := f.UpdateIfNewer(head.Version, content)
	return evacuations, changed, err
}
