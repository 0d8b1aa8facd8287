package preemption

import (
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/fault"
)

const now = time.Hour

func enabled() Settings {
	s := DefaultSettings(50 * time.Millisecond)
	s.On = true
	return s
}

func newBudget(s Settings) *Budget {
	b := NewBudget(s)
	b.SetCapacity(64_000)
	return b
}

// urgentTask lacks 5 cores, has 200 ms of work on them and must start within 150 ms.
func urgentTask() Urgent {
	return Urgent{Priority: 1, CPU: 5000, MemMB: 10, StartBy: now + 150*time.Millisecond, Work: CoreTime(5000, 200*time.Millisecond)}
}

func young(age time.Duration) Run {
	return Run{Priority: 2, CPU: 5000, MemMB: 10, StartedAt: now - age, Expected: 900 * time.Millisecond, MayYield: true}
}

// Guards, one by one, against stops that help nobody, cost more than they gain or are not
// allowed.
func TestChoose(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		change   func(*Settings, *Urgent, []Run) []Run
		yielding []int
	}{
		"the youngest run":      {func(_ *Settings, _ *Urgent, r []Run) []Run { return r }, []int{1}},
		"off":                   {func(s *Settings, _ *Urgent, r []Run) []Run { s.On = false; return r }, nil},
		"on time if it waits":   {func(_ *Settings, _ *Urgent, r []Run) []Run { r[0].StartedAt = now - 800*ms; return r }, nil},
		"late in any case":      {func(_ *Settings, u *Urgent, r []Run) []Run { u.StartBy = now + 40*ms; return r }, nil},
		"of the same priority":  {func(_ *Settings, u *Urgent, r []Run) []Run { u.Priority = 2; return r }, nil},
		"entry does not allow":  {func(_ *Settings, _ *Urgent, r []Run) []Run { r[0].MayYield, r[1].MayYield = false, false; return r }, nil},
		"loss exceeds the gain": {func(_ *Settings, u *Urgent, r []Run) []Run { u.Work /= 4; return r }, nil},
		"too far": {func(_ *Settings, _ *Urgent, r []Run) []Run {
			r[0].StartedAt, r[1].StartedAt = now-140*ms, now-136*ms
			return r
		}, nil},
		"two runs for a large task":   {func(_ *Settings, u *Urgent, r []Run) []Run { u.CPU, u.Work = 9000, 2*u.Work; return r }, []int{1, 0}},
		"not enough for a larger one": {func(_ *Settings, u *Urgent, r []Run) []Run { u.CPU, u.Work = 11_000, 4*u.Work; return r }, nil},
		"memory is missing":           {func(_ *Settings, u *Urgent, r []Run) []Run { u.MemMB = 25; return r }, nil},
		"budget is used":              {func(s *Settings, _ *Urgent, r []Run) []Run { s.Budget = 0.0005; return r }, nil},
	} {
		s, u := enabled(), urgentTask()
		runs := c.change(&s, &u, []Run{young(60 * ms), young(30 * ms)})
		yielding, ok := Choose(now, u, runs, newBudget(s))
		if !slices.Equal(yielding, c.yielding) || ok != (c.yielding != nil) {
			t.Errorf("%s: %v %v, want %v", name, yielding, ok, c.yielding)
		}
	}
}

// Guards against a budget that allows more than its share of any window, or that a refused or
// corrected charge uses up for good.
func TestBudget(t *testing.T) {
	s := enabled()
	b := newBudget(s)
	limit := time.Duration(s.Budget * float64(CoreTime(64_000, BudgetWindow)))
	stops := 0
	for {
		_, ok := Choose(now, urgentTask(), []Run{young(30 * time.Millisecond)}, b)
		if !ok {
			break
		}
		stops++
	}
	if loss := CoreTime(5000, 55*time.Millisecond); stops != int(limit/loss) {
		t.Errorf("%d stops of %v, want as many as fit in %v", stops, loss, limit)
	}
	left := b.Left(now)
	b.Correct(now, -time.Second)
	if got := b.Left(now); got != left+time.Second {
		t.Errorf("%v left after a correction, want %v", got, left+time.Second)
	}
	if got := b.Left(now + BudgetWindow + time.Millisecond); got != limit {
		t.Errorf("%v left after the window, want %v", got, limit)
	}
	b.Correct(now, -time.Second)
	if got := b.Left(now + BudgetWindow + time.Millisecond); got != limit {
		t.Errorf("%v left after a correction of an old charge, want %v", got, limit)
	}
}

// Guards against a wait that ends with the first run although more capacity is missing, and
// against overdue runs that are taken for ending now.
func TestWait(t *testing.T) {
	runs := []Run{young(0), young(500 * time.Millisecond), young(2 * time.Second)}
	for _, c := range []struct {
		cpu  int
		want time.Duration
	}{{0, 0}, {5000, 225 * time.Millisecond}, {6000, 400 * time.Millisecond}, {15_000, 900 * time.Millisecond}} {
		if got := Wait(now, c.cpu, 0, runs); got != c.want {
			t.Errorf("wait for %d: %v, want %v", c.cpu, got, c.want)
		}
	}
}

// Guards against settings out of range that take effect.
func TestValidate(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"budget":    func(s *Settings) { s.Budget = 0.5 },
		"progress":  func(s *Settings) { s.MaxProgress = 0 },
		"stop time": func(s *Settings) { s.MaxStopTime = 0 },
	} {
		s := enabled()
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		change(&s)
		if err := s.Validate(); !errorx.IsOfType(err, fault.BadSettings) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// A decision with the runs of a large upstream.
func BenchmarkChoose(b *testing.B) {
	runs := make([]Run, 24)
	for i := range runs {
		runs[i] = young(time.Duration(i*7) * time.Millisecond)
	}
	u := urgentTask()
	budget := newBudget(enabled())
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := Choose(now, u, runs, budget); ok {
			budget.charges, budget.spent = budget.charges[:0], 0
		}
	}
}
