// Package gate applies one version of the configuration to starts: which class
// may start at which site, and when.
package gate

import (
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/quiet"
	"github.com/damasklb/damasklb/internal/wire"
)

// Gate is a version of the configuration, prepared for fast checks. It is safe
// for concurrent use.
type Gate struct {
	version   uint64
	cfg       *config.Config
	calendars map[string]*quiet.Calendar
}

// New prepares a configuration.
func New(version uint64, cfg *config.Config) (*Gate, error) {
	g := &Gate{version: version, cfg: cfg, calendars: map[string]*quiet.Calendar{}}
	for name, site := range cfg.Sites {
		calendar, err := quiet.New(site)
		if err != nil {
			return nil, err
		}
		g.calendars[name] = calendar
	}
	return g, nil
}

// Version returns the configuration version.
func (g *Gate) Version() uint64 { return g.version }

// Config returns the configuration.
func (g *Gate) Config() *config.Config { return g.cfg }

// Open reports whether a site is known and not in its quiet hours.
func (g *Gate) SiteOpen(wall time.Time, site string) bool {
	calendar, ok := g.calendars[site]
	return ok && !calendar.Closed(wall, g.clockError())
}

// Check returns 0 if the class may start at the site now, or the reason why not.
// For quiet hours it also returns the time until the site opens.
func (g *Gate) Check(wall time.Time, site, class string) (wire.Reason, time.Duration) {
	calendar, ok := g.calendars[site]
	settings, known := g.cfg.Classes[class]
	if !ok || !known || !settings.MayServe(site) {
		return wire.ReasonClass, 0
	}
	if calendar.Closed(wall, g.clockError()) {
		return wire.ReasonQuietHours, g.until(wall, calendar)
	}
	return 0, 0
}

// never stands for a site that does not open within the calendar's horizon.
const never = 365 * 24 * time.Hour

func (g *Gate) until(wall time.Time, calendar *quiet.Calendar) time.Duration {
	opens, ok := calendar.Opens(wall, g.clockError())
	if !ok {
		return never
	}
	return max(opens.Sub(wall), time.Millisecond)
}

// OpensIn returns the time until the first site that may serve the class opens;
// 0 if one is open now or if no site is listed.
func (g *Gate) OpensIn(wall time.Time, class string) time.Duration {
	settings := g.cfg.Classes[class]
	first := never
	found := false
	for name, calendar := range g.calendars {
		if !settings.MayServe(name) {
			continue
		}
		if !calendar.Closed(wall, g.clockError()) {
			return 0
		}
		found = true
		first = min(first, g.until(wall, calendar))
	}
	if !found {
		return 0
	}
	return first
}

func (g *Gate) clockError() time.Duration { return time.Duration(g.cfg.Limits.ClockError) }
