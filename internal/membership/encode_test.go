package membership

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"reflect"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
)

func largeMap() *Map {
	var members []Member
	for i := range 30 {
		id := "entry-" + strconv.Itoa(i)
		members = append(members, Member{ID: id, Host: id, DataCentre: "bdg-a", LinkAddress: "10.0.0.1:7400", HTTPAddress: "10.0.0.1:8080"})
	}
	return Next(nil, Change{Add: members})
}

// Guards against a row that another process reads as a different map, and
// against a first byte by which compressed rows are taken for plain JSON.
func TestEncodeDecode(t *testing.T) {
	abandoned := largeMap()
	for len(abandoned.Members) > 0 {
		abandoned = Next(abandoned, Change{Remove: []string{abandoned.Members[0].ID}})
	}
	for _, m := range []*Map{abandoned, largeMap()} {
		row := m.Encode()
		if row[0] == '{' {
			t.Fatal("a compressed row begins like plain JSON")
		}
		got, err := Decode(row)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("map %d is decoded as %+v, %v", m.Version, got, err)
		}
	}
}

// Guards against an upgrade in which rows written by an earlier version stop all
// entries.
func TestDecodePlainJSON(t *testing.T) {
	m := largeMap()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(text); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("decoded as %+v, %v", got, err)
	}
}

// Guards against a crash or unbounded memory on a row that is damaged.
func TestDecodeDamaged(t *testing.T) {
	row := largeMap().Encode()
	var oversized bytes.Buffer
	w, err := flate.NewWriter(&oversized, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = w.Write(bytes.Repeat([]byte{' '}, 2*maxMapBytes))
	_ = w.Close()
	for name, damaged := range map[string][]byte{
		"empty": nil, "cut": row[:len(row)/2], "noise": {1, 2, 3}, "too large": oversized.Bytes(),
	} {
		if _, err := Decode(damaged); !errorx.IsOfType(err, fault.BadResponse) {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}
