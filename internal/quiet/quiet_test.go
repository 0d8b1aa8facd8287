package quiet

import (
	"math/rand"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/config"
)

const (
	oracleSchedules = 24
	oracleYear      = 2026
	oracleSeed      = 20261
)

var timeZones = []string{
	"Asia/Jakarta", "Europe/Tallinn", "Europe/Tallinn", "America/New_York", "Australia/Lord_Howe", "Africa/Casablanca", "UTC",
}

func randomTimeOfDay(r *rand.Rand) config.TimeOfDay { return config.TimeOfDay(r.Intn(24 * 60)) }

func randomSite(r *rand.Rand) config.Site {
	site := config.Site{TimeZone: timeZones[r.Intn(len(timeZones))]}
	for range r.Intn(4) {
		span := config.QuietSpan{From: randomTimeOfDay(r), To: 1 + randomTimeOfDay(r)}
		if r.Intn(3) == 0 { // Near the hours in which clocks change.
			span.From, span.To = config.TimeOfDay(r.Intn(5*60)), config.TimeOfDay(1+r.Intn(5*60))
		}
		for d := range 7 {
			if r.Intn(2) == 0 {
				span.Days = append(span.Days, config.Day(d))
			}
		}
		if span.From != span.To {
			site.QuietHours = append(site.QuietHours, span)
		}
	}
	for range r.Intn(5) {
		date := time.Date(oracleYear, 1, 1+r.Intn(365), 0, 0, 0, 0, time.UTC)
		q := config.QuietDate{Date: config.Date{Year: date.Year(), Month: date.Month(), Day: date.Day()}}
		if r.Intn(2) == 0 {
			q.From, q.To = randomTimeOfDay(r), 1+randomTimeOfDay(r)
		}
		site.QuietDates = append(site.QuietDates, q)
	}
	return site
}

// oracle is a reference implementation that decides minute by minute from what a
// wall clock shows. A minute is in a span if the clock has shown the span's start
// or more, and will still show less than its end.
type oracle struct {
	first  time.Time
	closed []bool
}

// clockReadings holds what a time zone's wall clock shows in each minute, in minutes
// since 1970: the highest so far, and the lowest from then on.
type clockReadings struct{ highest, lowest []int64 }

const oracleMinutes = 375 * 24 * 60

var (
	oracleStart        = time.Date(oracleYear-1, 12, 28, 0, 0, 0, 0, time.UTC)
	readingsByTimeZone = map[string]clockReadings{}
)

func readingsOf(timeZoneName string) clockReadings {
	if r, ok := readingsByTimeZone[timeZoneName]; ok {
		return r
	}
	timeZone, err := time.LoadLocation(timeZoneName)
	if err != nil {
		panic(err)
	}
	highest, lowest := make([]int64, oracleMinutes), make([]int64, oracleMinutes)
	for i := range highest {
		local := oracleStart.Add(time.Duration(i) * time.Minute).In(timeZone)
		y, m, d := local.Date()
		highest[i] = time.Date(y, m, d, local.Hour(), local.Minute(), 0, 0, time.UTC).Unix() / 60
		lowest[i] = highest[i]
	}
	for i := 1; i < oracleMinutes; i++ {
		highest[i] = max(highest[i], highest[i-1])
		lowest[oracleMinutes-1-i] = min(lowest[oracleMinutes-1-i], lowest[oracleMinutes-i])
	}
	readingsByTimeZone[timeZoneName] = clockReadings{highest, lowest}
	return readingsByTimeZone[timeZoneName]
}

func newOracle(site config.Site) *oracle {
	readings := readingsOf(site.TimeZone)
	minutes, highest, lowest := oracleMinutes, readings.highest, readings.lowest
	o := &oracle{first: oracleStart, closed: make([]bool, minutes)}
	mark := func(date time.Time, from, to config.TimeOfDay) {
		if to <= from {
			to += 24 * 60
		}
		midnight := date.Unix() / 60
		dateMinute := int(date.Sub(o.first).Minutes())
		for i := max(0, dateMinute-24*60); i < min(minutes, dateMinute+4*24*60); i++ {
			if highest[i] >= midnight+int64(from) && lowest[i] < midnight+int64(to) {
				o.closed[i] = true
			}
		}
	}
	for date := o.first.AddDate(0, 0, -3); date.Year() <= oracleYear || date.YearDay() < 12; date = date.AddDate(0, 0, 1) {
		for _, span := range site.QuietHours {
			applies := len(span.Days) == 0
			for _, d := range span.Days {
				applies = applies || time.Weekday(d) == date.Weekday()
			}
			if applies {
				mark(date, span.From, span.To)
			}
		}
		for _, q := range site.QuietDates {
			if q.Date.String() != date.Format(time.DateOnly) {
				continue
			}
			if q.From == 0 && q.To == 0 {
				mark(date, 0, 24*60)
			} else {
				mark(date, q.From, q.To)
			}
		}
	}
	return o
}

