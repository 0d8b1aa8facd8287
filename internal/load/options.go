// Package load is an open-loop load generator for the callers' interface. It
// sends jobs at fixed points in time whether or not earlier ones have been
// answered, and counts each response time from the intended send time, so that a
// stall of the system or of the generator is not left out of the quantiles
// (coordinated omission).
package load

import (
	"crypto/tls"
	"math/rand/v2"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Options describe a run.
type Options struct {
	// URLs are the entries. Each request goes to the next one.
	URLs  []string
	Class string
	// Caller names the caller to entries in dev mode, Token is a bearer token,
	// TLS holds the certificates for entries with TLS.
	Caller string
	Token  string
	TLS    *tls.Config
	// Rate is in jobs per second.
	Rate     float64
	Duration time.Duration
	Tasks    int
	Sleep    Sleep
	Deadline time.Duration
	// Copies is how often each job is sent in all, to different entries;
	// CopyDelay is the time from one copy to the next, 0 sends all at once.
	Copies    int
	CopyDelay time.Duration
	// Failover sends a request to the next entry if the connection was refused,
	// so that nothing can have been sent.
	Failover bool
	// Retries is how often a copy is sent again after a refusal with not_run
	// true, after the time that the refusal states.
	Retries int
	// Prefix starts the idempotency keys of the run.
	KeyPrefix string
	Seed      uint64
	// Done, if set, is called with each job once all its copies have ended.
	OnJobDone func(JobResult)
}

func (o Options) check() error {
	switch {
	case len(o.URLs) == 0:
		return fault.Usage.New("load: an entry URL is needed")
	case o.Rate <= 0:
		return fault.Usage.New("load: rate is %g jobs/s, it must be positive", o.Rate)
	case o.Duration <= 0:
		return fault.Usage.New("load: duration is %s, it must be positive", o.Duration)
	case o.Tasks < 1 || o.Copies < 1:
		return fault.Usage.New("load: tasks is %d and copies is %d, both must be 1 or more", o.Tasks, o.Copies)
	}
	return nil
}

// Sleep is the distribution of the tasks' run times.
type Sleep struct {
	// Fixed is the run time of every task, unless Mixed is set.
	Fixed time.Duration
	// Mixed draws most run times between 50 ms and 1 s, evenly on a logarithmic
	// scale, and a few from several seconds.
	Mixed bool
}

// The mixed distribution of the workload that the design page describes.
const (
	mixedLow       = 50 * time.Millisecond
	mixedHigh      = time.Second
	mixedLongLow   = 2 * time.Second
	mixedLongHigh  = 6 * time.Second
	mixedLongShare = 0.01
)

func (s Sleep) draw(r *rand.Rand) time.Duration {
	if !s.Mixed {
		return s.Fixed
	}
	if r.Float64() < mixedLongShare {
		return logUniform(r, mixedLongLow, mixedLongHigh)
	}
	return logUniform(r, mixedLow, mixedHigh)
}
