// Package linkplan decides to which entries an agent maintains links.
//
// A link to each entry would cost every process more with every host that is added:
// heartbeats grow with the product of entries and agents. An agent therefore links to
// MaxLinks entries at most, so that its cost does not depend on the number of hosts, and
// an entry has MaxLinks times as many links as there are agents for each entry. Up to
// MaxLinks entries, every agent has a link to every entry.
//
// Half of the links go to entries of the agent's data centre, which save the traffic
// between data centres; the others let demand in one data centre use upstreams of all,
// also while one of them is lost. Each agent chooses by a hash of its own, so the choices
// of different agents are independent, and a change of the entries moves few links.
//
// The package does no I/O.
package linkplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLinks is the number of reachable entries to which an agent maintains links.
	MaxLinks = 18
	// localLinks is the number of these that go to entries of the agent's data centre,
	// if there are that many.
	localLinks = MaxLinks / 2
	// unreachableAfter is the time without a link after which an entry no longer counts
	// as reachable and another one is linked in its place. A process that was killed is
	// back sooner.
	unreachableAfter = 1500 * time.Millisecond
)

// Plan is the state of the entries that an agent knows. It is not safe for concurrent
// use.
type Plan struct {
	host, dataCentre string
	seeds            []string
	entries          map[string]*entry
}

type entry struct {
	address    string
	dataCentre string
	rank       uint64
	// failing is whether the last dial has failed, and failingSince when the first of
	// the failures in a row was.
	failing      bool
	failingSince time.Duration
}

// New returns the plan of the agent on a host, without entries. Seeds are addresses at
// which an entry may listen. They are used as long as fewer entries than MaxLinks are
// known.
func New(host, dataCentre string, seeds []string) *Plan {
	return &Plan{host: host, dataCentre: dataCentre, seeds: seeds, entries: map[string]*entry{}}
}

// Set adds or changes the entry on a host.
func (p *Plan) Set(host, address, dataCentre string) {
	e := p.entries[host]
	if e == nil || e.address != address {
		e = &entry{address: address, rank: xxhash.Sum64String(p.host + "\x00" + host)}
		p.entries[host] = e
	}
	e.dataCentre = dataCentre
}

// Remove removes the entry on a host.
func (p *Plan) Remove(host string) { delete(p.entries, host) }

// Hosts returns the hosts of all entries.
func (p *Plan) Hosts() []string {
	hosts := make([]string, 0, len(p.entries))
	for host := range p.entries {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// DialFailed handles a failed dial of an address.
func (p *Plan) DialFailed(now time.Duration, address string) {
	for _, e := range p.entries {
		if e.address == address && !e.failing {
			e.failing, e.failingSince = true, now
		}
	}
}

// Linked handles a link to an address that has been opened.
func (p *Plan) Linked(address string) {
	for _, e := range p.entries {
		if e.address == address {
			e.failing = false
		}
	}
}

// Addresses returns the addresses to which links are to be maintained. Entries that are
// not reachable stay among them, beside the ones that take their place.
func (p *Plan) Addresses(now time.Duration) []string {
	var local, remote []*entry
	for _, e := range p.entries {
		if e.dataCentre == p.dataCentre {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	var addresses []string
	linked := 0
	taken := map[string]bool{}
	take := func(ranked []*entry, limit int) (rest []*entry) {
		for i, e := range ranked {
			if linked >= limit {
				return ranked[i:]
			}
			// Rows of two hosts may name the same address, which gets one link.
			if taken[e.address] {
				continue
			}
			taken[e.address] = true
			addresses = append(addresses, e.address)
			if !e.unreachable(now) {
				linked++
			}
		}
		return nil
	}
	byRank(local)
	byRank(remote)
	local = take(local, localLinks)
	take(remote, MaxLinks)
	take(local, MaxLinks)
	if len(p.entries) < MaxLinks {
		addresses = append(addresses, p.seeds...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func byRank(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
}

func (e *entry) unreachable(now time.Duration) bool {
	return e.failing && now-e.failingSince > unreachableAfter
}
