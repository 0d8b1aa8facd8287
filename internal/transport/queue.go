package transport

import (
	"bytes"
	"sync"
)

// maxBatchBytes is the size from which queued frames are written without adding
// more to the batch.
const maxBatchBytes = 64 << 10

// batchBuffers is shared by all links, because few of them write at a time.
var batchBuffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// sendQueue holds the frames that wait to be written to a link. It uses memory only
// for waiting frames; a channel of queueLength would use 1.5 MB on each link, also
// on idle ones.
type sendQueue struct {
	mu     sync.Mutex
	frames [][]byte
	// ready has an element when frames may be waiting.
	ready chan struct{}
}

func newSendQueue() sendQueue { return sendQueue{ready: make(chan struct{}, 1)} }

// add returns false if queueLength frames wait already.
func (q *sendQueue) add(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= queueLength {
		return false
	}
	q.frames = append(q.frames, frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns the waiting frames, which may be none, in the order of add.
func (q *sendQueue) take() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

func (q *sendQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames)
}
