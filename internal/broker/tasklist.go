package broker

import "iter"

// taskList holds tasks in the order in which they were added, and removes each in constant time: a
// client can have an entry hold hundreds of thousands of tasks, of which many end together.
type taskList struct {
	// kind is where a task keeps its position in the list.
	kind listKind
	// tasks has nil in place of removed tasks.
	tasks []*task
	count int
}

// listKind distinguishes the lists in which a task may be at the same time.
type listKind uint8

const (
	// heldTasks are those in Broker.unplaced, agentTasks those of an agent.
	heldTasks listKind = iota
	agentTasks
	listKinds
)

// minGaps is the number of removed tasks from which a list may be compacted.
const minGaps = 16

func (l *taskList) add(t *task) {
	t.positions[l.kind] = len(l.tasks)
	l.tasks = append(l.tasks, t)
	l.count++
}

func (l *taskList) remove(t *task) {
	l.tasks[t.positions[l.kind]] = nil
	l.count--
	if gaps := len(l.tasks) - l.count; gaps >= minGaps && gaps > l.count {
		l.compact()
	}
}

// compact drops the gaps. An iteration that is under way goes on in the old slice.
func (l *taskList) compact() {
	old := l.tasks
	l.tasks = make([]*task, 0, 2*l.count)
	for _, t := range old {
		if t != nil {
			t.positions[l.kind] = len(l.tasks)
			l.tasks = append(l.tasks, t)
		}
	}
}

// all returns the tasks that are in the list now. A task that is removed meanwhile may still be
// returned.
func (l *taskList) all() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range l.tasks {
			if t != nil && !yield(t) {
				return
			}
		}
	}
}
