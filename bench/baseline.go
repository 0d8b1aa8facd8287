package main

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/mathext/prng"
)

// chooser picks a machine for a task. It knows only the owner's own outstanding
// tasks per machine.
type chooser func(b *baseline, outstanding []int) int

func chooseRandom(b *baseline, outstanding []int) int { return b.rand.IntN(len(outstanding)) }

func chooseRoundRobin(b *baseline, outstanding []int) int {
	b.next++
	return b.next % len(outstanding)
}

func chooseLeast(b *baseline, outstanding []int) int {
	best := b.rand.IntN(len(outstanding))
	for i := range outstanding {
		if outstanding[i] < outstanding[best] {
			best = i
		}
	}
	return best
}

func choosePowerOfTwo(b *baseline, outstanding []int) int {
	x, y := b.rand.IntN(len(outstanding)), b.rand.IntN(len(outstanding))
	if outstanding[y] < outstanding[x] {
		return y
	}
	return x
}

// baseline is an owner that sends each task to a machine's queue on arrival.
type baseline struct {
	sim         *simulation
	index       int
	choose      chooser
	rand        *rand.Rand
	next        int
	outstanding []int
}

func newBaseline(sim *simulation, index int, choose chooser) *baseline {
	src := prng.NewSplitMix64(sim.seed*ownerCount + uint64(index))
	return &baseline{
		sim:         sim,
		index:       index,
		choose:      choose,
		rand:        rand.New(src),
		next:        index,
		outstanding: make([]int, len(sim.queues)),
	}
}

func (b *baseline) submit(j *job) {
	now := b.sim.loop.now
	b.sim.loop.after(j.deadline-now, func() { b.cancel(j) })
	for task := range j.runTimes {
		at := b.choose(b, b.outstanding)
		b.outstanding[at]++
		q := b.sim.queues[at]
		b.sim.send(b.dataCentre(), q.dataCentre, func() { q.push(queuedTask{from: b, job: j, task: task}) })
	}
}

func (b *baseline) dataCentre() int { return b.index % b.sim.site.dataCentres }

func (b *baseline) cancel(j *job) {
	if !j.ended {
		b.sim.endJob(j, false)
	}
}

func (b *baseline) onResult(at int, j *job, ok bool) {
	b.outstanding[at]--
	if !ok {
		b.sim.failures++
		b.cancel(j)
		return
	}
	j.tasksLeft--
	if j.tasksLeft == 0 && !j.ended {
		b.sim.endJob(j, true)
	}
}

// queuedTask is a task in a machine's queue.
type queuedTask struct {
	from *baseline
	job  *job
	task int
}

// queueMachine is a machine with a FIFO queue. It skips queued tasks whose job has
// ended, at no cost, which favours the baselines.
type queueMachine struct {
	machine
	queue []queuedTask
}

func (q *queueMachine) push(t queuedTask) {
	q.queue = append(q.queue, t)
	q.next()
}

func (q *queueMachine) next() {
	for len(q.queue) > 0 && q.running < q.slots {
		t := q.queue[0]
		q.queue = q.queue[1:]
		if t.job.ended {
			t.from.outstanding[q.index]--
			continue
		}
		q.start(t.job, t.task, func(ok bool, _ time.Duration) {
			q.sim.send(q.dataCentre, t.from.dataCentre(), func() { t.from.onResult(q.index, t.job, ok) })
			q.next()
		})
	}
}
