package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Paths of the table service's HTTP protocol. A row is read with GET on
// RowsPath plus its key and carries its version as a strong ETag (RFC 9110);
// RowsPath with the query parameter prefix lists rows; a transaction is POSTed
// to TransactionsPath and answered with 200, or 412 if a condition failed.
const (
	RowsPath         = "/v1/rows/"
	TransactionsPath = "/v1/transactions"
)

// DefaultTimeout bounds one request to the table service.
const DefaultTimeout = 2 * time.Second

const maxResponseBytes = 64 << 20

// HTTPTable is a Table that uses the table service's HTTP protocol.
type HTTPTable struct {
	base   string
	client *http.Client
}

// NewHTTPTable returns a table at the base URL. With a nil client it uses one with
// DefaultTimeout.
func NewHTTPTable(base string, client *http.Client) *HTTPTable {
	if client == nil {
		client = &http.Client{Timeout: DefaultTimeout}
	}
	return &HTTPTable{base: base, client: client}
}

// Get implements Table.
func (t *HTTPTable) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	if err := t.call(ctx, http.MethodGet, RowsPath+url.PathEscape(key), nil, &row); err != nil {
		return Row{}, err
	}
	if row.Key != key {
		return Row{}, fault.BadResponse.New("table service: asked for row %q, got %q", key, row.Key)
	}
	return row, nil
}

// List implements Table.
func (t *HTTPTable) List(ctx context.Context, prefix string) ([]Row, error) {
	var listed []json.RawMessage
	if err := t.call(ctx, http.MethodGet, RowsPath+"?prefix="+url.QueryEscape(prefix), nil, &listed); err != nil {
		return nil, err
	}
	if listed == nil {
		return nil, fault.BadResponse.New("table service: the list of rows under %q is null", prefix)
	}
	rows := make([]Row, 0, len(listed))
	for _, text := range listed {
		row, err := decodeListed(text, prefix)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// decodeListed reads a row of a list. One that cannot be read keeps its key, without a
// value, because a missing row means that there is no such process.
func decodeListed(text []byte, prefix string) (Row, error) {
	var row Row
	if err := json.Unmarshal(text, &row); err != nil {
		var named struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(text, &named); err != nil {
			return Row{}, fault.BadResponse.Wrap(err, "table service: a row under %q", prefix)
		}
		row = Row{Key: named.Key}
	}
	if !strings.HasPrefix(row.Key, prefix) || row.Key == "" {
		return Row{}, fault.BadResponse.New("table service: asked for rows under %q, got %q", prefix, row.Key)
	}
	return row, nil
}

// Commit implements Table.
func (t *HTTPTable) Commit(ctx context.Context, tx Transaction) ([]uint64, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return nil, fault.BadResponse.Wrap(err, "encode transaction")
	}
	var versions []uint64
	err = t.call(ctx, http.MethodPost, TransactionsPath, body, &versions)
	return versions, err
}

func (t *HTTPTable) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, t.base+path, bytes.NewReader(body))
	if err != nil {
		return fault.BadSettings.Wrap(err, "table service address %q", t.base)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return fault.Unavailable.Wrap(err, "table service: %s %s", method, path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Unavailable.Wrap(err, "table service: read response to %s %s", method, path)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return fault.NotFound.New("row %s does not exist", path)
	case http.StatusPreconditionFailed:
		return fault.Conflict.New("a condition of the transaction does not hold: %s", bytes.TrimSpace(data))
	default:
		return fault.Unavailable.New("table service: %s %s: status %d", method, path, resp.StatusCode)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.BadResponse.Wrap(err, "table service: response to %s %s", method, path)
	}
	return nil
}
