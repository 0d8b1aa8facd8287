package transport

import "time"

// removedRetention is how long a link to a peer that has left the set stays open, so
// that the peer can finish its jobs. It is a little longer than the longest deadline.
const removedRetention = 70 * time.Second

type peerDialler struct {
	*Dialler
	// removedAt is when the peer left the set, or 0 while it is in the set.
	removedAt time.Duration
}

// Diallers holds a dialler for each of a changing set of peers. It is not safe for
// concurrent use.
type Diallers struct {
	dial func(id, address string) *Dialler
	byID map[string]*peerDialler
}

// NewDiallers returns an empty set. dial starts a dialler for a peer.
func NewDiallers(dial func(id, address string) *Dialler) *Diallers {
	return &Diallers{dial: dial, byID: map[string]*peerDialler{}}
}

// Update replaces the set of peers. The map holds their addresses by id. A peer whose
// address has changed is dialled anew.
func (d *Diallers) Update(now time.Duration, peers map[string]string) {
	for id, address := range peers {
		if p, ok := d.byID[id]; ok && p.address == address {
			p.removedAt = 0
			continue
		} else if ok {
			go p.Stop()
		}
		d.byID[id] = &peerDialler{Dialler: d.dial(id, address)}
	}
	for id, p := range d.byID {
		if _, ok := peers[id]; !ok && p.removedAt == 0 {
			p.removedAt = now
		}
	}
}

// StopRemoved stops the diallers for peers that left the set more than
// removedRetention ago.
func (d *Diallers) StopRemoved(now time.Duration) {
	for id, p := range d.byID {
		if p.removedAt != 0 && now-p.removedAt > removedRetention {
			delete(d.byID, id)
			go p.Stop()
		}
	}
}
