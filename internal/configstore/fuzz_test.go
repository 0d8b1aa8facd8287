package configstore

import (
	"testing"

	"github.com/damasklb/damasklb/internal/platform"
)

// Guards against a row under the head's key that crashes an entry or hides the request
// beside it.
func FuzzParseRows(f *testing.F) {
	f.Add(EvacuationKey("a"), []byte(`{"author":"ann"}`))
	f.Add(EvacuationsKey, []byte(`null`))
	f.Add(HeadKey, []byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		sound := platform.Row{Key: EvacuationKey("sound"), Value: []byte(`{"author":"ann"}`), Version: 1}
		e := ParseEvacuations([]platform.Row{{Key: key, Value: value, Version: 2}, sound})
		r, ok := e.Request("sound")
		if !ok || key != sound.Key && r.Author != "ann" {
			t.Errorf("the sound request is hidden: %+v", e.Requests)
		}
		if head, err := decodeHead(value); err == nil && head.Version == 0 {
			t.Error("a head without a version is accepted")
		}
	})
}
