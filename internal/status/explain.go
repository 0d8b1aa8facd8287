package status

// Paths of an explanation.
const (
	// ExplainPath serves an Explanation on GET, on the product's own path.
	ExplainPath = "/v1/admin/explain"
	// PlatformExplainPath and PlatformStatusPath are the paths of processes on the hosting
	// platform, at the address of their metrics.
	PlatformExplainPath = "/explain"
	PlatformStatusPath  = "/status"
)

// Explanation shows where the tasks of a job would be placed now and why. It is what a
// decision at the same moment would rest on, without the random part.
type Explanation struct {
	// Entry is the entry that answers.
	Entry string `json:"entry"`
	Queue string `json:"queue"`
	// Job is the job's id, if the question was about one, and State its state.
	Job   string `json:"job,omitempty"`
	State string `json:"state,omitempty"`
	// Service and Priority are those of the queue.
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	// Decision is place, hold, verify or refuse, or none if nothing of the job waits.
	Decision string `json:"decision"`
	// Reason is why the job would not be placed.
	Reason string `json:"reason,omitempty"`
	// WaitMS is the longest predicted wait of the job's tasks, WaitLimitMS the longest for
	// which the job is placed, and SlackMS how long its tasks may wait with the job on time.
	WaitMS      float64 `json:"wait_ms"`
	WaitLimitMS float64 `json:"wait_limit_ms"`
	SlackMS     float64 `json:"slack_ms"`
	// AtOnce is the number of tasks that would start without a wait.
	AtOnce int `json:"at_once"`
	// RetryAfterMS is the retry delay of a refusal, to which up to half is added at random.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// OutdatedReports is the number of agents that would be asked for new reports before
	// the job is refused.
	OutdatedReports int `json:"outdated_reports,omitempty"`
	// Caution is how the queue's jobs are placed after crashes of upstreams.
	Caution string `json:"caution,omitempty"`
	// RandomMS is the upper bound of the random part of a score.
	RandomMS float64       `json:"random_ms"`
	Tasks    []TaskOutlook `json:"tasks"`
	// TasksOmitted is the number of tasks that are not listed.
	TasksOmitted int `json:"tasks_omitted,omitempty"`
	// TasksUnplanned is the number of tasks of a new job that the decision leaves out.
	TasksUnplanned int `json:"tasks_unplanned,omitempty"`
	// Detailed is the index of the task whose candidates are listed.
	Detailed   int         `json:"detailed"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// CandidatesOmitted is the number of candidates with a higher score that are not listed.
	CandidatesOmitted int         `json:"candidates_omitted,omitempty"`
	Excluded          []Exclusion `json:"excluded,omitempty"`
}

// TaskOutlook is what is known of a task, and where it would go.
type TaskOutlook struct {
	Index int `json:"index"`
	// State is new, held, waiting, running or done.
	State string `json:"state"`
	// Agent is where the task waits or runs, and ForMS since when.
	Agent string `json:"agent,omitempty"`
	ForMS int64  `json:"for_ms,omitempty"`
	// ExpectedMS is its run time on a healthy upstream.
	ExpectedMS float64 `json:"expected_ms"`
	// Choice is the agent that it would get now; empty if there is none, or the task runs.
	Choice  string  `json:"choice,omitempty"`
	WaitMS  float64 `json:"wait_ms"`
	ScoreMS float64 `json:"score_ms"`
	// Decision and Reason are set for held tasks, Reason also for those that prefer a rack.
	Decision string `json:"decision,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Candidate is an agent that may get the detailed task. The score is the sum of the parts;
// the lowest one wins.
type Candidate struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Class is at-once, after-wait or late: whether the task would start at once there and
	// its job end on time.
	Class      string    `json:"class"`
	WaitMS     float64   `json:"wait_ms"`
	RunMS      float64   `json:"run_ms"`
	DistanceMS float64   `json:"distance_ms"`
	Penalties  []Penalty `json:"penalties,omitempty"`
	ScoreMS    float64   `json:"score_ms"`
	// FreeCPU and FreeMem are the capacity that is free after what was sent, in thousandths
	// of a core and in MiB.
	FreeCPU int `json:"free_cpu"`
	FreeMem int `json:"free_mem_mb"`
	// ReportAgeMS is the age of the report that the parts rest on.
	ReportAgeMS int64 `json:"report_age_ms"`
	// Wins is set for the lowest score of the best class, on or off the preferred rack as was
	// decided, and MayWin if the random part may decide.
	Wins   bool `json:"wins,omitempty"`
	MayWin bool `json:"may_win,omitempty"`
}

