package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	yearSeed   = 2027
	startTries = 20000
	clockError = 2 * time.Second
)

// nightConfig returns a configuration whose default site is closed from 22:00 to
// 06:30 on each day, in a time zone without daylight-saving time, so that the
// expected result needs only the time of day.
func nightConfig() *config.Config {
	c := config.Default()
	site := c.Sites[config.DefaultSite]
	site.TimeZone = "Asia/Jakarta"
	site.QuietHours = []config.QuietSpan{{From: 22 * 60, To: 6*60 + 30}}
	c.Sites[config.DefaultSite] = site
	c.Limits.ClockError = config.Duration(clockError)
	return c
}

// inQuietHours decides by the local time of day alone.
func inQuietHours(t time.Time) bool {
	local := t.UTC().Add(7 * time.Hour)
	minute := local.Hour()*60 + local.Minute()
	return minute >= 22*60 || minute < 6*60+30
}

// Guards against a task that starts in the quiet hours of its site, at any time
// of a year and with any clock error within its bound, and against an agent that
// refuses starts outside of them.
func TestNoStartInQuietHours(t *testing.T) {
	g, err := New(1, nightConfig())
	if err != nil {
		t.Fatal(err)
	}
	l := ledger.New(ledger.DefaultSettings(), g)
	rng := rand.New(rand.NewPCG(yearSeed, yearSeed))
	begin := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	started, refused := 0, 0
	l.LinkUp(ledger.Instant{Wall: begin}, "e")
	for i := range startTries {
		wall := begin.Add(time.Duration(rng.Int64N(int64(365 * 24 * time.Hour))))
		now := ledger.Instant{Mono: time.Duration(i) * time.Hour, Wall: wall}
		l.Announce(now, ledger.Upstream{Service: "s", Site: config.DefaultSite, Classes: []string{config.DefaultClass}, Slots: 1})
		l.Tick(now)
		l.RefreshCredits(now, "e")
		id := wire.TaskID{Job: wire.NewJobID("c", fmt.Sprint(i))}
		l.Receive(now, "e", &wire.Start{
			Task: id, Attempt: 1, Upstream: "s", Seq: uint64(i + 1), Class: config.DefaultClass, DeadlineMS: 1000,
		})
		ran := false
		for _, effect := range l.TakeEffects() {
			_, run := effect.(ledger.Run)
			ran = ran || run
		}
		// The true time may be off by the clock's error either way.
		before, after := inQuietHours(wall.Add(-clockError)), inQuietHours(wall.Add(clockError))
		if ran && (before || after) {
			t.Fatalf("seed %d: a task started at %s, in quiet hours", yearSeed, wall)
		}
		if !ran && !before && !after {
			t.Fatalf("seed %d: a start at %s was refused outside of quiet hours", yearSeed, wall)
		}
		if ran {
			started++
			l.Ended(now, id, true, []byte("1"), time.Millisecond)
			l.TakeEffects()
		} else {
			refused++
		}
	}
	t.Logf("%d started, %d refused", started, refused)
}

// Guards against a class that starts at a site which may not serve it, and
// against a wrong time after which a caller may retry.
func TestCheckAndOpensIn(t *testing.T) {
	c := nightConfig()
	c.Sites["other"] = config.Site{TimeZone: "Asia/Jakarta", DataCentre: config.DefaultDataCentre}
	c.Classes["bound"] = config.Class{Expected: config.Duration(time.Second), Sites: []string{config.DefaultSite}}
	g, err := New(1, c)
	if err != nil {
		t.Fatal(err)
	}
	midnight := time.Date(2027, 1, 1, 17, 0, 0, 0, time.UTC)
	if reason, _ := g.Check(midnight, "other", "bound"); reason != wire.ReasonClass {
		t.Errorf("class at a site that may not serve it: reason %q", reason)
	}
	if reason, opens := g.Check(midnight, config.DefaultSite, "bound"); reason != wire.ReasonQuietHours || opens != 6*time.Hour+30*time.Minute+clockError {
		t.Errorf("quiet hours: reason %q, opens in %s", reason, opens)
	}
	if d := g.OpensIn(midnight, config.DefaultClass); d != 0 {
		t.Errorf("a class with an open site opens in %s", d)
	}
	if d := g.OpensIn(midnight, "bound"); d != 6*time.Hour+30*time.Minute+clockError {
		t.Errorf("a class without an open site opens in %s", d)
	}
}
