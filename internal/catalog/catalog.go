// Package catalog holds the queues to which jobs are submitted, as one accepted
// version of the configuration defines them.
package catalog

import (
	"strings"
	"time"
)

// Queue is a queue of jobs with its rules.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a request: its Host header and the
	// longest prefix of its path.
	Host   string
	Prefix string
	// Service names the upstreams that run the queue's tasks.
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed attempts of a task after which its job
	// fails.
	MaxAttempts int
	// Stretch and LatencyTarget define the response time that callers expect:
	// Stretch times the run time of the longest chain of tasks, plus LatencyTarget.
	Stretch       float64
	LatencyTarget time.Duration
	// Timeout is the longest time for which a request may wait for its answer; 0
	// means no limit.
	Timeout time.Duration
}

// Limits bound a request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version uint64
	Limits  Limits

	byHost map[string][]*Queue
}

// New returns a catalog with the given queues.
func New(version uint64, queues []Queue, limits Limits) *Catalog {
	c := &Catalog{Version: version, Limits: limits, byHost: map[string][]*Queue{}}
	for i := range queues {
		q := &queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	return c
}

// Match returns the queue for a request's host and path, or nil if there is none.
func (c *Catalog) Match(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Named returns the queue with a name, or nil if there is none.
func (c *Catalog) Named(name string) *Queue {
	for _, queues := range c.byHost {
		for _, q := range queues {
			if q.Name == name {
				return q
			}
		}
	}
	return nil
}
