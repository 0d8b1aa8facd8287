// Package quiet tells when a site is in its quiet hours. It does no I/O beyond
// loading the site's time zone, and takes the time as an argument.
package quiet

import (
	"cmp"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/damasklb/damasklb/internal/config"
)

const day = 24 * time.Hour

// The intervals around a queried time are computed once and kept while queries
// stay within [time-windowBefore, time+windowAfter].
const (
	windowBefore = 2 * day
	windowAfter  = 30 * day
)

// transitionReach bounds the difference between a local time and the instants
// that may read it: the largest UTC offset is 14 h, and the largest jump of a
// zone (Pacific/Apia, 2011) 24 h.
const transitionReach = 48 * time.Hour

// interval is a closed time: start <= t < end, in Unix nanoseconds.
type interval struct{ start, end int64 }

// window holds the sorted, disjoint intervals that meet [from, until].
type window struct {
	from, until int64
	intervals   []interval
}

// rule is a span that begins on each local date for which it applies.
type rule struct {
	days     [7]bool
	date     config.Date // if set, the only date
	from, to config.TimeOfDay
}

// Calendar is the quiet hours of one site. It is safe for concurrent use.
type Calendar struct {
	zone   *time.Location
	rules  []rule
	dates  int
	window atomic.Pointer[window]
}

// New returns the calendar of a site.
func New(site config.Site) (*Calendar, error) {
	zone, err := config.LoadTimeZone(site.TimeZone)
	if err != nil {
		return nil, err
	}
	c := &Calendar{zone: zone, dates: len(site.QuietDates)}
	for _, span := range site.QuietHours {
		c.rules = append(c.rules, weekly(span))
	}
	for _, date := range site.QuietDates {
		r := rule{date: date.Date, from: date.From, to: date.To}
		if r.from == 0 && r.to == 0 {
			r.to = config.EndOfDay
		}
		c.rules = append(c.rules, r)
	}
	return c, nil
}

func weekly(span config.QuietSpan) rule {
	r := rule{from: span.From, to: span.To}
	for _, d := range span.Days {
		r.days[d] = true
	}
	if len(span.Days) == 0 {
		r.days = [7]bool{true, true, true, true, true, true, true}
	}
	return r
}

// Closed reports whether any instant within clockError of t is in the quiet
// hours. So it is true at the true time, whichever way the clock is off.
func (c *Calendar) Closed(t time.Time, clockError time.Duration) bool {
	if len(c.rules) == 0 {
		return false
	}
	low, high := t.Add(-clockError).UnixNano(), t.Add(clockError).UnixNano()
	_, closed := meet(c.around(low, high).intervals, low, high)
	return closed
}

// Opens returns the first time from t on at which Closed is false. The second
// result is false if there is none, as for a site that is always closed.
func (c *Calendar) Opens(t time.Time, clockError time.Duration) (time.Time, bool) {
	// A weekly schedule that opens at all opens within a week, one with dates
	// within a week after as many weeks as there are dates.
	horizon := t.Add(time.Duration(c.dates+2) * 8 * day)
	for at := t; !at.After(horizon); {
		if len(c.rules) == 0 {
			return at, true
		}
		low, high := at.Add(-clockError).UnixNano(), at.Add(clockError).UnixNano()
		found, closed := meet(c.around(low, high).intervals, low, high)
		if !closed {
			return at, true
		}
		at = time.Unix(0, found.end).In(t.Location()).Add(clockError)
	}
	return time.Time{}, false
}

// meet returns the first interval that has an instant in [low, high].
func meet(intervals []interval, low, high int64) (interval, bool) {
	i := sort.Search(len(intervals), func(i int) bool { return intervals[i].end > low })
	if i == len(intervals) || intervals[i].start > high {
		return interval{}, false
	}
	return intervals[i], true
}

// around returns a window that covers [low, high].
func (c *Calendar) around(low, high int64) *window {
	if w := c.window.Load(); w != nil && w.from <= low && high <= w.until {
		return w
	}
	w := c.compute(low-int64(windowBefore), high+int64(windowAfter))
	c.window.Store(w)
	return w
}

func (c *Calendar) compute(from, until int64) *window {
	w := &window{from: from, until: until}
	// A span that meets the window begins at most two days before it.
	first := time.Unix(0, from).In(c.zone).AddDate(0, 0, -3)
	last := time.Unix(0, until).Add(2 * day)
	year, month, number := first.Date()
	for {
		date := time.Date(year, month, number, 0, 0, 0, 0, time.UTC)
		if date.After(last) {
			break
		}
		c.addDate(w, date)
		number++
	}
	w.intervals = merge(w.intervals)
	return w
}

// addDate adds the spans that begin on a date, given as its midnight in UTC.
func (c *Calendar) addDate(w *window, date time.Time) {
	for _, r := range c.rules {
		if !r.begins(date) {
			continue
		}
		from := date.Add(time.Duration(r.from) * time.Minute)
		to := date.Add(time.Duration(r.to) * time.Minute)
		if r.to <= r.from {
			to = to.Add(day)
		}
		span := interval{c.firstReading(from), c.lastReading(to)}
		if span.start < span.end {
			w.intervals = append(w.intervals, span)
		}
	}
}

func (r rule) begins(date time.Time) bool {
	if r.date.Year == 0 {
		return r.days[date.Weekday()]
	}
	year, month, number := date.Date()
	return r.date == config.Date{Year: year, Month: month, Day: number}
}

// period is a time during which the zone's UTC offset is constant.
type period struct{ start, end, offset int64 }

// periods returns the periods around a local time, which is given as if it were
// in UTC.
func (c *Calendar) periods(local time.Time) []period {
	var all []period
	until := local.Add(transitionReach)
	for t := local.Add(-transitionReach); t.Before(until); {
		in := t.In(c.zone)
		_, offset := in.Zone()
		_, end := in.ZoneBounds()
		if end.IsZero() || end.After(until) {
			end = until
		}
		all = append(all, period{t.UnixNano(), end.UnixNano(), int64(offset) * int64(time.Second)})
		t = end
	}
	return all
}

// firstReading is the first instant at which local clocks read at least local.
func (c *Calendar) firstReading(local time.Time) int64 {
	for _, p := range c.periods(local) {
		at := local.UnixNano() - p.offset
		if at < p.end {
			return max(at, p.start)
		}
	}
	return local.Add(transitionReach).UnixNano()
}

// lastReading is the first instant from which on local clocks never read less
// than local again.
func (c *Calendar) lastReading(local time.Time) int64 {
	all := c.periods(local)
	for i := len(all) - 1; i >= 0; i-- {
		at := local.UnixNano() - all[i].offset
		if at > all[i].start {
			return min(at, all[i].end)
		}
	}
	return local.Add(-transitionReach).UnixNano()
}

// merge sorts intervals and joins those that touch.
func merge(intervals []interval) []interval {
	slices.SortFunc(intervals, func(a, b interval) int { return cmp.Compare(a.start, b.start) })
	var merged []interval
	for _, next := range intervals {
		if n := len(merged); n > 0 && next.start <= merged[n-1].end {
			merged[n-1].end = max(merged[n-1].end, next.end)
			continue
		}
		merged = append(merged, next)
	}
	return merged
}