// Guards against a site that counts as open in its quiet hours, or as closed
// outside of them, in any minute of a year with spans across midnight, clock
// changes and single dates. The last and the first nanosecond of each minute are
// compared as well.
func TestAgainstOracle(t *testing.T) {
	r := rand.New(rand.NewSource(oracleSeed))
	compared, different := 0, 0
	for range oracleSchedules {
		site := randomSite(r)
		c, err := New(site)
		if err != nil {
			t.Fatal(err)
		}
		o := newOracle(site)
		margin := time.Duration(r.Intn(4)) * time.Minute
		width := int(margin.Minutes())
		for i := 3 * 24 * 60; i < len(o.closed)-3*24*60; i++ {
			at := o.first.Add(time.Duration(i) * time.Minute)
			want := false
			for j := i - width; j <= i+width; j++ {
				want = want || o.closed[j]
			}
			last := o.closed[i-1] || o.closed[i]
			compared += 3
			if c.Closed(at, margin) != want || c.Closed(at.Add(-1), 0) != o.closed[i-1] || c.Closed(at, 1) != last {
				if different++; different < 10 {
					t.Errorf("%v ±%v: want %v, schedule %+v", at.In(c.timeZone), margin, want, site)
				}
			}
		}
	}
	t.Logf("%d schedules, %d comparisons, %d differences", oracleSchedules, compared, different)
}

// Guards against an opening time at which the site is still closed, one that is
// later than it could be, and an endless search.
func TestOpens(t *testing.T) {
	r := rand.New(rand.NewSource(oracleSeed + 1))
	for range 300 {
		site := randomSite(r)
		c, err := New(site)
		if err != nil {
			t.Fatal(err)
		}
		at := time.Date(oracleYear, 1, 1+r.Intn(360), r.Intn(24), r.Intn(60), r.Intn(60), 0, time.UTC)
		margin := time.Duration(r.Intn(120)) * time.Second
		opens, ok := c.OpensAt(at, margin)
		if !ok {
			for i := range 40 * 24 * 60 {
				if minute := at.Add(time.Duration(i) * time.Minute); !c.Closed(minute, margin) {
					t.Fatalf("%+v is open at %v, but Opens found nothing from %v", site, minute, at)
				}
			}
			continue
		}
		if c.Closed(opens, margin) || opens.Before(at) {
			t.Fatalf("%+v opens at %v from %v", site, opens, at)
		}
		if opens.After(at) && !c.Closed(opens.Add(-1), margin) {
			t.Fatalf("%+v is open before %v", site, opens)
		}
	}
	never, _ := New(config.Site{TimeZone: "UTC", QuietHours: []config.QuietSpan{{To: config.EndOfDay}}})
	if opens, ok := never.OpensAt(time.Now(), 0); ok {
		t.Errorf("a site that is always closed opens at %v", opens)
	}
}

// Guards against quiet hours that follow other rules at a clock change than those
// in the manual.
func TestClockChanges(t *testing.T) {
	site := config.Site{TimeZone: "Europe/Tallinn", QuietHours: []config.QuietSpan{{From: 23 * 60, To: 3*60 + 30}}}
	c, err := New(site)
	if err != nil {
		t.Fatal(err)
	}
	for _, at := range []struct {
		utc  string
		want bool
	}{
		{"2026-10-25T00:45:00Z", true},  // 03:45, before clocks go back to 03:00
		{"2026-10-25T01:29:59Z", true},  // the second 03:29:59
		{"2026-10-25T01:30:00Z", false}, // the second 03:30
		{"2026-03-29T00:59:59Z", true},  // 02:59:59, before clocks go forward to 04:00
		{"2026-03-29T01:00:00Z", false}, // 04:00; 03:30 does not exist
	} {
		instant, err := time.Parse(time.RFC3339, at.utc)
		if err != nil {
			t.Fatal(err)
		}
		if c.Closed(instant, 0) != at.want {
			t.Errorf("closed at %s: %v", at.utc, !at.want)
		}
	}
}

// The check runs before each task start, so it must cost far less than a start.
func BenchmarkClosed(b *testing.B) {
	c, err := New(config.Site{TimeZone: "Europe/Tallinn", QuietHours: []config.QuietSpan{{From: 22 * 60, To: 6 * 60}, {From: 12 * 60, To: 13 * 60}}})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Date(oracleYear, 6, 1, 10, 0, 0, 0, time.UTC)
	b.ReportAllocs()
	for b.Loop() {
		c.Closed(now, time.Second)
	}
}
