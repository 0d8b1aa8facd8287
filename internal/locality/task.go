package locality

import (
	"slices"
	"time"
)

// Task is the state of a task that prefers a rack; nil for a task that never waits.
type Task struct {
	Key Key
	// CPU is the task's size in thousandths of a core.
	CPU   int
	queue *Runs
	// Near is whether the current attempt is on the rack, Factor that on its run time.
	// FarFactor is the factor off the rack as of the last decision.
	Near              bool
	Factor, FarFactor float64
	// EndAt is when the current attempt is expected to end; 0 if there is none.
	EndAt time.Duration
	// WaitUntil ends the task's wait for the rack; 0 if it has not waited since its last start.
	WaitUntil time.Duration
	// Decision is the last decision.
	Decision Decision

	// heldAt is when the task was first held, 0 if it is not held.
	heldAt time.Duration
	// predicted is the predicted wait at an upstream of the rack, 0 if the task does not wait at
	// one; heldFor is that of a hold.
	predicted, heldFor time.Duration
}

// Held reports whether the task is held.
func (t *Task) Held() bool { return t != nil && t.heldAt > 0 }

// Queued reports whether the task waits at an upstream of its rack.
func (t *Task) Queued() bool { return t.Near && t.predicted > 0 }

// RunTime returns the run time expected of the current attempt, from the one expected on the
// rack.
func (t *Task) RunTime(onRack time.Duration) time.Duration {
	if t == nil {
		return onRack
	}
	return time.Duration(float64(onRack) * t.Factor)
}

// OffRack returns the factor on run times off the rack; configured is that of tasks that never
// wait.
func (t *Task) OffRack(configured float64) float64 {
	if t == nil {
		return configured
	}
	return t.FarFactor
}

// Placement describes the placement or hold of a task.
type Placement struct {
	Rack string
	Near bool
	// Held is how long the task was held.
	Held time.Duration
	// MaxWait is the longest wait for the rack that would have paid off.
	MaxWait time.Duration
	// ShareForAll and Price are the learned inputs of the decision.
	ShareForAll, Price float64
	// Regretted is whether the task had waited for the rack and then went elsewhere.
	Regretted bool
}

// Racks decides for tasks that prefer racks, and learns from them. It is not safe for concurrent
// use.
type Racks struct {
	Supply
	settings Settings
	// farFactor is the configured factor of off-rack run times.
	farFactor float64
	runs      map[string]*Runs
}

// NewRacks returns a Racks that has learned nothing.
func NewRacks(s Settings, farFactor float64) *Racks {
	return &Racks{settings: s, farFactor: farFactor, runs: map[string]*Runs{}}
}

// Clone returns a copy whose changes do not affect the original.
func (r *Racks) Clone() *Racks {
	c := NewRacks(r.settings, r.farFactor)
	c.keys = slices.Clone(r.keys)
	c.racks = make(map[Key]*rack, len(r.racks))
	for key, known := range r.racks {
		k := *known
		c.racks[key] = &k
	}
	for queue, known := range r.runs {
		k := *known
		c.runs[queue] = &k
	}
	return c
}

// NewTask returns the state of a task of a queue, or nil if tasks never wait.
func (r *Racks) NewTask(queue string, key Key, cpu int) *Task {
	if key.Rack == "" || !r.settings.Enabled() {
		return nil
	}
	runs := r.runs[queue]
	if runs == nil {
		runs = &Runs{}
		r.runs[queue] = runs
	}
	return &Task{Key: key, CPU: cpu, queue: runs, Factor: 1, FarFactor: runs.Factor(r.farFactor)}
}

// LearnFactor renews the task's FarFactor.
func (r *Racks) LearnFactor(t *Task) { t.FarFactor = t.queue.Factor(r.farFactor) }

