package ledger

import (
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
)

// The agent makes the last check before a start: nothing starts in a data centre that it
// knows to be evacuated. It learns the requests from its entries. If none of them has
// passed on recent knowledge, as when all of them are cut off from the table, it reads the
// table itself. While the table does not answer either, tasks start: no operator can make
// a request then, and an outage of the table must not end the service.
const (
	// evacuationQueryRetry is the time between the first two queries. It doubles with each
	// one up to maxEvacuationQueryRetry, because in an outage all agents ask: with 1,000
	// agents that is 60 reads per second of the 2,000 that the table serves.
	evacuationQueryRetry    = 2 * time.Second
	maxEvacuationQueryRetry = 16 * time.Second
)

// QueryEvacuations asks for the requests in the table, to be reported by Evacuations.
type QueryEvacuations struct{ Age time.Duration }

func (QueryEvacuations) effect() {}

// evacuated reports whether the agent's data centre is being evacuated.
func (l *Ledger) evacuated() bool { return l.evacuations.Evacuated(l.settings.DataCentre) }

// EvacuationVersion returns the version of the requests that the agent knows.
func (l *Ledger) EvacuationVersion() uint64 { return l.evacuations.Version() }

// Evacuations handles an update of the evacuation requests and returns the changes that took
// effect. It withdraws the credits of all entries while the agent's data centre is being
// evacuated; running tasks go on to their end.
func (l *Ledger) Evacuations(now Instant, u evacuation.Update) []evacuation.Change {
	was := l.evacuated()
	changes := l.evacuations.Apply(now.Mono, u)
	if l.evacuations.Age(now.Mono) < l.settings.EvacuationQueryAge {
		l.evacuationQueries = 0
	}
	if l.evacuated() != was {
		for _, upstream := range l.upstreams {
			l.sendCreditsToAll(now, upstream)
		}
	}
	return changes
}

// queryEvacuations asks for the requests in the table while the knowledge of them is old.
// An agent without upstreams starts nothing and does not ask.
func (l *Ledger) queryEvacuations(now time.Duration) {
	age := l.evacuations.Age(now)
	if l.settings.EvacuationQueryAge == 0 || age < l.settings.EvacuationQueryAge || len(l.upstreams) == 0 {
		return
	}
	pause := min(evacuationQueryRetry<<min(max(l.evacuationQueries-1, 0), 8), maxEvacuationQueryRetry)
	if l.evacuationQueries > 0 && now-l.evacuationQueriedAt < pause {
		return
	}
	l.evacuationQueriedAt = now
	l.evacuationQueries++
	l.effects = append(l.effects, QueryEvacuations{Age: age})
}
