package transport

import "time"

// keepRemoved is how long a link to a peer that has left the set is kept, so
// that the peer can finish its jobs: the longest deadline and some more.
const removedRetention = 70 * time.Second

type peerDialler struct {
	*Dialler
	// removedAt is when the peer left the set; 0 while it is in it.
	removedAt time.Duration
}

// Diallers keeps a dialler to each of a changing set of peers. It belongs to one
// goroutine.
type Diallers struct {
	dial func(id, address string) *Dialler
	byID map[string]*peerDialler
}

// NewDiallers returns an empty set. dial starts a dialler to a peer.
func NewDiallers(dial func(id, address string) *Dialler) *Diallers {
	return &Diallers{dial: dial, byID: map[string]*peerDialler{}}
}

// Update makes the peers, by id and address, the set that links are kept to.
func (d *Diallers) Update(now time.Duration, peers map[string]string) {
	for id, address := range peers {
		if p, ok := d.byID[id]; ok {
			p.removedAt = 0
			continue
		}
		d.byID[id] = &peerDialler{Dialler: d.dial(id, address)}
	}
	for id, p := range d.byID {
		if _, ok := peers[id]; !ok && p.removedAt == 0 {
			p.removedAt = now
		}
	}
}

// StopRemoved stops the diallers to peers that left the set long ago.
func (d *Diallers) StopRemoved(now time.Duration) {
	for id, p := range d.byID {
		if p.removedAt != 0 && now-p.removedAt > removedRetention {
			delete(d.byID, id)
			go p.Stop()
		}
	}
}
