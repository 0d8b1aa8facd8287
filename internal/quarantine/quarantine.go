// Package quarantine decides where tasks run that may crash their upstreams. It handles loads in
// which a few jobs crash each upstream that runs them: the suspects of a crash run apart from
// each other, so that the next crash identifies the one at fault, and a queue with several poison
// jobs gets a few upstreams, the quarantine, which the other queues avoid. However many of its
// jobs crash their upstreams, the others stay up.
//
// The package has no clock and no random source; package poison decides which jobs are suspects.
package quarantine

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minShare and maxShare bound the share of a service's upstreams that are in the quarantine, or
// down. Between them it is what spareFactor times the present use leaves.
const (
	minShare    = 0.25
	maxShare    = 0.5
	spareFactor = 1.5
)

// Upstream is an upstream of a service.
type Upstream struct {
	Host string
	// Index identifies the upstream to the caller of this package.
	Index int
	// CapacityCPU is the last known capacity, UsedCPU the part in use now if the upstream is
	// Present.
	CapacityCPU, UsedCPU int
	Present              bool

	rank uint64
}

// Choose returns the indices of the upstreams in the quarantine: a share of those of a service,
// smaller the more of them are in use, less those outside that are down. All entries rank the
// hosts alike, so they choose nearly the same ones.
func Choose(upstreams []Upstream) []int {
	for i := range upstreams {
		upstreams[i].rank = xxhash.Sum64String(upstreams[i].Host)
	}
	slices.SortFunc(upstreams, func(x, y Upstream) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.Host, y.Host))
	})
	var out []int
	for _, u := range upstreams[:size(upstreams)] {
		out = append(out, u.Index)
	}
	return out
}

// size returns how many of the upstreams, from the first, are in the quarantine.
func size(upstreams []Upstream) int {
	used, capacity, down := 0, 0, 0
	for _, u := range upstreams {
		capacity += u.CapacityCPU
		if u.Present {
			used += u.UsedCPU
		} else {
			down++
		}
	}
	share := 1 - spareFactor*float64(used)/float64(max(capacity, 1))
	share = min(max(share, minShare), maxShare)
	limit := int(math.Round(share * float64(len(upstreams))))
	n := limit
	for down > 0 && n > 1 {
		outside := 0
		for _, u := range upstreams[n:] {
			if !u.Present {
				outside++
			}
		}
		if n+outside <= limit {
			break
		}
		n--
	}
	return max(n, 1)
}
