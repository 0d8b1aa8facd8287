package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
)

// Bounds of the delay between attempts while the table is unavailable.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Store reads and accepts versions of the configuration.
type Store struct {
	table platform.Table
	// Tests replace now and wait.
	now  func() time.Time
	wait func(ctx context.Context, d time.Duration) error
}

// New returns a store that uses a table.
func New(table platform.Table) *Store {
	return &Store{table: table, now: time.Now, wait: sleep}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fault.Unavailable.Wrap(ctx.Err(), "wait for the table service")
	}
}

// Head returns the head row, which names the newest version. Its version is 0 if
// there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// readHead returns the head row and its row version, which is 0 if there is none.
func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, HeadKey)
	if errorx.IsOfType(err, fault.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := decodeHead(row.Value)
	return head, row.Version, err
}

// Content returns the encoded configuration of a version.
func (s *Store) Content(ctx context.Context, version uint64) ([]byte, error) {
	row, err := s.table.Get(ctx, VersionKey(version))
	if errorx.IsOfType(err, fault.NotFound) {
		return nil, noVersionError(version)
	}
	return row.Value, err
}

// Audit returns the audit record of a version.
func (s *Store) Audit(ctx context.Context, version uint64) (AuditRecord, error) {
	var record AuditRecord
	row, err := s.table.Get(ctx, AuditKey(version))
	if errorx.IsOfType(err, fault.NotFound) {
		return record, noVersionError(version)
	}
	if err != nil {
		return record, err
	}
	if err := decodeRow(row.Key, row.Value, &record); err != nil {
		return AuditRecord{}, err
	}
	if record.Version != version {
		return AuditRecord{}, fault.BadResponse.New("row %q is the record of version %d", AuditKey(version), record.Version)
	}
	return record, nil
}

func noVersionError(version uint64) error {
	return fault.NoVersion.New("configuration version %d does not exist", version).
		WithProperty(fault.ConfigVersion, version)
}

// History returns up to count audit records, the newest first; for one that cannot be
// read it returns a record of ActionUnreadable. It reads the rows
// one by one, because a list request would return the records of several years.
func (s *Store) History(ctx context.Context, count int) ([]AuditRecord, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	records := []AuditRecord{}
	for version := head.Version; version > 0 && len(records) < count; version-- {
		record, err := s.Audit(ctx, version)
		if errorx.IsOfType(err, fault.BadResponse) || errorx.IsOfType(err, fault.NoVersion) {
			record, err = AuditRecord{Version: version, Action: ActionUnreadable, Reason: err.Error()}, nil
		}
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Apply makes the proposal's content the newest version.
//
// Errors: fault.LostRace if a version after the base is the newest;
// fault.NoVersion if the base does not exist;
// fault.ChangeUnknown if ctx ended before the outcome was known, in which case
// the same proposal may be tried again; fault.Unavailable if ctx ended before
// the change was sent; fault.ChangeIDReused if the change id belongs to another
// change; fault.BadConfig if the content is not a valid configuration.
func (s *Store) Apply(ctx context.Context, p Proposal) (AuditRecord, error) {
	p.action = ActionApply
	return s.commitWithRetry(ctx, p)
}

// Rollback makes the content of an old version the newest version. The
// proposal's own content is not used.
func (s *Store) Rollback(ctx context.Context, to uint64, p Proposal) (AuditRecord, error) {
	content, err := s.Content(ctx, to)
	if err != nil {
		return AuditRecord{}, err
	}
	p.Content = content
	p.action = ActionRollback
	p.rollbackTo = to
	return s.commitWithRetry(ctx, p)
}

// commitWithRetry tries to commit a change until its outcome is known or ctx ends.
// Every attempt has the same change id and the condition that the head is at the
// base, so at most one of them takes effect, even if it does so only after a later
// attempt was sent.
func (s *Store) commitWithRetry(ctx context.Context, p Proposal) (AuditRecord, error) {
	proposed, err := config.Decode(p.Content)
	if err != nil {
		return AuditRecord{}, err
	}
	var record AuditRecord
	err = s.retry(ctx, p.ChangeID, func(sent *bool) error {
		record, err = s.tryCommit(ctx, p, proposed, sent)
		return err
	})
	return record, err
}

// retry calls try until its outcome is known or ctx ends. try sets sent before it sends
// a transaction; after that, an error of type fault.Unavailable means that the outcome
// is unknown.
func (s *Store) retry(ctx context.Context, changeID string, try func(sent *bool) error) error {
	sent := false
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := try(&sent)
		if !errorx.IsOfType(err, fault.Unavailable) {
			return err
		}
		jittered := backoff/2 + rand.N(backoff/2)
		if s.wait(ctx, jittered) == nil {
			continue
		}
		if sent {
			return fault.ChangeUnknown.Wrap(err, "it is not known whether change %s has taken effect or will", changeID)
		}
		return fault.Unavailable.Wrap(err, "change %s was not sent", changeID)
	}
}

// tryCommit makes one attempt to commit a change. It sets sent before it sends the
// transaction; after that, an error of type fault.Unavailable means that the
// outcome is unknown.
func (s *Store) tryCommit(ctx context.Context, p Proposal, proposed *config.Config, sent *bool) (AuditRecord, error) {
	// The head is read before the change id: if an earlier attempt has advanced the
	// head, the row of the change id exists too.
	head, headRowVersion, err := s.readHead(ctx)
	if err != nil {
		return AuditRecord{}, err
	}
	if record, found, err := s.findAccepted(ctx, p); found || err != nil {
		return record, err
	}
	if head.Version < p.BaseVersion {
		return AuditRecord{}, noVersionError(p.BaseVersion)
	}
	if head.Version > p.BaseVersion {
		return AuditRecord{}, lostRaceError(head)
	}
	record, err := s.newAuditRecord(ctx, p, proposed)
	if err != nil {
		return AuditRecord{}, err
	}
	transaction, err := newTransaction(p, record, headRowVersion)
	if err != nil {
		return AuditRecord{}, err
	}
	*sent = true
	_, err = s.table.Commit(ctx, transaction)
	if errorx.IsOfType(err, fault.Conflict) {
		return s.resolveConflict(ctx, p)
	}
	return record, err
}

// resolveConflict determines whether an earlier attempt of the same change or
// another change has taken effect.
func (s *Store) resolveConflict(ctx context.Context, p Proposal) (AuditRecord, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return AuditRecord{}, err
	}
	if record, found, err := s.findAccepted(ctx, p); found || err != nil {
		return record, err
	}
	return AuditRecord{}, lostRaceError(head)
}

