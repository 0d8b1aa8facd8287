package agent

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// evacuationAskAge is the time after which the entries are asked again. Idle links are
	// pinged every 8 s, so this concerns only links with steady traffic, which need no ping.
	evacuationAskAge = 10 * time.Second
	// evacuationAskRetry is the time between two such pings while no answer holds the requests.
	evacuationAskRetry = 2 * time.Second
)

var evacuationQueries = metrics.NewCounter("damasklb_agent_evacuation_queries_total")

// applyView applies what an entry has passed on. sentAfter is a time before which the entry
// did not send it; 0 if none is known, in which case its age counts from the start of the
// process.
func (a *Agent) applyView(now ledger.Instant, v *wire.Evacuations, sentAfter time.Duration) {
	if v == nil {
		return
	}
	a.evacuationsCurrentAt = max(a.evacuationsCurrentAt, sentAfter)
	a.applyEvacuations(now, evacuation.FromView(sentAfter, v))
}

// applyEvacuations applies an update of the requests, and pings the entries after a new version
// at once: the version in the ping shows them that this agent has it in force.
func (a *Agent) applyEvacuations(now ledger.Instant, u evacuation.Update) {
	for _, c := range a.core.Evacuations(now, u) {
		if c.DataCentre == a.opts.DataCentre {
			a.opts.Log.Info("evacuation of this agent's data centre", "data_centre", c.DataCentre, "evacuated", !c.Deleted,
				"version", a.core.EvacuationVersion(), "request_version", c.Version, "running", a.core.Running())
		}
	}
	if version := a.core.EvacuationVersion(); version != a.evacuationVersion.Swap(version) {
		a.pingAll()
	}
}

func (a *Agent) pingAll() {
	for _, l := range a.links {
		// Ping fails on a closed link, which needs no ping.
		_ = l.Ping()
	}
}

// askForEvacuations pings the entries if none has sent the requests for some time.
func (a *Agent) askForEvacuations(now time.Duration) {
	if now-a.evacuationsCurrentAt < evacuationAskAge || now-a.evacuationsAskedAt < evacuationAskRetry {
		return
	}
	a.evacuationsAskedAt = now
	a.pingAll()
}

// queryEvacuations reads the requests from the table when no entry has passed on recent
// knowledge of them.
func (a *Agent) queryEvacuations(q ledger.QueryEvacuations) {
	evacuationQueries.Inc()
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	requestedAt := time.Since(a.start)
	state, err := configstore.New(a.opts.Table).Evacuations(ctx)
	if err != nil {
		tableErrors("read_evacuations").Inc()
		return
	}
	a.opts.Log.Info("evacuation requests read from the table", "age_ms", q.Age.Milliseconds(), "version", state.Version)
	a.post(func(now ledger.Instant) { a.applyEvacuations(now, state.Update(requestedAt)) })
}
