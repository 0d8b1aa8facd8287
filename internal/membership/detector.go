package membership

import (
	"maps"
	"slices"
	"time"
)

// Timing of the failure detector. It only proposes changes of the map; safety
// never depends on whether a suspect really has stopped.
const (
	// EntryRenewInterval is the interval at which an entry renews its table row.
	EntryRenewInterval = time.Second
	// SuspectAfter is the time without a message on the link after which a member's
	// row is read.
	SuspectAfter = 1200 * time.Millisecond
	// RemoveAfter is the time without a message on the link after which the removal
	// of a member is proposed, if its row is stale or missing as well.
	RemoveAfter = 3 * time.Second
	// recheckInterval is the interval between two reads of a suspect's row.
	recheckInterval = 500 * time.Millisecond
	// staleAfter is the time without a renewal after which a row counts as
	// stale. A live row is seen to change within EntryRenewInterval + recheckInterval.
	staleAfter = 2 * time.Second
)

// EntryKeyPrefix starts the keys of the rows that entries renew.
const EntryKeyPrefix = "entry/"

// observation holds the time of a member's last message and what was read from
// its row since.
type observation struct {
	lastMessage       time.Duration
	renewal           uint64
	rowUnchangedSince time.Duration
	rowKnown          bool
	rowMissing        bool
	rowReadAt         time.Duration
}

// Detector determines from link traffic and table rows which members have
// stopped. A member must be silent on both, because a broken link alone or a slow
// store alone must not remove a working member.
type Detector struct {
	members map[string]*observation
}

// NewDetector returns a detector without members.
func NewDetector() *Detector { return &Detector{members: map[string]*observation{}} }

// SetMembers replaces the observed members. A new one counts as if a message had
// just been received from it.
func (d *Detector) SetMembers(now time.Duration, ids []string) {
	next := make(map[string]*observation, len(ids))
	for _, id := range ids {
		if o, ok := d.members[id]; ok {
			next[id] = o
			continue
		}
		next[id] = &observation{lastMessage: now}
	}
	d.members = next
}

// MessageReceived records a message from a member.
func (d *Detector) MessageReceived(now time.Duration, id string) {
	if o, ok := d.members[id]; ok {
		*o = observation{lastMessage: now}
	}
}

// ids returns the members in a fixed order, so that equal inputs give equal
// proposals.
func (d *Detector) ids() []string { return slices.Sorted(maps.Keys(d.members)) }

// Suspects returns the members whose rows should be read now.
func (d *Detector) Suspects(now time.Duration) []string {
	var ids []string
	for _, id := range d.ids() {
		o := d.members[id]
		due := !o.rowKnown && o.rowReadAt == 0 || now-o.rowReadAt >= recheckInterval
		if now-o.lastMessage >= SuspectAfter && due {
			o.rowReadAt = now
			ids = append(ids, id)
		}
	}
	return ids
}

// RowRead records the renewal count that was read from a suspect's row, or that
// the row was not found.
func (d *Detector) RowRead(now time.Duration, id string, renewal uint64, found bool) {
	o, ok := d.members[id]
	if !ok {
		return
	}
	o.rowMissing = !found
	if !o.rowKnown || o.renewal != renewal {
		o.rowKnown, o.renewal, o.rowUnchangedSince = true, renewal, now
	}
}

// Stopped returns the members whose removal should be proposed.
func (d *Detector) Stopped(now time.Duration) []string {
	var ids []string
	for _, id := range d.ids() {
		o := d.members[id]
		silent := now-o.lastMessage >= RemoveAfter
		stale := o.rowKnown && now-o.rowUnchangedSince >= staleAfter
		if silent && (stale || o.rowKnown && o.rowMissing) {
			ids = append(ids, id)
		}
	}
	return ids
}
