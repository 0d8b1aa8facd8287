// Package locality decides whether a task that runs faster on one rack waits for capacity
// there or runs elsewhere at once. It handles loads in which tasks name the rack that holds
// their data: from even demand near the capacity, where off-rack runs waste capacity, to hot
// spots, where most tasks name one rack and waiting for it only costs time.
//
// The package has no clock, network or random source.
package locality

import (
	"math"
	"time"
)

// DefaultMaxWait is the default of Settings.MaxWait. Waiting is mainly bounded by the job's
// slack; this bound is for queues whose slack is long. It exceeds what an off-rack run of a
// task of a second costs more at a factor of 2.
const DefaultMaxWait = 1500 * time.Millisecond

// MoveTime is the longest time from the end of a task's wait for its rack to its assignment off
// the rack: the interval of ticks (20 ms), a round trip and the agents' work.
const MoveTime = 25 * time.Millisecond

// Settings bound the wait for a rack.
type Settings struct {
	// MaxWait is the longest time that a task waits for capacity of its rack while other
	// capacity is free. 0 disables the part: the factor of off-rack runs then only counts as
	// a penalty.
	MaxWait time.Duration
	// Decide replaces the function Decide if it is set. Measurements use it for baselines.
	Decide func(Input) Decision
}

// Enabled reports whether tasks may wait for their rack.
func (s *Settings) Enabled() bool { return s.MaxWait > 0 }

// choose applies the decision function in force.
func (s *Settings) choose(in Input) Decision {
	if s.Decide != nil {
		return s.Decide(in)
	}
	return Decide(in)
}

// Option is the best upstream on the rack, or off it.
type Option struct {
	// Usable is whether there is an upstream that may run the task.
	Usable bool
	// Wait is the predicted time until the task starts there, Run the expected run time.
	Wait, Run time.Duration
	// Penalty is what speaks against the upstream besides, as time.
	Penalty time.Duration
}

// Cost returns the expected time until the end, with penalties.
func (o Option) Cost() time.Duration { return o.Wait + o.Run + o.Penalty }

// Input is what a decision depends on.
type Input struct {
	Now time.Duration
	// Near is the best upstream on the preferred rack, Far the best one off it.
	Near, Far Option
	// Release is the predicted time until capacity of the rack becomes free for a task that
	// is held, after what waits there already; negative if unknown.
	Release time.Duration
	// Left is the longest predicted wait with which the job is accepted, Within the time in
	// which the task has to end so that its job is on time. At admission, Left is a part of the
	// slack only, so it does not tell whether a run ends on time.
	Left, Within time.Duration
	// MoveTime is the longest time from the end of a wait for the rack to the start elsewhere. A
	// run off the rack that has less to spare counts as late: the estimates are off by as much.
	MoveTime time.Duration
	// JobEnd is the time until the last other task of the job is expected to end; a task
	// that ends earlier gains nothing for its job.
	JobEnd time.Duration
	// ShareForAll is the part of the gain on the rack that is not a loss of a later task.
	ShareForAll float64
	// Expected is the task's run time on a healthy upstream of the rack, MeanRun the mean of
	// this for the recent tasks that prefer the rack; 0 if unknown.
	Expected, MeanRun time.Duration
	// NearLoad is the share of the rack's capacity in use of late.
	NearLoad float64
	// Price is the time that other tasks lose per unit of run time that is taken from the
	// capacity in addition.
	Price float64
	// MaxWait bounds the wait from now on, HoldUntil a hold. HoldUntil is 0 if the task is
	// not held yet.
	MaxWait, HoldUntil time.Duration
	// Together is the number of tasks that start together; 0 means 1.
	Together int
}

// Action is what happens to a task.
type Action uint8

// Actions.
const (
	// Unplaceable: no upstream can take the task.
	Unplaceable Action = iota
	// NearNow: the task starts on its rack.
	NearNow
	// QueueNear: the task waits at an upstream of its rack.
	QueueNear
	// Hold: the task waits at the entry until Decision.Until, and is decided again on each
	// report of an upstream of the rack.
	Hold
	// Far: the task goes to an upstream off its rack.
	Far
)

const (
	// ownWeight times the free share of the rack is the part of a task's own gain that the
	// predicted wait may take. The wait in vain of a task is lost in addition to its longer run,
	// and is likelier the fuller the rack. With the whole gain at any load the 99th percentile
	// of the job's time was above that of never waiting at loads of 70 and 80% and a factor of
	// 1.5; with a quarter it was above that of a fixed wait at 60%.
	ownWeight = 2
	// priceWeight is the weight of the time that other tasks lose. A task that waits delays
	// its whole job. With 2 the mean was 0.03 to 0.06 worse at loads of 90 and 95%, with 8
	// the 99th percentile was worse at 80%.
	priceWeight = 4
	// fairExponent ends the least wait of long tasks where the rack has no room for most.
	// Without such a wait, a queue of long tasks got 76% of its tasks on the rack and another
	// 97%. With an exponent of 2, the mean at a hot spot and a factor of 2 was 1.426, above the
	// 1.415 of never waiting; with 3 it was 1.413.
	fairExponent = 3
)

