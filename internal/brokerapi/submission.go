package brokerapi

import (
	"time"

	"github.com/damasklb/damasklb/internal/catalog"
)

// TaskSpec holds the requirements of a task.
type TaskSpec struct {
	CPU, MemMB int
	// Estimate is the run time that the caller declares.
	Estimate time.Duration
	// RequiredLabel is a label that the upstream must have; empty means any.
	RequiredLabel string
	// PreferredRack is the label of the rack on which the task runs fastest.
	PreferredRack string
	// MaxPerUpstream is the largest number of the job's tasks on one upstream; 0
	// means no limit.
	MaxPerUpstream int
}

// MaxEstimate bounds the run time that a caller declares. Jobs on leased upstreams take seconds;
// what is far above would exceed the fields of messages.
const MaxEstimate = time.Hour

// Submission is a job as a caller submits it.
type Submission struct {
	ID    string
	Queue *catalog.Queue
	Spec  string
	Tasks []TaskSpec
	// Timeout is how long the caller waits for the answer; 0 means no limit.
	Timeout time.Duration
}

// taskBytes is the memory that an entry uses for a task, without its texts.
const taskBytes = 512

// Footprint returns the memory that a job may take at an entry: its texts are held once, and once more in
// the message with each of its tasks until that is sent.
func Footprint(textBytes, tasks int) int64 {
	return int64(textBytes) + int64(tasks)*int64(taskBytes+textBytes)
}

// Waiter identifies a request that waits for a job's answer.
type Waiter uint64
