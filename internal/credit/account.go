package credit

import "time"

// WantDelay is the time from which on waiting tasks are worth a Want: most wait
// for less, until a result brings a credit.
const WantDelay = 10 * time.Millisecond

// enoughRunning is the number of an entry's tasks on an upstream from which on
// their results bring its free slots soon enough without a Want.
const enoughRunning = 1

// Account is an entry's account of the credits of one upstream. The agent's
// count holds as of the start numbered seen; later starts are subtracted.
type Account struct {
	sent    uint64
	seen    uint64
	count   int
	running int
	// want is the number of slots asked for and not offered yet; asked is set
	// if the last credit was an answer to a want.
	want  int
	asked bool
}

// Relink starts the account anew on a new link, where the agent has seen starts
// up to the given number. Later ones were lost or will be refused, and their
// numbers are used again: the agent's credits would otherwise look old.
func (a *Account) Resync(seen uint64) {
	a.sent, a.seen = seen, seen
	a.want, a.asked = 0, false
}

// Apply notes a credit. It returns false if the credit is older than one that
// was noted before.
func (a *Account) Apply(count int, seen uint64) bool {
	if seen < a.seen {
		return false
	}
	a.sent = max(a.sent, seen)
	a.seen = seen
	a.count = count
	a.asked = a.want > 0
	a.want = max(0, a.want-count)
	return true
}

// Available returns the number of tasks that may be started now.
func (a *Account) Available() int { return max(0, a.count-int(a.sent-a.seen)) }

// Start notes a start and returns its sequence number.
func (a *Account) Start() uint64 {
	a.sent++
	a.running++
	a.want = 0
	return a.sent
}

// End notes the outcome of a start.
func (a *Account) End() { a.running = max(0, a.running-1) }

// Unused reports whether the credit that answered a want should be given back
// because nothing waits.
func (a *Account) ShouldReturn(waiting int) bool { return a.asked && a.Available() > 0 && waiting == 0 }

// Ask notes a Want. A count of 0 gives offered slots back.
func (a *Account) RecordWant(count int) {
	a.want = count
	if count == 0 {
		a.asked = false
	}
}

// Plan asks for the slots that are needed beyond those asked for already. demand
// returns the waiting tasks that account i's upstream could serve; ask is called
// with each count to send. It begins at the given account, so that entries do not
// all ask the same upstreams first.
func PlanWants(accounts []*Account, first int, demand func(i int) int, ask func(i, count int)) {
	asked := 0
	for _, a := range accounts {
		asked += a.want
	}
	for k := range accounts {
		i := (first + k) % len(accounts)
		a := accounts[i]
		if a.want > 0 || a.running >= enoughRunning {
			continue
		}
		need := demand(i) - asked
		if need <= 0 {
			continue
		}
		n := max(1, need/len(accounts))
		asked += n
		a.RecordWant(n)
		ask(i, n)
	}
}
