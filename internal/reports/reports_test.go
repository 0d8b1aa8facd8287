package reports

import "testing"

// Guards against decisions that are made before their reports are new or overdue, twice, or in
// another order than that of arrival.
func TestDecisionsWaitForTheirReports(t *testing.T) {
	var w Waiting[string, int]
	w.Add("first", 10, []int{1, 2})
	w.Add("second", 20, []int{1})
	if job, ok := w.Next(5); ok {
		t.Errorf("%s is decided without reports", job)
	}
	w.Reported(1)
	if job, _ := w.Next(5); job != "second" {
		t.Errorf("%q is decided after its report, want second", job)
	}
	if job, _ := w.Next(15); job != "first" {
		t.Errorf("%q is decided when its reports are overdue, want first", job)
	}
	if job, ok := w.Next(15); ok {
		t.Errorf("%s is decided twice", job)
	}
}
