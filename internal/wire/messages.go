// Package wire defines the messages between the processes of damasklb and
// their encoding in CBOR. Field numbers are never reused; unknown fields are
// ignored, so that two versions can run side by side during an upgrade.
package wire

// ProtocolVersion is announced in Hello. Peers with another major version are
// refused.
const ProtocolVersion = 1

// Role is the kind of process at the other end of a link.
type Role uint8

const (
	RoleEntry Role = 1
	RoleAgent Role = 2
)

// Hello is the first message on each link, in both directions.
type Hello struct {
	Version     uint   `cbor:"1,keyasint"`
	Role        Role   `cbor:"2,keyasint"`
	ID          string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	DataCentre  string `cbor:"5,keyasint,omitempty"`
	// UptimeMS is the time since the process started, on its own monotonic clock.
	UptimeMS      uint64 `cbor:"6,keyasint,omitempty"`
	MapVersion    uint64 `cbor:"7,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"8,keyasint,omitempty"`
	// Evacuations is what the sending entry knows of evacuations. Receivers take it from
	// entries only.
	Evacuations *Evacuations `cbor:"9,keyasint,omitempty"`
	// EvacuationVersion is the version of the newest Evacuations that the sending agent
	// has applied.
	EvacuationVersion uint64 `cbor:"10,keyasint,omitempty"`
	// Running is the number of tasks that run at the sending agent.
	Running uint32 `cbor:"11,keyasint,omitempty"`
}

// Ping asks the other end for a Pong with the same sequence number.
type Ping struct {
	Seq           uint64 `cbor:"1,keyasint"`
	MapVersion    uint64 `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// The following fields are those of Hello.
	Evacuations       *Evacuations `cbor:"4,keyasint,omitempty"`
	EvacuationVersion uint64       `cbor:"5,keyasint,omitempty"`
	Running           uint32       `cbor:"6,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	Seq           uint64 `cbor:"1,keyasint"`
	MapVersion    uint64 `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// The following fields are those of Hello.
	Evacuations       *Evacuations `cbor:"4,keyasint,omitempty"`
	EvacuationVersion uint64       `cbor:"5,keyasint,omitempty"`
	Running           uint32       `cbor:"6,keyasint,omitempty"`
}

// NewPing returns a Ping with the versions that the sender's Hello states now.
func NewPing(seq uint64, h Hello) *Ping {
	return &Ping{
		Seq: seq, MapVersion: h.MapVersion, ConfigVersion: h.ConfigVersion,
		Evacuations: h.Evacuations, EvacuationVersion: h.EvacuationVersion, Running: h.Running,
	}
}

// NewPong returns a Pong with the versions that the sender's Hello states now.
func NewPong(seq uint64, h Hello) *Pong {
	p := Pong(*NewPing(seq, h))
	return &p
}

// UpstreamUp reports an upstream beside the agent to an entry. It is sent when an
// upstream first announces itself or changes, not on each renewal.
type UpstreamUp struct {
	Upstream string   `cbor:"1,keyasint"`
	Site     string   `cbor:"2,keyasint"`
	Classes  []string `cbor:"3,keyasint"`
	Slots    int      `cbor:"4,keyasint"`
	Credit   Credit   `cbor:"5,keyasint"`
}

// UpstreamDown reports that an upstream is leaving or has stopped announcing
// itself. Its running tasks still end with a Result.
type UpstreamDown struct {
	Upstream string `cbor:"1,keyasint"`
}

// Credit lets an entry start tasks on an upstream. Count is valid as of the
// start with sequence number LastSeq; the entry subtracts the starts that it has
// sent since. TTLMS runs from the moment when the agent sent the message, on
// the agent's clock, which alone decides whether a credit has expired.
type Credit struct {
	Upstream string `cbor:"1,keyasint,omitempty"`
	Count    int    `cbor:"2,keyasint"`
	LastSeq  uint64 `cbor:"3,keyasint,omitempty"`
	TTLMS    uint32 `cbor:"4,keyasint,omitempty"`
}

// Want reports to an agent how many tasks of an entry wait for a slot of one of
// its upstreams. Zero withdraws an earlier Want.
type Want struct {
	Upstream string `cbor:"1,keyasint"`
	Count    int    `cbor:"2,keyasint"`
}

// Start asks an agent to start a task.
type Start struct {
	Task          TaskID `cbor:"1,keyasint"`
	Attempt       uint32 `cbor:"2,keyasint"`
	Epoch         uint64 `cbor:"3,keyasint"`
	Upstream      string `cbor:"4,keyasint"`
	Seq           uint64 `cbor:"5,keyasint"`
	Class         string `cbor:"6,keyasint"`
	Caller        string `cbor:"7,keyasint"`
	Digest        Digest `cbor:"8,keyasint"`
	TaskCount     uint16 `cbor:"9,keyasint"`
	DeadlineMS    uint32 `cbor:"10,keyasint"`
	Payload       []byte `cbor:"11,keyasint"`
	ConfigVersion uint64 `cbor:"12,keyasint,omitempty"`
}

// Reason is why a task was not started.
type Reason uint8

// Reasons for NotStarted. Each means that this attempt has not started and
// never will.
const (
	ReasonNoSlot Reason = iota + 1
	ReasonCreditExpired
	ReasonCreditSpent
	ReasonFenced
	ReasonQuietHours
	ReasonLeaving
	ReasonNoUpstream
	ReasonVoid
	ReasonClass
	ReasonDeadline
	ReasonConfig
	ReasonEvacuated
)

var reasonNames = map[Reason]string{
	ReasonNoSlot: "no-slot", ReasonCreditExpired: "credit-expired", ReasonCreditSpent: "credit-spent",
	ReasonFenced: "fenced", ReasonQuietHours: "quiet-hours", ReasonLeaving: "leaving",
	ReasonNoUpstream: "no-upstream", ReasonVoid: "void", ReasonClass: "class-not-served",
	ReasonDeadline: "deadline-passed", ReasonConfig: "configuration-unknown",
	ReasonEvacuated: "evacuated",
}

func (r Reason) String() string { return reasonNames[r] }

// NotStarted refuses a Start.
type NotStarted struct {
	Task    TaskID `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Reason  Reason `cbor:"3,keyasint"`
	Credit  Credit `cbor:"4,keyasint"`
	// OpensMS is the time until the site leaves its quiet hours, for ReasonQuietHours.
	OpensMS uint64 `cbor:"5,keyasint,omitempty"`
}

