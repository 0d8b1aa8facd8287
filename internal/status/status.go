// Package status defines the JSON bodies of the entries' operator interface: the
// state of the installation, the notice of a new configuration version, and
// requests to drain a host.
package status

import "time"

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
	// EvacuationVersion is the version of the evacuation requests that the reporting entry
	// knows, and EvacuationAgeMS the time since that was certainly the newest one.
	EvacuationVersion uint64       `json:"evacuation_version"`
	EvacuationAgeMS   int64        `json:"evacuation_age_ms"`
	Evacuations       []Evacuation `json:"evacuations,omitempty"`
}

// Evacuation is a data centre in which no task may start.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Since, Author and Reason are those of the request. They are zero if the reporting
	// entry knows of it only from another entry, or cannot read its row.
	Since  time.Time `json:"since,omitzero"`
	Author string    `json:"author,omitempty"`
	Reason string    `json:"reason,omitempty"`
	// KnownForMS is the time for which the reporting entry has known of the request.
	KnownForMS int64 `json:"known_for_ms"`
	// Running is the number of tasks that still run there.
	Running int `json:"running"`
	// Unknown is set if the configuration does not list the data centre.
	Unknown bool `json:"unknown,omitempty"`
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
	// EvacuationVersion is the version of the evacuation requests that the process knows.
	EvacuationVersion uint64 `json:"evacuation_version"`
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
	// EvacuationVersion is the version of the evacuation requests that the process knows.
	EvacuationVersion uint64 `json:"evacuation_version"`
}

// UpstreamState is whether an upstream gets new work, and the reason if it does not.
type UpstreamState string

// States of upstreams.
const (
	UpstreamServing      UpstreamState = "serving"
	UpstreamInQuietHours UpstreamState = "quiet-hours"
	UpstreamLeaving      UpstreamState = "leaving"
	UpstreamEjected      UpstreamState = "ejected"
	UpstreamEvacuated    UpstreamState = "evacuated"
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
	all = len(r.Entries) + len(r.Agents)
	return all - len(r.Lacking(version)), all
}

// Lacking returns the names of the processes that have neither the version nor a
// newer one in force. Unreachable processes are among them.
func (r Report) Lacking(version uint64) []string {
	return r.behind(func(e Entry) bool { return e.ConfigVersion < version }, func(a Agent) bool { return a.ConfigVersion < version })
}

// Unaware returns the names of the processes that do not know the version of the
// evacuation requests or a newer one. Unreachable processes are among them.
func (r Report) Unaware(version uint64) []string {
	return r.behind(func(e Entry) bool { return e.EvacuationVersion < version }, func(a Agent) bool { return a.EvacuationVersion < version })
}

// behind returns the names of the processes that are unreachable or for which late holds.
func (r Report) behind(lateEntry func(Entry) bool, lateAgent func(Agent) bool) []string {
	var names []string
	for _, e := range r.Entries {
		if e.State == Unreachable || lateEntry(e) {
			names = append(names, "entry "+e.ID)
		}
	}
	for _, a := range r.Agents {
		if a.State == Unreachable || lateAgent(a) {
			names = append(names, "agent "+a.Host)
		}
	}
	return names
}
