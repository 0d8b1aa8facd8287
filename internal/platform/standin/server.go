package standin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
)

const maxTransactionBytes = 16 << 20

// Handler serves the table with the table service's HTTP protocol. PUT on /faults
// sets the faults, and GET on /counts returns the calls served.
func (m *Memory) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(platform.RowsPath, m.serveList).Methods(http.MethodGet)
	r.HandleFunc(platform.RowsPath+"{key}", m.serveGet).Methods(http.MethodGet)
	r.HandleFunc(platform.TransactionsPath, m.serveCommit).Methods(http.MethodPost)
	r.HandleFunc("/faults", m.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, m.Counts(), nil)
	}).Methods(http.MethodGet)
	return r
}

func (m *Memory) serveList(w http.ResponseWriter, r *http.Request) {
	rows, err := m.List(r.Context(), r.URL.Query().Get("prefix"))
	respond(w, rows, err)
}

func (m *Memory) serveGet(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		respond(w, nil, fault.BadRequest.Wrap(err, "row key"))
		return
	}
	row, err := m.Get(r.Context(), key)
	if err == nil {
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(row.Version, 10)))
	}
	respond(w, row, err)
}

func (m *Memory) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t platform.Transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes)).Decode(&t); err != nil {
		respond(w, nil, fault.BadRequest.Wrap(err, "transaction"))
		return
	}
	versions, err := m.Commit(r.Context(), t)
	respond(w, versions, err)
}

func (m *Memory) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		respond(w, nil, fault.BadRequest.Wrap(err, "faults"))
		return
	}
	m.SetFaults(f)
	respond(w, f, nil)
}

func respond(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	// A failed write means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(err error) int {
	switch {
	case errorx.IsOfType(err, fault.NotFound):
		return http.StatusNotFound
	case errorx.IsOfType(err, fault.Conflict):
		return http.StatusPreconditionFailed
	case errorx.IsOfType(err, fault.BadRequest):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
