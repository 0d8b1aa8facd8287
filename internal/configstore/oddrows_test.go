package configstore

import (
	"strings"
	"testing"

	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

// oddValues are values that another writer may leave in a row.
var oddValues = []string{
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
// and against an odd request that hides the ones beside it.
func TestOddEvacuationRowsDoNotHideOthers(t *testing.T) {
	for _, value := range oddValues {
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
