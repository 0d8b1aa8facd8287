package dispatch

import (
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// levels is the number of credit levels; more credits count as the last.
	levels = 32
	// unknownDistance is assumed of a data centre that the settings lack.
	unknownDistance = 5 * time.Millisecond
	// refusalCost is the delay that a refused start is worth beside the round
	// trip, for its two wasted messages.
	refusalCost = 100 * time.Millisecond
	// stormTime is the time constant over which recent starts and refusals are
	// counted. stormRefusals and stormRatio are the number and the share of
	// recent refusals at which credits become suspect, for suspectTime. Credits
	// younger than freshTime do not.
	stormTime     = 50 * time.Millisecond
	stormRefusals = 1.5
	stormRatio    = 0.1
	suspectTime   = 1200 * time.Millisecond
	freshTime     = 5 * time.Millisecond
	// calmCredits is the number of credits of one upstream that shows that the
	// slots are not used up, and ends the suspicion of the others.
	calmCredits = 4
	// tryTime is the time between two tries of a suspect upstream.
	tryTime = 300 * time.Millisecond
	// refusalMemory is the number of outcomes over which refusals are counted.
	refusalMemory = 100
)

// group holds the upstreams that are alike in data centre, site and classes,
// by the number of credits.
type group struct {
	key        string
	dataCentre string
	site       string
	serves     []string
	// classes are the classes that the group serves and the settings allow.
	classes  []*class
	members  []*upstream
	distance time.Duration
	slots    int
	// credits is the sum of the levels of the members.
	credits int

	level [levels][]*upstream
	// filled has bit i set if level i has an upstream. Level 0 is not kept.
	filled uint32
}

func (s *Scheduler) distance(dataCentre string) time.Duration {
	if d, ok := s.settings.Distance[dataCentre]; ok {
		return d
	}
	if dataCentre == s.settings.DataCentre {
		return 0
	}
	return unknownDistance
}

// allowed is whether the settings let a site serve a class.
func (s *Scheduler) allowed(k *class, site string) bool {
	sites := s.settings.Classes[k.name].Sites
	return len(sites) == 0 || slices.Contains(sites, site)
}

func groupKey(u *Upstream) string {
	return u.DataCentre + "\x00" + u.Site + "\x00" + strings.Join(u.Classes, "\x00")
}

func (s *Scheduler) groupOf(u *Upstream) *group {
	key := groupKey(u)
	if g, ok := s.groups[key]; ok {
		return g
	}
	g := &group{
		key:        key,
		dataCentre: u.DataCentre,
		site:       u.Site,
		serves:     slices.Clone(u.Classes),
		distance:   s.distance(u.DataCentre),
	}
	s.groups[key] = g
	s.groupList = append(s.groupList, g)
	for _, name := range g.serves {
		s.link(s.class(name), g)
	}
	return g
}

// link makes a group a candidate for a class.
func (s *Scheduler) link(k *class, g *group) {
	if !s.allowed(k, g.site) || slices.Contains(g.classes, k) {
		return
	}
	g.classes = append(g.classes, k)
	k.groups = append(k.groups, g)
	if g.filled != 0 {
		k.ready++
	}
}

// linkClass links a class that was first seen in a task.
func (s *Scheduler) linkClass(k *class) {
	for _, g := range s.groupList {
		if slices.Contains(g.serves, k.name) {
			s.link(k, g)
		}
	}
}

func (g *group) join(u *upstream) {
	u.group = g
	u.member = len(g.members)
	u.pos = -1
	u.level = 0
	g.members = append(g.members, u)
	g.slots += u.Slots
}

func (s *Scheduler) quit(u *upstream) {
	g := u.group
	s.setLevel(u, 0)
	last := g.members[len(g.members)-1]
	g.members[u.member] = last
	last.member = u.member
	g.members = g.members[:len(g.members)-1]
	if !u.ejected {
		g.slots -= u.Slots
	}
	if len(g.members) == 0 {
		s.removeGroup(g)
	}
}

func (s *Scheduler) removeGroup(g *group) {
	same := func(x *group) bool { return x == g }
	for _, k := range g.classes {
		k.groups = slices.DeleteFunc(k.groups, same)
	}
	s.groupList = slices.DeleteFunc(s.groupList, same)
	delete(s.groups, g.key)
}

// rank files an upstream under the number of tasks that it may be sent. An
// ejected upstream gets only probes.
func (s *Scheduler) rank(now time.Duration, u *upstream) {
	if u.gone {
		return
	}
	level := 0
	if !u.ejected && !u.suspect {
		level = min(u.usable(now), levels-1)
	}
	s.setLevel(u, level)
}

