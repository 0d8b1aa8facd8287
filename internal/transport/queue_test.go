package transport

import (
	"sync"
	"testing"
)

// Guards against frames that are lost, reordered or left in the queue without a
// notification when they are added while others are taken.
func TestSendQueueKeepsOrder(t *testing.T) {
	const frames = 10000
	q := newSendQueue()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := range frames {
			if !q.add([]byte{byte(i >> 8), byte(i)}) {
				t.Errorf("frame %d was refused", i)
				return
			}
		}
	}()
	next := 0
	for next < frames && !t.Failed() {
		<-q.ready
		for _, frame := range q.take() {
			if got := int(frame[0])<<8 | int(frame[1]); got != next {
				t.Fatalf("frame %d came in place of %d", got, next)
			}
			next++
		}
	}
	wg.Wait()
	if n := q.length(); n != 0 {
		t.Errorf("%d frames are left", n)
	}
}

// Guards against a queue that grows without bound when the peer reads nothing.
func TestSendQueueIsBounded(t *testing.T) {
	q := newSendQueue()
	for range queueLength {
		q.add(nil)
	}
	if q.add(nil) {
		t.Errorf("frame %d was accepted", queueLength+1)
	}
	q.take()
	if !q.add(nil) {
		t.Error("a frame was refused by an empty queue")
	}
}
