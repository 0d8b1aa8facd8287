package membership

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/damasklb/damasklb/internal/fault"
)

// maxMapBytes bounds a decompressed map, against a row that holds something else.
// A map of 100 members has about 25 kB.
const maxMapBytes = 1 << 20

// compressors are reused because a new one allocates over half a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// Encode returns the table row of the map: JSON, compressed with DEFLATE (RFC
// 1951), because entries send it to all agents and the names of the owners make
// up most of it.
func (m *Map) Encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // Map has no field that can fail to encode.
	}
	var row bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&row)
	// A write to a bytes.Buffer does not fail.
	_, _ = w.Write(text)
	_ = w.Close()
	return row.Bytes()
}

// Decode reads and checks a map from its table row, which may also be plain JSON. The first
// byte distinguishes them: the writer ends a row with an empty last block, so the
// first block is not marked as last and its first byte is even, unlike '{'.
func Decode(row []byte) (*Map, error) {
	text := row
	if len(row) == 0 || row[0] != '{' {
		var err error
		text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row)), maxMapBytes))
		if err != nil {
			return nil, fault.BadResponse.Wrap(err, "decompress partition map")
		}
	}
	m := &Map{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fault.BadResponse.Wrap(err, "decode partition map")
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}
