package configstore

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

const (
	raceSeed      = 7331
	raceRuns      = 40
	raceSteps     = 3000
	raceOperators = 5
	raceFollowers = 2
)

// faultRates are probabilities in percent, per step or per call of the table.
type faultRates struct{ outage, lost, delayed, giveUp int }

// simulation runs operators and followers, one table call at a time in random
// order, so that a seed gives the same run each time.
type simulation struct {
	random    *rand.Rand
	rates     faultRates
	table     *standin.Memory
	down      bool
	stopped   bool
	delayed   []platform.Transaction
	contents  map[uint64][]byte // by version, as first written
	head      uint64
	accepted  map[string]uint64 // versions by change id, as reported to operators
	refused   map[string]bool   // change ids that were reported as lost
	steps     int
	outcomes  map[string]int
	violation string
	mu        sync.Mutex // protects violation; the running goroutine owns all other fields
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) chance(percent int) bool { return sim.random.Intn(100) < percent }

// commitAndCheck commits a transaction and checks the rows that it wrote.
func (sim *simulation) commitAndCheck(ctx context.Context, t platform.Transaction) error {
	if _, err := sim.table.Commit(ctx, t); err != nil {
		return err
	}
	head, err := New(sim.table).Head(ctx)
	if err != nil || head.Version != sim.head+1 {
		sim.reportViolation("head went from %d to %d", sim.head, head.Version)
	}
	sim.head = head.Version
	content, err := New(sim.table).Content(ctx, sim.head)
	if first, written := sim.contents[sim.head]; err != nil || written && !bytes.Equal(first, content) {
		sim.reportViolation("version %d was written twice", sim.head)
	}
	sim.contents[sim.head] = content
	return nil
}

// actor is one operator or follower. Each of its table calls waits for its turn.
type actor struct {
	*simulation
	turn chan bool // lets the actor run until its next table call; closed at the end
	done chan bool // reports that the actor waits for its turn; closed when it returns
}

func (a *actor) waitForTurn() error {
	a.done <- true
	<-a.turn
	if a.stopped || a.down {
		return fault.Unavailable.New("down")
	}
	return nil
}

func (a *actor) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := a.waitForTurn(); err != nil {
		return platform.Row{}, err
	}
	return a.table.Get(ctx, key)
}

func (a *actor) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := a.waitForTurn(); err != nil {
		return nil, err
	}
	return a.table.List(ctx, prefix)
}

func (a *actor) Commit(ctx context.Context, t platform.Transaction) ([]uint64, error) {
	if err := a.waitForTurn(); err != nil {
		return nil, err
	}
	if a.chance(a.rates.delayed) {
		a.delayed = append(a.delayed, t)
		return nil, fault.Unavailable.New("delayed")
	}
	if err := a.commitAndCheck(ctx, t); err != nil {
		return nil, err
	}
	if a.chance(a.rates.lost) {
		return nil, fault.Unavailable.New("answer lost")
	}
	return nil, nil
}

func (a *actor) store() *Store {
	return &Store{table: a, now: func() time.Time { return time.Unix(int64(a.steps), 0) }, wait: func(context.Context, time.Duration) error {
		if a.stopped || a.chance(a.rates.giveUp) {
			return fault.Unavailable.New("operator gave up")
		}
		return nil
	}}
}

func (a *actor) runOperator(name string) {
	ctx := context.Background()
	c := config.Default()
	for i := 0; !a.stopped; i++ {
		head, err := a.store().Head(ctx)
		if err != nil {
			continue
		}
		c.Limits.MaxBodyBytes = 1024 + a.random.Intn(1000000)
		content, _ := c.Encode()
		p := Proposal{ChangeID: fmt.Sprintf("%s-%d", name, i), BaseVersion: head.Version, Author: name, Content: content}
		for tries := 0; ; tries++ {
			record, err := a.submit(ctx, p, head.Version)
			a.checkOutcome(p, record, err)
			if tries == 3 || a.stopped || !errorx.IsOfType(err, fault.ChangeUnknown) {
				break
			}
		}
	}
}

// submit applies the proposal or, for some contents, rolls back to the version
// before the head instead.
func (a *actor) submit(ctx context.Context, p Proposal, head uint64) (AuditRecord, error) {
	if head > 2 && p.Content[len(p.Content)/2]%5 == 0 {
		return a.store().Rollback(ctx, head-1, p)
	}
	return a.store().Apply(ctx, p)
}

func (a *actor) checkOutcome(p Proposal, record AuditRecord, err error) {
	switch {
	case err == nil:
		a.outcomes["accepted"]++
		if before, again := a.accepted[p.ChangeID]; again && before != record.Version || record.ChangeID != p.ChangeID {
			a.reportViolation("change %s is version %d and %d", p.ChangeID, before, record.Version)
		}
		a.accepted[p.ChangeID] = record.Version
	case errorx.IsOfType(err, fault.LostRace):
		a.outcomes["lost"]++
		a.refused[p.ChangeID] = true
		version, _ := errorx.ExtractProperty(err, fault.ConfigVersion)
		if author, ok := errorx.ExtractProperty(err, fault.ConfigAuthor); !ok || author == "" || version == p.BaseVersion {
			a.reportViolation("%v names version %v and author %v", err, version, author)
		}
	case errorx.IsOfType(err, fault.ChangeUnknown):
		a.outcomes["unknown"]++
	case errorx.IsOfType(err, fault.Unavailable):
		a.outcomes["not sent"]++
	default:
		a.reportViolation("unexpected error: %v", err)
	}
}

