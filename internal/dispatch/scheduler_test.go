package dispatch

import (
	"encoding/binary"
	"os"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/mathext/prng"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

func TestMain(m *testing.M) {
	invariant.SetStrict(true)
	os.Exit(m.Run())
}

const ms = time.Millisecond

func taskID(n int) wire.TaskID {
	var id wire.TaskID
	binary.BigEndian.PutUint64(id.Job[:], uint64(n))
	return id
}

func worker(host string, credits int) Upstream {
	return Upstream{
		ID:         UpstreamID{Host: host, Service: "w"},
		DataCentre: "a",
		Site:       "s",
		Classes:    []string{"echo", "long"},
		Slots:      8,
		Credits:    credits,
		Expires:    time.Hour,
	}
}

func newScheduler(off Mechanism) *Scheduler {
	s := NewWithout(prng.NewSplitMix64(1), off)
	s.Configure(0, Settings{DataCentre: "a", Owners: 1})
	return s
}

// BenchmarkDecision measures one decision in the steady state: a task is
// queued, started and ended, and its credit comes back.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{11, 1000} {
		b.Run(map[int]string{11: "11-upstreams", 1000: "1000-upstreams"}[upstreams], func(b *testing.B) {
			benchmarkDecision(b, upstreams)
		})
	}
}

func benchmarkDecision(b *testing.B, upstreams int) {
	s := newScheduler(0)
	views := make(map[UpstreamID]Upstream, upstreams)
	for i := range upstreams {
		u := worker(string(rune('A'+i%26))+string(rune('a'+i/26)), 8)
		u.DataCentre = string(rune('a' + i%11))
		views[u.ID] = u
		s.UpdateUpstream(0, u)
	}
	callers := []string{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}
	now := time.Duration(0)
	step := func(i int) {
		now += 10 * time.Microsecond
		s.Enqueue(now, Task{ID: taskID(i), Caller: callers[i%8], Class: "echo", Declared: 100 * ms, Deadline: now + time.Second, TaskCount: 1})
		a, ok := s.Next(now)
		if !ok {
			b.Fatal("no assignment")
		}
		u := views[a.Upstream]
		s.UpdateUpstream(now, u)
		s.Finished(now, Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: Succeeded, RunTime: time.Duration(50+i%200) * ms})
	}
	for i := range 10000 {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(i)
	}
}

// BenchmarkBacklog measures a decision while 180 callers have 50 tasks waiting
// each and one credit comes back at a time.
func BenchmarkBacklog(b *testing.B) {
	s := newScheduler(0)
	u := worker("h", 1)
	s.UpdateUpstream(0, u)
	now := time.Second
	add := func(i int) {
		s.Enqueue(now, Task{ID: taskID(i), Caller: "c" + strconv.Itoa(i%180), Class: "echo", Deadline: now + time.Hour, TaskCount: 1})
	}
	for i := range 180 * 50 {
		add(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		a, _ := s.Next(now)
		now += 100 * time.Microsecond
		s.UpdateUpstream(now, u)
		s.Finished(now, Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: Succeeded, RunTime: 100 * ms})
		s.Enqueue(now, Task{ID: taskID(9000 + i), Caller: a.Task.Caller, Class: "echo", Deadline: now + time.Hour, TaskCount: 1})
	}
}

// Guards against allocations in the steady state, which would cost collections
// at 91,000 starts per second.
func TestDecisionDoesNotAllocate(t *testing.T) {
	r := testing.Benchmark(func(b *testing.B) { benchmarkDecision(b, 11) })
	if n := r.AllocsPerOp(); n != 0 {
		t.Errorf("%d allocations per decision", n)
	}
}

// Guards against a task that waits although credits are left, and against a
// credit that is used twice.
func TestEachCreditStartsOneTask(t *testing.T) {
	s := newScheduler(0)
	s.UpdateUpstream(0, worker("h", 3))
	for i := range 5 {
		s.Enqueue(0, Task{ID: taskID(i), Caller: "c", Class: "echo", Deadline: time.Second, TaskCount: 1})
	}
	for i := range 3 {
		if _, ok := s.Next(0); !ok {
			t.Fatalf("start %d: no assignment", i)
		}
	}
	if a, ok := s.Next(0); ok {
		t.Fatalf("assignment %v without a credit", a)
	}
}
