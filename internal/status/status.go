// Package status defines the JSON bodies of the entries' operator interface: the
// state of the installation, the notice of a new configuration version, and
// requests to drain a host.
package status

// Paths of the operator interface.
const (
	// StatusPath serves a Report on GET.
	StatusPath = "/v1/admin/status"
	// DrainPath takes a DrainRequest on POST and answers with a DrainResponse.
	DrainPath = "/v1/admin/drain"
	// ConfigPath takes a ConfigPushRequest on POST and answers with a ConfigPushResponse.
	ConfigPath = "/v1/admin/config"
)

// Report is the state of the installation as one entry sees it. The state of other
// processes is that of their last message, so it lags by up to the idle ping
// interval.
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

// ProcessState is whether a process takes work, and the reason if it does not.
type ProcessState string

// States of processes.
const (
	// Serving: the process takes new work.
	Serving ProcessState = "serving"
	// Draining: the process finishes its work and takes no new work.
	Draining ProcessState = "leaving"
	// Unconfigured: the process has no configuration yet and refuses work.
	Unconfigured ProcessState = "unconfigured"
	// NoAuthority: the entry has given up its authority and starts no tasks.
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
	// LastMessageAgeMS is the time since its last message; 0 for the reporting entry.
	LastMessageAgeMS int64 `json:"last_heard_ms"`
	// Waiting and Running count tasks. They are set for the reporting entry only
	// and 0 for others.
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

// UpstreamState is whether an upstream gets new work, and the reason if it does not.
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

// PartitionState is whether a partition's owner serves its keys.
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

// ConfigPushRequest notifies an entry of a version that was accepted. The entry
// reads it from the table; if it cannot, it takes the content from the request, so
// that a version is in force everywhere even if the table fails right after it was
// accepted.
type ConfigPushRequest struct {
	Version uint64 `json:"version"`
	// Content is the encoded configuration; empty to have it read from the table.
	Content []byte `json:"content,omitempty"`
}

// ConfigPushResponse states which version the entry has in force.
type ConfigPushResponse struct {
	Version uint64 `json:"version"`
}

// DrainRequest asks an entry or agent to drain: it takes no new work, finishes the
// work it has, and its table rows are removed.
type DrainRequest struct {
	// Host is an agent's host or an entry's id.
	Host string `json:"host"`
}

// DrainResponse states which process was asked to drain. The request is idempotent:
// draining a host that drains already changes nothing.
type DrainResponse struct {
	Host  string       `json:"host"`
	Role  string       `json:"role"`
	State ProcessState `json:"state"`
	// Running is the number of tasks that still run on it.
	Running int `json:"running"`
}

// InForce returns the number of processes that have the version or a newer one in
// force, and the number of all processes. It counts an unreachable process as one
// that does not have it.
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

// Lacking returns the names of the processes that have neither the version nor a
// newer one in force. Unreachable processes are among them.
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
