package wire

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against a message type that is missing in the kind table or whose
// fields do not survive the encoding.
func TestRoundTrip(t *testing.T) {
	id := NewJobID("caller", "key")
	messages := []Message{
		&Hello{Version: ProtocolVersion, Role: RoleAgent, ID: "h1", Incarnation: "x"},
		&Start{Task: TaskID{Job: id, Index: 3}, Attempt: 1, Epoch: 7, Payload: []byte(`{"a":1}`)},
		&Result{Task: TaskID{Job: id}, OK: true, Payload: []byte("1"), Credit: Credit{Count: 2}},
		&FenceReply{ID: 1, Last: true, JobRecords: []JobRecord{{Job: id, Answer: &Answer{Status: 200}}}},
	}
	for _, m := range messages {
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Read(bytes.NewReader(frame))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v, want %+v", got, m)
		}
	}
}

// Guards against a faulty peer that makes the reader allocate without bound or
// crash.
func TestReadRejectsBadFrames(t *testing.T) {
	for _, frame := range [][]byte{
		{0, 0, 0, 0, 0}, {200, 0, 0, 0, 1, 0}, {1, 255, 255, 255, 255}, {1, 0, 0, 0, 1, 0xff},
	} {
		if _, err := Read(bytes.NewReader(frame)); err == nil {
			t.Errorf("frame %v was accepted", frame)
		}
	}
}