// runFollower polls the table and sometimes takes a version from another follower.
func (a *actor) runFollower(own, other *Follower) {
	for lastVersion := uint64(0); !a.stopped; {
		if _, err := own.Poll(context.Background()); err != nil && !errorx.IsOfType(err, fault.Unavailable) {
			a.reportViolation("poll: %v", err)
		}
		if s, ok := other.Current(); ok && a.chance(30) {
			if _, err := own.UpdateIfNewer(s.Version, s.Content); err != nil {
				a.reportViolation("update from a peer: %v", err)
			}
		}
		s, _ := own.Current()
		if s.Version < lastVersion || !bytes.Equal(s.Content, a.contents[s.Version]) {
			a.reportViolation("follower is at version %d after %d, or has another content", s.Version, lastVersion)
		}
		lastVersion = s.Version
	}
}

func (sim *simulation) run() string {
	var actors []*actor
	start := func(f func(a *actor)) {
		a := &actor{simulation: sim, turn: make(chan bool), done: make(chan bool)}
		actors = append(actors, a)
		go func() {
			<-a.turn
			f(a)
			close(a.done)
		}()
		a.turn <- true
		<-a.done
	}
	for i := range raceOperators {
		start(func(a *actor) { a.runOperator(fmt.Sprintf("operator%d", i)) })
	}
	f := [raceFollowers]*Follower{}
	for i := range f {
		start(func(a *actor) {
			f[i] = NewFollower(a)
			a.runFollower(f[i], f[0])
		})
	}
	for sim.steps = 0; sim.steps < raceSteps && sim.violation == ""; sim.steps++ {
		if sim.chance(sim.rates.outage) {
			sim.down = !sim.down
		}
		if len(sim.delayed) > 0 && sim.chance(20) {
			i := sim.random.Intn(len(sim.delayed))
			_ = sim.commitAndCheck(context.Background(), sim.delayed[i]) // refused if the head has moved
			sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
		}
		a := actors[sim.random.Intn(len(actors))]
		a.turn <- true
		<-a.done
	}
	sim.stopped = true
	for _, a := range actors {
		close(a.turn)
		for range a.done {
		}
	}
	for _, t := range sim.delayed {
		_ = sim.commitAndCheck(context.Background(), t)
	}
	sim.checkAuditTrail()
	return sim.violation
}

// checkAuditTrail compares the audit trail with the outcomes that operators received.
func (sim *simulation) checkAuditTrail() {
	records, err := New(sim.table).History(context.Background(), 1<<30)
	if err != nil || uint64(len(records)) != sim.head {
		sim.reportViolation("%d audit records for head %d: %v", len(records), sim.head, err)
	}
	trail := map[string]uint64{}
	for _, record := range records {
		if _, twice := trail[record.ChangeID]; twice {
			sim.reportViolation("change %s took effect twice", record.ChangeID)
		}
		if sim.refused[record.ChangeID] {
			sim.reportViolation("change %s was reported as lost, but took effect", record.ChangeID)
		}
		trail[record.ChangeID] = record.Version
	}
	for id, version := range sim.accepted {
		if trail[id] != version {
			sim.reportViolation("accepted change %s of version %d is at %d in the trail", id, version, trail[id])
		}
	}
}

// Guards against a version that is reverted or overwritten, an accepted change
// that is lost, a change that takes effect twice, and a refused change that takes
// effect later. They could come about when several operators make changes at once
// during outages of the table, lost answers and delayed writes.
func TestOperatorsRace(t *testing.T) {
	defer invariant.SetStrict(invariant.SetStrict(true))
	parameters := gopter.DefaultTestParametersWithSeed(raceSeed)
	parameters.MinSuccessfulTests = raceRuns
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	steps, versions, outcomes := 0, uint64(0), map[string]int{}
	properties.Property("accepted changes stay, once and in order", prop.ForAll(
		func(seed int64, outage, lost, delayed, giveUp int) string {
			sim := &simulation{
				random: rand.New(rand.NewSource(seed)), table: standin.NewMemory(),
				rates:    faultRates{outage, lost, delayed, giveUp},
				contents: map[uint64][]byte{}, accepted: map[string]uint64{}, refused: map[string]bool{}, outcomes: outcomes,
			}
			violation := sim.run()
			steps += sim.steps
			versions += sim.head
			return violation
		},
		gen.Int64(), gen.IntRange(0, 10), gen.IntRange(0, 50), gen.IntRange(0, 50), gen.IntRange(1, 60),
	))
	properties.TestingRun(t)
	t.Logf("%d steps, %d versions, outcomes %v", steps, versions, outcomes)
}
