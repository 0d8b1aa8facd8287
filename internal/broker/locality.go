package broker

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/locality"
	"github.com/damasklb/damasklb/internal/placement"
)

// A task that prefers a rack may wait for it: at an agent of the rack, or held by the entry
// among the unplaced tasks. A held task reserves nothing, and is decided again on each report
// of an agent of its rack and on the tick.

// maxRedecisions bounds the held tasks that are decided again on a tick before their hold is
// over. Reports of their rack decide them anyway.
const maxRedecisions = 16

func (a *agent) onRack(rack string) bool { return slices.Contains(a.View.Load.Labels, rack) }

// option is an agent on which a task could run, and rackOptions are the best ones on a task's rack
// and off it.
type (
	option      = locality.Choice[*agent]
	rackOptions = locality.Sides[*agent]
)

// rackOptions returns the best agents on the task's rack and off it.
func (b *Broker) rackOptions(now time.Duration, t *task) (r rackOptions) {
	b.racks.LearnFactor(t.rack)
	within := t.job.timeLeft(now)
	for _, a := range b.agentList {
		c, excluded := b.assess(now, a, t)
		if excluded != "" {
			continue
		}
		c.Random = time.Duration(b.random.Int63n(int64(placement.SpreadJitter)))
		r.Prefer(a.onRack(t.spec.PreferredRack), a, c, within)
	}
	return r
}

// rackInput returns what the decision about a task depends on, beside what was learned.
func (b *Broker) rackInput(now time.Duration, t *task, r rackOptions) locality.Input {
	in := r.Input()
	in.Now, in.Left, in.JobEnd = now, b.waitLeft(now, t), t.job.endOfOthers(now, t)
	in.Within, in.Expected = t.job.timeLeft(now), t.expected
	return in
}

// choose returns the agent for a task, or nil. hold is set if the task is to be held for its
// rack.
func (b *Broker) choose(now time.Duration, t *task) (best *agent, chosen placement.Candidate, hold bool) {
	if t.rack == nil {
		best, chosen = b.chooseAgent(now, t)
		return best, chosen, false
	}
	r := b.rackOptions(now, t)
	o, hold := r.Chosen(b.racks.Choose(t.rack, b.rackInput(now, t, r), b.heldCPU(t)))
	return o.Agent, o.Scored, hold
}

// waitLeft returns how long a wait may be predicted for the task with its job accepted.
func (b *Broker) waitLeft(now time.Duration, t *task) time.Duration {
	j := t.job
	share := 1.0
	if !j.started && !t.acceptedToWait {
		// A longer predicted wait leads to a refusal at admission.
		share = maxWaitShare
	}
	return j.arrived + time.Duration(share*float64(j.slack())) - now
}

// endOfOthers returns the time until the last other task of the job is expected to end.
func (j *job) endOfOthers(now time.Duration, t *task) time.Duration {
	end := now
	for _, o := range j.tasks {
		if o != t && !o.done && o.rack != nil {
			end = max(end, o.rack.EndAt)
		}
	}
	return end - now
}

// heldCPU returns the size of the tasks that are held for the task's rack before it.
func (b *Broker) heldCPU(t *task) int {
	sum := 0
	for o := range b.unplaced.all() {
		if o == t {
			break
		}
		if o.rack.Held() && o.rack.Key == t.rack.Key {
			sum += o.spec.CPU
		}
	}
	return sum
}

// hold adds a task to those that are held for their rack.
func (b *Broker) hold(now time.Duration, t *task) {
	b.retainTask(now, t)
	t.acceptedToWait = true
	if p := b.racks.Hold(now, t.rack); p != nil {
		d := t.rack.Decision
		b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Action: "hold", Reason: d.Reason, Wait: d.Until - now, Rack: p})
	}
}

