package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

type storedRefusal struct {
	wire.JobRecord
	expires time.Duration
}

// storeRefusals stores refusals for the owner that gives them, so that a successor
// that can ask only the agents learns of them. It stores none below the fence,
// because the successor has already received the agent's reply to its fence, and none
// without an answer, which it could not repeat.
func (l *Ledger) storeRefusals(now Instant, entry string, m *wire.Witness) {
	for _, r := range m.JobRecords {
		if r.Epoch < l.fences[r.Job.Partition()] || r.Answer == nil {
			l.send(entry, &wire.WitnessAck{ID: m.ID, Refused: true})
			return
		}
	}
	for _, r := range m.JobRecords {
		id := r.Job
		stored := storedRefusal{JobRecord: r, expires: now.Mono + l.settings.ResubmissionWindow}
		l.addExpiry(expiryItem{at: stored.expires, refusal: &id})
		l.refusals[id] = stored
	}
	l.send(entry, &wire.WitnessAck{ID: m.ID})
}

// recordAt returns the job record with the rest of its retry time.
func (s storedRefusal) recordAt(now, window time.Duration) wire.JobRecord {
	r := s.JobRecord
	age := uint64((now - (s.expires - window)) / time.Millisecond)
	r.RetryMS -= min(r.RetryMS, age)
	return r
}

func (l *Ledger) expireRefusal(now time.Duration, id wire.JobID) {
	if l.refusals[id].expires <= now {
		delete(l.refusals, id)
	}
}

// refusalsOf returns the refusals of the partitions in a fixed order.
func (l *Ledger) refusalsOf(now Instant, partitions [wire.PartitionCount]bool) []wire.JobRecord {
	var records []wire.JobRecord
	for id, stored := range l.refusals {
		if partitions[id.Partition()] {
			records = append(records, stored.recordAt(now.Mono, l.settings.ResubmissionWindow))
		}
	}
	slices.SortFunc(records, func(a, b wire.JobRecord) int { return bytes.Compare(a.Job[:], b.Job[:]) })
	return records
}
