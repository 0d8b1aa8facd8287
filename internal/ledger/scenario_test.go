package ledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/wire"
)

func init() { invariant.SetStrict(true) }

// scenario runs the commands of a golden file against an agent core. Jobs are named
// by the first byte of their id, which is also their partition.
type scenario struct {
	l   *Ledger
	now Instant
}

// Guards against a change of the messages that an agent sends: which starts run,
// which are refused and why, and what a new owner receives.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario()
		datadriven.RunTest(t, path, s.run)
	})
}

func newScenario() *scenario { return &scenario{l: New(DefaultSettings(), OpenGate{})} }

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	var entry string
	if len(d.CmdArgs) > 0 && len(d.CmdArgs[0].Vals) == 0 {
		entry = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "restart":
		*s = *newScenario()
	case "announce":
		info := Upstream{Service: "s", Site: "x", Classes: []string{"c"}, Address: "http://u", Slots: 2}
		d.MaybeScanArgs(t, "slots", &info.Slots)
		s.l.Announce(s.now, info)
	case "link":
		s.l.LinkUp(s.now, entry)
	case "unlink":
		s.l.LinkDown(s.now, entry)
	case "drain":
		s.l.Drain()
	case "wait":
		s.wait(t, entry)
	case "idle":
		s.idle(t, entry)
	case "want":
		m := &wire.Want{Upstream: "s"}
		d.ScanArgs(t, "count", &m.Count)
		s.l.Receive(s.now, entry, m)
	case "start":
		s.l.Receive(s.now, entry, scanStart(t, d))
	case "end":
		s.l.Ended(s.now, scanTask(t, d), !d.HasArg("failed"), []byte(`"ok"`), time.Millisecond)
	case "query":
		attempt := 1
		d.MaybeScanArgs(t, "attempt", &attempt)
		s.l.Receive(s.now, entry, &wire.Query{Tasks: []wire.TaskRef{{Task: scanTask(t, d), Attempt: uint32(attempt)}}})
	case "fence":
		var p, e int
		d.ScanArgs(t, "partition", &p)
		d.ScanArgs(t, "epoch", &e)
		s.l.Receive(s.now, entry, &wire.Fence{ID: 1, Partitions: []wire.PartitionEpoch{{Partition: wire.Partition(p), Epoch: uint64(e)}}})
	case "refusal":
		var e int
		d.ScanArgs(t, "epoch", &e)
		record := wire.JobRecord{Job: scanTask(t, d).Job, Epoch: uint64(e), RetryMS: 1000, Answer: &wire.Answer{Status: 503, NotRun: true}}
		s.l.Receive(s.now, entry, &wire.Witness{ID: 7, JobRecords: []wire.JobRecord{record}})
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return s.effects()
}

func (s *scenario) wait(t *testing.T, duration string) {
	d, err := time.ParseDuration(duration)
	if err != nil {
		t.Fatal(err)
	}
	s.now.Mono += d
	s.l.Tick(s.now)
}

// idle lets time pass while the upstreams renew their announcements.
func (s *scenario) idle(t *testing.T, duration string) {
	d, err := time.ParseDuration(duration)
	if err != nil {
		t.Fatal(err)
	}
	for end := s.now.Mono + d; s.now.Mono < end; {
		s.now.Mono += time.Second
		for _, u := range s.l.Upstreams() {
			s.l.Announce(s.now, u)
		}
		s.l.Tick(s.now)
	}
}

func scanTask(t *testing.T, d *datadriven.TestData) wire.TaskID {
	var job, index int
	d.ScanArgs(t, "job", &job)
	d.MaybeScanArgs(t, "task", &index)
	return wire.TaskID{Job: wire.JobID{byte(job)}, Index: uint16(index)}
}

func scanStart(t *testing.T, d *datadriven.TestData) *wire.Start {
	epoch, attempt, seq := 1, 1, 1
	d.MaybeScanArgs(t, "epoch", &epoch)
	d.MaybeScanArgs(t, "attempt", &attempt)
	d.MaybeScanArgs(t, "seq", &seq)
	return &wire.Start{
		Task: scanTask(t, d), Attempt: uint32(attempt), Epoch: uint64(epoch), Upstream: "s", Seq: uint64(seq),
		Class: "c", TaskCount: 1, DeadlineMS: 1000, Payload: []byte(`1`),
	}
}

func (s *scenario) effects() string {
	var b strings.Builder
	effects := s.l.TakeEffects()
	// The core iterates over maps, so only the order of the messages to one entry is
	// fixed.
	slices.SortStableFunc(effects, func(a, b Effect) int { return strings.Compare(entryOf(a), entryOf(b)) })
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Run:
			fmt.Fprintf(&b, "run %d/%d\n", effect.Start.Task.Job[0], effect.Start.Task.Index)
		case Send:
			fmt.Fprintf(&b, "to %s: %s\n", effect.Entry, describe(effect.Message))
		}
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

func entryOf(effect Effect) string {
	if s, ok := effect.(Send); ok {
		return s.Entry
	}
	return ""
}

func describe(m wire.Message) string {
	switch m := m.(type) {
	case *wire.UpstreamUp:
		return fmt.Sprintf("up %s, credit %d", m.Upstream, m.Credit.Count)
	case *wire.UpstreamDown:
		return "down " + m.Upstream
	case *wire.Credit:
		return fmt.Sprintf("credit %d", m.Count)
	case *wire.NotStarted:
		return fmt.Sprintf("not started %d/%d attempt %d: %s, credit %d", m.Task.Job[0], m.Task.Index, m.Attempt, m.Reason, m.Credit.Count)
	case *wire.Result:
		return fmt.Sprintf("result %d/%d attempt %d ok=%t, credit %d", m.Task.Job[0], m.Task.Index, m.Attempt, m.OK, m.Credit.Count)
	case *wire.QueryReply:
		return "reply" + describeRecords(m.Records)
	case *wire.FenceReply:
		return fmt.Sprintf("fence reply last=%t%s, %d refusals", m.Last, describeRecords(m.TaskRecords), len(m.JobRecords))
	case *wire.WitnessAck:
		return fmt.Sprintf("ack refused=%t", m.Refused)
	}
	return fmt.Sprintf("%T", m)
}

func describeRecords(records []wire.TaskRecord) string {
	states := map[wire.TaskState]string{
		wire.TaskRunning: "running", wire.TaskDone: "done", wire.TaskFailed: "failed", wire.TaskVoid: "void",
	}
	var b strings.Builder
	for _, r := range records {
		fmt.Fprintf(&b, " %d/%d attempt %d %s", r.Task.Job[0], r.Task.Index, r.Attempt, states[r.State])
	}
	return b.String()
}