// Result gives the outcome of a started task.
type Result struct {
	Task    TaskID `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	OK      bool   `cbor:"3,keyasint"`
	Payload []byte `cbor:"4,keyasint"`
	RunUS   uint64 `cbor:"5,keyasint"`
	Credit  Credit `cbor:"6,keyasint"`
}

// TaskRef names an attempt of a task.
type TaskRef struct {
	Task    TaskID `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
}

// Query asks an agent for the states of tasks. The agent voids the attempts that
// it has no record of, so that a late Start for one of them is refused.
type Query struct {
	Tasks []TaskRef `cbor:"1,keyasint"`
}

// TaskState is the state of a task at an agent.
type TaskState uint8

const (
	TaskRunning TaskState = iota + 1
	TaskDone
	TaskFailed
	TaskVoid
)

// TaskRecord is an agent's record of a task.
type TaskRecord struct {
	Task      TaskID    `cbor:"1,keyasint"`
	Attempt   uint32    `cbor:"2,keyasint"`
	State     TaskState `cbor:"3,keyasint"`
	Digest    Digest    `cbor:"4,keyasint"`
	TaskCount uint16    `cbor:"5,keyasint"`
	Payload   []byte    `cbor:"6,keyasint,omitempty"`
	RunUS     uint64    `cbor:"7,keyasint,omitempty"`
}

// QueryReply answers a Query.
type QueryReply struct {
	Records []TaskRecord `cbor:"1,keyasint"`
}

// PartitionEpoch names a partition and the epoch of its owner.
type PartitionEpoch struct {
	Partition Partition `cbor:"1,keyasint"`
	Epoch     uint64    `cbor:"2,keyasint"`
}

// Fence announces the epochs at which the sender owns partitions. From then on
// the receiver takes no part in a start at a lower epoch.
type Fence struct {
	ID         uint64           `cbor:"1,keyasint"`
	Partitions []PartitionEpoch `cbor:"2,keyasint"`
}

// FenceReply carries the records that the receiver of a Fence has of the
// partitions. It may come in several parts, which may arrive out of order because
// long messages use separate streams.
type FenceReply struct {
	ID          uint64       `cbor:"1,keyasint"`
	Last        bool         `cbor:"2,keyasint"`
	TaskRecords []TaskRecord `cbor:"3,keyasint,omitempty"`
	JobRecords  []JobRecord  `cbor:"4,keyasint,omitempty"`
	// Owned lists the partitions that the sender owned until now, at the given
	// epoch, with complete job records, and of which it reports all jobs.
	Owned []PartitionEpoch `cbor:"5,keyasint,omitempty"`
	// NotOwnedSince lists partitions that the sender never took over at an epoch
	// above the given one, and will not take over at one below that of the fence.
	NotOwnedSince []PartitionEpoch `cbor:"9,keyasint,omitempty"`
	// Incomplete lists the partitions that the sender owned until now without
	// complete job records. It accepted no new job of them; together with all jobs
	// of the previous owner, its own list is complete.
	Incomplete []IncompletePartition `cbor:"8,keyasint,omitempty"`
	// Serial numbers the replies of the sending process, Part the parts of a
	// reply from 0. The part with Last set has the highest number.
	Serial uint64 `cbor:"6,keyasint,omitempty"`
	Part   uint32 `cbor:"7,keyasint,omitempty"`
}

// IncompletePartition names the previous owner of a partition, from which the
// sender of a FenceReply has not received all jobs.
type IncompletePartition struct {
	Partition Partition `cbor:"1,keyasint"`
	Owner     string    `cbor:"2,keyasint"`
	// Epoch is that of the previous owner, SenderEpoch that of the sender.
	Epoch       uint64 `cbor:"3,keyasint"`
	SenderEpoch uint64 `cbor:"4,keyasint"`
}

