package leasetest

import "time"

// slowness is a period in which a process handles its inputs ever later. Inputs of one
// connection are handled in order. The ticks of the process are on time.
type slowness struct {
	w          *world
	from, till time.Duration
	// worst bounds the delay.
	worst time.Duration
	// common is whether all inputs are delayed alike.
	common bool
	// shares are the shares of the delay that the inputs of connections get, lastAt the times
	// at which the last of them are handled.
	shares map[any]float64
	lastAt map[any]time.Duration
}

func (w *world) newSlowness() *slowness {
	return &slowness{w: w, from: w.now, till: w.now + w.between(300*time.Millisecond, 4*time.Second),
		worst: w.between(100*time.Millisecond, 3*time.Second), common: w.on(oneQueue), shares: map[any]float64{}, lastAt: map[any]time.Duration{}}
}

func (w *world) slowEntry() {
	e := w.anyEntry()
	if e.slow != nil && w.now < e.slow.till+e.slow.worst {
		return
	}
	e.slow = w.newSlowness()
	w.logf("entry %d is slow until %v, by %v at most", e.index, e.slow.till, e.slow.worst)
}

func (w *world) slowAgent() {
	a := w.anyAgent()
	if a.slow != nil && w.now < a.slow.till+a.slow.worst {
		return
	}
	a.slow = w.newSlowness()
	w.logf("agent %d is slow until %v, by %v at most", a.index, a.slow.till, a.slow.worst)
}

// delay returns how long an input waits. A nil key is that of an input in no order.
func (s *slowness) delay(key any) time.Duration {
	if s == nil {
		return 0
	}
	at := s.w.now
	if at < s.till {
		share := 1.0
		if !s.common {
			known := false
			if share, known = s.shares[key]; !known || key == nil {
				share = s.w.rng.Float64()
				s.shares[key] = share
			}
		}
		at += time.Duration(share * float64(min(s.worst, at-s.from))).Truncate(step)
	}
	if s.common {
		key = s
	}
	if key != nil {
		at = max(at, s.lastAt[key])
		s.lastAt[key] = at
	}
	return at - s.w.now
}
