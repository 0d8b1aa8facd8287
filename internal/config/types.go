// Package config holds the configuration of an installation: its types, and the
// reading, merging, validation, encoding and comparison of it. It does no I/O
// except in Load, which reads a directory.
package config

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
)

// AnyCaller is the name of the settings for callers that are not listed. If it
// is absent, callers that are not listed are refused.
const AnyCaller = "*"

// Config is one version of the configuration.
type Config struct {
	// Classes are the kinds of work, by name. A job names the class of its tasks.
	Classes map[string]Class `json:"classes"`
	// DataCentres are the places where processes run, by name.
	DataCentres map[string]DataCentre `json:"data_centres"`
	// Sites are the users' places of work, by name. An upstream belongs to one.
	Sites map[string]Site `json:"sites"`
	// Callers are the clients that submit jobs, by name. The settings under the
	// name "*" are for callers that are not listed.
	Callers map[string]Caller `json:"callers"`
	// Operators are the people who run the installation, by name.
	Operators map[string]Operator `json:"operators,omitempty"`
	// Limits bound what the installation accepts.
	Limits Limits `json:"limits"`
}

// Class is a kind of work.
type Class struct {
	// Expected is the run time of one task, assumed until enough runs were seen:
	// 1ms to 1h. A value that is off by a factor of ten does little harm.
	Expected Duration `json:"expected"`
	// Idempotent tells that running a task twice does no harm. A started task is
	// not retried in either case; clients may use it to decide on their own.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxDeadline is the largest deadline of a job of the class: at least
	// Expected and at most limits.max_deadline. If absent, limits.max_deadline.
	MaxDeadline Duration `json:"max_deadline,omitempty"`
	// Sites that may serve the class. If absent, all sites may.
	Sites []string `json:"sites,omitempty"`
}

// DataCentre is a place where processes run.
type DataCentre struct {
	// Distance is the one-way network latency to other data centres, 0 to 1s. A
	// distance given at one end holds in both directions. If it is given at
	// neither, it is 1ms.
	Distance map[string]Duration `json:"distance,omitempty"`
}

// Site is a place of work with its own quiet hours.
type Site struct {
	// TimeZone is the site's IANA time zone, such as "Asia/Jakarta".
	TimeZone string `json:"time_zone"`
	// DataCentre is where the site's upstreams run.
	DataCentre string `json:"data_centre"`
	// QuietHours are the times of the week at which no task starts.
	QuietHours []QuietSpan `json:"quiet_hours,omitempty"`
	// QuietDates are single dates on which no task starts, in addition.
	QuietDates []QuietDate `json:"quiet_dates,omitempty"`
}

// QuietSpan is a time of the week in local time. It ends on the next day if To
// is not later than From. When clocks are put back during a span's start or
// end, the span reaches from the first reading of From to the last reading of
// To; when clocks are put forward over one of them, it takes effect at the jump.
type QuietSpan struct {
	// Days on which the span begins: "mon" to "sun". If absent, every day.
	Days []Day `json:"days,omitempty"`
	// From is the local time at which the span begins: "00:00" to "23:59".
	From TimeOfDay `json:"from"`
	// To is the local time at which the span ends: "00:00" to "24:00".
	To TimeOfDay `json:"to"`
}

// QuietDate is one local date, or a span that begins on it.
type QuietDate struct {
	// Date is the local date, such as "2027-01-01".
	Date Date `json:"date"`
	// From and To are as in QuietSpan. If From is absent, the date's start; if To
	// is absent, its end.
	From TimeOfDay `json:"from,omitempty"`
	To   TimeOfDay `json:"to,omitempty"`
}

// Caller is a client that submits jobs.
type Caller struct {
	// Weight is the share of contended slot time relative to other callers,
	// above 0 and at most 1000.
	Weight float64 `json:"weight"`
	// MaxSlots caps the slots that the caller may hold at a time, over the whole
	// installation; 0 means no cap.
	MaxSlots int `json:"max_slots,omitempty"`
	// MaxQueued caps the caller's waiting tasks, over the whole installation; 0
	// means the built-in default.
	MaxQueued int `json:"max_queued,omitempty"`
	// Classes that the caller may use. If absent, all.
	Classes []string `json:"classes,omitempty"`
	// Tokens are the SHA-256 hashes of the caller's bearer tokens, such as
	// "sha256:" and 64 hexadecimal digits. Two allow for a change of token. A
	// caller without tokens authenticates by certificate.
	Tokens []TokenHash `json:"tokens,omitempty"`
}

// Operator is a person who runs the installation.
type Operator struct {
	// Role is "viewer" (status) or "operator" (status and drain).
	Role OperatorRole `json:"role"`
	// Tokens are as in Caller.
	Tokens []TokenHash `json:"tokens,omitempty"`
}

