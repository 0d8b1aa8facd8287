package credit

import "time"

// WantDelay is the waiting time from which tasks justify a Want: most tasks wait
// less, until a result brings a credit.
const WantDelay = 10 * time.Millisecond

// enoughRunning is the number of an entry's tasks on an upstream from which their
// results bring its free slots soon enough without a Want.
const enoughRunning = 1

// Account is an entry's account of the credits of one upstream. The agent's
// count is valid as of the start numbered lastSeq; later starts, up to sentSeq,
// are subtracted.
type Account struct {
	sentSeq uint64
	lastSeq uint64
	count   int
	running int
	// want is the number of slots asked for and not offered yet; asked is set if
	// the last credit was an answer to a Want.
	want  int
	asked bool
}

// Resync resets the sequence numbers on a new link, where the agent has received
// starts up to the given number. Later ones were lost or will be refused, and
// their numbers are used again: the agent's credits would otherwise look old.
func (a *Account) Resync(lastSeq uint64) {
	a.sentSeq, a.lastSeq = lastSeq, lastSeq
	a.want, a.asked = 0, false
}

// Apply records a credit. It returns false if the credit is older than one that
// was recorded before.
func (a *Account) Apply(count int, lastSeq uint64) bool {
	if lastSeq < a.lastSeq {
		return false
	}
	a.sentSeq = max(a.sentSeq, lastSeq)
	a.lastSeq = lastSeq
	a.count = count
	a.asked = a.want > 0
	a.want = max(0, a.want-count)
	return true
}

// Available returns the number of tasks that may be started now.
func (a *Account) Available() int { return max(0, a.count-int(a.sentSeq-a.lastSeq)) }

// Start records a start and returns its sequence number.
func (a *Account) Start() uint64 {
	a.sentSeq++
	a.running++
	a.want = 0
	return a.sentSeq
}

// End records the outcome of a start.
func (a *Account) End() { a.running = max(0, a.running-1) }

// ShouldReturn reports whether the credit that answered a Want should be returned
// because no task waits.
func (a *Account) ShouldReturn(waiting int) bool { return a.asked && a.Available() > 0 && waiting == 0 }

// Wanting reports whether the agent may hold slots for a Want of this account.
func (a *Account) Wanting() bool { return a.want > 0 || a.asked }

// RecordWant records that a Want is sent. A count of 0 returns offered slots.
func (a *Account) RecordWant(count int) {
	a.want = count
	if count == 0 {
		a.asked = false
	}
}

// PlanWants asks for the slots that are needed beyond those already asked for.
// demand returns the number of waiting tasks that account i's upstream could
// serve; ask is called with each count to send. It begins at the given account,
// so that entries do not all ask the same upstreams first.
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
