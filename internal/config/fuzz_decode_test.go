package config

import "testing"

// Guards against a version row that crashes the processes that read it, or that is accepted
// and cannot be written again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1}`))
	content, err := Default().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Fuzz(func(t *testing.T, row []byte) {
		c, err := Decode(row)
		if err != nil {
			return
		}
		again, err := c.Encode()
		if err != nil {
			t.Fatalf("an accepted configuration cannot be encoded: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Errorf("an accepted configuration is refused when it is written again: %v", err)
		}
	})
}