// JobRecord is an entry's record of a job of another owner: that it was accepted
// and, if the job has ended, its answer.
type JobRecord struct {
	Job    JobID  `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
	// Answer is the final answer, if it is known.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	// StillRunning is set by a previous owner that still runs the job.
	StillRunning bool `cbor:"5,keyasint,omitempty"`
	// RetryMS is the time left for which a not_run answer is repeated.
	RetryMS uint64 `cbor:"6,keyasint,omitempty"`
	// MaybeAccepted is set with a not_run answer if the owner may have accepted the
	// job again since.
	MaybeAccepted bool `cbor:"7,keyasint,omitempty"`
}

// Answer is the final answer to a job, as given to the caller.
type Answer struct {
	Status       int    `cbor:"1,keyasint"`
	Body         []byte `cbor:"2,keyasint"`
	RetryAfterMS uint64 `cbor:"3,keyasint,omitempty"`
	NotRun       bool   `cbor:"4,keyasint,omitempty"`
	// Transient is set if the owner stores no record of the answer, so that a later
	// copy of the request may get another one.
	Transient bool `cbor:"5,keyasint,omitempty"`
}

// Forward carries a submission from the entry that received it to the owner.
// By forwarding it, the entry that received it has become the job's witness at
// Epoch.
type Forward struct {
	ID         uint64   `cbor:"1,keyasint"`
	Job        JobID    `cbor:"2,keyasint"`
	Caller     string   `cbor:"3,keyasint"`
	Class      string   `cbor:"4,keyasint"`
	Digest     Digest   `cbor:"5,keyasint"`
	Epoch      uint64   `cbor:"6,keyasint"`
	DeadlineMS uint32   `cbor:"7,keyasint"`
	Payloads   [][]byte `cbor:"8,keyasint"`
	// DeclaredMS is the run time that the caller expects of each task; 0 if unknown.
	DeclaredMS uint32 `cbor:"9,keyasint,omitempty"`
	// JoinOnly is set if the receiver still runs the job as a previous owner of the
	// partition. It then adds the submission to that job and never accepts a new
	// one.
	JoinOnly bool `cbor:"10,keyasint,omitempty"`
	// OpensMS is the time until a site that may serve the class leaves its quiet
	// hours; 0 if one is open.
	OpensMS uint64 `cbor:"11,keyasint,omitempty"`
	// Problem is why the configuration does not allow the job; empty if it does.
	// The owner refuses the job with it, unless it has a record of the job already.
	Problem string `cbor:"12,keyasint,omitempty"`
	Detail  string `cbor:"13,keyasint,omitempty"`
	// ExpiredRefusalID is the RefusalID of an earlier reply. The sender received the
	// submission after that refusal's retry time.
	ExpiredRefusalID uint64 `cbor:"14,keyasint,omitempty"`
	// AgeMS is the time since the sender received the submission from its caller.
	AgeMS uint32 `cbor:"15,keyasint,omitempty"`
}

// ForwardReply carries the final answer to a Forward, or reports that the
// receiver of the Forward does not own the partition.
type ForwardReply struct {
	ID       uint64  `cbor:"1,keyasint"`
	Answer   *Answer `cbor:"2,keyasint,omitempty"`
	NotOwner bool    `cbor:"3,keyasint,omitempty"`
	// MapVersion is the map version by which the sender determined the owner.
	MapVersion uint64 `cbor:"4,keyasint,omitempty"`
	// RefusalID identifies a refusal whose retry time passed ExpiredMS ago. The
	// receiver forwards the submission again if it is younger than that.
	RefusalID uint64 `cbor:"5,keyasint,omitempty"`
	ExpiredMS uint64 `cbor:"6,keyasint,omitempty"`
}

// Lookup asks the owner for a job's state, or to cancel it.
type Lookup struct {
	ID     uint64 `cbor:"1,keyasint"`
	Job    JobID  `cbor:"2,keyasint"`
	Caller string `cbor:"3,keyasint"`
	Cancel bool   `cbor:"4,keyasint,omitempty"`
}

// Witness asks a peer to store records of jobs that the sender owns, or an agent
// to store refusals.
type Witness struct {
	ID         uint64      `cbor:"1,keyasint"`
	JobRecords []JobRecord `cbor:"2,keyasint"`
}

// WitnessAck reports whether the job records of a Witness are stored. Refused
// means that one of them is at an epoch below the fence.
type WitnessAck struct {
	ID      uint64 `cbor:"1,keyasint"`
	Refused bool   `cbor:"2,keyasint,omitempty"`
}

// Drain asks the receiver to leave: it takes no new work, finishes what it has
// and stops.
type Drain struct{}

// MapNotice carries the partition map in the encoding of the table row.
type MapNotice struct {
	Version uint64 `cbor:"1,keyasint"`
	Row     []byte `cbor:"2,keyasint"`
}

// ConfigNotice carries an accepted configuration version.
type ConfigNotice struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}
