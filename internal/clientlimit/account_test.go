package clientlimit

import (
	"math/rand"
	"testing"
	"time"
)

const testListener = 0

func always(ID) bool { return true }

func testSettings(bytes int64) Settings {
	s := DefaultSettings(1)
	s.Bytes = bytes
	return s
}

// model plays clients and the I/O layer of an account.
type model struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	account *Account
	// phases holds what each client does; waits those that wait for memory, and aborted those
	// that have to release theirs.
	phases         map[ID]phase
	waits, aborted map[ID]bool
	// closed are the connections that the account has closed.
	closed map[ID]bool
	// detached is the memory that outlives its requests.
	detached []Detached
	heads    bool
}

func (m *model) drain() {
	for _, e := range m.account.TakeEffects() {
		switch e := e.(type) {
		case Close:
			if m.phases[e.ID] == whole {
				m.t.Fatalf("connection %d with a whole request is closed: %s", e.ID, e.Reason)
			}
			m.closed[e.ID], m.waits[e.ID] = true, false
		case Abort:
			if m.phases[e.ID] != body {
				m.t.Fatalf("request %d in phase %d is aborted: %s", e.ID, m.phases[e.ID], e.Reason)
			}
			m.aborted[e.ID], m.waits[e.ID] = true, false
		case Grant:
			if !m.waits[e.ID] {
				m.t.Fatalf("request %d gets memory and does not wait", e.ID)
			}
			m.waits[e.ID] = false
		}
	}
}

func (m *model) pick() ID {
	for id := range m.phases {
		return id
	}
	return 0
}

// leave removes a connection.
func (m *model) leave(id ID) {
	m.account.Closed(id)
	delete(m.phases, id)
	delete(m.waits, id)
	delete(m.aborted, id)
	delete(m.closed, id)
}

func (m *model) step() {
	m.now += time.Duration(m.rng.Intn(50)) * time.Millisecond
	id := m.pick()
	switch {
	case id == 0 || m.rng.Intn(8) == 0:
		if id, ok := m.account.Accept(m.now, testListener, func(ID) bool { return m.rng.Intn(2) == 0 }); ok {
			m.phases[id] = idle
		}
	case m.closed[id] || m.rng.Intn(40) == 0:
		m.leave(id)
	case m.aborted[id]:
		m.account.Answered(id)
		m.phases[id] = closing
		m.account.Closing(id)
		m.aborted[id] = false
	default:
		m.act(id)
	}
	if m.rng.Intn(20) == 0 {
		m.account.Expire(m.now, Timeouts{Head: time.Second, Body: 3 * time.Second, Idle: 5 * time.Second}, always)
	}
	m.drain()
}

// act lets a client do what comes next in its phase.
func (m *model) act(id ID) {
	switch m.phases[id] {
	case idle, head:
		m.phases[id] = head
		if m.heads && m.account.Head(m.now, id, 1+m.rng.Intn(4096)) == Refused {
			return
		}
		if m.rng.Intn(3) > 0 {
			hasBody := m.rng.Intn(5) > 0
			m.account.Begin(m.now, id, hasBody)
			m.phases[id] = whole
			if hasBody {
				m.phases[id] = body
			}
		}
	case body:
		if m.waits[id] {
			return
		}
		if m.rng.Intn(6) > 0 {
			m.waits[id] = m.account.Grow(m.now, id, 4096) == Wait
		} else if m.account.Finish(id) == Granted {
			m.phases[id] = whole
		}
	case whole:
		switch m.rng.Intn(4) {
		case 0, 1:
			m.account.Hold(id, int64(m.rng.Intn(200_000)))
			return
		case 2:
			m.detached = append(m.detached, m.account.Detach(id))
		}
		if n := len(m.detached); n > 0 && m.rng.Intn(2) == 0 {
			m.account.Release(m.detached[n-1])
			m.detached = m.detached[:n-1]
		}
		m.account.Answered(id)
		m.phases[id] = idle
		m.account.Idle(m.now, id)
	}
}

// check fails unless the sums are those of the connections and within the bounds.
func (m *model) check() {
	a := m.account
	var held, unfinished, leaving, wanted int64
	open := 0
	for _, c := range a.connections {
		held += c.held
		wanted += c.wants
		if c.phase < whole {
			unfinished += c.held
		}
		if c.aborted {
			leaving += c.held
		}
		if !c.closed {
			open++
		}
	}
	for _, d := range m.detached {
		held += d.bytes
	}
	if held != a.Held() || unfinished != a.unfinished || leaving != a.leaving || wanted != a.wanted {
		m.t.Fatalf("sums %d, %d, %d, %d, connections have %d, %d, %d, %d", a.Held(), a.unfinished, a.leaving, a.wanted, held, unfinished, leaving, wanted)
	}
	if held-leaving > a.settings.Bytes || !m.heads && held > a.settings.Bytes {
		m.t.Fatalf("%d bytes are held, %d of them for long, bound %d", held, held-leaving, a.settings.Bytes)
	}
	if open != a.open[testListener] || open > a.limits[testListener] {
		m.t.Fatalf("%d connections are open, counted %d, limit %d", open, a.open[testListener], a.limits[testListener])
	}
	for id, waits := range m.waits {
		if waits != (a.Waiting(id) == Wait) {
			m.t.Fatalf("request %d: waits %v, account says %v", id, waits, a.Waiting(id))
		}
	}
}

