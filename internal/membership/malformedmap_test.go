package membership

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
)

// malformedMaps are rows that another writer may leave in place of the map.
func malformedMaps(t *testing.T) map[string]string {
	t.Helper()
	invalid := map[string]string{
		"null": "null", "object": "{}", "list": "[]", "no partitions": `{"version":9,"members":[{"id":"a"}]}`,
		"no members and partitions": `{"version":9}`, "negative": `{"version":-1}`, "large": `{"version":1e30}`,
		"deep": strings.Repeat(`{"members":`, 20_000), "wrong type": `{"version":"9"}`,
	}
	change := func(name string, f func(m *Map)) {
		m := *largeMap()
		m.Version = 9
		f(&m)
		text, err := json.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		invalid[name] = string(text)
	}
	change("no version", func(m *Map) { m.Version = 0 })
	change("last version", func(m *Map) { m.Version = math.MaxUint64 })
	change("epoch above the version", func(m *Map) { m.Partitions[3].Epoch = 10 })
	change("no epoch", func(m *Map) { m.Partitions[3].Epoch = 0 })
	change("owner is no member", func(m *Map) { m.Partitions[3].Owner = "x" })
	change("no owner", func(m *Map) { m.Partitions[3].Owner = "" })
	change("base above the version", func(m *Map) { m.Partitions[3].Base = 10 })
	change("previous epoch not below the epoch", func(m *Map) {
		m.Partitions[3].Previous, m.Partitions[3].PreviousEpoch = "x", m.Partitions[3].Epoch
	})
	change("member without id", func(m *Map) { m.Members = append([]Member{{}}, m.Members...) })
	change("member twice", func(m *Map) { m.Members = append([]Member{m.Members[0]}, m.Members...) })
	change("long id", func(m *Map) { m.Members = append([]Member{{ID: strings.Repeat("x", 64<<10)}}, m.Members...) })
	return invalid
}

// Guards against a malformed map row that passes for a new installation, for one whose
// partitions never had an owner, or for epochs that no owner has: tasks would start
// twice, or never again.
func TestDecodeRefusesMalformedMaps(t *testing.T) {
	for name, row := range malformedMaps(t) {
		if _, err := Decode([]byte(row)); !errorx.IsOfType(err, fault.BadResponse) {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}

// Guards against a check that refuses maps which entries write.
func TestDecodeAcceptsMapsOfEntries(t *testing.T) {
	var m *Map
	for i := range 40 {
		id := fmt.Sprint("e", i%7)
		next := Next(m, Change{Add: members(id)})
		if next == nil {
			next = Next(m, Change{Remove: []string{id}, Left: i%2 == 0})
		}
		m = next
		for _, member := range m.Members {
			if rebased := Rebase(m, member.ID, m.Owned(member.ID)); rebased != nil {
				m = rebased
			}
		}
		if _, err := Decode(m.Encode()); err != nil {
			t.Fatalf("map %d: %v", m.Version, err)
		}
	}
	for len(m.Members) > 0 {
		m = Next(m, Change{Remove: []string{m.Members[0].ID}, Left: true})
		if _, err := Decode(m.Encode()); err != nil {
			t.Fatalf("map %d of %d members: %v", m.Version, len(m.Members), err)
		}
	}
}

// Guards against a row that crashes the decoder, or that is read as a map which
// cannot be followed by another.
func FuzzDecode(f *testing.F) {
	f.Add(largeMap().Encode())
	text, err := json.Marshal(largeMap())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"version":1,"partitions":[{"owner":"a","epoch":-1}]}`))
	f.Fuzz(func(t *testing.T, row []byte) {
		m, err := Decode(row)
		if err != nil {
			return
		}
		next := Next(m, Change{Add: members("fuzz-new")})
		if next == nil {
			return
		}
		if _, err := Decode(next.Encode()); err != nil {
			t.Errorf("the map after an accepted one is refused: %v", err)
		}
	})
}
