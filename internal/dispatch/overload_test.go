package dispatch

import "testing"

// Guards against run times learned in an overload that refuse every later job of
// the class: what is refused does not run and so corrects nothing.
func TestLearnedRunTimesDoNotLockUp(t *testing.T) {
	h := newHarness(t, 0, worker("h", 8))
	h.learn("echo", 500*ms)
	r := AdmitRequest{Caller: "c", Class: "echo", Tasks: 1, Deadline: h.now + 100*ms}
	if d := h.Admit(h.now, r); d.Verdict == Admitted {
		t.Fatal("a job that cannot end in time by the learned run times was admitted")
	}
	h.now += relearnAfter
	r.Deadline = h.now + 100*ms
	if d := h.Admit(h.now, r); d.Verdict != Admitted {
		t.Fatalf("verdict %d after a time without runs, want admitted", d.Verdict)
	}
	h.update(worker("h", 8))
	h.add(1, "c", "echo")
	if len(h.startAll()) == 0 {
		t.Error("the task did not start")
	}
}
