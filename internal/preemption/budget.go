package preemption

import "time"

// BudgetWindow is the time over which the budget holds. It is a few times the longest usual
// run, so that a burst of urgent work cannot use the budget of minutes at once.
const BudgetWindow = 5 * time.Second

// Budget bounds the core time that is discarded on one upstream, over a sliding window.
type Budget struct {
	settings Settings
	// capacity is the upstream's size in thousandths of a core.
	capacity int
	charges  []charge
	spent    time.Duration
}

type charge struct {
	at, coreTime time.Duration
}

// NewBudget returns an unused budget. A capacity of 0 allows nothing.
func NewBudget(s Settings) *Budget { return &Budget{settings: s} }

// SetCapacity sets the upstream's size in thousandths of a core.
func (b *Budget) SetCapacity(cpu int) { b.capacity = max(cpu, 0) }

// Charge counts core time that is discarded.
func (b *Budget) Charge(now, coreTime time.Duration) {
	b.charges = append(b.charges, charge{at: now, coreTime: coreTime})
	b.spent += coreTime
}

// Correct adds the difference between what was discarded and what was charged for it at the
// given time.
func (b *Budget) Correct(chargedAt, difference time.Duration) {
	for i := range b.charges {
		if b.charges[i].at == chargedAt {
			b.charges[i].coreTime += difference
			b.spent += difference
			return
		}
	}
}

// Left returns the core time that may be discarded now.
func (b *Budget) Left(now time.Duration) time.Duration {
	n := 0
	for n < len(b.charges) && now-b.charges[n].at > BudgetWindow {
		b.spent -= b.charges[n].coreTime
		n++
	}
	b.charges = b.charges[n:]
	return time.Duration(b.settings.Budget*float64(CoreTime(b.capacity, BudgetWindow))) - b.spent
}
