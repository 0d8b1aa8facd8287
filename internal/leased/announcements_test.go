package leased

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against crashes that are forgotten with the agent's process: by its next
// announcement, or by a process that writes before it has read the row.
func TestStoredRowKeepsCrashesOfEarlierProcesses(t *testing.T) {
	now := time.Now()
	announcement := runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 1}
	earlier := upstreamRow{ID: "u", StartMS: 5, Crashes: []crashRow{{At: now.UnixMilli(), StartMS: 4}}}
	for _, order := range []string{"row read first", "announcement first", "crash first"} {
		s := newAnnouncementStore(nil, "h", slog.New(slog.DiscardHandler))
		if order == "row read first" {
			s.adopt(earlier)
		}
		if order != "crash first" {
			s.save(announcement)
		}
		s.saveCrash(now, 6, []wire.CrashedRun{{Attempt: wire.LeasedAttempt{Run: 1}}})
		if order != "row read first" {
			s.adopt(earlier)
		}
		s.save(announcement)
		row, err := decodeUpstreamRow(s.latest)
		got := row.recentCrashes(now)
		if err != nil || len(got) != 2 || got[0].StartMS != 4 || got[1].StartMS != 6 || len(got[1].Runs) != 1 || row.StartMS != 7 {
			t.Errorf("%s: row %+v", order, row)
		}
	}
}

// Guards against rows that grow beyond what the store takes, and against old crashes that
// are taken for new ones after a restart.
func TestStoredCrashesAreBounded(t *testing.T) {
	now := time.Now()
	s := newAnnouncementStore(nil, "h", slog.New(slog.DiscardHandler))
	runs := make([]wire.CrashedRun, 2*maxStoredRuns)
	for i := range runs {
		runs[i] = wire.CrashedRun{Attempt: wire.LeasedAttempt{Task: wire.LeasedTask{Job: fmt.Sprintf("%016x", i), Index: uint16(i)}, Run: 3}, Queue: "some-queue", AgeMS: 1000}
	}
	for i := range 2 * maxStoredCrashes {
		s.saveCrash(now.Add(-time.Duration(i)*time.Minute), int64(i), runs)
	}
	const rowLimit = 64 << 10
	if len(s.latest) > rowLimit || len(s.row.Crashes) != maxStoredCrashes {
		t.Errorf("%d crashes in %d bytes, want %d in at most %d", len(s.row.Crashes), len(s.latest), maxStoredCrashes, rowLimit)
	}
	if got := s.row.recentCrashes(now); len(got) != 0 {
		t.Errorf("%d crashes that are minutes old are used", len(got))
	}
}

// Guards against a retracted crash that stays in the row, beside its retraction.
func TestRetractionReplacesTheStoredCrash(t *testing.T) {
	now := time.Now()
	s := newAnnouncementStore(nil, "h", slog.New(slog.DiscardHandler))
	s.saveCrash(now, 4, nil)
	s.saveCrash(now, 6, []wire.CrashedRun{{Attempt: wire.LeasedAttempt{Run: 1}}})
	s.retractCrash(now, 6)
	row, err := decodeUpstreamRow(s.latest)
	got := row.recentCrashes(now)
	if err != nil || len(got) != 2 || got[0].Retracted || got[1].StartMS != 6 || !got[1].Retracted {
		t.Errorf("crashes %+v, error %v; want the one of 4 and the retraction of 6", got, err)
	}
	s.saveCrash(now, 6, nil)
	if got := s.row.recentCrashes(now); len(got) != 2 || got[1].Retracted {
		t.Errorf("crashes %+v, want the one of 6 again", got)
	}
}
