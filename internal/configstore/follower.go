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

// Snapshot is a version of the configuration that a process has in force. It
// must not be changed.
type Snapshot struct {
	Version uint64
	Config  *config.Config
	// Content is the encoded form, to be passed on to other processes.
	Content []byte
}

// Follower holds the newest version that a process has seen, from the table or
// from its peers. It never steps back to an earlier version.
type Follower struct {
	store *Store

	mu      sync.Mutex // held while a version is replaced
	current atomic.Pointer[Snapshot]
}

// NewFollower returns a follower without a version. The table may be nil for a
// process that gets versions from its peers alone, as agents do.
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

// Version is the number of the version in force; 0 if there is none.
func (f *Follower) Version() uint64 {
	s, _ := f.Current()
	return s.Version
}

// Offer puts a version in force if it is newer than the present one, and
// reports whether it did. Content that cannot be read is refused.
func (f *Follower) UpdateIfNewer(version uint64, content []byte) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := f.current.Load()
	if present != nil && version <= present.Version {
		same := version < present.Version || bytes.Equal(content, present.Content)
		invariant.Check(same, "config_version_has_one_content", "version", version)
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
	head, err := f.store.Head(ctx)
	if err != nil || head.Version <= f.Version() {
		return false, err
	}
	content, err := f.store.Content(ctx, head.Version)
	if err != nil {
		return false, err
	}
	return f.UpdateIfNewer(head.Version, content)
}
