package owner

import (
	"time"

	"github.com/damasklb/damasklb/internal/credit"
	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/wire"
)

// upstream is an upstream and the credits that this entry has for it.
type upstream struct {
	info    dispatch.Upstream
	account credit.Account
	expires time.Duration
	// quietUntil is the time when the site's quiet hours end.
	quietUntil time.Duration
}

// creditSafety is the share of a credit's lifetime that the entry uses. The agent
// alone decides on expiry; this avoids starts that it would refuse.
const creditSafety = 0.9

func (c *Core) upstreamUp(now time.Duration, host string, m *wire.UpstreamUp) {
	a := c.agents[host]
	if a == nil {
		return
	}
	u := a.upstreams[m.Upstream]
	if u == nil {
		u = &upstream{}
		a.upstreams[m.Upstream] = u
	}
	u.info = dispatch.Upstream{
		ID: dispatch.UpstreamID{Host: host, Service: m.Upstream}, DataCentre: a.dataCentre,
		Site: m.Site, Classes: m.Classes, Slots: m.Slots,
	}
	u.account.Resync(m.Credit.LastSeq)
	c.applyCredit(now, host, &m.Credit)
}

func (c *Core) upstreamDown(now time.Duration, host, service string) {
	a := c.agents[host]
	if a == nil || a.upstreams[service] == nil {
		return
	}
	delete(a.upstreams, service)
	c.policy.RemoveUpstream(now, dispatch.UpstreamID{Host: host, Service: service})
}

// credit handles a credit that came in its own message.
func (c *Core) credit(now time.Duration, host string, m *wire.Credit) {
	c.applyCredit(now, host, m)
	c.dispatchTasks(now)
	c.returnUnused(now, host, m.Upstream)
}

// applyCredit applies a credit, unless a newer one has come before.
func (c *Core) applyCredit(now time.Duration, host string, m *wire.Credit) {
	a := c.agents[host]
	if a == nil || a.upstreams[m.Upstream] == nil {
		return
	}
	u := a.upstreams[m.Upstream]
	if !u.account.Apply(m.Count, m.LastSeq) {
		return
	}
	u.expires = now + time.Duration(float64(m.TTLMS)*creditSafety)*time.Millisecond
	c.offerUpstream(now, a, u)
}

// offerUpstream reports an upstream and its credits to the policy, unless its data centre
// is being evacuated: the policy must neither use it nor count on its slots.
func (c *Core) offerUpstream(now time.Duration, a *agent, u *upstream) {
	if c.evacuations.Evacuated(a.dataCentre) {
		return
	}
	info := u.info
	info.Credits = u.account.Available()
	info.Expires = u.expires
	if now < u.quietUntil {
		info.Credits = 0
	}
	c.policy.UpdateUpstream(now, info)
}

// returnUnused returns a slot that was offered for a Want, if no task waits for
// it any more.
func (c *Core) returnUnused(now time.Duration, host, service string) {
	a := c.agents[host]
	if a == nil || a.upstreams[service] == nil {
		return
	}
	u := a.upstreams[service]
	if u.account.ShouldReturn(c.policy.Waiting(now, u.info.ID)) {
		u.account.RecordWant(0)
		c.sendWant(u, 0)
	}
}

// scheduleWantCheck checks after credit.WantDelay whether tasks still wait for
// credits.
func (c *Core) scheduleWantCheck(now time.Duration) {
	if c.wantCheckPending || c.waiting == 0 {
		return
	}
	c.wantCheckPending = true
	c.timers.add(now+credit.WantDelay, func(now time.Duration) {
		c.wantCheckPending = false
		c.requestSlots(now)
		c.scheduleWantCheck(now)
	})
}

// requestSlots sends Wants for those waiting tasks that will not soon get a slot
// from a running task that ends.
func (c *Core) requestSlots(now time.Duration) {
	demander, ok := c.policy.(dispatch.Demander)
	if !ok || c.waiting == 0 || !c.authority(now) {
		return
	}
	var upstreams []*upstream
	var accounts []*credit.Account
	for _, host := range sortedKeys(c.agents) {
		a := c.agents[host]
		if !a.up || c.evacuations.Evacuated(a.dataCentre) {
			continue
		}
		for _, service := range sortedKeys(a.upstreams) {
			upstreams = append(upstreams, a.upstreams[service])
			accounts = append(accounts, &a.upstreams[service].account)
		}
	}
	if len(upstreams) == 0 {
		return
	}
	c.wantRotation++
	demand := func(i int) int { return demander.Demand(now, upstreams[i].info.ID) }
	credit.PlanWants(accounts, c.wantRotation%len(accounts), demand, func(i, count int) { c.sendWant(upstreams[i], count) })
}

func (c *Core) sendWant(u *upstream, count int) {
	c.counters.Wants++
	c.send(u.info.ID.Host, &wire.Want{Upstream: u.info.ID.Service, Count: count})
}
