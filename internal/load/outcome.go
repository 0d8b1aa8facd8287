package load

import "fmt"

// Last returns the last answer to any of the job's copies, or false if there was none.
func (j JobResult) Last() (Outcome, bool) {
	for i := len(j.Copies) - 1; i >= 0; i-- {
		if j.Copies[i].Status != 0 {
			return j.Copies[i], true
		}
	}
	return Outcome{}, false
}

// FalseNotRun reports whether a task of the job has started, according to the
// upstreams' counts in starts, although the last answer to the job stated not_run. No
// copy is sent after an answer, so that answer must be true.
func FalseNotRun(j JobResult, starts map[string]int) bool {
	last, answered := j.Last()
	if !answered || !last.NotRun {
		return false
	}
	for i := range j.Tasks {
		if starts[fmt.Sprintf("%s/%d", j.ID, i)] > 0 {
			return true
		}
	}
	return false
}

// Cut reports whether the request was interrupted: it was neither completed nor
// refused with not_run. A refused connection does not count, because nothing was
// accepted.
func (o Outcome) Cut() bool {
	return o.Status != 200 && !o.NotRun && o.Err != ConnectionRefused
}
