package ledger

import (
	"slices"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// clockRateMargin covers the difference in rate between two hosts' monotonic clocks.
	clockRateMargin = 1.005
	// maxDeadline bounds the deadline in a start, and with it the time that a record is
	// retained.
	maxDeadline = time.Hour
)

// longestDeadline returns a time after the receipt of a start at which its entry has ended
// the job. Until then it may query the task and send it again if there is no record.
func longestDeadline(m *wire.Start) time.Duration {
	deadline := min(time.Duration(m.DeadlineMS)*time.Millisecond, maxDeadline)
	return time.Duration(float64(deadline) * clockRateMargin)
}

// addExpiry adds an item to the queue, which is in order of time.
func (l *Ledger) addExpiry(item expiryItem) {
	i := sort.Search(len(l.expiry), func(i int) bool { return l.expiry[i].at > item.at })
	l.expiry = slices.Insert(l.expiry, i, item)
}

// expireRecords drops records, refusals and voided attempts that have expired.
func (l *Ledger) expireRecords(now time.Duration) {
	n := 0
	for n < len(l.expiry) && l.expiry[n].at <= now {
		item := l.expiry[n]
		switch {
		case item.refusal != nil:
			l.expireRefusal(now, *item.refusal)
		case item.void:
			delete(l.voids, item.key)
		default:
			delete(l.records, item.task)
		}
		n++
	}
	l.expiry = l.expiry[n:]
	if len(l.expiry) == 0 {
		l.expiry = nil
	}
}
