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
	// unknownDistance is assumed for a data centre that the settings do not list.
	unknownDistance = 5 * time.Millisecond
	// refusalCost is the delay that a refused start counts for, in addition to the
	// round trip, because it wastes two messages.
	refusalCost = 100 * time.Millisecond
	// refusalDecayTime is the time constant over which recent starts and refusals
	// are counted. suspectRefusals and suspectRatio are the number and the share
	// of recent refusals at which credits become suspect, for suspectTime. Credits
	// younger than freshCreditAge do not.
	refusalDecayTime = 50 * time.Millisecond
	suspectRefusals  = 1.5
	suspectRatio     = 0.1
	suspectTime      = 1200 * time.Millisecond
	freshCreditAge   = 5 * time.Millisecond
	// ampleCredits is the number of credits of one upstream that shows that the
	// slots are not used up, and ends the suspicion of the others.
	ampleCredits = 4
	// suspectTryInterval is the time between two tries of a suspect upstream.
	suspectTryInterval = 300 * time.Millisecond
	// refusalWindow is the number of outcomes over which the refusal rate is taken.
	refusalWindow = 100
)

// group holds the upstreams of the same data centre, site and classes, by the
// number of credits.
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

	byLevel [levels][]*upstream
	// filledLevels has bit i set if level i has an upstream. Upstreams of level 0
	// are not in byLevel.
	filledLevels uint32
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

// allowed reports whether the settings let a site serve a class.
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
	if g.filledLevels != 0 {
		k.readyGroups++
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
	u.memberIndex = len(g.members)
	u.levelIndex = -1
	u.level = 0
	g.members = append(g.members, u)
	g.slots += u.Slots
}

