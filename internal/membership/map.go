// Package membership holds the partition map, which assigns each partition of
// the key space to one entry, and the failure detector that proposes changes to
// it. It does no I/O and has no clock.
package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/damasklb/damasklb/internal/wire"
)

// MapKey is the table row that holds the partition map.
const MapKey = "map"

// Member is an entry in the map. ID is unique to the process, so that a
// restarted entry is a new member.
type Member struct {
	ID string `json:"id"`
	// Host names the entry's host. Of two members with the same host, the older
	// process is gone.
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// LinkAddress is where entries and agents connect by QUIC.
	LinkAddress string `json:"link_address"`
	// HTTPAddress is where callers and operators connect.
	HTTPAddress string `json:"http_address"`
	// Joined is the map version that added the member.
	Joined uint64 `json:"joined,omitempty"`
}

// OwnerEpoch is an earlier owner of a partition.
type OwnerEpoch struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// maxEarlier bounds the earlier owners kept. A successor that needs an older one
// waits for the agents or the unknown window.
const maxEarlier = 3

// Before returns the owner before the given one, if it is known.
func (s *PartitionState) OwnerBefore(o OwnerEpoch) (OwnerEpoch, bool) {
	chain := append([]OwnerEpoch{{Owner: s.Previous, Epoch: s.PreviousEpoch}}, s.Earlier...)
	for i, earlier := range chain[:len(chain)-1] {
		if earlier == o {
			return chain[i+1], true
		}
	}
	return OwnerEpoch{}, false
}

// PartitionState is the assignment of one partition.
type PartitionState struct {
	Owner string `json:"owner"`
	// Epoch is the map version that gave the partition to its owner.
	Epoch uint64 `json:"epoch"`
	// Previous is the owner before Epoch; empty if there was none.
	Previous string `json:"previous,omitempty"`
	// PreviousEpoch is the epoch of that owner.
	PreviousEpoch uint64 `json:"previous_epoch,omitempty"`
	// Earlier are owners before Previous, the latest first. One that never took
	// the partition leads the successor to the one before it.
	Earlier []OwnerEpoch `json:"earlier,omitempty"`
	// PreviousSaw is a map version that Previous had seen.
	PreviousSeenVersion uint64 `json:"previous_saw,omitempty"`
	// Base is the map version since which the members hold a trace of every job
	// that is not known to BaseOwner alone. 0 means that there is none.
	Base      uint64 `json:"base"`
	BaseOwner string `json:"base_owner,omitempty"`
}

// Departure records a member that is no longer in the map.
type Departure struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// Left is set if the member removed itself and thereby gave up its authority.
	Left bool `json:"left,omitempty"`
}

// Map is one version of the partition map. A Map is immutable once published.
type Map struct {
	Version    uint64                              `json:"version"`
	Members    []Member                            `json:"members"`
	Partitions [wire.PartitionCount]PartitionState `json:"partitions"`
	// Departed lists members that a partition's base still depends on.
	Departed []Departure `json:"departed,omitempty"`
}

// Member returns the member with the given id.
func (m *Map) Member(id string) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Owned returns the partitions of the given owner with their epochs.
func (m *Map) Owned(id string) []wire.PartitionEpoch {
	var owned []wire.PartitionEpoch
	for p, state := range m.Partitions {
		if state.Owner == id {
			owned = append(owned, wire.PartitionEpoch{Partition: wire.Partition(p), Epoch: state.Epoch})
		}
	}
	return owned
}

// Change is a proposed change of the members.
type Change struct {
	Add    []Member
	Remove []string
	// Left tells that the removed member is the proposer itself.
	Left bool
}