// Choose decides for a task. In has the options, the times left and the job's end; heldBefore
// is the size of the tasks that are held for the rack before this one.
func (r *Racks) Choose(t *Task, in Input, heldBefore int) Decision {
	now := in.Now
	in.Release = r.Release(now, t.Key, t.CPU, heldBefore)
	in.ShareForAll, in.Price, in.NearLoad = r.ShareForAll(now, t.Key, t.CPU), r.Price(t.Key, t.CPU), r.Load(t.Key)
	in.MeanRun = r.MeanRun(now, t.Key)
	in.MaxWait, in.MoveTime = r.settings.MaxWait, MoveTime
	if in.Near.Wait > 0 {
		in.Near.Wait = r.Wait(now, t.Key, in.Near.Wait, in.Release)
	}
	if t.WaitUntil > 0 {
		in.HoldUntil = t.WaitUntil
		in.MaxWait = max(0, min(in.MaxWait, t.WaitUntil-now))
	}
	d := r.settings.choose(in)
	if d.Action == QueueNear {
		d.Wait = in.Near.Wait
	}
	t.Decision, t.EndAt = d, 0
	switch d.Action {
	case NearNow, QueueNear:
		t.Near, t.Factor, t.EndAt, t.predicted = true, 1, now+in.Near.Wait+in.Near.Run, in.Near.Wait
	case Far:
		t.Near, t.Factor, t.EndAt, t.predicted = false, t.FarFactor, now+in.Far.Wait+in.Far.Run, 0
	}
	return d
}

// Possible returns the sides for which the decision may be if the random part of a score, which
// is below jitter, is added. It changes nothing but the age of what is known.
func (r *Racks) Possible(t *Task, in Input, heldBefore int, jitter time.Duration) (near, far bool) {
	for _, random := range []time.Duration{-jitter, jitter} {
		with, copied := in, *t
		with.Near.Penalty += random
		switch r.Choose(&copied, with, heldBefore).Action {
		case NearNow, QueueNear:
			near = true
		case Far:
			far = true
		}
	}
	return near, far
}

func (r *Racks) placement(now time.Duration, t *Task) *Placement {
	return &Placement{Rack: t.Key.Rack, Near: t.Near, MaxWait: t.Decision.MaxWait,
		ShareForAll: r.ShareForAll(now, t.Key, t.CPU), Price: r.Price(t.Key, t.CPU)}
}

func (t *Task) startWait() {
	if t.WaitUntil == 0 {
		t.WaitUntil = t.Decision.Until
	}
}

// Hold begins the hold of a task. It returns nil if the task is held already.
func (r *Racks) Hold(now time.Duration, t *Task) *Placement {
	if t.heldAt > 0 {
		return nil
	}
	t.heldAt, t.heldFor = now, t.Decision.Release
	t.startWait()
	return r.placement(now, t)
}

// Assigned counts the placement of a task by the last decision, and returns its reason.
func (r *Racks) Assigned(now time.Duration, t *Task) (string, *Placement) {
	if t == nil {
		return "", nil
	}
	p := r.placement(now, t)
	p.Regretted = !t.Near && t.WaitUntil > 0
	if t.heldAt > 0 {
		p.Held = now - t.heldAt
		r.Waited(now, t.Key, true, t.heldFor, p.Held)
		t.heldAt = 0
	}
	if t.Decision.Action == QueueNear {
		t.startWait()
	}
	return t.Decision.Reason, p
}

// WaitEnded counts the wait of a task at an upstream, which may be on its rack.
func (r *Racks) WaitEnded(now time.Duration, t *Task, waited time.Duration) {
	if t.Queued() {
		r.Waited(now, t.Key, false, t.predicted, waited)
		t.predicted = 0
	}
}

// Started counts the start of a task after a wait at its upstream. onRack is the run time
// expected on the rack.
func (r *Racks) Started(now time.Duration, t *Task, waited, onRack time.Duration) {
	if t == nil {
		return
	}
	r.Placed(now, t.Key, t.Near, onRack)
	r.WaitEnded(now, t, waited)
	t.WaitUntil, t.EndAt = 0, now+t.RunTime(onRack)
}

// Succeeded learns from the run time of a task relative to the one expected on its rack, and
// returns the factor that it owes to its place.
func (r *Racks) Succeeded(t *Task, ratio float64) float64 {
	t.queue.Add(t.Near, ratio)
	return t.Factor
}