func (s *Scheduler) leaveGroup(u *upstream) {
	g := u.group
	s.setLevel(u, 0)
	last := g.members[len(g.members)-1]
	g.members[u.memberIndex] = last
	last.memberIndex = u.memberIndex
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

// updateLevel sets the credit level of an upstream to the number of tasks that
// it may be sent. An ejected upstream gets only probes.
func (s *Scheduler) updateLevel(now time.Duration, u *upstream) {
	if u.removed {
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
	oldLevels := g.filledLevels
	if u.level > 0 {
		peers := g.byLevel[u.level]
		last := peers[len(peers)-1]
		peers[u.levelIndex] = last
		last.levelIndex = u.levelIndex
		g.byLevel[u.level] = peers[:len(peers)-1]
		if len(peers) == 1 {
			g.filledLevels &^= 1 << u.level
		}
	}
	s.credits += level - u.level
	g.credits += level - u.level
	u.level = level
	u.levelIndex = -1
	if level > 0 {
		u.levelIndex = len(g.byLevel[level])
		g.byLevel[level] = append(g.byLevel[level], u)
		g.filledLevels |= 1 << level
	}
	s.updateReady(g, oldLevels)
}

func (s *Scheduler) updateReady(g *group, oldLevels uint32) {
	if (oldLevels == 0) == (g.filledLevels == 0) {
		return
	}
	d := 1
	if g.filledLevels == 0 {
		d = -1
	}
	s.readyGroups += d
	for _, k := range g.classes {
		k.readyGroups += d
	}
}

// canStart reports whether some credit may start a task of the class.
func (s *Scheduler) canStart(k *class) bool {
	return k.readyGroups > 0 || s.probe != nil && slices.Contains(s.probe.group.classes, k)
}

// chooseUpstream returns the upstream for a task of a class, or nil if the
// credits that seemed usable have expired.
func (s *Scheduler) chooseUpstream(now time.Duration, k *class) *upstream {
	if u := s.probe; u != nil && slices.Contains(u.group.classes, k) {
		return u
	}
	for k.readyGroups > 0 {
		g := s.leastCostGroup(k)
		level := bits.Len32(g.filledLevels) - 1
		upstreams := g.byLevel[level]
		u := upstreams[s.rand.IntN(len(upstreams))]
		if u.usable(now) > 0 {
			return u
		}
		s.updateLevel(now, u)
	}
	return nil
}

// leastCostGroup returns the group with the least distance plus predicted wait.
// The wait comes from refused starts: the fewer credits an upstream has left,
// the more likely another owner has taken its last free slot.
func (s *Scheduler) leastCostGroup(k *class) *group {
	n := len(k.groups)
	var best *group
	var bestCost float64
	first := s.rand.IntN(n)
	for i := range n {
		g := k.groups[(first+i)%n]
		if g.filledLevels == 0 {
			continue
		}
		if s.disabled&Placement != 0 {
			return g
		}
		roundTrip, refusals := s.cost(g, bits.Len32(g.filledLevels)-1)
		if cost := roundTrip + refusals; best == nil || cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// cost returns the parts of the cost of a start in a group whose highest credit level is
// given: the round trip and the delay that is expected from refused starts.
func (s *Scheduler) cost(g *group, level int) (roundTrip, refusals float64) {
	roundTrip = float64(2 * g.distance)
	return roundTrip, s.refusalRate[level] * (roundTrip + float64(refusalCost))
}

// updateRefusalRate updates the share of refused starts at a credit level.
func (s *Scheduler) updateRefusalRate(level int, refused bool) {
	x := 0.0
	if refused {
		x = 1
	}
	s.refusalRate[level] += (x - s.refusalRate[level]) / refusalWindow
}

// recentStarts counts recent starts and refusals, with exponential decay.
type recentStarts struct {
	started, refused float64
	at               time.Duration
}

func (r *recentStarts) decay(now time.Duration) {
	if now == r.at {
		return
	}
	factor := math.Exp(-float64(now-r.at) / float64(refusalDecayTime))
	r.started *= factor
	r.refused *= factor
	r.at = now
}

// recordRefusal counts a refused start. If many of the recent starts were
// refused, another owner's burst has taken the slots that older credits stand
// for, so all credits that have not just arrived become suspect. A suspect credit
// is used again when its upstream is updated or suspectTime has passed; meanwhile
// the results of running tasks bring fresh credits.
func (s *Scheduler) recordRefusal(now time.Duration) {
	s.recent.decay(now)
	s.recent.refused++
	if s.disabled&StaleCredits != 0 || s.recent.refused < suspectRefusals || s.recent.refused < suspectRatio*s.recent.started {
		return
	}
	s.recent.refused = 0
	s.suspectUntil = now + suspectTime
	s.nextSuspectTry = now + suspectTryInterval
	for _, u := range s.upstreamList {
		if u.Credits > 0 && now-u.updated > freshCreditAge {
			u.suspect = true
			s.updateLevel(now, u)
		}
	}
}

// clearSuspects ends the suspicion of all credits at suspectUntil. Until then,
// while tasks wait and no other credit is left, it lets one suspect upstream be
// tried per suspectTryInterval.
func (s *Scheduler) clearSuspects(now time.Duration) {
	if s.suspectUntil == 0 {
		return
	}
	if now < s.suspectUntil {
		if s.readyGroups == 0 && now >= s.nextSuspectTry {
			s.nextSuspectTry = now + suspectTryInterval
			s.clearOneSuspect(now)
		}
		return
	}
	s.suspectUntil = 0
	for _, u := range s.upstreamList {
		if u.suspect {
			u.suspect = false
			s.updateLevel(now, u)
		}
	}
}

// clearOneSuspect ends the suspicion of the suspect upstream that may be sent
// the most tasks.
func (s *Scheduler) clearOneSuspect(now time.Duration) {
	var best *upstream
	for _, u := range s.upstreamList {
		if u.suspect && !u.ejected && (best == nil || u.usable(now) > best.usable(now)) {
			best = u
		}
	}
	if best != nil {
		best.suspect = false
		s.updateLevel(now, best)
	}
}