// Reasons of decisions.
const (
	ReasonNoUpstream  = "no-upstream"
	ReasonRackGone    = "rack-unavailable"
	ReasonOnlyRack    = "only-rack"
	ReasonRackFree    = "rack-free"
	ReasonRackSlow    = "rack-slower"
	ReasonWaitPays    = "wait-pays"
	ReasonOnlyOnTime  = "on-time-only-on-rack"
	ReasonReleaseSoon = "release-soon"
	ReasonWaitTooLong = "wait-too-long"
	ReasonAllBusy     = "all-busy"
	ReasonHoldOver    = "hold-over"
)

// Decision is the decision for a task.
type Decision struct {
	Action Action
	Reason string
	// Until ends a hold, or is the time from which a task that waits at an upstream of the
	// rack moves to free capacity off it; 0 means at once.
	Until time.Duration
	// MaxWait is the longest wait for the rack that pays off, from Input.Now.
	MaxWait time.Duration
	// Release is the predicted end of a hold.
	Release time.Duration
	// Wait is the predicted wait of a task that waits at an upstream of the rack. It differs
	// from that of the upstream, because the task moves to the first one that becomes free.
	Wait time.Duration
}

// shareForAll returns the part of the task's gain on the rack that is a gain for all tasks
// together. ShareForAll holds for a task of mean length. A longer one takes the rack's capacity
// from more than one later task, each of which loses as large a part of its own time. Without
// this, waits grow with the run time, and at a hot spot the rack goes to a few long tasks. Where
// most tasks find room, a long task may wait as long as one of mean length, so that its queue
// gets a share of the rack.
func (in *Input) shareForAll() float64 {
	length := float64(in.Expected) / float64(max(in.MeanRun, 1))
	if in.MeanRun <= 0 || length <= 1 {
		return in.ShareForAll
	}
	return max(math.Pow(in.ShareForAll, fairExponent)/length, in.ShareForAll-(1-in.ShareForAll)*(length-1))
}

// Decide compares a wait for the rack with a run off it now.
//
// The wait pays off while the task still ends before it would off the rack, where the time
// that the longer run takes from other tasks (Price) counts as well. Of this gain, only
// ShareForAll is one for all tasks together. At a hot spot it is near 0, so that the surplus
// goes elsewhere without a wait.
func Decide(in Input) Decision {
	near, far := in.Near, in.Far
	switch {
	case !near.Usable && !far.Usable:
		return Decision{Action: Unplaceable, Reason: ReasonNoUpstream}
	case !near.Usable:
		return Decision{Action: Far, Reason: ReasonRackGone}
	case near.Wait == 0 && (!far.Usable || near.Cost() <= far.Cost()):
		return Decision{Action: NearNow, Reason: ReasonRackFree}
	case !far.Usable:
		// Whether a wait pays off is decided once there is other capacity.
		return Decision{Action: QueueNear, Reason: ReasonOnlyRack}
	}
	longer := far.Run - near.Run
	// nearLeft and farLeft are how long the task may wait and then still end on time on the rack,
	// and off it after a move.
	nearLeft, farLeft := in.Within-near.Run-near.Penalty, in.Within-far.Cost()-in.MoveTime
	most := min(in.MaxWait, max(in.Left, 0))
	if farLeft >= 0 {
		most = min(most, farLeft)
	}
	if far.Wait > 0 {
		// Capacity comes free on both sides, so the earlier end counts, not what a wait takes
		// from others.
		if near.Cost() > far.Cost() {
			return Decision{Action: Far, Reason: ReasonWaitTooLong}
		}
		if in.Left <= 0 {
			most = in.MaxWait
		}
		return Decision{Action: QueueNear, Reason: ReasonAllBusy, Until: in.Now + most, MaxWait: most}
	}
	end := max(far.Run+far.Penalty, in.JobEnd)
	own := float64(end - near.Run - near.Penalty)
	// others is what the longer run would take from other tasks.
	others := priceWeight * in.Price * float64(longer)
	if own <= 0 {
		return Decision{Action: Far, Reason: ReasonRackSlow}
	}
	pays, reason := time.Duration(in.shareForAll()*(ownWeight*(1-in.NearLoad)*own+others)), ReasonWaitPays
	if onTime := min(in.Left, nearLeft); farLeft < 0 && pays < onTime {
		pays, reason = onTime, ReasonOnlyOnTime
	}
	pays = min(pays, most)
	if near.Wait <= pays {
		// A task that has begun to wait does so for its whole gain: most waits end soon, and
		// those given up are lost.
		until := min(max(pays, time.Duration(in.ShareForAll*(own+others))), most)
		return Decision{Action: QueueNear, Reason: reason, Until: in.Now + until, MaxWait: pays}
	}
	release := in.Release * time.Duration(max(in.Together, 1))
	until := in.Now + pays
	why := ReasonWaitTooLong
	if in.HoldUntil > 0 {
		until, why = min(until, in.HoldUntil), ReasonHoldOver
	}
	if farLeft >= 0 && release >= 0 && release <= pays && until > in.Now {
		return Decision{Action: Hold, Reason: ReasonReleaseSoon, Until: until, MaxWait: pays, Release: release}
	}
	return Decision{Action: Far, Reason: why, MaxWait: pays}
}
