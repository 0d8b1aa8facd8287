package owner

import "slices"

// rotation selects names in turn, so that job records and refusals are spread
// over all members and agents. The names are sorted.
type rotation struct {
	names []string
	turn  int
}

func (r *rotation) add(name string) {
	if i, found := slices.BinarySearch(r.names, name); !found {
		r.names = slices.Insert(r.names, i, name)
	}
}

func (r *rotation) remove(name string) {
	if i, found := slices.BinarySearch(r.names, name); found {
		r.names = slices.Delete(r.names, i, i+1)
	}
}

// next returns the name that follows last, or the one whose turn it is if last
// is empty. It returns "" if there are no names.
func (r *rotation) next(last string) string {
	if len(r.names) == 0 {
		return ""
	}
	if last == "" {
		r.turn++
		return r.names[r.turn%len(r.names)]
	}
	i, found := slices.BinarySearch(r.names, last)
	if found {
		i++
	}
	return r.names[i%len(r.names)]
}

// nextPeer returns the linked member that follows last, or any if last is empty.
func (c *Core) nextPeer(last string) string { return c.linkedMembers.next(last) }

// nextAgent returns the linked agent that follows last, or any if last is empty.
func (c *Core) nextAgent(last string) string { return c.linkedAgents.next(last) }

// updateLinkedMembers rebuilds linkedMembers. It is called when the map or the
// links to entries change.
func (c *Core) updateLinkedMembers() {
	c.linkedMembers.names = c.linkedMembers.names[:0]
	if c.m == nil {
		return
	}
	for _, member := range c.m.Members {
		if member.ID != c.self.ID && c.peers[member.ID] {
			c.linkedMembers.add(member.ID)
		}
	}
}
