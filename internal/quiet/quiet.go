// Package quiet determines when a site is in its quiet hours. It does no I/O
// beyond loading the site's time zone, and takes the time as an argument.
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

// The intervals around a queried time are computed once and cached while queries
// stay within [time-windowBefore, time+windowAfter].
const (
	windowBefore = 2 * day
	windowAfter  = 30 * day
)

// maxLocalOffset bounds the difference between a local time and the instants at
// which local clocks may show it: the largest UTC offset is 14 h, and the largest
// change of a time zone's offset (Pacific/Apia, 2011) 24 h.
const maxLocalOffset = 48 * time.Hour

// interval is a time in which the site is closed: start <= t < end, in Unix
// nanoseconds.
type interval struct{ start, end int64 }

// window holds the sorted, disjoint intervals that overlap [from, until].
type window struct {
	from, until int64
	intervals   []interval
}

// rule is a span that begins on each local date to which it applies.
type rule struct {
	days     [7]bool
	date     config.Date // if set, the only date
	from, to config.TimeOfDay
}

// Calendar is the quiet hours of one site. It is safe for concurrent use.
type Calendar struct {
	timeZone *time.Location
	rules    []rule
	dates    int
	window   atomic.Pointer[window]
}

// New returns the calendar of a site.
func New(site config.Site) (*Calendar, error) {
	timeZone, err := config.LoadTimeZone(site.TimeZone)
	if err != nil {
		return nil, err
	}
	c := &Calendar{timeZone: timeZone, dates: len(site.QuietDates)}
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
// hours, so that it is true if the true time is in them, in whichever direction
// the clock is off.
func (c *Calendar) Closed(t time.Time, clockError time.Duration) bool {
	if len(c.rules) == 0 {
		return false
	}
	low, high := t.Add(-clockError).UnixNano(), t.Add(clockError).UnixNano()
	_, closed := firstOverlap(c.windowFor(low, high).intervals, low, high)
	return closed
}

// OpensAt returns the first time from t on at which Closed is false. The second
// result is false if there is none, as for a site that is always closed.
func (c *Calendar) OpensAt(t time.Time, clockError time.Duration) (time.Time, bool) {
	// A weekly schedule that opens at all opens within a week, one with dates
	// within a week after as many weeks as there are dates.
	horizon := t.Add(time.Duration(c.dates+2) * 8 * day)
	for at := t; !at.After(horizon); {
		if len(c.rules) == 0 {
			return at, true
		}
		low, high := at.Add(-clockError).UnixNano(), at.Add(clockError).UnixNano()
		found, closed := firstOverlap(c.windowFor(low, high).intervals, low, high)
		if !closed {
			return at, true
		}
		at = time.Unix(0, found.end).In(t.Location()).Add(clockError)
	}
	return time.Time{}, false
}

// firstOverlap returns the first interval that has an instant in [low, high].
func firstOverlap(intervals []interval, low, high int64) (interval, bool) {
	i := sort.Search(len(intervals), func(i int) bool { return intervals[i].end > low })
	if i == len(intervals) || intervals[i].start > high {
		return interval{}, false
	}
	return intervals[i], true
}

// windowFor returns a window that covers [low, high].
func (c *Calendar) windowFor(low, high int64) *window {
	if w := c.window.Load(); w != nil && w.from <= low && high <= w.until {
		return w
	}
	w := c.compute(low-int64(windowBefore), high+int64(windowAfter))
	c.window.Store(w)
	return w
}

func (c *Calendar) compute(from, until int64) *window {
	w := &window{from: from, until: until}
	// A span that overlaps the window begins at most two days before it.
	first := time.Unix(0, from).In(c.timeZone).AddDate(0, 0, -3)
	last := time.Unix(0, until).Add(2 * day)
	year, month, dayOfMonth := first.Date()
	for {
		date := time.Date(year, month, dayOfMonth, 0, 0, 0, 0, time.UTC)
		if date.After(last) {
			break
		}
		c.addDate(w, date)
		dayOfMonth++
	}
	w.intervals = merge(w.intervals)
	return w
}

// addDate adds the spans that begin on a date, given as its midnight in UTC.
func (c *Calendar) addDate(w *window, date time.Time) {
	for _, r := range c.rules {
		if !r.appliesOn(date) {
			continue
		}
		from := date.Add(time.Duration(r.from) * time.Minute)
		to := date.Add(time.Duration(r.to) * time.Minute)
		if r.to <= r.from {
			to = to.Add(day)
		}
		span := interval{c.startInstant(from), c.endInstant(to)}
		if span.start < span.end {
			w.intervals = append(w.intervals, span)
		}
	}
}

func (r rule) appliesOn(date time.Time) bool {
	if r.date.Year == 0 {
		return r.days[date.Weekday()]
	}
	year, month, dayOfMonth := date.Date()
	return r.date == config.Date{Year: year, Month: month, Day: dayOfMonth}
}

// period is a time during which the time zone's UTC offset is constant.
type period struct{ start, end, offset int64 }

// periods returns the periods around a local time, which is given as if it were
// in UTC.
func (c *Calendar) periods(local time.Time) []period {
	var all []period
	until := local.Add(maxLocalOffset)
	for t := local.Add(-maxLocalOffset); t.Before(until); {
		in := t.In(c.timeZone)
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

// startInstant returns the first instant at which local clocks show at least
// local.
func (c *Calendar) startInstant(local time.Time) int64 {
	for _, p := range c.periods(local) {
		at := local.UnixNano() - p.offset
		if at < p.end {
			return max(at, p.start)
		}
	}
	return local.Add(maxLocalOffset).UnixNano()
}

// endInstant returns the first instant from which local clocks never again show
// less than local.
func (c *Calendar) endInstant(local time.Time) int64 {
	all := c.periods(local)
	for i := len(all) - 1; i >= 0; i-- {
		at := local.UnixNano() - all[i].offset
		if at > all[i].start {
			return min(at, all[i].end)
		}
	}
	return local.Add(-maxLocalOffset).UnixNano()
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
