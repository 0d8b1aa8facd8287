package configstore

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

// malformedValues are values that another writer may leave in a row.
var malformedValues = []string{
	"", "null", "[]", "{}", "{", `"x"`, `{"version":-1}`, `{"version":1e30}`, `{"version":"2"}`, `{"version":0}`,
	strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 20_000),
}

func write(t *testing.T, table platform.Table, key, value string) {
	t.Helper()
	if _, err := table.Commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a key that is sent with each ping although no data centre has its name,
// and against a malformed request that hides the ones beside it.
func TestMalformedEvacuationRowsDoNotHideOthers(t *testing.T) {
	for _, value := range malformedValues {
		table := standin.NewMemory()
		write(t, table, EvacuationsKey, value)
		write(t, table, EvacuationKey("a"), value)
		write(t, table, EvacuationKey("b"), `{"author":"ann"}`)
		write(t, table, EvacuationKey(""), value)
		write(t, table, EvacuationKey(strings.Repeat("x", 64<<10)), value)
		e, err := New(table).Evacuations(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(e.Requests) != 2 || e.Requests[0].DataCentre != "a" || e.Requests[1].Author != "ann" || len(e.Ignored) != 2 {
			t.Errorf("value %.20q: %d requests, %d rows ignored", value, len(e.Requests), len(e.Ignored))
		}
	}
}

// Guards against a process that stops following the configuration, or goes back, because
// the head row was malformed for a while.
func TestFollowerKeepsItsVersionWhileTheHeadIsMalformed(t *testing.T) {
	table := standin.NewMemory()
	s, f := New(table), NewFollower(table)
	applyNext(t, s, 0)
	if _, err := f.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	sound, err := table.Get(t.Context(), HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range malformedValues {
		write(t, table, HeadKey, value)
		evacuations, changed, err := f.PollEvacuations(t.Context())
		if !errorx.IsOfType(err, fault.BadResponse) || changed || f.Version() != 1 || evacuations == nil {
			t.Errorf("head %.20q: changed %v, error %v, version %d", value, changed, err, f.Version())
		}
	}
	write(t, table, HeadKey, string(sound.Value))
	applyNext(t, s, 1)
	if _, err := f.Poll(t.Context()); err != nil || f.Version() != 2 {
		t.Errorf("version %d after the repair, error %v", f.Version(), err)
	}
}

// Guards against a change that overwrites the first version and its audit record because
// a malformed head row passes for a store without versions.
func TestNoChangeOverAnMalformedHead(t *testing.T) {
	for _, value := range malformedValues {
		table := standin.NewMemory()
		s := New(table)
		content := applyNext(t, s, 0)
		write(t, table, HeadKey, value)
		_, err := s.Apply(t.Context(), Proposal{ChangeID: NewChangeID(), Author: "bob", Content: content})
		if !errorx.IsOfType(err, fault.BadResponse) {
			t.Errorf("head %.20q: error is %v", value, err)
		}
		if record, err := s.Audit(t.Context(), 1); err != nil || record.Author != "ann" {
			t.Errorf("head %.20q: audit record of %q, %v", value, record.Author, err)
		}
	}
}

// Guards against a process that never uses a version whose row was malformed when the head was
// first read.
func TestFollowerUsesARepairedVersion(t *testing.T) {
	for _, value := range malformedValues {
		table := standin.NewMemory()
		s, f := New(table), NewFollower(table)
		content := applyNext(t, s, 0)
		write(t, table, VersionKey(1), value)
		if changed, err := f.Poll(t.Context()); changed || !errorx.IsOfType(err, fault.BadConfig) {
			t.Errorf("version row %.20q: changed %v, error %v", value, changed, err)
		}
		write(t, table, VersionKey(1), string(content))
		if changed, err := f.Poll(t.Context()); !changed || err != nil {
			t.Errorf("version row %.20q: changed %v after the repair, error %v", value, changed, err)
		}
	}
}

// Guards against an audit trail that cannot be read any more because one record is malformed.
func TestHistoryShowsTheRecordsBesideAnMalformedOne(t *testing.T) {
	for _, value := range malformedValues {
		table := standin.NewMemory()
		s := New(table)
		for base := range uint64(3) {
			applyNext(t, s, base)
		}
		write(t, table, AuditKey(2), value)
		records, err := s.History(t.Context(), 10)
		if err != nil || len(records) != 3 || records[0].Author != "ann" || records[2].Author != "ann" {
			t.Fatalf("record %.20q: %d records, error %v", value, len(records), err)
		}
		if records[1].Version != 2 || records[1].Action != ActionUnreadable || records[1].Reason == "" {
			t.Errorf("record %.20q is shown as %+v", value, records[1])
		}
		write(t, table, EvacuationAuditKey("odd"), value)
		write(t, table, EvacuationAuditKey("sound"), `{"change_id":"sound","author":"ann","action":"evacuate"}`)
		evacuations, err := s.EvacuationHistory(t.Context(), 10)
		if err != nil || len(evacuations) != 2 {
			t.Errorf("record %.20q: %d records of evacuations, error %v", value, len(evacuations), err)
		}
	}
}
