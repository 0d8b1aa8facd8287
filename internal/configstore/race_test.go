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

// faultRates are chances in a hundred, per call of the table.
type faultRates struct{ outage, lost, delayed, giveUp int }

// race runs operators and followers, one table call at a time in random order,
// so that a seed gives the same run each time.
type race struct {
	random    *rand.Rand
	rates     faultRates
	table     *standin.Memory
	down      bool
	stopped   bool
	delayed   []platform.Transaction
	contents  map[uint64][]byte // by version, as first written
	head      uint64
	accepted  map[string]uint64 // change ids that were reported as accepted
	refused   map[string]bool   // change ids that were reported as lost
	steps     int
	outcomes  map[string]int
	violation string
	mu        sync.Mutex // for violation; all else belongs to the running goroutine
}

func (r *race) violated(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violation == "" {
		r.violation = fmt.Sprintf(format, args...)
	}
}

func (r *race) chance(percent int) bool { return r.random.Intn(100) < percent }

// apply lets a transaction take effect and checks the rows that it wrote.
func (r *race) apply(ctx context.Context, t platform.Transaction) error {
	if _, err := r.table.Commit(ctx, t); err != nil {
		return err
	}
	head, err := New(r.table).Head(ctx)
	if err != nil || head.Version != r.head+1 {
		r.violated("head went from %d to %d", r.head, head.Version)
	}
	r.head = head.Version
	content, err := New(r.table).Content(ctx, r.head)
	if first, written := r.contents[r.head]; err != nil || written && !bytes.Equal(first, content) {
		r.violated("version %d was written twice", r.head)
	}
	r.contents[r.head] = content
	return nil
}

// actor is one operator or follower. Each table call waits for its turn.
type actor struct {
	*race
	turn chan bool // closed at the end
	done chan bool
}

func (a *actor) wait() error {
	a.done <- true
	<-a.turn
	if a.stopped || a.down {
		return fault.Unavailable.New("down")
	}
	return nil
}

func (a *actor) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := a.wait(); err != nil {
		return platform.Row{}, err
	}
	return a.table.Get(ctx, key)
}

func (a *actor) List(context.Context, string) ([]platform.Row, error) {
	return nil, fault.Unavailable.New("not used")
}

func (a *actor) Commit(ctx context.Context, t platform.Transaction) ([]uint64, error) {
	if err := a.wait(); err != nil {
		return nil, err
	}
	if a.chance(a.rates.delayed) {
		a.delayed = append(a.delayed, t)
		return nil, fault.Unavailable.New("delayed")
	}
	if err := a.apply(ctx, t); err != nil {
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

func (a *actor) operate(name string) {
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
			a.outcome(p, record, err)
			if tries == 3 || a.stopped || !errorx.IsOfType(err, fault.ChangeUnknown) {
				break
			}
		}
	}
}

// submit applies the proposal, or now and then rolls back to the base instead.
func (a *actor) submit(ctx context.Context, p Proposal, head uint64) (AuditRecord, error) {
	if head > 2 && p.Content[len(p.Content)/2]%5 == 0 {
		return a.store().Rollback(ctx, head-1, p)
	}
	return a.store().Apply(ctx, p)
}

func (a *actor) outcome(p Proposal, record AuditRecord, err error) {
	switch {
	case err == nil:
		a.outcomes["accepted"]++
		if before, again := a.accepted[p.ChangeID]; again && before != record.Version || record.ChangeID != p.ChangeID {
			a.violated("change %s is version %d and %d", p.ChangeID, before, record.Version)
		}
		a.accepted[p.ChangeID] = record.Version
	case errorx.IsOfType(err, fault.LostRace):
		a.outcomes["lost"]++
		a.refused[p.ChangeID] = true
		version, _ := errorx.ExtractProperty(err, fault.ConfigVersion)
		if author, ok := errorx.ExtractProperty(err, fault.ConfigAuthor); !ok || author == "" || version == p.BaseVersion {
			a.violated("%v names version %v and author %v", err, version, author)
		}
	case errorx.IsOfType(err, fault.ChangeUnknown):
		a.outcomes["unknown"]++
	case errorx.IsOfType(err, fault.Unavailable):
		a.outcomes["not sent"]++
	default:
		a.violated("unexpected error: %v", err)
	}
}

