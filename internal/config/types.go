// Package config defines the configuration of an installation and reads, merges,
// validates, encodes and compares it. It does no I/O except in Load, which reads
// a directory.
package config

import (
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
)

// AnyCaller is the name under which the settings for callers that are not listed
// are written. If it is absent, callers that are not listed are refused.
const AnyCaller = "*"

// Config is one version of the configuration.
type Config struct {
	// Classes are the classes of tasks, by name. A job names the class of its tasks.
	Classes map[string]Class `json:"classes"`
	// DataCentres are the data centres in which processes run, by name.
	DataCentres map[string]DataCentre `json:"data_centres"`
	// Sites are the users' work sites, by name. An upstream belongs to one.
	Sites map[string]Site `json:"sites"`
	// Callers are the clients that submit jobs, by name. The settings under the
	// name "*" are for callers that are not listed.
	Callers map[string]Caller `json:"callers"`
	// Operators are the people who run the installation, by name.
	Operators map[string]Operator `json:"operators,omitempty"`
	// Limits bound what the installation accepts.
	Limits Limits `json:"limits"`
}

// Class holds the settings of one class of tasks.
type Class struct {
	// Expected is the run time of one task that is assumed until enough runs have
	// been measured: 1ms to 1h. A value that is wrong by a factor of ten does little
	// harm.
	Expected Duration `json:"expected"`
	// Idempotent states that running a task twice does no harm. A started task is
	// not retried in either case; clients may use the setting to decide on their own
	// retries.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxDeadline is the largest deadline of a job of the class: at least
	// Expected and at most limits.max_deadline. If absent, limits.max_deadline
	// applies.
	MaxDeadline Duration `json:"max_deadline,omitempty"`
	// Sites are the sites that may serve the class. If absent, all sites may.
	Sites []string `json:"sites,omitempty"`
}

// DataCentre holds the settings of one data centre.
type DataCentre struct {
	// Distance is the one-way network latency to other data centres, 0 to 1s. A
	// distance that is set for one of two data centres holds in both directions. If
	// it is set for neither, it is 1ms.
	Distance map[string]Duration `json:"distance,omitempty"`
}

// Site is a work site with its own quiet hours.
type Site struct {
	// TimeZone is the site's IANA time zone, such as "Asia/Jakarta".
	TimeZone string `json:"time_zone"`
	// DataCentre is the data centre in which the site's upstreams run.
	DataCentre string `json:"data_centre"`
	// QuietHours are the times of the week at which no task starts.
	QuietHours []QuietSpan `json:"quiet_hours,omitempty"`
	// QuietDates are single dates on which, in addition, no task starts.
	QuietDates []QuietDate `json:"quiet_dates,omitempty"`
}

// QuietSpan is a span of time that recurs every week, in local time. It ends on
// the next day if To is not later than From. When clocks are put back over the
// start or end of a span, the span lasts from the first time that the clock shows
// From to the last time that it shows To. When clocks are put forward over the
// start or end, the span starts or ends at the moment of the change.
type QuietSpan struct {
	// Days are the days on which the span begins: "mon" to "sun". If absent, it
	// begins every day.
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
	// From and To are as in QuietSpan. If From is absent, the span begins at the
	// start of the date; if To is absent, it ends at the end of the date.
	From TimeOfDay `json:"from,omitempty"`
	To   TimeOfDay `json:"to,omitempty"`
}

// Caller is a client that submits jobs.
type Caller struct {
	// Weight is the caller's share of slot time, relative to other callers, while
	// callers compete for slots: above 0 and at most 1000.
	Weight float64 `json:"weight"`
	// MaxSlots is the largest number of slots that the caller may use at a time in
	// the whole installation; 0 means no limit.
	MaxSlots int `json:"max_slots,omitempty"`
	// MaxQueued is the largest number of the caller's waiting tasks in the whole
	// installation; 0 means the built-in default.
	MaxQueued int `json:"max_queued,omitempty"`
	// Classes are the classes that the caller may use. If absent, it may use all.
	Classes []string `json:"classes,omitempty"`
	// Tokens are the SHA-256 hashes of the caller's bearer tokens, each written as
	// "sha256:" and 64 hexadecimal digits. With two of them, a token can be replaced
	// while the old one is still valid. A caller without tokens authenticates by
	// certificate.
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
	// ResubmissionWindow is the time after a job's end during which a submission
	// with the same key gets the same response: 1s to 1h, 120s by default. Agents
	// and entries retain records for that time, so memory use grows with it.
	ResubmissionWindow Duration `json:"resubmission_window"`
	// MaxDeadline is the largest deadline of a job: 10ms to 1h, 60s by default.
	MaxDeadline Duration `json:"max_deadline"`
	// MaxBodyBytes is the largest body of a request: 1024 to 1048576 bytes.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxAnswerBytes is the largest answer of a task: 1024 to 1048576 bytes.
	MaxAnswerBytes int `json:"max_answer_bytes"`
	// MaxTasks is the largest number of tasks in a job: 1 to 140.
	MaxTasks int `json:"max_tasks"`
	// ClockError is the largest error of a host's clock: 0s to 10m, 2s by default.
	// Quiet hours begin earlier and end later by this much.
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

// DefaultLimits returns the limits that apply where the base file sets none.
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

// Default returns a permissive configuration for dev mode: class "echo", one site
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

// Caller returns the settings of a caller, and false if the caller is refused.
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

// MaxDeadline returns the largest deadline of a job of the class.
func (c *Config) MaxDeadline(class string) time.Duration {
	if d := c.Classes[class].MaxDeadline; d > 0 {
		return time.Duration(d)
	}
	return time.Duration(c.Limits.MaxDeadline)
}

// Distance returns the one-way network latency between two data centres.
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

// DispatchSettings returns the settings for the dispatch policy of an entry in a
// data centre. The number of owners is that of the entries that share the
// upstreams. The settings for callers that are not listed are under AnyCaller.
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
