package transport

import (
	"slices"
	"testing"
)

// Guards against a peer that is never dialled again because its address was malformed in an
// earlier map.
func TestPeerIsDialledAtItsRepairedAddress(t *testing.T) {
	var dialled []string
	d := NewDiallers(func(_, address string) *Dialler {
		dialled = append(dialled, address)
		done := make(chan struct{})
		close(done)
		return &Dialler{address: address, cancel: func() {}, done: done}
	})
	for _, address := range []string{"h:99999", "h:99999", "h:7400", "h:7400"} {
		d.Update(0, map[string]string{"e2": address})
	}
	if !slices.Equal(dialled, []string{"h:99999", "h:7400"}) {
		t.Errorf("dialled %v", dialled)
	}
}