func lostRaceError(head Head) error {
	return fault.LostRace.New("version %d by %s of %s is the newest; this change was not made from it and has not taken effect",
		head.Version, head.Author, head.Time.Format(time.RFC3339)).
		WithProperty(fault.ConfigVersion, head.Version).
		WithProperty(fault.ConfigAuthor, head.Author)
}

// findAccepted returns the audit record of the change if it has taken effect.
func (s *Store) findAccepted(ctx context.Context, p Proposal) (AuditRecord, bool, error) {
	row, err := s.table.Get(ctx, ChangeKey(p.ChangeID))
	if errorx.IsOfType(err, fault.NotFound) {
		return AuditRecord{}, false, nil
	}
	if err != nil {
		return AuditRecord{}, false, err
	}
	var change changeRow
	if err := decodeRow(row.Key, row.Value, &change); err != nil {
		return AuditRecord{}, false, err
	}
	if change.Digest != p.digest() {
		return AuditRecord{}, false, fault.ChangeIDReused.New("change id %s already stands for version %d, which has another content", p.ChangeID, change.Version)
	}
	record, err := s.Audit(ctx, change.Version)
	return record, err == nil, err
}

// newAuditRecord returns the audit record to be stored with the proposal.
func (s *Store) newAuditRecord(ctx context.Context, p Proposal, proposed *config.Config) (AuditRecord, error) {
	base, err := s.baseConfig(ctx, p.BaseVersion)
	if err != nil {
		return AuditRecord{}, err
	}
	return AuditRecord{
		Version: p.BaseVersion + 1, PreviousVersion: p.BaseVersion, ChangeID: p.ChangeID,
		Author: p.Author, Host: p.Host, Time: s.now().UTC().Round(0), Reason: p.Reason,
		Action: p.action, RollbackTo: p.rollbackTo,
		Changes: config.Diff(base, proposed),
	}, nil
}

// baseConfig returns the configuration of a version. It returns nil for version 0
// and for a version that this release cannot read, so that such a version can
// still be replaced.
func (s *Store) baseConfig(ctx context.Context, version uint64) (*config.Config, error) {
	if version == 0 {
		return nil, nil
	}
	content, err := s.Content(ctx, version)
	if err != nil {
		return nil, err
	}
	base, err := config.Decode(content)
	if err != nil {
		return nil, nil
	}
	return base, nil
}

func newTransaction(p Proposal, record AuditRecord, headRowVersion uint64) (platform.Transaction, error) {
	head, err := encodeRow(Head{Version: record.Version, ChangeID: p.ChangeID, Author: p.Author, Time: record.Time})
	if err != nil {
		return platform.Transaction{}, err
	}
	audit, err := encodeRow(record)
	if err != nil {
		return platform.Transaction{}, err
	}
	change, err := encodeRow(changeRow{Version: record.Version, Digest: p.digest()})
	if err != nil {
		return platform.Transaction{}, err
	}
	return platform.Transaction{
		Conditions: []platform.Condition{
			{Key: HeadKey, Version: headRowVersion},
			{Key: ChangeKey(p.ChangeID), Version: 0},
		},
		Writes: []platform.Write{
			{Key: HeadKey, Value: head},
			{Key: VersionKey(record.Version), Value: p.Content},
			{Key: AuditKey(record.Version), Value: audit},
			{Key: ChangeKey(p.ChangeID), Value: change},
		},
	}, nil
}
