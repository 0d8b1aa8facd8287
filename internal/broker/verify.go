package broker

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// A job that seems to find no free capacity may be refused on reports that are older than
// the runs they describe: many entries share an upstream, and heartbeats to an entry
// without tasks there are rare. Before such a refusal, the broker asks the agents with old
// reports for new ones, which takes a round trip, and plans again. This handles bursts
// near the upstreams' capacity; while reports are recent, jobs are refused at once.
const (
	// reportMaxAge is the age of a report above which a refusal does not rest on it.
	reportMaxAge = 20 * time.Millisecond
	// verifyTimeout bounds the wait for new reports. It is a small part of the response
	// time that callers expect of the shortest jobs.
	verifyTimeout = 15 * time.Millisecond
	// maxQueries bounds the agents that are asked for one job.
	maxQueries = 24
)

// verify asks agents with old reports for new ones. It returns false if there are none.
func (b *Broker) verify(now time.Duration, j *job) bool {
	var queried []*agent
	// Starting at another agent each time spreads the queries.
	for i := range b.agentList {
		a := b.agentList[(b.nextQuery+i)%len(b.agentList)]
		if len(queried) == maxQueries {
			b.nextQuery = (b.nextQuery + i) % len(b.agentList)
			break
		}
		if !b.reportOutdated(now, a, j) {
			continue
		}
		queried = append(queried, a)
		if now-a.QueriedAt > reportMaxAge || a.QueriedAt == 0 {
			a.QueriedAt = now
			b.confirm(now, a, &wire.EntryBeat{EchoMS: a.EchoMS, ReportNow: true})
		}
	}
	if len(queried) == 0 {
		return false
	}
	b.verifying.Add(j, now+verifyTimeout, queried)
	return true
}

// reportOutdated reports whether a refusal of the job must not rest on the agent's last
// report.
func (b *Broker) reportOutdated(now time.Duration, a *agent, j *job) bool {
	return now-a.ReportAt > reportMaxAge && a.Usable(now, &b.settings.Limits) && a.serves(j.tasks[0])
}

// reported handles a new report of an agent.
func (b *Broker) reported(now time.Duration, a *agent) {
	a.ReportAt = now
	b.rackReported(now, a)
	b.verifying.Reported(a)
	b.decideVerified(now)
}

// decideVerified plans the jobs again whose reports are new or overdue, in the order of
// their arrival.
func (b *Broker) decideVerified(now time.Duration) {
	for j, ok := b.verifying.Next(now); ok; j, ok = b.verifying.Next(now) {
		if j.closing {
			continue
		}
		j.verified = true
		if refusal, refused := b.admit(now, j); refused {
			b.close(now, j, refusal)
		}
	}
}
