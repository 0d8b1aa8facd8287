package linkplan

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// deployment returns the plans of agents for entries spread over data centres.
func deployment(entries, agents, dataCentres int) []*Plan {
	plans := make([]*Plan, agents)
	for i := range plans {
		plans[i] = New(fmt.Sprint("agent", i), fmt.Sprint("dc", i%dataCentres), []string{"address0", "address1"})
		for j := range entries {
			plans[i].Set(fmt.Sprint("entry", j), fmt.Sprint("address", j), fmt.Sprint("dc", j%dataCentres))
		}
	}
	return plans
}

func linksByEntry(plans []*Plan, now time.Duration) map[string]int {
	links := map[string]int{}
	for _, p := range plans {
		for _, address := range p.Addresses(now) {
			links[address]++
		}
	}
	return links
}

// Guards against costs that grow with the product of entries and agents, and against
// entries that find too few agents.
func TestLinksDoNotGrowWithTheDeployment(t *testing.T) {
	for _, c := range []struct{ entries, agents, dataCentres int }{{3, 11, 3}, {18, 74, 4}, {55, 240, 5}, {190, 817, 11}} {
		plans := deployment(c.entries, c.agents, c.dataCentres)
		for _, p := range plans {
			if n := len(p.Addresses(0)); n != min(c.entries, MaxLinks) {
				t.Fatalf("%v: an agent has %d links", c, n)
			}
		}
		links := linksByEntry(plans, 0)
		mean := float64(c.agents) * float64(min(c.entries, MaxLinks)) / float64(c.entries)
		for j := range c.entries {
			n := float64(links[fmt.Sprint("address", j)])
			if n < 0.6*mean || n > 1.4*mean {
				t.Errorf("%v: entry %d has %.0f links, the mean is %.1f", c, j, n, mean)
			}
		}
	}
}

// Guards against a data centre whose demand finds no upstreams elsewhere, and against
// links that all leave their data centre.
func TestLinksAreSpreadOverDataCentres(t *testing.T) {
	for _, p := range deployment(55, 240, 5) {
		local := 0
		for _, e := range p.entries {
			if e.dataCentre == p.dataCentre && slices.Contains(p.Addresses(0), e.address) {
				local++
			}
		}
		if local != localLinks {
			t.Fatalf("%d links within the data centre, want %d", local, localLinks)
		}
	}
}

// Guards against agents that keep no link while the entries that they have chosen are
// gone, and against links that move after a short absence or to other entries than
// needed.
func TestUnreachableEntriesAreReplaced(t *testing.T) {
	p := deployment(55, 1, 5)[0]
	first := p.Addresses(0)
	lost := first[:6]
	for _, address := range lost {
		p.DialFailed(0, address)
	}
	if got := p.Addresses(unreachableAfter); !slices.Equal(got, first) {
		t.Errorf("links moved after %v", unreachableAfter)
	}
	for _, address := range lost {
		p.DialFailed(time.Second, address)
	}
	got := p.Addresses(unreachableAfter + 1)
	if len(got) != MaxLinks+len(lost) {
		t.Errorf("%d addresses, want %d: %d reachable ones and the lost ones", len(got), MaxLinks+len(lost), MaxLinks)
	}
	for _, address := range first {
		if !slices.Contains(got, address) {
			t.Errorf("the link to %s was given up", address)
		}
	}
	for _, address := range lost {
		p.Linked(address)
	}
	if got := p.Addresses(2 * unreachableAfter); !slices.Equal(got, first) {
		t.Error("links differ after all entries are back")
	}
}

// Guards against an agent that gives up the seeds before it knows other entries, or keeps
// them beside the entries that it has chosen.
func TestSeedsAreUsedWhileFewEntriesAreKnown(t *testing.T) {
	seeds := []string{"s1", "s2"}
	p := New("agent", "dc", seeds)
	if got := p.Addresses(0); !slices.Equal(got, seeds) {
		t.Errorf("addresses %v without entries, want the seeds", got)
	}
	for j := range MaxLinks {
		p.Set(fmt.Sprint("entry", j), fmt.Sprint("address", j), "dc")
	}
	if got := p.Addresses(0); len(got) != MaxLinks || slices.Contains(got, "s1") {
		t.Errorf("addresses %v, want the entries only", got)
	}
}

// Guards against links that move as entries are added and removed.
func TestFewLinksMove(t *testing.T) {
	before := deployment(55, 240, 5)
	after := deployment(56, 240, 5)
	moved := 0
	for i := range before {
		a := after[i].Addresses(0)
		for _, address := range before[i].Addresses(0) {
			if !slices.Contains(a, address) {
				moved++
			}
		}
	}
	if limit := 240 * MaxLinks / 25; moved > limit {
		t.Errorf("%d links moved for one more entry, want %d at most", moved, limit)
	}
}

// Guards against rows of other writers that take links from entries by naming addresses that
// are linked already.
func TestSharedAddressTakesOneLink(t *testing.T) {
	for _, p := range deployment(55, 8, 5) {
		for i := range 30 {
			p.Set(fmt.Sprint("odd", i), "address7", fmt.Sprint("dc", i%5))
		}
		if n := len(p.Addresses(0)); n != MaxLinks {
			t.Errorf("%d links, want %d", n, MaxLinks)
		}
	}
}