// Limits bound what the installation accepts.
type Limits struct {
	// ResubmissionWindow is how long after a job's end its key still gets the
	// same response: 1s to 1h, 120s by default. Agents and entries hold records
	// for that long, so memory grows with it.
	ResubmissionWindow Duration `json:"resubmission_window"`
	// MaxDeadline is the largest deadline of a job: 10ms to 1h, 60s by default.
	MaxDeadline Duration `json:"max_deadline"`
	// MaxBodyBytes is the largest body of a request: 1024 to 1048576 bytes.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxAnswerBytes is the largest answer of a task: 1024 to 1048576 bytes.
	MaxAnswerBytes int `json:"max_answer_bytes"`
	// MaxTasks is the largest number of tasks in a job: 1 to 140.
	MaxTasks int `json:"max_tasks"`
	// ClockError bounds how far a host's clock may be off: 0s to 10m, 2s by
	// default. Quiet hours begin earlier and end later by this much.
	ClockError Duration `json:"clock_error"`
}

// Bounds of settings.
const (
	maxWeight       = 1000
	maxSlots        = 1 << 20
	maxQueued       = 1 << 24
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 1 << 20
	maxTasks        = 140
	maxTokens       = 8
	maxDistance     = time.Second
	defaultDistance = time.Millisecond
)

// DefaultLimits are the limits that hold where the base file gives none.
func DefaultLimits() Limits {
	return Limits{
		ResubmissionWindow: Duration(120 * time.Second),
		MaxDeadline:        Duration(60 * time.Second),
		MaxBodyBytes:       maxBodyBytes,
		MaxAnswerBytes:     maxBodyBytes,
		MaxTasks:           maxTasks,
		ClockError:         Duration(2 * time.Second),
	}
}

// Names in the default configuration.
const (
	DefaultClass      = "echo"
	DefaultSite       = "dev"
	DefaultDataCentre = "dev"
)

// Default is a permissive configuration for dev mode: class "echo", one site
// without quiet hours, and any caller.
func Default() *Config {
	return &Config{
		Classes:     map[string]Class{DefaultClass: {Expected: Duration(50 * time.Millisecond), Idempotent: true}},
		DataCentres: map[string]DataCentre{DefaultDataCentre: {}},
		Sites:       map[string]Site{DefaultSite: {TimeZone: "UTC", DataCentre: DefaultDataCentre}},
		Callers:     map[string]Caller{AnyCaller: {Weight: 1}},
		Limits:      DefaultLimits(),
	}
}

// Caller returns the settings of a caller, and false if it is not admitted.
func (c *Config) Caller(name string) (Caller, bool) {
	if caller, ok := c.Callers[name]; ok {
		return caller, true
	}
	caller, ok := c.Callers[AnyCaller]
	return caller, ok
}

// MayUse reports whether the caller may submit jobs of the class.
func (c Caller) MayUse(class string) bool { return allows(c.Classes, class) }

// MayServe reports whether a site may serve the class.
func (c Class) MayServe(site string) bool { return allows(c.Sites, site) }

func allows(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// DeadlineOf is the largest deadline of a job of the class.
func (c *Config) MaxDeadline(class string) time.Duration {
	if d := c.Classes[class].MaxDeadline; d > 0 {
		return time.Duration(d)
	}
	return time.Duration(c.Limits.MaxDeadline)
}

// Distance is the one-way network latency between two data centres.
func (c *Config) Distance(a, b string) time.Duration {
	if a == b {
		return 0
	}
	if d, ok := c.DataCentres[a].Distance[b]; ok {
		return time.Duration(d)
	}
	if d, ok := c.DataCentres[b].Distance[a]; ok {
		return time.Duration(d)
	}
	return defaultDistance
}

// DispatchSettings are the parts that the dispatch policy of an entry in a data
// centre uses. Owners is the number of entries that share the upstreams. The
// settings for callers that are not listed are under AnyCaller.
func (c *Config) DispatchSettings(dataCentre string, owners int) dispatch.Settings {
	s := dispatch.Settings{
		DataCentre: dataCentre,
		Distance:   make(map[string]time.Duration, len(c.DataCentres)),
		Callers:    make(map[string]dispatch.CallerSettings, len(c.Callers)),
		Classes:    make(map[string]dispatch.ClassSettings, len(c.Classes)),
		Owners:     max(1, owners),
	}
	for name := range c.DataCentres {
		s.Distance[name] = c.Distance(dataCentre, name)
	}
	for name, caller := range c.Callers {
		s.Callers[name] = dispatch.CallerSettings{Weight: caller.Weight, MaxSlots: caller.MaxSlots, MaxQueued: caller.MaxQueued}
	}
	for name, class := range c.Classes {
		s.Classes[name] = dispatch.ClassSettings{Expected: time.Duration(class.Expected), Sites: class.Sites}
	}
	return s
}
