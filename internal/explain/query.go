package explain

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Bounds of what operators may ask for.
const (
	// maxShapeTasks is the largest number of tasks of a job that entries on the hosting
	// platform accept.
	maxShapeTasks = 4096
	maxCPU        = 1_000_000
	maxMemMB      = 16 << 20
	maxEstimateMS = int(time.Hour / time.Millisecond)
	maxTextBytes  = 128
)

// HostedQuery is a question about the placement on the hosting platform.
type HostedQuery struct {
	// Job is the id of a job; empty for a question about a queue and the shape of a job.
	Job   string
	Queue string
	Tasks int
	// CPU is in thousandths of a core.
	CPU, MemMB     int
	Estimate       time.Duration
	Label, Rack    string
	MaxPerUpstream int
	// Task is the index of the task whose candidates are listed, at most Candidates; -1
	// means the first task that has not started.
	Task, Candidates int
}

// ParseHosted reads a question from the parameters of a request. Its errors are of type
// fault.BadField.
func ParseHosted(v url.Values) (HostedQuery, error) {
	r := reader{values: v}
	q := HostedQuery{Job: r.text("job"), Queue: r.text("queue"), Candidates: r.integer("candidates", 1, MaxCandidates, DefaultCandidates)}
	if !r.jobOrShape(q.Job, "queue", q.Queue) {
		return q, r.err
	}
	if q.Job != "" {
		q.Task = r.integer("task", 0, maxShapeTasks-1, -1)
		return q, r.finish("with the id of a job")
	}
	q.Tasks = r.integer("tasks", 1, maxShapeTasks, 1)
	q.CPU = r.integer("cpu", 1, maxCPU, required)
	q.MemMB = r.integer("memory_mb", 0, maxMemMB, 0)
	q.Estimate = time.Duration(r.integer("estimate_ms", 0, maxEstimateMS, 0)) * time.Millisecond
	q.Label, q.Rack = r.text("label"), r.text("rack")
	q.MaxPerUpstream = r.integer("max_per_upstream", 0, maxShapeTasks, 0)
	q.Task = r.integer("task", 0, min(q.Tasks, MaxTasks)-1, 0)
	return q, r.finish("")
}

// Query is a question about the placement on the product's own path.
type Query struct {
	// Job is the id of a job; empty for a question about a class and the shape of a job.
	Job, Class, Caller string
	Tasks              int
	Deadline, Declared time.Duration
	Candidates         int
}

// Parse reads a question from the parameters of a request, for jobs of at most maxTasks tasks
// and with at most maxDeadline. Its errors are of type fault.BadField.
func Parse(v url.Values, maxTasks int, maxDeadline time.Duration) (Query, error) {
	r := reader{values: v}
	q := Query{Job: r.text("job"), Class: r.text("class"), Candidates: r.integer("candidates", 1, MaxCandidates, DefaultCandidates)}
	if !r.jobOrShape(q.Job, "class", q.Class) {
		return q, r.err
	}
	if q.Job != "" {
		return q, r.finish("with the id of a job")
	}
	q.Caller = r.text("caller")
	q.Tasks = r.integer("tasks", 1, maxTasks, 1)
	q.Deadline = time.Duration(r.integer("deadline_ms", 1, int(maxDeadline.Milliseconds()), required)) * time.Millisecond
	q.Declared = time.Duration(r.integer("expected_ms", 0, maxEstimateMS, 0)) * time.Millisecond
	return q, r.finish("")
}

// required as a default means that the parameter must be given.
const required = -1 << 31

// reader reads parameters and keeps the first error.
type reader struct {
	values url.Values
	read   []string
	err    error
}

func badField(name, format string, args ...any) error {
	return fault.BadField.New("%s: %s", name, fmt.Sprintf(format, args...)).WithProperty(fault.Field, name)
}

func (r *reader) fail(name, format string, args ...any) {
	if r.err == nil {
		r.err = badField(name, format, args...)
	}
}

// text returns a parameter, or "" if it is not given.
func (r *reader) text(name string) string {
	r.read = append(r.read, name)
	all := r.values[name]
	switch {
	case len(all) == 0:
		return ""
	case len(all) > 1:
		r.fail(name, "is given %d times, allowed is once", len(all))
	case all[0] == "" || len(all[0]) > maxTextBytes:
		r.fail(name, "has %d bytes, allowed are 1 to %d", len(all[0]), maxTextBytes)
	}
	return all[0]
}

// integer returns a parameter, or unset if it is not given.
func (r *reader) integer(name string, least, most, unset int) int {
	text := r.text(name)
	if text == "" {
		if unset == required {
			r.fail(name, "is missing; allowed are %d to %d", least, most)
		}
		return unset
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		r.fail(name, "%q is not allowed; allowed are %d to %d", text, least, most)
	}
	return n
}

// jobOrShape checks that the question is about a job or a shape, and not about both.
func (r *reader) jobOrShape(job, kind, name string) bool {
	switch {
	case r.err != nil:
	case job == "" && name == "":
		r.fail(kind, "is missing; needed is a %s, or the id of a job as job", kind)
	case job != "" && name != "":
		r.fail("job", "is not allowed together with %s", kind)
	}
	return r.err == nil
}

// finish returns the first error. Parameters that were not read are errors.
func (r *reader) finish(where string) error {
	for _, name := range slices.Sorted(maps.Keys(r.values)) {
		if !slices.Contains(r.read, name) {
			if where == "" {
				r.fail(name, "is not known; known are %v", r.read)
			} else {
				r.fail(name, "is not allowed %s; allowed are %v", where, r.read)
			}
		}
	}
	return r.err
}
