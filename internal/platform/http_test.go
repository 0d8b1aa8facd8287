package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
)

// tableThatAnswers returns a table whose service gives one answer to every request.
func tableThatAnswers(t *testing.T, body string) *HTTPTable {
	t.Helper()
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	t.Cleanup(service.Close)
	return NewHTTPTable(service.URL, nil)
}

// Guards against a malformed answer that passes for a table without rows, or for another row: a
// takeover would take it for a site without agents.
func TestMalformedAnswersAreNotEmptyTables(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, body := range []string{"", "null", "{}", `"x"`, "[null]", "[7]", "[{}]", deep, `[{"key":"entry/x"}]`, `[{"key":7}]`} {
		if rows, err := tableThatAnswers(t, body).List(t.Context(), "agent/"); !errorx.IsOfType(err, fault.BadResponse) {
			t.Errorf("list %.20q: %d rows, error %v", body, len(rows), err)
		}
	}
	for _, body := range []string{"", "null", "{}", "[]", `{"key":"agent/b","version":1}`, `{"key":"agent/a","version":-1}`, deep} {
		if row, err := tableThatAnswers(t, body).Get(t.Context(), "agent/a"); !errorx.IsOfType(err, fault.BadResponse) {
			t.Errorf("get %.20q: row %+v, error %v", body, row, err)
		}
	}
}

// Guards against one malformed row that hides the others of an answer.
func TestMalformedRowOfAListKeepsItsKey(t *testing.T) {
	for _, invalid := range []string{`"version":-1`, `"version":1e30`, `"version":"1"`, `"value":"%"`, `"value":7`, `"value":{"a":[[]]}`} {
		body := `[{"key":"agent/a","value":"e30=","version":1},{"key":"agent/b",` + invalid + `},{"key":"agent/c","value":"e30=","version":3}]`
		rows, err := tableThatAnswers(t, body).List(t.Context(), "agent/")
		if err != nil || len(rows) != 3 || rows[1].Key != "agent/b" || rows[1].Value != nil || string(rows[2].Value) != "{}" {
			t.Errorf("%s: rows %+v, error %v", invalid, rows, err)
		}
	}
	if rows, err := tableThatAnswers(t, "[]").List(t.Context(), "agent/"); err != nil || len(rows) != 0 {
		t.Errorf("empty list: %v, %v", rows, err)
	}
}
