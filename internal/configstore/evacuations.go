package configstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
)

// The keys of evacuations begin with the key of the head row, so that entries read them
// with the head row in one call, and both as of the same moment.
const (
	// EvacuationsKey is the key of the row that each change of the requests replaces and
	// that is never deleted. Its row version is the version of the whole state.
	EvacuationsKey   = HeadKey + "/evacuations"
	evacuationPrefix = HeadKey + "/evacuation/"
	// evacuationRows is the prefix of EvacuationsKey and of all requests.
	evacuationRows        = HeadKey + "/evacuation"
	evacuationAuditPrefix = "audit/evacuation/"
	// maxDataCentreBytes bounds the name in a request's key. Entries pass all names on
	// with each ping, and no data centre has a longer name.
	maxDataCentreBytes = 256
)

// EvacuationKey is the key of the request to evacuate a data centre.
func EvacuationKey(dataCentre string) string { return evacuationPrefix + dataCentre }

// EvacuationAuditKey is the key of the audit record of a change of the requests.
func EvacuationAuditKey(changeID string) string { return evacuationAuditPrefix + changeID }

// Actions of an EvacuationRecord.
const (
	ActionEvacuate      Action = "evacuate"
	ActionEndEvacuation Action = "end-evacuation"
)

// EvacuationRequest is the value of a request's row.
type EvacuationRequest struct {
	DataCentre string    `json:"data_centre"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Host       string    `json:"from"`
	Time       time.Time `json:"time"`
	Reason     string    `json:"reason,omitempty"`
	// RowVersion is the version of the row. A request that was withdrawn and made again
	// has a new one.
	RowVersion uint64 `json:"-"`
	// Problem is why the row's value cannot be read. The key alone names the data centre
	// then, and the request is in force: starting tasks against the operator's will is
	// worse than evacuating a data centre for a damaged row.
	Problem error `json:"-"`
}

// Evacuations holds the requests in force, ordered by data centre.
type Evacuations struct {
	Version  uint64
	Requests []EvacuationRequest
	// Ignored are the rows that can be the request of no data centre.
	Ignored []IgnoredRow
}

// IgnoredRow is a row that is not used, and why.
type IgnoredRow struct {
	Key     string
	Problem error
}

// ParseEvacuations reads the requests from rows, among which others may be.
func ParseEvacuations(rows []platform.Row) *Evacuations {
	e := &Evacuations{}
	for _, row := range rows {
		if row.Key == EvacuationsKey {
			e.Version = row.Version
			continue
		}
		dataCentre, ok := strings.CutPrefix(row.Key, evacuationPrefix)
		if !ok {
			continue
		}
		if dataCentre == "" || len(dataCentre) > maxDataCentreBytes {
			err := fault.BadResponse.New("the name of a data centre has 1 to %d bytes, not %d", maxDataCentreBytes, len(dataCentre))
			e.Ignored = append(e.Ignored, IgnoredRow{Key: row.Key, Problem: err})
			continue
		}
		var r EvacuationRequest
		if err := decodeRow(row.Key, row.Value, &r); err != nil {
			r = EvacuationRequest{Problem: err}
		}
		r.DataCentre, r.RowVersion = dataCentre, row.Version
		e.Requests = append(e.Requests, r)
	}
	slices.SortFunc(e.Requests, func(a, b EvacuationRequest) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return e
}

// Request returns the request for a data centre, if there is one.
func (e *Evacuations) Request(dataCentre string) (EvacuationRequest, bool) {
	for _, r := range e.Requests {
		if r.DataCentre == dataCentre {
			return r, true
		}
	}
	return EvacuationRequest{}, false
}

// Update returns the state as an update of what a process knows. asOf is the time at
// which the call of the table began.
func (e *Evacuations) Update(asOf time.Duration) evacuation.Update {
	u := evacuation.Update{All: true, Version: e.Version, AsOf: asOf}
	for _, r := range e.Requests {
		u.Changes = append(u.Changes, evacuation.Change{DataCentre: r.DataCentre, Version: r.RowVersion})
	}
	return u
}

// Evacuations reads the requests in force.
func (s *Store) Evacuations(ctx context.Context) (*Evacuations, error) {
	rows, err := s.table.List(ctx, evacuationRows)
	if err != nil {
		return nil, err
	}
	return ParseEvacuations(rows), nil
}

// EvacuationProposal is an operator's change of the requests.
type EvacuationProposal struct {
	// ChangeID identifies the change across retries; see NewChangeID.
	ChangeID   string
	DataCentre string
	// Undo withdraws the request for the data centre.
	Undo bool
	// Author, Host and Reason state who makes the change, on which host and why.
	Author string
	Host   string
	Reason string
}

func (p EvacuationProposal) action() Action {
	if p.Undo {
		return ActionEndEvacuation
	}
	return ActionEvacuate
}

// digest returns what a retry with the same change id must repeat.
func (p EvacuationProposal) digest() string {
	return Proposal{action: p.action(), Content: []byte(p.DataCentre)}.digest()
}

// EvacuationRecord is the audit record of a change of the requests.
type EvacuationRecord struct {
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Host       string    `json:"from"`
	Time       time.Time `json:"time"`
	Reason     string    `json:"reason,omitempty"`
	Action     Action    `json:"action"`
	DataCentre string    `json:"data_centre"`
	// PreviousVersion is the version of the state that the change was made from.
	PreviousVersion uint64 `json:"before"`
}

// EvacuationResult is the outcome of a change of the requests.
type EvacuationResult struct {
	Audit EvacuationRecord `json:"audit,omitzero"`
	// Unchanged is set if the state was already the one asked for. Request is then the
	// request in force, if any.
	Unchanged bool               `json:"unchanged,omitempty"`
	Request   *EvacuationRequest `json:"request,omitempty"`
	// Version is the version of the state with the change.
	Version uint64 `json:"version"`
	// Left are the data centres of the configuration that are not being evacuated.
	Left []string `json:"left"`
}

// Evacuate makes or withdraws a request. A request that is in force already, and the
// withdrawal of one that is not, change nothing.
//
// Errors: fault.UnknownDataCentre if the configuration does not list the data centre,
// except for a withdrawal of its request; fault.LostRace if another operator has changed
// the request of this data centre meanwhile; fault.NoVersion if there is no
// configuration; fault.ChangeUnknown if ctx ended before the outcome was known;
// fault.Unavailable if ctx ended before the change was sent.
func (s *Store) Evacuate(ctx context.Context, p EvacuationProposal) (EvacuationResult, error) {
	var result EvacuationResult
	a := evacuationAttempt{store: s, proposal: p}
	err := s.retry(ctx, p.ChangeID, func(sent *bool) error {
		for {
			var err error
			result, err = a.try(ctx, sent)
			// Another change has taken effect since the state was read. The next try
			// decides whether it concerns this data centre.
			if !errorx.IsOfType(err, fault.Conflict) {
				return err
			}
		}
	})
	return result, err
}

// evacuationAttempt holds what the tries of one change share.
type evacuationAttempt struct {
	store    *Store
	proposal EvacuationProposal
	config   *config.Config
	// started is set once the state was read; base is the row version that the data
	// centre's request then had, 0 if there was none.
	started bool
	base    uint64
}

func (a *evacuationAttempt) try(ctx context.Context, sent *bool) (EvacuationResult, error) {
	p := a.proposal
	if err := a.readConfig(ctx); err != nil {
		return EvacuationResult{}, err
	}
	// The state is read before the change id: if an earlier try has changed the state,
	// the row of the change id exists too.
	state, err := a.store.Evacuations(ctx)
	if err != nil {
		return EvacuationResult{}, err
	}
	if record, found, err := a.findAccepted(ctx); found || err != nil {
		return a.result(state, record), err
	}
	current, requested := state.Request(p.DataCentre)
	if _, known := a.config.DataCentres[p.DataCentre]; !known && !(p.Undo && requested) {
		return EvacuationResult{}, a.unknown()
	}
	if a.started && current.RowVersion != a.base {
		return EvacuationResult{}, evacuationRaceError(p.DataCentre, current, requested)
	}
	a.started, a.base = true, current.RowVersion
	if requested != p.Undo {
		result := a.result(state, EvacuationRecord{})
		result.Unchanged = true
		if requested {
			result.Request = &current
		}
		return result, nil
	}
	record := EvacuationRecord{
		ChangeID: p.ChangeID, Author: p.Author, Host: p.Host, Time: a.store.now().UTC().Round(0), Reason: p.Reason,
		Action: p.action(), DataCentre: p.DataCentre, PreviousVersion: state.Version,
	}
	transaction, err := newEvacuationTransaction(p, record, current.RowVersion)
	if err != nil {
		return EvacuationResult{}, err
	}
	*sent = true
	versions, err := a.store.table.Commit(ctx, transaction)
	if err != nil {
		return EvacuationResult{}, err
	}
	result := a.result(state, record)
	result.Version = versions[0]
	result.Left = a.left(state, p)
	return result, nil
}

func (a *evacuationAttempt) readConfig(ctx context.Context) error {
	if a.config != nil {
		return nil
	}
	head, err := a.store.Head(ctx)
	if err != nil {
		return err
	}
	if head.Version == 0 {
		return fault.NoVersion.New("there is no configuration yet, so no data centre is known")
	}
	content, err := a.store.Content(ctx, head.Version)
	if err != nil {
		return err
	}
	a.config, err = config.Decode(content)
	return err
}

func (a *evacuationAttempt) unknown() error {
	names := make([]string, 0, len(a.config.DataCentres))
	for name := range a.config.DataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	return fault.UnknownDataCentre.New("data centre %q is not in the configuration; allowed: %s", a.proposal.DataCentre, strings.Join(names, ", "))
}

func (a *evacuationAttempt) result(state *Evacuations, record EvacuationRecord) EvacuationResult {
	return EvacuationResult{Audit: record, Version: state.Version, Left: a.left(state, EvacuationProposal{})}
}

// left returns the data centres that are not being evacuated in a state, or after a
// change of it.
func (a *evacuationAttempt) left(state *Evacuations, change EvacuationProposal) []string {
	left := []string{}
	for name := range a.config.DataCentres {
		_, evacuated := state.Request(name)
		if name == change.DataCentre {
			evacuated = !change.Undo
		}
		if !evacuated {
			left = append(left, name)
		}
	}
	slices.Sort(left)
	return left
}

// findAccepted returns the audit record of the change if it has taken effect.
func (a *evacuationAttempt) findAccepted(ctx context.Context) (EvacuationRecord, bool, error) {
	var record EvacuationRecord
	row, err := a.store.table.Get(ctx, ChangeKey(a.proposal.ChangeID))
	if errorx.IsOfType(err, fault.NotFound) {
		return record, false, nil
	}
	if err != nil {
		return record, false, err
	}
	var change changeRow
	if err := decodeRow(row.Key, row.Value, &change); err != nil {
		return record, false, err
	}
	if change.Digest != a.proposal.digest() {
		return record, false, fault.ChangeIDReused.New("change id %s already stands for another change", a.proposal.ChangeID)
	}
	row, err = a.store.table.Get(ctx, EvacuationAuditKey(a.proposal.ChangeID))
	if err != nil {
		return record, false, err
	}
	err = decodeRow(row.Key, row.Value, &record)
	return record, err == nil, err
}

func evacuationRaceError(dataCentre string, current EvacuationRequest, requested bool) error {
	if !requested {
		return fault.LostRace.New("another operator has ended the evacuation of %q meanwhile; this change has not taken effect", dataCentre)
	}
	return fault.LostRace.New("%s has asked for the evacuation of %q at %s; this change has not taken effect",
		current.Author, dataCentre, current.Time.Format(time.RFC3339)).WithProperty(fault.ConfigAuthor, current.Author)
}

// newEvacuationTransaction returns the writes of a change. The first one is that of
// EvacuationsKey.
func newEvacuationTransaction(p EvacuationProposal, record EvacuationRecord, requestVersion uint64) (platform.Transaction, error) {
	request := EvacuationRequest{
		DataCentre: p.DataCentre, ChangeID: p.ChangeID, Author: p.Author, Host: p.Host, Time: record.Time, Reason: p.Reason,
	}
	value, err := encodeRow(request)
	if err != nil {
		return platform.Transaction{}, err
	}
	audit, err := encodeRow(record)
	if err != nil {
		return platform.Transaction{}, err
	}
	change, err := encodeRow(changeRow{Version: record.PreviousVersion, Digest: p.digest()})
	if err != nil {
		return platform.Transaction{}, err
	}
	write := platform.Write{Key: EvacuationKey(p.DataCentre), Value: value}
	if p.Undo {
		write = platform.Write{Key: write.Key, Delete: true}
	}
	return platform.Transaction{
		Conditions: []platform.Condition{
			{Key: EvacuationsKey, Version: record.PreviousVersion},
			{Key: write.Key, Version: requestVersion},
			{Key: ChangeKey(p.ChangeID), Version: 0},
		},
		Writes: []platform.Write{
			{Key: EvacuationsKey, Value: audit}, write,
			{Key: EvacuationAuditKey(p.ChangeID), Value: audit},
			{Key: ChangeKey(p.ChangeID), Value: change},
		},
	}, nil
}

// EvacuationHistory returns up to count audit records of evacuations, the newest first.
func (s *Store) EvacuationHistory(ctx context.Context, count int) ([]EvacuationRecord, error) {
	rows, err := s.table.List(ctx, evacuationAuditPrefix)
	if err != nil {
		return nil, err
	}
	records := make([]EvacuationRecord, 0, len(rows))
	for _, row := range rows {
		var record EvacuationRecord
		if err := decodeRow(row.Key, row.Value, &record); err != nil {
			id := strings.TrimPrefix(row.Key, evacuationAuditPrefix)
			record = EvacuationRecord{ChangeID: id, Action: ActionUnreadable, Reason: err.Error()}
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b EvacuationRecord) int {
		return cmp.Or(cmp.Compare(b.PreviousVersion, a.PreviousVersion), b.Time.Compare(a.Time))
	})
	return records[:min(count, len(records))], nil
}
