package owner

import "testing"

// Guards against an agent's row that names another host than its key, or that is read as
// sound without an incarnation.
func FuzzDecodeAgentRow(f *testing.F) {
	f.Add(AgentKeyPrefix+"w1", []byte(`{"host":"w1","incarnation":"i"}`))
	f.Add("", []byte("null"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		row := DecodeAgentRow(key, value)
		if row.Unreadable && (row.Left || row.Replaced || row.Incarnation != "") || !row.Unreadable && row.Incarnation == "" {
			t.Errorf("key %q is read as %+v", key, row)
		}
		if AgentKeyPrefix+row.Host != key && row.Host != key {
			t.Errorf("key %q is read as host %q", key, row.Host)
		}
	})
}
