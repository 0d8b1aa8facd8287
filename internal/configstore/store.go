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

// Waits between attempts while the table is unavailable.
const (
	firstWait = 100 * time.Millisecond
	lastWait  = 2 * time.Second
)

// Store reads and accepts versions of the configuration.
type Store struct {
	table platform.Table
	// now and wait are replaced in tests.
	now  func() time.Time
	wait func(ctx context.Context, d time.Duration) error
}

// New returns a store over a table.
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

// Head returns the newest version; its version is 0 if there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

func (s *Store) head(ctx context.Context) (Head, uint64, error) {
	var head Head
	row, err := s.table.Get(ctx, HeadKey)
	if errorx.IsOfType(err, fault.NotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	return head, row.Version, decode(HeadKey, row.Value, &head)
}

// Content returns the encoded configuration of a version.
func (s *Store) Content(ctx context.Context, version uint64) ([]byte, error) {
	row, err := s.table.Get(ctx, VersionKey(version))
	if errorx.IsOfType(err, fault.NotFound) {
		return nil, noVersion(version)
	}
	return row.Value, err
}

// Audit returns the audit record of a version.
func (s *Store) Audit(ctx context.Context, version uint64) (AuditRecord, error) {
	var record AuditRecord
	row, err := s.table.Get(ctx, AuditKey(version))
	if errorx.IsOfType(err, fault.NotFound) {
		return record, noVersion(version)
	}
	if err != nil {
		return record, err
	}
	return record, decode(row.Key, row.Value, &record)
}

func noVersion(version uint64) error {
	return fault.NoVersion.New("configuration version %d does not exist", version).
		WithProperty(fault.ConfigVersion, version)
}

// History returns up to count audit records, the newest first. It reads rows
// one by one, because a listing would return the records of years.
func (s *Store) History(ctx context.Context, count int) ([]AuditRecord, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	records := []AuditRecord{}
	for version := head.Version; version > 0 && len(records) < count; version-- {
		record, err := s.Audit(ctx, version)
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
// the change was sent; fault.ChangeIDReused; fault.BadConfig.
func (s *Store) Apply(ctx context.Context, p Proposal) (AuditRecord, error) {
	p.action = ActionApply
	return s.accept(ctx, p)
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
	return s.accept(ctx, p)
}

// accept tries until the outcome is known or ctx ends. Every attempt has the
// same change id and a condition on the head at the same base, so at most one
// of them takes effect, also if it does so only after a later one was sent.
func (s *Store) accept(ctx context.Context, p Proposal) (AuditRecord, error) {
	proposed, err := config.Decode(p.Content)
	if err != nil {
		return AuditRecord{}, err
	}
	sent := false
	for wait := firstWait; ; wait = min(2*wait, lastWait) {
		record, err := s.attempt(ctx, p, proposed, &sent)
		if !errorx.IsOfType(err, fault.Unavailable) {
			return record, err
		}
		jittered := wait/2 + rand.N(wait/2)
		if s.wait(ctx, jittered) == nil {
			continue
		}
		if sent {
			return AuditRecord{}, fault.ChangeUnknown.Wrap(err, "it is not known whether change %s has taken effect or will", p.ChangeID)
		}
		return AuditRecord{}, fault.Unavailable.Wrap(err, "change %s was not sent", p.ChangeID)
	}
}

// attempt makes one try. It sets sent before the transaction leaves; an error
// of type fault.Unavailable after that means that the outcome is unknown.
func (s *Store) attempt(ctx context.Context, p Proposal, proposed *config.Config, sent *bool) (AuditRecord, error) {
	// The head is read before the change id: if an earlier attempt has moved the
	// head, the change id is there too.
	head, headRow, err := s.head(ctx)
	if err != nil {
		return AuditRecord{}, err
	}
	if record, found, err := s.accepted(ctx, p); found || err != nil {
		return record, err
	}
	if head.Version < p.BaseVersion {
		return AuditRecord{}, noVersion(p.BaseVersion)
	}
	if head.Version > p.BaseVersion {
		return AuditRecord{}, lostTo(head)
	}
	record, err := s.record(ctx, p, proposed)
	if err != nil {
		return AuditRecord{}, err
	}
	transaction, err := newTransaction(p, record, headRow)
	if err != nil {
		return AuditRecord{}, err
	}
	*sent = true
	_, err = s.table.Commit(ctx, transaction)
	if errorx.IsOfType(err, fault.Conflict) {
		return s.afterConflict(ctx, p)
	}
	return record, err
}

// afterConflict tells an earlier attempt that took effect from another change.
func (s *Store) afterConflict(ctx context.Context, p Proposal) (AuditRecord, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return AuditRecord{}, err
	}
	if record, found, err := s.accepted(ctx, p); found || err != nil {
		return record, err
	}
	return AuditRecord{}, lostTo(head)
}

func lostTo(head Head) error {
	return fault.LostRace.New("version %d by %s of %s is the newest; this change was not made from it and has not taken effect",
		head.Version, head.Author, head.Time.Format(time.RFC3339)).
		WithProperty(fault.ConfigVersion, head.Version).
		WithProperty(fault.ConfigAuthor, head.Author)
}

// accepted looks up whether the change has taken effect.
func (s *Store) accepted(ctx context.Context, p Proposal) (AuditRecord, bool, error) {
	row, err := s.table.Get(ctx, ChangeKey(p.ChangeID))
	if errorx.IsOfType(err, fault.NotFound) {
		return AuditRecord{}, false, nil
	}
	if err != nil {
		return AuditRecord{}, false, err
	}
	var change changeRow
	if err := decode(row.Key, row.Value, &change); err != nil {
		return AuditRecord{}, false, err
	}
	if change.Digest != p.digest() {
		return AuditRecord{}, false, fault.ChangeIDReused.New("change id %s already stands for version %d, which has another content", p.ChangeID, change.Version)
	}
	record, err := s.Audit(ctx, change.Version)
	return record, err == nil, err
}

// record is the audit record of the proposal if it takes effect.
func (s *Store) record(ctx context.Context, p Proposal, proposed *config.Config) (AuditRecord, error) {
	base, err := s.base(ctx, p.BaseVersion)
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

// base returns the configuration of a version, and nil for version 0 and for a
// version that this release cannot read, so that it can still be replaced.
func (s *Store) base(ctx context.Context, version uint64) (*config.Config, error) {
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

func newTransaction(p Proposal, record AuditRecord, headRow uint64) (platform.Transaction, error) {
	head, err := encode(Head{Version: record.Version, ChangeID: p.ChangeID, Author: p.Author, Time: record.Time})
	if err != nil {
		return platform.Transaction{}, err
	}
	audit, err := encode(record)
	if err != nil {
		return platform.Transaction{}, err
	}
	change, err := encode(changeRow{Version: record.Version, Digest: p.digest()})
	if err != nil {
		return platform.Transaction{}, err
	}
	return platform.Transaction{
		Conditions: []platform.Condition{
			{Key: HeadKey, Version: headRow},
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
