package explain

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

// WriteJSON answers a question. A value that cannot be encoded is answered with status 500.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(w, fault.Internal.Wrap(err, "encode answer"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	// A failed write means that the operator's client has disconnected.
	_, _ = w.Write(data)
}

// WriteError answers a question that cannot be answered.
func WriteError(w http.ResponseWriter, err error) {
	code := http.StatusInternalServerError
	switch {
	case errorx.IsOfType(err, fault.BadField):
		code = http.StatusBadRequest
	case errorx.HasTrait(err, errorx.NotFound()):
		code = http.StatusNotFound
	case errorx.IsOfType(err, fault.NotOwner):
		code = http.StatusMisdirectedRequest
	case errorx.IsTemporary(err):
		code = http.StatusServiceUnavailable
	}
	WriteJSON(w, code, status.Failure{Error: status.FailureDetail{
		Type: errorx.GetTypeName(err), Field: fault.FieldOf(err), Message: fault.Text(err),
	}})
}
