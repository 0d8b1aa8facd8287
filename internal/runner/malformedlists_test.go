package runner

import (
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// listAt returns a list of the present incarnation without runs, requested and received at a time.
func listAt(now time.Duration, change func(*RunList)) RunList {
	l := RunList{RequestedAt: now, ClockMS: int64((now - begin + time.Second) / time.Millisecond), StartMS: incarnation.StartMS}
	if change != nil {
		change(&l)
	}
	return l
}

// Guards against a run that is taken for ended, and whose cores are given to another, because
// its row in the list cannot be read.
func TestRunInUnreadableRowHasNotEnded(t *testing.T) {
	for name, hide := range map[string]func(*RunList){
		"no task":       func(l *RunList) { l.UnreadableRows = 1 },
		"no run number": func(l *RunList) { l.UnreadableTasks = []wire.LeasedTask{{Job: "j1"}} },
	} {
		t.Run(name, func(t *testing.T) {
			r := newReady(t)
			assign(r, begin, entryA, "j1", func(m *wire.Assign) { m.CPU = 9000 })
			r.Started(begin, attemptOf("j1", 1), StartAnswer{Outcome: StartAccepted})
			now := begin
			for range 2 * maxMissingLists {
				now += 20 * time.Millisecond
				r.Confirm(entryA, now)
				r.ListReceived(now, listAt(now, hide))
			}
			assign(r, now, entryA, "j2", nil)
			if reports := effects[Report](r); r.Running() != 1 || len(reports) > 2 {
				t.Errorf("%d runs, reports %+v", r.Running(), reports)
			}
			if starts := effects[StartRun](r); len(starts) != 0 {
				t.Errorf("starts beside the run: %+v", starts)
			}
			for range maxMissingLists {
				now += 20 * time.Millisecond
				r.ListReceived(now, listAt(now, nil))
			}
			if _, running := r.liveByTask[wire.LeasedTask{Job: "j1"}]; running {
				t.Error("the run has not ended although readable lists lack it")
			}
		})
	}
}

// Guards against an agent that never ends the wait for what a row of another writer hides, and one
// that starts tasks beside a run of its earlier process in such a row.
func TestUnreadableRowInFirstListDelaysStartsForALease(t *testing.T) {
	r := newStrict(t)
	r.SetToken(1)
	r.Connected(begin, entryA)
	r.Announce(begin, Announcement{UpstreamID: incarnation, Service: "s", CPU: 10_000, MemMB: 1000, Seq: 1})
	hide := func(l *RunList) {
		l.UnreadableRows = 1
		l.Running = []wire.LeasedAttempt{attemptOf("old", 1)}
	}
	r.ListReceived(begin, listAt(begin, hide))
	if r.mayStart(begin) {
		t.Error("tasks may start beside a run that cannot be read")
	}
	if stops := effects[StopRun](r); len(stops) != 1 || stops[0].Attempt != attemptOf("old", 1) {
		t.Errorf("stops %+v", stops)
	}
	end := begin + r.settings.CommandTimeout + r.lapse(r.settings.MaxLease)
	r.ListReceived(end, listAt(end, func(l *RunList) { l.UnreadableRows = 1 }))
	if request := r.NextListRequest(end); r.mayStart(end) || !request.Needed || request.LeaseEndMS != 0 {
		t.Errorf("before the end of the lease: may start %v, request %+v", r.mayStart(end), request)
	}
	end += time.Millisecond
	r.ListReceived(end, listAt(end, func(l *RunList) {
		l.UnreadableRows = 1
		l.Ended = []EndedRun{{Number: 1, Attempt: attemptOf("old", 1), Kind: EndStopped}}
	}))
	if !r.mayStart(end) {
		t.Error("a row that is no run keeps the upstream from being used")
	}
}
