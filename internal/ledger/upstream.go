package ledger

import (
	"slices"
	"sort"
	"time"

	"github.com/damasklb/damasklb/internal/credit"
	"github.com/damasklb/damasklb/internal/wire"
)

// grant is the credit that one entry has for one upstream.
type grant struct {
	remaining int
	lastSeq   uint64
	expires   time.Duration
}

type upstream struct {
	info      Upstream
	announced time.Duration
	// leaving is set while nothing may start on the upstream: it was asked to leave,
	// or its announcements are late. An announcement clears it, unless
	// leaveRequested is set.
	leaving        bool
	leaveRequested bool
	siteOpen       bool
	slots          *credit.Allocator
	grants         map[string]*grant
}

func (u *upstream) grant(entry string) *grant {
	g := u.grants[entry]
	if g == nil {
		g = &grant{}
		u.grants[entry] = g
	}
	return g
}

func (u *upstream) serves(class string) bool { return slices.Contains(u.info.Classes, class) }

// spend uses one credit of the entry. It returns 0, or the reason why there is none
// to use.
func (u *upstream) spend(now time.Duration, entry string) wire.Reason {
	g := u.grant(entry)
	if now >= g.expires {
		return wire.ReasonCreditExpired
	}
	if g.remaining <= 0 {
		return wire.ReasonCreditSpent
	}
	g.remaining--
	return 0
}

// Announce adds an upstream or renews it.
func (l *Ledger) Announce(now Instant, info Upstream) {
	if l.draining {
		return
	}
	u, ok := l.upstreams[info.Service]
	if !ok {
		u = &upstream{
			info: info, siteOpen: l.gate != nil && l.gate.SiteOpen(now.Wall, info.Site),
			slots: credit.NewAllocator(info.Slots, l.settings.Reservation), grants: map[string]*grant{},
		}
		l.upstreams[info.Service] = u
	}
	if u.leaveRequested {
		return
	}
	u.announced = now.Mono
	changed := !ok || u.leaving || u.info.Site != info.Site || u.info.Slots != info.Slots || !slices.Equal(u.info.Classes, info.Classes)
	u.info, u.leaving = info, false
	u.slots.SetSlots(info.Slots)
	if changed {
		for entry := range l.entries {
			l.sendUpstream(now, u, entry)
		}
	}
}

// Leave drains an upstream: nothing starts on it any more, and running tasks
// finish.
func (l *Ledger) UpstreamLeaving(service string) {
	if u, ok := l.upstreams[service]; ok {
		u.leaveRequested = true
		l.remove(u)
	}
}

// Drain drains all upstreams. It cannot be undone.
func (l *Ledger) Drain() {
	l.draining = true
	for _, u := range l.upstreams {
		u.leaveRequested = true
		l.remove(u)
	}
}

// Upstreams returns the upstreams that are announced now, for status pages.
func (l *Ledger) Upstreams() []Upstream {
	list := make([]Upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		if !u.leaving {
			list = append(list, u.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

func (l *Ledger) remove(u *upstream) {
	if u.leaving {
		return
	}
	u.leaving = true
	for entry := range l.entries {
		l.send(entry, &wire.UpstreamDown{Upstream: u.info.Service})
	}
	if u.slots.Used() == 0 {
		delete(l.upstreams, u.info.Service)
	}
}

func (l *Ledger) sendUpstream(now Instant, u *upstream, entry string) {
	l.send(entry, &wire.UpstreamUp{
		Upstream: u.info.Service, Site: u.info.Site, Classes: u.info.Classes,
		Slots: u.info.Slots, Credit: l.renewCredit(now, u, entry),
	})
}

// renewCredit renews the entry's credit and returns it.
func (l *Ledger) renewCredit(now Instant, u *upstream, entry string) wire.Credit {
	count := 0
	if !u.leaving && u.siteOpen && !l.suspended && !l.evacuated() {
		count = u.slots.Offered(now.Mono, entry)
	}
	g := u.grant(entry)
	g.remaining = count
	g.expires = now.Mono + l.settings.CreditTTL
	return wire.Credit{
		Upstream: u.info.Service, Count: count, LastSeq: g.lastSeq,
		TTLMS: uint32(l.settings.CreditTTL / time.Millisecond),
	}
}

// RefreshCredits renews the credits of one entry, with the idle ping.
func (l *Ledger) RefreshCredits(now Instant, entry string) {
	if !l.entries[entry] {
		return
	}
	for _, u := range l.upstreams {
		if !u.leaving {
			credit := l.renewCredit(now, u, entry)
			l.send(entry, &credit)
		}
	}
}

func (l *Ledger) sendCreditsToAll(now Instant, u *upstream) {
	if u.leaving {
		return
	}
	u.siteOpen = l.gate != nil && l.gate.SiteOpen(now.Wall, u.info.Site)
	for entry := range l.entries {
		credit := l.renewCredit(now, u, entry)
		l.send(entry, &credit)
	}
}

// want records how many tasks of an entry wait, and offers free slots at once.
func (l *Ledger) want(now Instant, entry string, m *wire.Want) {
	u, ok := l.upstreams[m.Upstream]
	if !ok || u.leaving {
		return
	}
	l.sendCredits(now, u, u.slots.SetWant(now.Mono, entry, max(m.Count, 0)))
}

// sendCredits sends entries the credits for the slots that were offered to them.
func (l *Ledger) sendCredits(now Instant, u *upstream, entries []string) {
	for _, entry := range entries {
		credit := l.renewCredit(now, u, entry)
		l.send(entry, &credit)
	}
}

// releaseSlot frees the slot of an ended task and offers it to an entry. The Result
// carries the credit if it goes to that entry; otherwise a message of its own does.
func (l *Ledger) releaseSlot(now Instant, u *upstream, startedBy, resultTo string) {
	to := u.slots.Release(now.Mono, startedBy)
	if to != "" && to != resultTo {
		l.sendCredits(now, u, []string{to})
	}
}
