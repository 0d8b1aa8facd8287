// Package wire defines the messages between the processes of damasklb and
// their encoding in CBOR. Field numbers are never reused; unknown fields are
// ignored, so that two versions can run side by side during an upgrade.
package wire

// ProtocolVersion is announced in Hello. Peers with another major version are
// refused.
const ProtocolVersion = 1

// Role tells what kind of process is at the other end of a link.
type Role uint8

// Roles.
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
	// AgeMS is the time since the process started, on its own monotonic clock.
	UptimeMS      uint64 `cbor:"6,keyasint,omitempty"`
	MapVersion    uint64 `cbor:"7,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"8,keyasint,omitempty"`
}

// Ping asks the other end for a Pong with the same sequence number.
type Ping struct {
	Seq           uint64 `cbor:"1,keyasint"`
	MapVersion    uint64 `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	Seq           uint64 `cbor:"1,keyasint"`
	MapVersion    uint64 `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
}

// UpstreamUp tells an entry about an upstream beside the agent. It is sent when
// an upstream announces itself or changes, not on each renewal.
type UpstreamUp struct {
	Upstream string   `cbor:"1,keyasint"`
	Site     string   `cbor:"2,keyasint"`
	Classes  []string `cbor:"3,keyasint"`
	Slots    int      `cbor:"4,keyasint"`
	Credit   Credit   `cbor:"5,keyasint"`
}

// UpstreamDown tells that an upstream has gone or is leaving. Its running tasks
// still end with a Result.
type UpstreamDown struct {
	Upstream string `cbor:"1,keyasint"`
}

// Credit lets an entry start tasks on an upstream. Count is valid as of the
// start with sequence number Seen; the entry subtracts the starts that it has
// sent since. LifeMS runs from the moment when the agent sent the message, on
// the agent's clock, which alone decides whether a credit has expired.
type Credit struct {
	Upstream string `cbor:"1,keyasint,omitempty"`
	Count    int    `cbor:"2,keyasint"`
	LastSeq  uint64 `cbor:"3,keyasint,omitempty"`
	TTLMS    uint32 `cbor:"4,keyasint,omitempty"`
}

// Want tells an agent how many tasks of an entry wait for a slot of one of its
// upstreams. Zero withdraws an earlier Want.
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

// Reason tells why a task was not started.
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
)

