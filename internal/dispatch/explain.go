package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Explainer is implemented by a Policy that explains its decisions to operators. Its methods
// change nothing and draw no random number.
type Explainer interface {
	// ExplainAdmission returns the decision that Admit would return, with the time to retry
	// before its random part, and what it rests on.
	ExplainAdmission(now time.Duration, r AdmitRequest) AdmissionOutlook
	// ExplainUpstreams returns the upstreams on which a task of a class could start now, the
	// best ones first, and why the others cannot.
	ExplainUpstreams(now time.Duration, class string) ([]UpstreamOutlook, []ExcludedUpstream)
	// ExplainWaiting returns why a task waits, or "" if it does not wait.
	ExplainWaiting(now time.Duration, id wire.TaskID) string
	// ExplainLoad returns the amount of work of a caller and of all, and the slots of the
	// class's upstreams.
	ExplainLoad(caller, class string) LoadOutlook
}

// AdmissionOutlook is an admission decision and what it rests on.
type AdmissionOutlook struct {
	Decision
	// WaitLimit is the longest wait that is accepted; 0 if the wait does not decide.
	WaitLimit time.Duration
	// Expected is the expected run time of a task.
	Expected time.Duration
}

// UpstreamOutlook is an upstream on which a task could start now.
type UpstreamOutlook struct {
	Upstream
	// Distance is the latency there and back, Refusals the delay that is expected from
	// refused starts. The sum is the upstream's cost.
	Distance, Refusals time.Duration
	// Usable is the number of tasks that may be sent now.
	Usable int
	// MayWin is set for the upstreams among which one is drawn at random.
	MayWin bool
	// Probe is set for an ejected upstream that gets the next task.
	Probe bool
}

// ExcludedUpstream is an upstream on which no task of a class can start now.
type ExcludedUpstream struct {
	Upstream UpstreamID
	Reason   string
}

// LoadOutlook counts tasks and slots.
type LoadOutlook struct {
	Waiting, Running             int
	CallerWaiting, CallerRunning int
	Slots                        int
}

var _ Explainer = (*Scheduler)(nil)

// ExplainAdmission implements Explainer.
func (s *Scheduler) ExplainAdmission(now time.Duration, r AdmitRequest) AdmissionOutlook {
	var o AdmissionOutlook
	if o.Decision, o.WaitLimit = s.judge(now, r); s.disabled&Admission != 0 {
		o.Decision = Decision{Verdict: Admitted}
	}
	if o.RetryAfter > 0 {
		o.RetryAfter = retryTime(o.RetryAfter)
	}
	k := s.classes[r.Class]
	if k == nil {
		k = &class{}
		k.setAssumed(s.settings.Classes[r.Class].Expected)
		o.Expected = k.assumed
		return o
	}
	o.Expected = s.expectedRunTime(r, k)
	return o
}

// ExplainLoad implements Explainer.
func (s *Scheduler) ExplainLoad(name, class string) LoadOutlook {
	c := s.peekCaller(name)
	l := LoadOutlook{Waiting: s.waiting, Running: s.running, CallerWaiting: c.waiting, CallerRunning: c.running}
	if k := s.classes[class]; k != nil {
		l.Slots = s.classSlots(k)
	}
	return l
}

// ExplainWaiting implements Explainer.
func (s *Scheduler) ExplainWaiting(now time.Duration, id wire.TaskID) string {
	n := s.tasks[id]
	switch {
	case n == nil || n.state == stateRunning:
		return ""
	case n.state == stateLate || s.tooLate(now, n):
		return "too-late"
	}
	c, k := n.list.bucket.caller, n.list.bucket.class
	switch candidates, _ := s.ExplainUpstreams(now, k.name); {
	case !served(k):
		return "no-upstream"
	case c.maxSlots > 0 && c.running >= c.maxSlots:
		return "caller-at-its-cap"
	case s.longAtLimit() && n.list.bucket.long:
		return "long-work-at-its-share"
	case len(candidates) == 0:
		return "no-credit"
	}
	return "others-first"
}

