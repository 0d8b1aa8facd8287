package wire

import (
	"bytes"
	"testing"
)

// Guards against a frame from a faulty peer that crashes the reader, or that is
// read as a message which cannot be written again.
func FuzzRead(f *testing.F) {
	for _, m := range []Message{&Hello{Version: 1}, &Start{Payload: []byte("1")}, &FenceReply{JobRecords: []JobRecord{{Answer: &Answer{}}}}} {
		frame, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Read(bytes.NewReader(frame))
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Errorf("%T was read but cannot be written: %v", m, err)
		}
	})
}
