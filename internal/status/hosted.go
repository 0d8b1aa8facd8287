package status

import (
	"encoding/json"

	"github.com/damasklb/damasklb/internal/wire"
)

// Process roles on the hosting platform.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Process identifies a process on the hosting platform in its status.
type Process struct {
	// Role is RoleEntry or RoleAgent.
	Role        string `json:"role"`
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	UptimeMS    int64  `json:"uptime_ms"`
}

// HostedEntry is the state of the service as an entry on the hosting platform sees it. The
// agents' parts are those of their last reports.
type HostedEntry struct {
	Process
	// ConfigVersion is the version in force; 0 if there is none.
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	// Jobs is the number of jobs without an outcome, EndingJobs that of decided ones whose
	// runs may not all have ended, and HeldTasks that of tasks without an agent.
	Jobs       int           `json:"jobs"`
	EndingJobs int           `json:"ending_jobs"`
	HeldTasks  int           `json:"held_tasks"`
	Totals     []HostedTotal `json:"totals"`
	Agents     []HostedAgent `json:"agents"`
	// AgentsOmitted is the number of agents that are neither listed nor in the totals.
	AgentsOmitted int                `json:"agents_omitted,omitempty"`
	Evacuations   []HostedEvacuation `json:"evacuations"`
	// EvacuationsAgeMS is the age of what the entry knows of evacuations; absent if the
	// deployment has none.
	EvacuationsAgeMS *int64 `json:"evacuations_age_ms,omitempty"`
	// Cautions holds the queues whose jobs are kept apart after crashes of upstreams.
	Cautions map[string]string `json:"cautions,omitempty"`
	Sections Sections          `json:"sections,omitempty"`
}

// Sections are the states of other parts, by name.
type Sections map[string]json.RawMessage

// QueuedWork is the work that waits by priority, in milliseconds of an upstream's whole
// capacity.
type QueuedWork = [wire.PriorityLevels]uint32

// HostedAgent is an agent as an entry sees it.
type HostedAgent struct {
	Host        string   `json:"host"`
	Incarnation string   `json:"incarnation"`
	DataCentre  string   `json:"data_centre"`
	Service     string   `json:"service"`
	Labels      []string `json:"labels,omitempty"`
	// State is ready, or why the agent gets no tasks of this entry.
	State string `json:"state"`
	// CPU is in thousandths of a core, memory in MiB. What was sent since the last report
	// counts as used, so the free capacity may be negative.
	CapacityCPU  int        `json:"capacity_cpu"`
	CapacityMem  int        `json:"capacity_mem_mb"`
	FreeCPU      int        `json:"free_cpu"`
	FreeMem      int        `json:"free_mem_mb"`
	QueuedWorkMS QueuedWork `json:"queued_work_ms"`
	// Slowness is the run time relative to the expected one, in hundredths.
	Slowness       uint32 `json:"slowness"`
	ColdMS         uint32 `json:"cold_ms,omitempty"`
	FailurePercent uint32 `json:"failure_percent"`
	Stuck          bool   `json:"stuck,omitempty"`
	// Quarantined is whether the upstream is one of those for quarantined queues, Suspects
	// the number of this entry's tasks there that may have crashed an upstream.
	Quarantined bool `json:"quarantined,omitempty"`
	Suspects    int  `json:"suspects,omitempty"`
	// Tasks is the number of this entry's tasks that wait or run there.
	Tasks          int   `json:"tasks"`
	ReportAgeMS    int64 `json:"report_age_ms"`
	HeartbeatAgeMS int64 `json:"heartbeat_age_ms"`
}

// HostedTotal sums the agents of a service in a data centre. Capacity is that of the ready
// ones.
type HostedTotal struct {
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	Agents      int    `json:"agents"`
	Ready       int    `json:"ready"`
	CapacityCPU int    `json:"capacity_cpu"`
	FreeCPU     int    `json:"free_cpu"`
	// QueuedWork is the work that waits by priority, in core-milliseconds.
	QueuedWork [wire.PriorityLevels]uint64 `json:"queued_core_ms"`
	Tasks      int                         `json:"tasks"`
}

// HostedEvacuation is the state of an evacuation.
type HostedEvacuation struct {
	DataCentre string `json:"data_centre"`
	// Version is the store's version of the request, SinceMS the time since this entry
	// knows of it.
	Version uint64 `json:"version"`
	SinceMS int64  `json:"since_ms"`
	// Agents is the number of linked agents there, Unaware that of those which still report
	// that they would start tasks, UnawareHosts names some of them, and Running is the
	// number of this entry's runs there.
	Agents       int      `json:"agents"`
	Unaware      int      `json:"unaware"`
	UnawareHosts []string `json:"unaware_hosts,omitempty"`
	Running      int      `json:"running"`
}

// HostedAgentStatus is the state of an agent process on the hosting platform, of itself.
type HostedAgentStatus struct {
	Process
	// State is ready, or why the agent starts nothing.
	State string `json:"state"`
	// Upstream and UpstreamStartMS identify the upstream's incarnation; empty and 0 while
	// none is known.
	Upstream        string     `json:"upstream"`
	UpstreamStartMS int64      `json:"upstream_start_ms"`
	Service         string     `json:"service"`
	Labels          []string   `json:"labels,omitempty"`
	CapacityCPU     int        `json:"capacity_cpu"`
	CapacityMem     int        `json:"capacity_mem_mb"`
	FreeCPU         int        `json:"free_cpu"`
	FreeMem         int        `json:"free_mem_mb"`
	QueuedWorkMS    QueuedWork `json:"queued_work_ms"`
	Slowness        uint32     `json:"slowness"`
	ColdMS          uint32     `json:"cold_ms,omitempty"`
	FailurePercent  uint32     `json:"failure_percent"`
	Stuck           bool       `json:"stuck,omitempty"`
	// Running is the number of attempts that occupy capacity.
	Running int `json:"running"`
	// Entries are the linked entries.
	Entries []HostedLink `json:"entries"`
	// EntriesOmitted is the number of entries that are not listed.
	EntriesOmitted int      `json:"entries_omitted,omitempty"`
	Sections       Sections `json:"sections,omitempty"`
}

// HostedLink is an agent's link to an entry.
type HostedLink struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// LastAnswerAgeMS is the time since the entry's last message.
	LastAnswerAgeMS int64 `json:"last_answer_age_ms"`
	// Working is whether tasks of the entry wait or run.
	Working bool `json:"working"`
}