// Next returns the map that follows m under the change, or nil if the change
// has no effect. A nil m is the empty map before the first version.
func Next(m *Map, c Change) *Map {
	next := &Map{Version: 1}
	if m != nil {
		*next = *m
		next.Version = m.Version + 1
		next.Departed = slices.Clone(m.Departed)
	}
	next.Members = nil
	changed := false
	if m != nil {
		for _, member := range m.Members {
			if slices.Contains(c.Remove, member.ID) {
				next.Departed = append(next.Departed, Departure{ID: member.ID, Version: next.Version, Left: c.Left})
				changed = true
				continue
			}
			next.Members = append(next.Members, member)
		}
	}
	for _, member := range c.Add {
		if _, ok := next.Member(member.ID); !ok {
			member.Joined = next.Version
			next.Members = append(next.Members, member)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	next.assign()
	next.prune()
	return next
}

// assign gives each partition to the member with the highest rendezvous hash.
// Invariant: a partition that changes its owner gets the new version as epoch.
func (m *Map) assign() {
	for p := range m.Partitions {
		state := &m.Partitions[p]
		owner := rendezvous(m.Members, wire.Partition(p))
		if state.Owner != owner {
			// After a time without members the last owner is still the previous one.
			if state.Owner != "" {
				if state.Previous != "" {
					earlier := append([]OwnerEpoch{{Owner: state.Previous, Epoch: state.PreviousEpoch}}, state.Earlier...)
					state.Earlier = earlier[:min(len(earlier), maxEarlier)]
				}
				state.Previous, state.PreviousSeenVersion = state.Owner, state.ownerSaw()
				state.PreviousEpoch = state.Epoch
			}
			state.Owner = owner
			state.Epoch = m.Version
		}
		// A single member accepts jobs without a witness.
		if len(m.Members) < 2 {
			state.Base, state.BaseOwner = 0, ""
		}
	}
}

func rendezvous(members []Member, p wire.Partition) string {
	var best string
	var bestHash uint64
	for _, member := range members {
		hash := xxhash.Sum64(append([]byte(member.ID), 0, byte(p)))
		if best == "" || hash > bestHash {
			best, bestHash = member.ID, hash
		}
	}
	return best
}

// Rebase returns the map that sets the base of the given partitions to the next
// version, or nil if none of them still belongs to owner at the given epoch.
func Rebase(m *Map, owner string, partitions []wire.PartitionEpoch) *Map {
	if len(m.Members) < 2 {
		return nil
	}
	next := *m
	next.Version++
	changed := false
	for _, pe := range partitions {
		state := &next.Partitions[pe.Partition]
		if state.Owner == owner && state.Epoch == pe.Epoch {
			state.Base, state.BaseOwner = next.Version, owner
			changed = true
		}
	}
	if !changed {
		return nil
	}
	next.Departed = slices.Clone(m.Departed)
	next.prune()
	return &next
}

// prune drops departures that no partition's base depends on. A partition
// without a base still needs the latest departure of its last owner, so those
// with a version above the oldest epoch stay as well.
func (m *Map) prune() {
	oldest := m.Version
	for _, state := range m.Partitions {
		if state.Base == 0 {
			oldest = min(oldest, state.Epoch)
			continue
		}
		oldest = min(oldest, state.Base)
	}
	m.Departed = slices.DeleteFunc(m.Departed, func(d Departure) bool { return d.Version < oldest })
}

// WitnessesIntact reports whether the traces of partition p, apart from those
// of its base owner's own jobs, are all held by present members.
func (m *Map) WitnessesIntact(p wire.Partition) bool {
	state := m.Partitions[p]
	if state.Base == 0 {
		return false
	}
	for _, d := range m.Departed {
		if d.Version > state.Base && d.ID != state.BaseOwner {
			return false
		}
	}
	return true
}

// ownerSaw returns a map version that the owner has seen: the one that gave it
// the partition, or the one from which it renewed the base.
func (s *PartitionState) ownerSaw() uint64 {
	if s.Base > 0 && s.BaseOwner == s.Owner {
		return max(s.Epoch, s.Base-1)
	}
	return s.Epoch
}

// NeedsRebase reports whether the owner of p should renew its base: there is
// none although members exist that can witness, or a witness has departed.
func (m *Map) NeedsRebase(p wire.Partition) bool {
	state := m.Partitions[p]
	return len(m.Members) > 1 && (!m.WitnessesIntact(p) || state.BaseOwner != state.Owner)
}
