package membership

import (
	"maps"
	"slices"
	"time"
)

// Timing of the failure detector. It only proposes changes of the map; whether
// a suspect really has stopped is never assumed for safety.
const (
	// RenewEvery is the interval at which an entry renews its table row.
	EntryRenewInterval = time.Second
	// SuspectAfter is the silence on the link after which a member's row is read.
	SuspectAfter = 1200 * time.Millisecond
	// RemoveAfter is the silence on the link and in the row after which the
	// removal of a member is proposed.
	RemoveAfter = 3 * time.Second
	// recheckEvery is the interval between two reads of a suspect's row.
	recheckEvery = 500 * time.Millisecond
	// staleAfter is the time without a renewal after which a row counts as
	// stale. A live row is seen to change within RenewEvery + recheckEvery.
	staleAfter = 2 * time.Second
)

// EntryKeyPrefix starts the keys of the rows that entries renew.
const EntryKeyPrefix = "entry/"

type observation struct {
	heard     time.Duration
	renewal   uint64
	rowSince  time.Duration
	rowKnown  bool
	rowGone   bool
	rowReadAt time.Duration
}

// Detector judges from link traffic and table rows which members have stopped.
// A member must be silent on both, because a broken link alone or a slow store
// alone must not remove a working member.
type Detector struct {
	members map[string]*observation
}

// NewDetector returns a detector without members.
func NewDetector() *Detector { return &Detector{members: map[string]*observation{}} }

// SetMembers replaces the observed members. New ones count as just heard of.
func (d *Detector) SetMembers(now time.Duration, ids []string) {
	next := make(map[string]*observation, len(ids))
	for _, id := range ids {
		if o, ok := d.members[id]; ok {
			next[id] = o
			continue
		}
		next[id] = &observation{heard: now}
	}
	d.members = next
}

// Heard notes a message from a member.
func (d *Detector) MessageReceived(now time.Duration, id string) {
	if o, ok := d.members[id]; ok {
		*o = observation{heard: now}
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
		due := !o.rowKnown && o.rowReadAt == 0 || now-o.rowReadAt >= recheckEvery
		if now-o.heard >= SuspectAfter && due {
			o.rowReadAt = now
			ids = append(ids, id)
		}
	}
	return ids
}

// RowRead notes the renewal count that a read of a suspect's row has found.
func (d *Detector) RowRead(now time.Duration, id string, renewal uint64, found bool) {
	o, ok := d.members[id]
	if !ok {
		return
	}
	o.rowGone = !found
	if !o.rowKnown || o.renewal != renewal {
		o.rowKnown, o.renewal, o.rowSince = true, renewal, now
	}
}

// Stopped returns the members whose removal should be proposed.
func (d *Detector) Stopped(now time.Duration) []string {
	var ids []string
	for _, id := range d.ids() {
		o := d.members[id]
		silent := now-o.heard >= RemoveAfter
		stale := o.rowKnown && now-o.rowSince >= staleAfter
		if silent && (stale || o.rowKnown && o.rowGone) {
			ids = append(ids, id)
		}
	}
	return ids
}
