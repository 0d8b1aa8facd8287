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
	// closedUntil is the time when the site's quiet hours end.
	closedUntil time.Duration
}

// creditSafety is the share of a credit's life that the entry uses. The agent
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

// credit handles a credit that came on its own.
func (c *Core) credit(now time.Duration, host string, m *wire.Credit) {
	c.applyCredit(now, host, m)
	c.pump(now)
	c.returnUnused(now, host, m.Upstream)
}

// applyCredit notes a credit, unless it is older than one that came before.
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
	info := u.info
	info.Credits = u.account.Available()
	info.Expires = u.expires
	if now < u.closedUntil {
		info.Credits = 0
	}
	c.policy.UpdateUpstream(now, info)
}

// returnUnused gives back a slot that was offered for a Want, if nothing waits
// for it any more.
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

// checkWantsLater looks after a while whether tasks still wait for credits.
func (c *Core) checkWantsLater(now time.Duration) {
	if c.wantsDue || c.waiting == 0 {
		return
	}
	c.wantsDue = true
	c.timers.add(now+credit.WantDelay, func(now time.Duration) {
		c.wantsDue = false
		c.askForSlots(now)
		c.checkWantsLater(now)
	})
}

// askForSlots sends Wants for the waiting tasks that the results of running
// tasks will not serve soon.
func (c *Core) askForSlots(now time.Duration) {
	demander, ok := c.policy.(dispatch.Demander)
	if !ok || c.waiting == 0 || !c.authority(now) {
		return
	}
	var upstreams []*upstream
	var accounts []*credit.Account
	for _, host := range sortedKeys(c.agents) {
		a := c.agents[host]
		if !a.up {
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
	c.firstAsked++
	demand := func(i int) int { return demander.Demand(now, upstreams[i].info.ID) }
	credit.PlanWants(accounts, c.firstAsked%len(accounts), demand, func(i, count int) { c.sendWant(upstreams[i], count) })
}

func (c *Core) sendWant(u *upstream, count int) {
	c.counters.Wants++
	c.send(u.info.ID.Host, &wire.Want{Upstream: u.info.ID.Service, Count: count})
}