// ExplainUpstreams implements Explainer.
func (s *Scheduler) ExplainUpstreams(now time.Duration, class string) ([]UpstreamOutlook, []ExcludedUpstream) {
	var out []UpstreamOutlook
	var excluded []ExcludedUpstream
	probe := s.dueProbe(now)
	for _, u := range s.upstreamList {
		usable, reason := s.usableFor(now, u, class)
		if u == probe && reason == excludedEjected {
			out = append(out, UpstreamOutlook{Upstream: u.Upstream, Distance: 2 * u.group.distance, Usable: 1, Probe: true, MayWin: true})
			continue
		}
		if reason != "" {
			excluded = append(excluded, ExcludedUpstream{u.ID, reason})
			continue
		}
		out = append(out, UpstreamOutlook{Upstream: u.Upstream, Distance: 2 * u.group.distance, Usable: usable})
	}
	s.rank(out)
	return out, excluded
}

// The reasons for which no task starts on an upstream.
const (
	excludedClass   = "other-class"
	excludedSite    = "site-not-allowed"
	excludedEjected = "ejected"
	excludedSuspect = "credits-suspect"
	excludedExpired = "credits-expired"
	excludedPaused  = "paused-on-old-credits"
	excludedReturn  = "returns-from-ejection"
	excludedCredit  = "no-credit"
)

// usableFor returns the number of tasks of a class that may be sent to an upstream now, or
// why none may.
func (s *Scheduler) usableFor(now time.Duration, u *upstream, name string) (int, string) {
	switch {
	case !slices.Contains(u.Classes, name):
		return 0, excludedClass
	case s.classes[name] == nil || !s.allowed(s.classes[name], u.Site):
		return 0, excludedSite
	case u.ejected:
		return 0, excludedEjected
	case u.suspect && now < s.suspectUntil:
		return 0, excludedSuspect
	}
	if n := u.usable(now); n > 0 {
		return n, ""
	}
	switch {
	case u.Credits <= 0:
		return 0, excludedCredit
	case now >= u.Expires:
		return 0, excludedExpired
	case now < u.pausedUntil:
		return 0, excludedPaused
	}
	return 0, excludedReturn
}

// rank sets the costs of upstreams and the ones that may be drawn, and sorts them: the groups
// by cost, and in a group the upstreams with the most credits first.
func (s *Scheduler) rank(list []UpstreamOutlook) {
	top := map[*group]int{}
	groupOf := func(u *UpstreamOutlook) *group { return s.upstreams[u.ID].group }
	level := func(u *UpstreamOutlook) int { return min(u.Usable, levels-1) }
	probed := false
	for i := range list {
		u := &list[i]
		probed = probed || u.Probe
		if !u.Probe {
			top[groupOf(u)] = max(top[groupOf(u)], level(u))
		}
	}
	for i := range list {
		if u := &list[i]; !u.Probe {
			_, refusals := s.cost(groupOf(u), top[groupOf(u)])
			u.Refusals = time.Duration(refusals)
		}
	}
	slices.SortStableFunc(list, func(x, y UpstreamOutlook) int {
		if x.Probe != y.Probe {
			return map[bool]int{true: -1, false: 1}[x.Probe]
		}
		return cmp.Or(cmp.Compare(x.Distance+x.Refusals, y.Distance+y.Refusals), cmp.Compare(groupOf(&x).key, groupOf(&y).key), cmp.Compare(y.Usable, x.Usable))
	})
	for i := range list {
		u := &list[i]
		cheapest := u.Distance+u.Refusals == list[0].Distance+list[0].Refusals || s.disabled&Placement != 0
		u.MayWin = u.Probe || (!probed && cheapest && level(u) == top[groupOf(u)])
	}
}
