package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

type keptRefusal struct {
	wire.JobRecord
	expires time.Duration
}

// keepRefusals keeps refusals for the owner that gives them, so that a
// successor which relies on agents alone knows them. It keeps none below the
// fence, because the successor has been told already.
func (l *Ledger) keepRefusals(now Instant, entry string, m *wire.Witness) {
	for _, t := range m.JobRecords {
		if t.Epoch < l.fences[t.Job.Partition()] {
			l.send(entry, &wire.WitnessAck{ID: m.ID, Refused: true})
			return
		}
	}
	for _, t := range m.JobRecords {
		id := t.Job
		kept := keptRefusal{JobRecord: t, expires: now.Mono + l.settings.ResubmissionWindow}
		l.expiry = append(l.expiry, expiryItem{at: kept.expires, refusal: &id})
		l.refusals[id] = kept
	}
	l.send(entry, &wire.WitnessAck{ID: m.ID})
}

// at returns the trace with the rest of its time to retry.
func (k keptRefusal) at(now, window time.Duration) wire.JobRecord {
	t := k.JobRecord
	age := uint64((now - (k.expires - window)) / time.Millisecond)
	t.RetryMS -= min(t.RetryMS, age)
	return t
}

func (l *Ledger) expireRefusal(now time.Duration, id wire.JobID) {
	if l.refusals[id].expires <= now {
		delete(l.refusals, id)
	}
}

// refusalsOf returns the refusals of the partitions in a fixed order.
func (l *Ledger) refusalsOf(now Instant, wanted [wire.PartitionCount]bool) []wire.JobRecord {
	var traces []wire.JobRecord
	for id, kept := range l.refusals {
		if wanted[id.Partition()] {
			traces = append(traces, kept.at(now.Mono, l.settings.ResubmissionWindow))
		}
	}
	slices.SortFunc(traces, func(a, b wire.JobRecord) int { return bytes.Compare(a.Job[:], b.Job[:]) })
	return traces
}
