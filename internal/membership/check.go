package membership

import "github.com/damasklb/damasklb/internal/fault"

// Bounds of a valid map.
const (
	// maxVersion leaves versions for the maps that follow.
	maxVersion = 1 << 62
	maxIDBytes = 512
)

// check refuses a map that no entry writes. Owners and epochs decide which tasks may
// start, so a map without them must not pass for one of a new installation.
func (m *Map) check() error {
	if m.Version == 0 || m.Version > maxVersion {
		return fault.BadResponse.New("partition map: version is %d, allowed are 1 to %d", m.Version, uint64(maxVersion))
	}
	ids := make(map[string]bool, len(m.Members))
	for _, member := range m.Members {
		if member.ID == "" || len(member.ID) > maxIDBytes || ids[member.ID] {
			return fault.BadResponse.New("partition map: the id of a member is empty, longer than %d bytes or not unique", maxIDBytes)
		}
		ids[member.ID] = true
		if member.Joined > m.Version {
			return fault.BadResponse.New("partition map: member %q joined at %d, above version %d", member.ID, member.Joined, m.Version)
		}
	}
	for p := range m.Partitions {
		if problem := m.Partitions[p].problem(m.Version, ids); problem != "" {
			return fault.BadResponse.New("partition map: partition %d of version %d has %s", p, m.Version, problem)
		}
	}
	return nil
}

// problem returns what is wrong with a partition of a map, or an empty string. A map
// without members has no owners.
func (s *PartitionState) problem(version uint64, members map[string]bool) string {
	switch {
	case members[s.Owner] != (len(members) > 0), s.Owner != "" && len(members) == 0:
		return "an owner that is not a member"
	case s.Epoch == 0 || s.Epoch > version:
		return "an epoch out of range"
	case s.Base > version || s.PreviousSeenVersion > version:
		return "a base out of range"
	case s.Previous == "" && (s.PreviousEpoch != 0 || len(s.Earlier) > 0):
		return "earlier owners without a previous one"
	}
	above := s.Epoch
	for _, earlier := range append([]OwnerEpoch{{Owner: s.Previous, Epoch: s.PreviousEpoch}}, s.Earlier...) {
		if earlier.Owner != "" && earlier.Epoch >= above {
			return "epochs that do not rise"
		}
		above = earlier.Epoch
	}
	return ""
}