// Penalty is a named addition to a score.
type Penalty struct {
	Name string  `json:"name"`
	MS   float64 `json:"ms"`
}

// Exclusion counts the agents that cannot get the detailed task for the same reason.
type Exclusion struct {
	Reason string `json:"reason"`
	Agents int    `json:"agents"`
	// Hosts names some of them.
	Hosts []string `json:"hosts"`
}

// Failure is the body of a response to a bad request.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a failure.
type FailureDetail struct {
	Type string `json:"type"`
	// Field is the field or parameter at fault, if it is one.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// DispatchExplanation shows, on the product's own path, where the tasks of a job would start
// now and why, or why they wait.
type DispatchExplanation struct {
	Entry  string `json:"entry"`
	Class  string `json:"class"`
	Caller string `json:"caller"`
	// Job is the job's id, if the question was about one, and State its state.
	Job   string `json:"job,omitempty"`
	State string `json:"state,omitempty"`
	// Decision is accept or refuse for a new job, wait for one with waiting tasks, and none
	// otherwise. Reason is why the job is refused or waits.
	Decision string `json:"decision"`
	Reason   string `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
	// WaitMS is the predicted wait of a new job's last task, WaitLimitMS the longest that is
	// accepted. Both are absent if the job is refused for another reason.
	WaitMS      float64 `json:"wait_ms,omitempty"`
	WaitLimitMS float64 `json:"wait_limit_ms,omitempty"`
	// RetryAfterMS is the retry delay of a refusal, to which up to half is added at random.
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	ExpectedMS   float64 `json:"expected_ms"`
	// Waiting and Running count the tasks of all callers at this entry, CallerWaiting and
	// CallerRunning those of the caller, and Slots the slots of the class's upstreams.
	Waiting       int            `json:"waiting"`
	Running       int            `json:"running"`
	CallerWaiting int            `json:"caller_waiting"`
	CallerRunning int            `json:"caller_running"`
	Slots         int            `json:"slots"`
	Tasks         []DispatchTask `json:"tasks,omitempty"`
	TasksOmitted  int            `json:"tasks_omitted,omitempty"`
	// Candidates are the upstreams with credits for the class, the best ones first.
	Candidates        []DispatchCandidate `json:"candidates,omitempty"`
	CandidatesOmitted int                 `json:"candidates_omitted,omitempty"`
	Excluded          []Exclusion         `json:"excluded,omitempty"`
}

// DispatchTask is the state of a task: waiting, sent or done.
type DispatchTask struct {
	Index int    `json:"index"`
	State string `json:"state"`
	// Upstream is where the task was sent, and ForMS since when.
	Upstream string `json:"upstream,omitempty"`
	ForMS    int64  `json:"for_ms,omitempty"`
}

// DispatchCandidate is an upstream on which a task of the class may start now. Upstreams with
// the lowest cost and the most credits are drawn from at random.
type DispatchCandidate struct {
	Upstream   string `json:"upstream"`
	Site       string `json:"site"`
	DataCentre string `json:"data_centre"`
	// CostMS is DistanceMS, the latency there and back, plus RefusalsMS, the delay that is
	// expected from refused starts.
	CostMS     float64 `json:"cost_ms"`
	DistanceMS float64 `json:"distance_ms"`
	RefusalsMS float64 `json:"refusals_ms"`
	// Credits is the number of tasks that may be sent there now.
	Credits int  `json:"credits"`
	MayWin  bool `json:"may_win,omitempty"`
	// Probe is set for an ejected upstream that gets the next task to see if it works again.
	Probe bool `json:"probe,omitempty"`
}