// Guards against sums above the bounds, memory that is not released, whole requests that are cut, and
// requests that wait for ever, in any order of events.
func TestRandomClientsStayWithinLimits(t *testing.T) {
	for seed := range int64(200) {
		m := &model{
			t: t, rng: rand.New(rand.NewSource(seed)), account: New(testSettings(MinBytes/2), 60), heads: seed%2 == 0,
			phases: map[ID]phase{}, waits: map[ID]bool{}, aborted: map[ID]bool{}, closed: map[ID]bool{},
		}
		for range 4000 {
			m.step()
			m.check()
		}
		for len(m.phases) > 0 {
			m.leave(m.pick())
			m.drain()
			m.check()
		}
		for len(m.detached) > 0 {
			m.account.Release(m.detached[0])
			m.detached = m.detached[1:]
			m.drain()
			m.check()
		}
		if a := m.account; a.Held() != 0 || a.Connections() != 0 || len(a.waiting) != 0 {
			t.Fatalf("seed %d: %d bytes, %d connections and %d waiting requests are left", seed, a.Held(), a.Connections(), len(a.waiting))
		}
	}
}

// begin opens a connection whose request has a body of n bytes so far.
func begin(t *testing.T, a *Account, now time.Duration, n int64) ID {
	t.Helper()
	id, ok := a.Accept(now, testListener, always)
	if !ok {
		t.Fatal("connection not accepted")
	}
	a.Begin(now, id, true)
	for range n / 4096 {
		if grow(a, now, id) == Refused {
			break
		}
	}
	return id
}

// grow adds a piece to a body. The requests that are aborted for it release their memory at once.
func grow(a *Account, now time.Duration, id ID) Verdict {
	verdict := a.Grow(now, id, 4096)
	for _, e := range a.TakeEffects() {
		if abort, ok := e.(Abort); ok {
			a.Answered(abort.ID)
		}
	}
	if verdict == Wait {
		return a.Waiting(id)
	}
	return verdict
}

// Guards against ordinary requests that give way to a crowd of large unfinished ones, or are refused
// because of it.
func TestSmallRequestIsServedBesideLargeUnfinishedOnes(t *testing.T) {
	a := New(testSettings(MinBytes), 1000)
	slow := begin(t, a, 0, 4096)
	for i := range 100 {
		begin(t, a, time.Duration(i)*time.Millisecond, 256<<10)
	}
	if a.Waiting(slow) != Granted {
		t.Error("a small unfinished request was aborted")
	}
	id := begin(t, a, time.Second, 0)
	if grow(a, time.Second, id) != Granted || a.Finish(id) != Granted || a.Hold(id, 20_000) != Granted {
		t.Error("an ordinary request was refused")
	}
	if a.Finish(slow) != Granted {
		t.Error("a slow ordinary request was refused")
	}
}

// Guards against large whole requests that take the memory of ordinary ones.
func TestSmallRequestIsServedBesideLargeWholeOnes(t *testing.T) {
	a := New(testSettings(MinBytes), 1000)
	refused := 0
	for range 100 {
		id := begin(t, a, 0, 200<<10)
		if a.Finish(id) == Refused || a.Hold(id, 200<<10) == Refused {
			refused++
			a.Answered(id)
		}
	}
	if refused == 0 {
		t.Error("no large request was refused")
	}
	id := begin(t, a, time.Second, 4096)
	if a.Finish(id) != Granted || a.Hold(id, 20_000) != Granted {
		t.Error("an ordinary request was refused")
	}
}

// Guards against jobs whose memory is free for others once their clients have an early answer.
func TestDetachedMemoryOutlivesItsConnection(t *testing.T) {
	a := New(testSettings(MinBytes), 1000)
	id := begin(t, a, 0, 4096)
	a.Finish(id)
	a.Hold(id, 300<<10)
	d := a.Detach(id)
	a.Answered(id)
	a.Closed(id)
	other := begin(t, a, 0, 4096)
	a.Finish(other)
	if a.Held() < 300<<10 || a.Hold(other, 300<<10) != Refused {
		t.Errorf("%d bytes are held after the connection has closed", a.Held())
	}
	a.Release(d)
	if a.Hold(other, 300<<10) != Granted {
		t.Error("memory is held after its release")
	}
}

// Guards against a request that is kept because it sends a byte now and then.
func TestRequestWithoutProgressGivesWayFirst(t *testing.T) {
	a := New(testSettings(MinBytes), 1000)
	stalled := begin(t, a, 0, 256<<10)
	active := begin(t, a, 0, 256<<10)
	grow(a, time.Second, active)
	begin(t, a, time.Second, 400<<10)
	if a.Waiting(stalled) != Refused || a.Waiting(active) == Refused {
		t.Errorf("verdicts: without progress %v, with progress %v", a.Waiting(stalled), a.Waiting(active))
	}
}

// Guards against a limit of connections that closes those with whole requests or with unread bytes.
func TestOldestConnectionWithoutRequestIsClosed(t *testing.T) {
	a := New(testSettings(MinBytes), 3)
	served := begin(t, a, 0, 0)
	a.Finish(served)
	unread, _ := a.Accept(1, testListener, always)
	silent, _ := a.Accept(2, testListener, always)
	if _, ok := a.Accept(3, testListener, func(id ID) bool { return id != unread }); !ok {
		t.Fatal("not accepted")
	}
	if effects := a.TakeEffects(); len(effects) != 1 || effects[0] != (Close{ID: silent, Reason: ReasonConnections}) {
		t.Errorf("effects %v", effects)
	}
}

// Guards against defaults with which ordinary load of the smallest host would be refused.
func TestDefaultsCoverOrdinaryLoad(t *testing.T) {
	const smallestHost, descriptors = 144 << 20, 3075
	if n := DefaultConnections(smallestHost, descriptors); n < 1400 {
		t.Errorf("%d connections", n)
	}
	s := DefaultSettings(smallestHost)
	if err := s.Validate(); err != nil {
		t.Error(err)
	}
	if s.Bytes < 20<<20 {
		t.Errorf("%d bytes", s.Bytes)
	}
}