// rackReported decides the tasks again that are held for the rack of an agent with a new
// report, the most urgent first and then in the order of their arrival.
func (b *Broker) rackReported(now time.Duration, a *agent) {
	if len(b.racks.Keys()) == 0 || !a.Usable(now, &b.settings.Limits) {
		return
	}
	defer b.moveToFreeRackmate(now, a)
	var waiting []*task
	for t := range b.unplaced.all() {
		if t.rack.Held() && a.onRack(t.rack.Key.Rack) {
			waiting = append(waiting, t)
		}
	}
	slices.SortStableFunc(waiting, func(x, y *task) int {
		return cmp.Compare(x.job.sub.Queue.Priority, y.job.sub.Queue.Priority)
	})
	for _, t := range waiting {
		if t.unplaced && !t.job.closing && a.View.Wait(t.demand()) == 0 {
			b.place(now, t)
		}
	}
}

// minQueued is the time that a task waits at an agent before it may move to another one of
// its rack: a round trip and the agent's work.
const minQueued = 5 * time.Millisecond

// moveToFreeRackmate withdraws tasks that wait at other agents of the rack for an agent with a
// new report, as many as it has free capacity for. They are placed again, and wait together for
// all agents of the rack in this way.
func (b *Broker) moveToFreeRackmate(now time.Duration, a *agent) {
	free, _, _ := a.View.Free(0)
	if free <= 0 || a.View.Load.Stuck {
		return
	}
	for _, o := range b.agentList {
		for t := range o.tasks.all() {
			if o == a || t.rack == nil || !t.rack.Queued() || t.started || t.withdrawn || t.job.closing ||
				now-t.assignedAt < minQueued || t.spec.CPU > free || !a.onRack(t.rack.Key.Rack) {
				continue
			}
			// An upstream that the next placement would not choose takes the task's turn at its
			// present one for nothing, on each report.
			if c, excluded := b.assess(now, a, t); excluded != "" || c.Wait > 0 || !c.Better(b.candidate(o, t), t.job.timeLeft(now)) {
				continue
			}
			free -= t.spec.CPU
			b.withdrawRacked(now, t, a, "rack-free")
		}
	}
}

// observeRacks renews what is known of the racks that tasks have named.
func (b *Broker) observeRacks(now time.Duration) {
	b.racks.Forget(now)
	if len(b.racks.Keys()) == 0 {
		return
	}
	var fleet locality.Fleet
	for _, a := range b.agentList {
		if a.Usable(now, &b.settings.Limits) {
			free, _, _ := a.View.Free(0)
			fleet.Add(a.Service, a.View.Load.Labels, a.View.Load.CapacityCPU, free)
		}
	}
	b.racks.ObserveAll(now, &fleet)
}

// placeHeld reports whether a held task is to be decided again on a tick: its hold is over,
// its rack has no usable agent left, or few others were decided on this tick.
func (b *Broker) placeHeld(now time.Duration, t *task, decided *int) bool {
	if now >= t.rack.WaitUntil || !b.racks.Available(t.rack.Key) {
		return true
	}
	*decided++
	return *decided <= maxRedecisions
}

// moveRacked withdraws a waiting task that prefers a rack from an agent, if another agent of
// the rack is free, or if the wait has lasted as long as pays off and others are free.
func (b *Broker) moveRacked(now time.Duration, a *agent, t *task) {
	r := b.rackOptions(now, t)
	here := b.candidate(a, t).Score()
	usable := a.Usable(now, &b.settings.Limits)
	better := func(o option) bool {
		return o.Agent != nil && o.Agent != a && o.Scored.Wait == 0 && (!usable || here-o.Scored.Score() >= minMoveGain)
	}
	switch {
	case better(r.Near):
		b.withdrawRacked(now, t, r.Near.Agent, "moved")
	case better(r.Far) && !(usable && t.rack.Near && now < t.rack.WaitUntil):
		b.withdrawRacked(now, t, r.Far.Agent, "moved")
	}
}

// withdrawRacked withdraws a waiting task from its agent because another one is free.
func (b *Broker) withdrawRacked(now time.Duration, t *task, to *agent, reason string) {
	b.emit(Decision{Job: t.job.sub.ID, Index: t.index, Run: t.run, Agent: t.agent.ID.Host, Action: "withdraw", Reason: reason,
		Wait: now - t.assignedAt, ReportAge: now - to.HeartbeatAt, FreeCPU: to.View.Load.FreeCPU})
	b.racks.WaitEnded(now, t.rack, now-t.assignedAt)
	b.withdraw(now, t, true)
}
