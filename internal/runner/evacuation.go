package runner

import (
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
)

// The agent makes the last check before a start: nothing starts in a data centre that it
// knows to be evacuated. It learns the requests from its entries. If none of them has sent
// a recent state, as when they are all cut off from the store, it asks the store itself.
// While the store does not answer either, tasks are started: a lost store must not stop the
// service, and the time within which a data centre has to be evacuated does not run then.
const (
	// evacuationQueryMargin is what is left of EvacuateWithin when the agent begins to ask
	// the store. It covers a lost answer and a second try.
	evacuationQueryMargin = 750 * time.Millisecond
	// evacuationQueryRetry is the time between the first two queries. It doubles with each
	// one, because all agents ask while the store is out of reach.
	evacuationQueryRetry = 350 * time.Millisecond
	// maxEvacuationQueryRetry bounds it. Once the store can be reached again, the knowledge
	// must be recent before the time allowed for an evacuation has passed.
	maxEvacuationQueryRetry = 2 * time.Second
)

// reasonEvacuated is the reason for not starting a task in a data centre that is being
// evacuated.
const reasonEvacuated = "evacuated"

// QueryEvacuations asks for the evacuation requests in the store.
type QueryEvacuations struct{ Age time.Duration }

// EvacuationChanged reports, for the log, that the upstream's data centre is being evacuated
// or no longer.
type EvacuationChanged struct {
	Evacuated bool
	Version   uint64
	// Running is the number of runs that may still go on, Returned that of the waiting
	// tasks that were returned to their entries.
	Running, Returned int
}

// evacuated reports whether the upstream's data centre is being evacuated.
func (r *Runner) evacuated() bool { return r.evacuations.Evacuated(r.settings.DataCentre) }

// Evacuations handles an update of the evacuation requests. Waiting tasks are returned to their
// entries if the upstream's data centre is being evacuated; runs go on to their end.
func (r *Runner) Evacuations(now time.Duration, u evacuation.Update) {
	if r.settings.EvacuateWithin == 0 {
		return
	}
	was := r.evacuated()
	changes := r.evacuations.Apply(now, u)
	if r.evacuations.Age(now) < r.evacuationQueryAge() {
		r.evacuationQueries = 0
	}
	if r.evacuated() == was {
		return
	}
	changed := EvacuationChanged{Evacuated: !was, Running: r.Running(), Returned: len(r.queue)}
	for _, c := range changes {
		if c.DataCentre == r.settings.DataCentre {
			changed.Version = c.Version
		}
	}
	if was {
		changed.Returned = 0
	} else {
		r.dropWaiting(now, reasonEvacuated)
	}
	r.emit(changed)
}

// evacuationQueryAge is the age of the agent's knowledge above which it asks the store.
func (r *Runner) evacuationQueryAge() time.Duration {
	return max(r.settings.EvacuateWithin-evacuationQueryMargin, r.settings.EvacuateWithin/2)
}

func (r *Runner) queryEvacuations(now time.Duration) {
	if r.settings.EvacuateWithin == 0 || r.upstream == nil {
		return
	}
	if r.firstTickAt == 0 {
		r.firstTickAt = now
	}
	age := now - r.firstTickAt
	if r.evacuations.Known() {
		age = r.evacuations.Age(now)
	}
	if age < r.evacuationQueryAge() {
		return
	}
	pause := min(evacuationQueryRetry<<min(max(r.evacuationQueries-1, 0), 8), maxEvacuationQueryRetry)
	if r.evacuationQueries > 0 && now-r.evacuationQueriedAt < pause {
		return
	}
	r.evacuationQueriedAt = now
	r.evacuationQueries++
	r.emit(QueryEvacuations{Age: age})
}
