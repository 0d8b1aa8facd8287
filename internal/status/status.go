// Package status defines the JSON of the entries' operator interface: what a
// process reports of the installation, and requests to drain a host.
package status

// Paths of the operator interface.
const (
	// StatusPath serves a Report on GET.
	StatusPath = "/v1/admin/status"
	// DrainPath takes a DrainRequest on POST and answers with a DrainResponse.
	DrainPath = "/v1/admin/drain"
	// ConfigPath takes a ConfigPush on POST and answers with a ConfigPushed.
	ConfigPath = "/v1/admin/config"
)

// Report is the installation as one entry sees it. Other processes are known by
// their last message, so their figures lag by up to the idle ping interval.
type Report struct {
	// Entry is the id of the reporting entry.
	Entry string `json:"entry"`
	// ConfigVersion is the version in force on the reporting entry; 0 if none.
	ConfigVersion uint64 `json:"config_version"`
	// MapVersion is the version of the partition map.
	MapVersion uint64      `json:"map_version"`
	Entries    []Entry     `json:"entries"`
	Agents     []Agent     `json:"agents"`
	Upstreams  []Upstream  `json:"upstreams"`
	Partitions []Partition `json:"partitions"`
}

// ProcessState tells whether a process serves.
type ProcessState string

// States of processes.
const (
	// Serving: the process takes new work.
	Serving ProcessState = "serving"
	// Leaving: the process finishes its work and takes none.
	Draining ProcessState = "leaving"
	// Unconfigured: the process has no configuration yet and refuses work.
	Unconfigured ProcessState = "unconfigured"
	// NoAuthority: the entry has given up its authority and starts nothing.
	NoAuthority ProcessState = "no-authority"
	// Unreachable: no message has come from the process for some seconds.
	Unreachable ProcessState = "unreachable"
)

// Entry is one entry in the partition map.
type Entry struct {
	ID            string       `json:"id"`
	Incarnation   string       `json:"incarnation"`
	DataCentre    string       `json:"data_centre"`
	Addresses     []string     `json:"addresses"`
	State         ProcessState `json:"state"`
	ConfigVersion uint64       `json:"config_version"`
	MapVersion    uint64       `json:"map_version"`
	// LastHeardMS is the time since its last message; 0 for the reporting entry.
	LastMessageAgeMS int64 `json:"last_heard_ms"`
	// Waiting and Running count tasks. They are known of the reporting entry
	// only and 0 for others.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// Agent is one registered agent.
type Agent struct {
	Host             string       `json:"host"`
	Incarnation      string       `json:"incarnation"`
	DataCentre       string       `json:"data_centre"`
	State            ProcessState `json:"state"`
	ConfigVersion    uint64       `json:"config_version"`
	LastMessageAgeMS int64        `json:"last_heard_ms"`
}

// UpstreamState tells whether an upstream gets new work.
type UpstreamState string

// States of upstreams.
const (
	UpstreamServing      UpstreamState = "serving"
	UpstreamInQuietHours UpstreamState = "quiet-hours"
	UpstreamLeaving      UpstreamState = "leaving"
	UpstreamEjected      UpstreamState = "ejected"
)

// Upstream is one announced upstream.
type Upstream struct {
	Host       string        `json:"host"`
	Service    string        `json:"service"`
	Site       string        `json:"site"`
	DataCentre string        `json:"data_centre"`
	Classes    []string      `json:"classes"`
	Slots      int           `json:"slots"`
	Running    int           `json:"running"`
	State      UpstreamState `json:"state"`
}

// PartitionState tells whether a partition's owner serves its keys.
type PartitionState string

// States of partitions.
const (
	PartitionServing    PartitionState = "serving"
	PartitionRecovering PartitionState = "recovering"
	PartitionUnowned    PartitionState = "unowned"
)

// Partition is one partition of the key space and its owner.
type Partition struct {
	Number int            `json:"number"`
	Owner  string         `json:"owner"`
	Epoch  uint64         `json:"epoch"`
	State  PartitionState `json:"state"`
}

// ConfigPush tells an entry of a version that was accepted. The entry reads it
// from the table; if it cannot, it takes the content from the push, so that a
// version is in force everywhere even if the table goes down right after it was
// accepted.
type ConfigPushRequest struct {
	Version uint64 `json:"version"`
	// Content is the encoded configuration; empty to have it read from the table.
	Content []byte `json:"content,omitempty"`
}

// ConfigPushed tells which version the entry has in force.
type ConfigPushResponse struct {
	Version uint64 `json:"version"`
}

// DrainRequest asks for an entry or agent to leave: it takes no new work,
// finishes what it has, and its rows are removed.
type DrainRequest struct {
	// Host is an agent's host or an entry's id.
	Host string `json:"host"`
}

// DrainResponse tells what was asked to leave. The request is repeatable:
// draining a host that is leaving already changes nothing.
type DrainResponse struct {
	Host  string       `json:"host"`
	Role  string       `json:"role"`
	State ProcessState `json:"state"`
	// Running is the number of tasks that still run there.
	Running int `json:"running"`
}

// InForce counts the processes that have at least the version in force, and
// all processes. Unreachable processes count as lacking it.
func (r Report) InForce(version uint64) (have, all int) {
	count := func(state ProcessState, v uint64) {
		all++
		if state != Unreachable && v >= version {
			have++
		}
	}
	for _, e := range r.Entries {
		count(e.State, e.ConfigVersion)
	}
	for _, a := range r.Agents {
		count(a.State, a.ConfigVersion)
	}
	return have, all
}

// Lacking names the processes that do not have the version in force.
func (r Report) Lacking(version uint64) []string {
	var names []string
	for _, e := range r.Entries {
		if e.State == Unreachable || e.ConfigVersion < version {
			names = append(names, "entry "+e.ID)
		}
	}
	for _, a := range r.Agents {
		if a.State == Unreachable || a.ConfigVersion < version {
			names = append(names, "agent "+a.Host)
		}
	}
	return names
}
