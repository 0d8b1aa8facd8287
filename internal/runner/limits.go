package runner

import (
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Bounds of announcements. They are far above what hosts have, and keep sums of tasks from
// overflowing.
const (
	maxCapacity = 1_000_000_000
	maxLabels   = 64
	maxName     = 200
	maxColdFor  = 24 * time.Hour
)

// Validate checks an announcement, which may come from another writer.
func (a Announcement) Validate() error {
	switch {
	case a.ID == "" || len(a.ID) > maxName:
		return fault.BadRequest.New("id has %d bytes, want 1 to %d", len(a.ID), maxName)
	case a.StartMS <= 0:
		return fault.BadRequest.New("start time %d is not positive", a.StartMS)
	case a.Service == "" || len(a.Service) > maxName:
		return fault.BadRequest.New("service has %d bytes, want 1 to %d", len(a.Service), maxName)
	case a.CPU < 0 || a.CPU > maxCapacity || a.MemMB < 0 || a.MemMB > maxCapacity:
		return fault.BadRequest.New("capacity %d and %d MB, want 0 to %d", a.CPU, a.MemMB, maxCapacity)
	case a.ColdFor < 0 || a.ColdFor > maxColdFor:
		return fault.BadRequest.New("cold for %s", a.ColdFor)
	case len(a.Labels) > maxLabels:
		return fault.BadRequest.New("%d labels, want at most %d", len(a.Labels), maxLabels)
	}
	for _, label := range a.Labels {
		if len(label) > maxName {
			return fault.BadRequest.New("label of %d bytes, want at most %d", len(label), maxName)
		}
	}
	return nil
}
