package leased

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/damasklb/damasklb/internal/boottime"
	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/status"
)

// EvacuationOptions describes the operators' requests to evacuate a data centre. The zero
// value means that there are none.
type EvacuationOptions struct {
	// Prefix is the prefix of the keys of requests; the rest is the data centre.
	Prefix string
	// DataCentres are the data centres of the deployment.
	DataCentres []string
}

var (
	evacuationQueries = metrics.NewCounter("damasklb_evacuation_queries_total")
	// unknownEvacuations counts requests for data centres that do not exist,
	// unreadableEvacuations those whose content is not valid.
	unknownEvacuations    = metrics.NewCounter("damasklb_evacuation_requests_unknown_total")
	unreadableEvacuations = metrics.NewCounter("damasklb_evacuation_requests_unreadable_total")
)

// evacuationQueryTimeout bounds a direct call for the requests. It is above what a slow
// store takes.
const evacuationQueryTimeout = 400 * time.Millisecond

// update returns what a store's answer says about evacuations. asOf is the time of the
// call on the process's clock.
func (o EvacuationOptions) update(u tableUpdate, asOf time.Duration, invalid *malformedRows) evacuation.Update {
	out := evacuation.Update{All: u.all, Version: u.version, AsOf: asOf}
	for _, r := range u.rows {
		dc, ok := strings.CutPrefix(r.Key, o.Prefix)
		if !ok {
			continue
		}
		switch {
		case r.Deleted:
			invalid.valid(r.Key)
		case !slices.Contains(o.DataCentres, dc):
			if invalid.found(r.Key, r.Version, "evacuation request for an unknown data centre") {
				unknownEvacuations.Inc()
			}
		case !json.Valid(r.Value):
			// The key alone names the data centre. Starting tasks against the operator's
			// will is worse than evacuating a data centre for a damaged request.
			if invalid.found(r.Key, r.Version, "content of evacuation request is not valid; acting on its key") {
				unreadableEvacuations.Inc()
			}
		default:
			invalid.valid(r.Key)
		}
		if !slices.Contains(o.DataCentres, dc) {
			continue
		}
		out.Changes = append(out.Changes, evacuation.Change{DataCentre: dc, Version: r.Version, Deleted: r.Deleted})
	}
	return out
}

// query reads the requests from the store.
func (o EvacuationOptions) query(ctx context.Context, store platform.Feed) (tableUpdate, error) {
	evacuationQueries.Inc()
	var out tableUpdate
	call, cancel := context.WithTimeout(ctx, evacuationQueryTimeout)
	defer cancel()
	_, err := snapshot(call, store, o.Prefix, func(u tableUpdate) { out = u })
	return out, err
}

func (e *Entry) evacuationsChanged(u tableUpdate) {
	if e.options.Evacuations.Prefix == "" {
		return
	}
	asOf := u.calledAt - e.clockZero
	update := e.options.Evacuations.update(u, asOf, e.malformedOperator)
	e.withCore(func(now time.Duration, core *broker.Broker) { core.Evacuations(now, update) })
}

// queryEvacuations reads the requests from the store after a pause of the process.
func (e *Entry) queryEvacuations() {
	u, err := e.options.Evacuations.query(e.ctx, e.options.Store)
	if err != nil {
		e.log.Warn("evacuation requests not read", "error", err.Error())
		return
	}
	e.evacuationsChanged(u)
}

// queryEvacuations reads the requests from the store when no entry has passed on recent
// ones.
func (a *Agent) queryEvacuations(q runner.QueryEvacuations) {
	u, err := a.options.Evacuations.query(a.ctx, a.options.Store)
	if err != nil {
		a.log.Warn("evacuation requests not read", "age_ms", q.Age.Milliseconds(), "error", err.Error())
		return
	}
	a.log.Info("evacuation requests read from the store", "age_ms", q.Age.Milliseconds(), "version", u.version)
	update := a.options.Evacuations.update(u, u.calledAt-a.clockZero, a.malformedOperator)
	a.withCore(func(now time.Duration, core *runner.Runner) { core.Evacuations(now, update) })
}

// Evacuations returns the evacuations in force, as the entry knows them, and the age of
// that knowledge.
func (e *Entry) Evacuations() ([]status.HostedEvacuation, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.EvacuationStates(boottime.Now() - e.clockZero)
}