// follow polls and takes versions from the other follower.
func (a *actor) follow(own, other *Follower) {
	for seen := uint64(0); !a.stopped; {
		if _, err := own.Poll(context.Background()); err != nil && !errorx.IsOfType(err, fault.Unavailable) {
			a.violated("poll: %v", err)
		}
		if s, ok := other.Current(); ok && a.chance(30) {
			if _, err := own.UpdateIfNewer(s.Version, s.Content); err != nil {
				a.violated("offer: %v", err)
			}
		}
		s, _ := own.Current()
		if s.Version < seen || !bytes.Equal(s.Content, a.contents[s.Version]) {
			a.violated("follower is at version %d after %d, or has another content", s.Version, seen)
		}
		seen = s.Version
	}
}

func (r *race) run() string {
	var actors []*actor
	start := func(f func(a *actor)) {
		a := &actor{race: r, turn: make(chan bool), done: make(chan bool)}
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
		start(func(a *actor) { a.operate(fmt.Sprintf("operator%d", i)) })
	}
	f := [raceFollowers]*Follower{}
	for i := range f {
		start(func(a *actor) {
			f[i] = NewFollower(a)
			a.follow(f[i], f[0])
		})
	}
	for r.steps = 0; r.steps < raceSteps && r.violation == ""; r.steps++ {
		if r.chance(r.rates.outage) {
			r.down = !r.down
		}
		if len(r.delayed) > 0 && r.chance(20) {
			i := r.random.Intn(len(r.delayed))
			_ = r.apply(context.Background(), r.delayed[i]) // refused if the head has moved
			r.delayed = append(r.delayed[:i], r.delayed[i+1:]...)
		}
		a := actors[r.random.Intn(len(actors))]
		a.turn <- true
		<-a.done
	}
	r.stopped = true
	for _, a := range actors {
		close(a.turn)
		for range a.done {
		}
	}
	for _, t := range r.delayed {
		_ = r.apply(context.Background(), t)
	}
	r.checkTrail()
	return r.violation
}

// checkTrail compares the audit trail with what operators were told.
func (r *race) checkTrail() {
	records, err := New(r.table).History(context.Background(), 1<<30)
	if err != nil || uint64(len(records)) != r.head {
		r.violated("%d audit records for head %d: %v", len(records), r.head, err)
	}
	trail := map[string]uint64{}
	for _, record := range records {
		if _, twice := trail[record.ChangeID]; twice {
			r.violated("change %s took effect twice", record.ChangeID)
		}
		if r.refused[record.ChangeID] {
			r.violated("change %s was reported as lost, but took effect", record.ChangeID)
		}
		trail[record.ChangeID] = record.Version
	}
	for id, version := range r.accepted {
		if trail[id] != version {
			r.violated("accepted change %s of version %d is at %d in the trail", id, version, trail[id])
		}
	}
}

// Guards against a version that is reverted or overwritten, an accepted change
// that is lost, a change that takes effect twice, and a refused one that does so
// after all, while operators race under outages, lost answers and delayed writes.
func TestOperatorsRace(t *testing.T) {
	defer invariant.SetStrict(invariant.SetStrict(true))
	parameters := gopter.DefaultTestParametersWithSeed(raceSeed)
	parameters.MinSuccessfulTests = raceRuns
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	steps, versions, outcomes := 0, uint64(0), map[string]int{}
	properties.Property("accepted changes stay, once and in order", prop.ForAll(
		func(seed int64, outage, lost, delayed, giveUp int) string {
			r := &race{
				random: rand.New(rand.NewSource(seed)), table: standin.NewMemory(),
				rates:    faultRates{outage, lost, delayed, giveUp},
				contents: map[uint64][]byte{}, accepted: map[string]uint64{}, refused: map[string]bool{}, outcomes: outcomes,
			}
			violation := r.run()
			steps += r.steps
			versions += r.head
			return violation
		},
		gen.Int64(), gen.IntRange(0, 10), gen.IntRange(0, 50), gen.IntRange(0, 50), gen.IntRange(1, 60),
	))
	properties.TestingRun(t)
	t.Logf("%d steps, %d versions, outcomes %v", steps, versions, outcomes)
}