func (s *Scheduler) setLevel(u *upstream, level int) {
	if level == u.level {
		return
	}
	g := u.group
	was := g.filled
	if u.level > 0 {
		at := g.level[u.level]
		last := at[len(at)-1]
		at[u.pos] = last
		last.pos = u.pos
		g.level[u.level] = at[:len(at)-1]
		if len(at) == 1 {
			g.filled &^= 1 << u.level
		}
	}
	s.credits += level - u.level
	g.credits += level - u.level
	u.level = level
	u.pos = -1
	if level > 0 {
		u.pos = len(g.level[level])
		g.level[level] = append(g.level[level], u)
		g.filled |= 1 << level
	}
	s.noteReady(g, was)
}

func (s *Scheduler) noteReady(g *group, was uint32) {
	if (was == 0) == (g.filled == 0) {
		return
	}
	d := 1
	if g.filled == 0 {
		d = -1
	}
	s.ready += d
	for _, k := range g.classes {
		k.ready += d
	}
}

// startable is whether some credit may start a task of the class.
func (s *Scheduler) startable(k *class) bool {
	return k.ready > 0 || s.probe != nil && slices.Contains(s.probe.group.classes, k)
}

// choose returns the upstream for a task of a class, or nil if the credits that
// seemed usable have expired.
func (s *Scheduler) choose(now time.Duration, k *class) *upstream {
	if u := s.probe; u != nil && slices.Contains(u.group.classes, k) {
		return u
	}
	for k.ready > 0 {
		g := s.nearest(k)
		top := bits.Len32(g.filled) - 1
		at := g.level[top]
		u := at[s.rand.IntN(len(at))]
		if u.usable(now) > 0 {
			return u
		}
		s.rank(now, u)
	}
	return nil
}

// nearest returns the group with the least distance plus predicted wait. The
// wait comes from refused starts: the fewer credits an upstream has left, the
// more likely another owner has taken its last free slot.
func (s *Scheduler) nearest(k *class) *group {
	n := len(k.groups)
	var best *group
	var bestCost float64
	first := s.rand.IntN(n)
	for i := range n {
		g := k.groups[(first+i)%n]
		if g.filled == 0 {
			continue
		}
		if s.without&Placement != 0 {
			return g
		}
		trip := float64(2 * g.distance)
		refused := s.refused[bits.Len32(g.filled)-1]
		cost := trip + refused*(trip+float64(refusalCost))
		if best == nil || cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// noteRefusal learns how often a start is refused at a credit level.
func (s *Scheduler) noteRefusal(level int, refused bool) {
	x := 0.0
	if refused {
		x = 1
	}
	s.refused[level] += (x - s.refused[level]) / refusalMemory
}

// recent counts the starts and refusals of the last moments, with decay.
type recent struct {
	started, refused float64
	at               time.Duration
}

func (r *recent) decay(now time.Duration) {
	if now == r.at {
		return
	}
	keep := math.Exp(-float64(now-r.at) / float64(stormTime))
	r.started *= keep
	r.refused *= keep
	r.at = now
}

// noteStorm looks at a refusal. If many of the recent starts were refused,
// another owner's burst has taken the slots that older credits promise, so all
// credits that have not just arrived become suspect. A suspect credit is used
// again when its upstream is updated or suspectTime has passed; meanwhile the
// results of running tasks bring fresh credits.
func (s *Scheduler) noteStorm(now time.Duration) {
	s.recent.decay(now)
	s.recent.refused++
	if s.without&StaleCredits != 0 || s.recent.refused < stormRefusals || s.recent.refused < stormRatio*s.recent.started {
		return
	}
	s.recent.refused = 0
	s.suspectUntil = now + suspectTime
	s.trySuspect = now + tryTime
	for _, u := range s.upstreamList {
		if u.Credits > 0 && now-u.updated > freshTime {
			u.suspect = true
			s.rank(now, u)
		}
	}
}

// trust ends the suspicion of all credits when its time has passed. Until then,
// while tasks wait and no other credit is left, it tries one suspect upstream
// at a time.
func (s *Scheduler) trust(now time.Duration) {
	if s.suspectUntil == 0 {
		return
	}
	if now < s.suspectUntil {
		if s.ready == 0 && now >= s.trySuspect {
			s.trySuspect = now + tryTime
			s.trustOne(now)
		}
		return
	}
	s.suspectUntil = 0
	for _, u := range s.upstreamList {
		if u.suspect {
			u.suspect = false
			s.rank(now, u)
		}
	}
}

// trustOne ends the suspicion of the upstream with the most credits.
func (s *Scheduler) trustOne(now time.Duration) {
	var best *upstream
	for _, u := range s.upstreamList {
		if u.suspect && !u.ejected && (best == nil || u.usable(now) > best.usable(now)) {
			best = u
		}
	}
	if best != nil {
		best.suspect = false
		s.rank(now, best)
	}
}
