package main

import "time"

// balancer is the platform's choice of the node for a client's new connection: the node that the
// hash of the client names, while it is in rotation, otherwise the other one.
type balancer struct {
	nodes  []*process
	misses []int
}

// checkInterval and maxMisses are those of the platform's readiness checks.
const (
	checkInterval = time.Second
	maxMisses     = 2
)

func newBalancer(nodes []*process) *balancer {
	return &balancer{nodes: nodes, misses: make([]int, len(nodes))}
}

// check asks all nodes for their readiness.
func (b *balancer) check(d *deployment) {
	for i, p := range b.nodes {
		if ready(p.host) {
			b.misses[i] = 0
			continue
		}
		b.misses[i]++
		if b.misses[i] == maxMisses {
			d.record("%s gets no new connections any more", p.host.name)
		}
	}
}

// node returns the node for a new connection of a client whose hash names the first node.
func (b *balancer) node() *process {
	for i, p := range b.nodes {
		if b.misses[i] < maxMisses {
			return p
		}
	}
	return b.nodes[0]
}
