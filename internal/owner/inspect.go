package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

// AgentInfo is what the entry knows of an agent, for status pages.
type AgentInfo struct {
	Host        string
	Incarnation string
	DataCentre  string
	Up          bool
	Upstreams   []UpstreamInfo
}

// UpstreamInfo is what the entry knows of an upstream, for status pages.
type UpstreamInfo struct {
	dispatch.Upstream
	// Running counts the tasks that this entry has sent there and that are open.
	Running int
	// Evacuated is set while the data centre is being evacuated.
	Evacuated bool
	// InQuietHours is set while the site is known to be in its quiet hours.
	InQuietHours bool
}

// Agents returns the state of the known agents, sorted by host.
func (c *Core) Agents(now time.Duration) []AgentInfo {
	var list []AgentInfo
	for _, host := range sortedKeys(c.agents) {
		a := c.agents[host]
		info := AgentInfo{Host: host, Incarnation: a.incarnation, DataCentre: a.dataCentre, Up: a.up}
		running := map[string]int{}
		for id, j := range a.openAttempts {
			running[j.tasks[id.Index].upstream.Service]++
		}
		for _, service := range sortedKeys(a.upstreams) {
			u := a.upstreams[service]
			info.Upstreams = append(info.Upstreams, UpstreamInfo{
				Upstream: u.info, Running: running[service], InQuietHours: now < u.quietUntil,
				Evacuated: c.evacuations.Evacuated(a.dataCentre),
			})
		}
		list = append(list, info)
	}
	return list
}

// Serving reports whether this entry owns the partition and has complete job
// records of it.
func (c *Core) Serving(p wire.Partition) bool {
	o := c.owned[p]
	return o != nil && o.complete
}

// TaskCounts returns the numbers of tasks of open jobs that wait and that are open at
// agents.
func (c *Core) TaskCounts() (waiting, running int) {
	for _, j := range c.jobs {
		if j.answer != nil {
			continue
		}
		for i := range j.tasks {
			switch j.tasks[i].state {
			case taskQueued:
				waiting++
			case taskSent:
				running++
			}
		}
	}
	return waiting, running
}