var reasonNames = map[Reason]string{
	ReasonNoSlot: "no-slot", ReasonCreditExpired: "credit-expired", ReasonCreditSpent: "credit-spent",
	ReasonFenced: "fenced", ReasonQuietHours: "quiet-hours", ReasonLeaving: "leaving",
	ReasonNoUpstream: "no-upstream", ReasonVoid: "void", ReasonClass: "class-not-served",
	ReasonDeadline: "deadline-passed", ReasonConfig: "configuration-unknown",
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

// Query asks an agent what became of tasks. The agent voids the attempts that
// it has no record of, so a late Start for one of them is refused.
type Query struct {
	Tasks []TaskRef `cbor:"1,keyasint"`
}

// RecordState is the state of a task at an agent.
type TaskState uint8

// States of a record.
const (
	TaskRunning TaskState = iota + 1
	TaskDone
	TaskFailed
	TaskVoid
)

// Record is what an agent knows of a task.
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

// Fence announces the epochs at which the sender owns partitions. The receiver
// takes no part in a start at a lower epoch from then on.
type Fence struct {
	ID         uint64           `cbor:"1,keyasint"`
	Partitions []PartitionEpoch `cbor:"2,keyasint"`
}

// FenceReply gives what the receiver of a Fence holds of the partitions. It may
// come in several parts, which may overtake each other because long messages
// travel on streams of their own.
type FenceReply struct {
	ID          uint64       `cbor:"1,keyasint"`
	Last        bool         `cbor:"2,keyasint"`
	TaskRecords []TaskRecord `cbor:"3,keyasint,omitempty"`
	JobRecords  []JobRecord  `cbor:"4,keyasint,omitempty"`
	// Owned lists the partitions that the sender owned until now with complete
	// knowledge, at the given epoch, and of which it gives all jobs.
	Owned []PartitionEpoch `cbor:"5,keyasint,omitempty"`
	// Untaken lists partitions that the sender never took at an epoch above the
	// given one, and will not take at one below that of the fence.
	NotOwnedSince []PartitionEpoch `cbor:"9,keyasint,omitempty"`
	// Awaited lists the partitions that the sender owned until now without
	// complete knowledge. It accepted no new job of them; together with all jobs
	// of the owner before it, its own list is complete.
	Incomplete []IncompletePartition `cbor:"8,keyasint,omitempty"`
	// Serial numbers the replies of the sending process, Part the parts of a
	// reply from 0. The part with Last set has the highest number.
	Serial uint64 `cbor:"6,keyasint,omitempty"`
	Part   uint32 `cbor:"7,keyasint,omitempty"`
}

// Awaited names the owner before the sender of a FenceReply from which the
// sender has not heard all jobs of a partition.
type IncompletePartition struct {
	Partition Partition `cbor:"1,keyasint"`
	Owner     string    `cbor:"2,keyasint"`
	// Epoch is that of the owner, SenderEpoch that of the sender.
	Epoch       uint64 `cbor:"3,keyasint"`
	SenderEpoch uint64 `cbor:"4,keyasint"`
}

// Trace is what an entry knows of a job of another owner: that it was accepted
// and, if the job has ended, its answer.
type JobRecord struct {
	Job    JobID  `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
	// Answer is the final answer, if it is known.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	// Held is set by a previous owner that still runs the job.
	StillRunning bool `cbor:"5,keyasint,omitempty"`
	// RetryMS is the time for which a not_run answer is still repeated.
	RetryMS uint64 `cbor:"6,keyasint,omitempty"`
	// Open is set beside a not_run answer if the owner may have accepted the job
	// again since.
	MaybeAccepted bool `cbor:"7,keyasint,omitempty"`
}

// Answer is the final answer to a job, as given to the caller.
type Answer struct {
	Status       int    `cbor:"1,keyasint"`
	Body         []byte `cbor:"2,keyasint"`
	RetryAfterMS uint64 `cbor:"3,keyasint,omitempty"`
	NotRun       bool   `cbor:"4,keyasint,omitempty"`
	// Transient is set if the owner keeps no record of the answer, so that a
	// later copy of the request may get another one.
	Transient bool `cbor:"5,keyasint,omitempty"`
}

// Forward carries a submission from the entry that received it to the owner.
// By sending it the receiver has become the job's witness at Epoch.
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
	// Held is set if the receiver holds the job from the time when it owned the
	// partition. It then only joins the job and never accepts a new one.
	JoinOnly bool `cbor:"10,keyasint,omitempty"`
	// OpensMS is the time until a site that may serve the class leaves its quiet
	// hours; 0 if one is open.
	OpensMS uint64 `cbor:"11,keyasint,omitempty"`
	// Problem is why the configuration does not allow the job; empty if it does.
	// The owner refuses the job with it, unless it knows the job already.
	Problem string `cbor:"12,keyasint,omitempty"`
	Detail  string `cbor:"13,keyasint,omitempty"`
	// Renews is the Refusal of an earlier reply. The sender got the submission
	// after that refusal's time to retry.
	ExpiredRefusalID uint64 `cbor:"14,keyasint,omitempty"`
	// AgeMS is the time since the sender got the submission from its caller.
	AgeMS uint32 `cbor:"15,keyasint,omitempty"`
}

// ForwardReply gives the final answer to a Forward, or tells that the receiver
// of the Forward does not own the partition.
type ForwardReply struct {
	ID       uint64  `cbor:"1,keyasint"`
	Answer   *Answer `cbor:"2,keyasint,omitempty"`
	NotOwner bool    `cbor:"3,keyasint,omitempty"`
	// MapVersion is the version by which the sender judged ownership.
	MapVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Refusal names a refusal whose time to retry passed ExpiredMS ago.
	// The receiver forwards the submission again if it is younger than that.
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

// Witness asks a peer to keep traces of jobs that the sender owns, or an agent
// to keep refusals.
type Witness struct {
	ID         uint64      `cbor:"1,keyasint"`
	JobRecords []JobRecord `cbor:"2,keyasint"`
}

// WitnessAck tells whether the traces of a Witness are kept. Refused means that
// one of them is at an epoch below the fence.
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
