package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/invariant"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

func init() { invariant.SetStrict(true) }

// scenario runs the commands of a golden file against the core of entry e1. Jobs
// are named by their first byte, which is also their partition.
type scenario struct {
	c     *Core
	now   time.Duration
	m     *membership.Map
	token uint64
	// asked is whether an operator asks for explanations after each command.
	asked bool
}

// Guards against unintended changes of the messages and answers that an entry gives
// in whole scenarios: acceptance, starts, takeovers, handovers, refusals and lost
// messages.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{}
		policy := dispatch.New(rand.NewPCG(1, 1))
		s.c = New(membership.Member{ID: "e1", Host: "e1"}, DefaultSettings(), policy, 0)
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	from := ""
	if len(d.CmdArgs) > 0 && len(d.CmdArgs[0].Vals) == 0 {
		from = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "map":
		s.changeMap(t, d)
	case "link":
		s.link(t, d, from)
	case "unlink":
		s.c.LinkDown(s.now, wire.RoleEntry, from)
	case "agents":
		s.listAgents(d)
	case "submit":
		s.token++
		s.c.Submit(s.now, s.token, scanSubmission(t, d, s.now))
	case "cancel":
		s.token++
		s.c.Lookup(s.now, s.token, scanTask(t, d).Job, "caller", true, s.now+time.Second)
	case "leave":
		s.c.Drain(s.now)
	case "wait":
		s.wait(t, from)
	default:
		s.c.Receive(s.now, from, scanMessage(t, d))
	}
	if s.asked {
		s.ask()
	}
	return s.effects()
}

// changeMap writes a map with members added or removed, and has the entry read it.
func (s *scenario) changeMap(t *testing.T, d *datadriven.TestData) {
	var c membership.Change
	for _, arg := range d.CmdArgs {
		for _, id := range arg.Vals {
			if arg.Key == "add" {
				c.Add = append(c.Add, membership.Member{ID: id, Host: id})
			} else {
				c.Remove, c.Left = append(c.Remove, id), arg.Key == "left"
			}
		}
	}
	if s.m = membership.Next(s.m, c); s.m == nil {
		t.Fatal("the map does not change")
	}
	s.c.MapRead(s.now, s.now, s.m)
	s.c.CommitEnded()
}

func (s *scenario) link(t *testing.T, d *datadriven.TestData, id string) {
	h := wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: id}
	if !d.HasArg("agent") {
		s.c.LinkUp(s.now, h)
		return
	}
	h.Role = wire.RoleAgent
	d.ScanArgs(t, "agent", &h.Incarnation)
	s.c.LinkUp(s.now, h)
	s.c.Receive(s.now, id, &wire.UpstreamUp{
		Upstream: "s", Site: "x", Classes: []string{"c"}, Slots: 4, Credit: wire.Credit{Upstream: "s", Count: 4, TTLMS: 20_000},
	})
}

func (s *scenario) listAgents(d *datadriven.TestData) {
	var rows []AgentRow
	for _, arg := range d.CmdArgs {
		rows = append(rows, AgentRow{Host: arg.Key, Incarnation: arg.Vals[0], Replaced: len(arg.Vals) > 1})
	}
	for _, id := range sortedKeys(s.c.takeovers) {
		s.c.AgentsListed(s.now, id, rows)
	}
}

// wait advances the time in ticks of 50 ms, with a read of the map before each.
func (s *scenario) wait(t *testing.T, duration string) {
	d, err := time.ParseDuration(duration)
	if err != nil {
		t.Fatal(err)
	}
	for end := s.now + d; s.now < end; {
		s.now += min(50*time.Millisecond, end-s.now)
		s.c.MapRead(s.now, s.now, s.m)
		s.c.Tick(s.now)
	}
}

func scanTask(t *testing.T, d *datadriven.TestData) wire.TaskID {
	var job, index int
	d.ScanArgs(t, "job", &job)
	d.MaybeScanArgs(t, "task", &index)
	return wire.TaskID{Job: wire.JobID{byte(job)}, Index: uint16(index)}
}

func scanSubmission(t *testing.T, d *datadriven.TestData, now time.Duration) Submission {
	tasks, deadline := 1, 5000
	d.MaybeScanArgs(t, "tasks", &tasks)
	d.MaybeScanArgs(t, "deadline", &deadline)
	s := Submission{Job: scanTask(t, d).Job, Caller: "caller", Class: "c", Deadline: now + time.Duration(deadline)*time.Millisecond}
	if d.HasArg("body") {
		s.Digest[0] = 1
	}
	for i := range tasks {
		s.Payloads = append(s.Payloads, fmt.Appendf(nil, "%d", i))
	}
	return s
}

var taskStates = map[string]wire.TaskState{
	"running": wire.TaskRunning, "done": wire.TaskDone, "failed": wire.TaskFailed, "void": wire.TaskVoid,
}

func scanRecord(t *testing.T, d *datadriven.TestData) wire.TaskRecord {
	state, attempt := "", 1
	d.ScanArgs(t, "state", &state)
	d.MaybeScanArgs(t, "attempt", &attempt)
	return wire.TaskRecord{Task: scanTask(t, d), Attempt: uint32(attempt), State: taskStates[state], Payload: []byte(`"ok"`)}
}

// scanMessage makes the message that the command names.
func scanMessage(t *testing.T, d *datadriven.TestData) wire.Message {
	id, epoch, attempt := 0, 0, 1
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "epoch", &epoch)
	d.MaybeScanArgs(t, "attempt", &attempt)
	credit := wire.Credit{Upstream: "s", Count: 4, LastSeq: 100, TTLMS: 20_000}
	switch d.Cmd {
	case "ack":
		return &wire.WitnessAck{ID: uint64(id), Refused: d.HasArg("refused")}
	case "result":
		return &wire.Result{Task: scanTask(t, d), Attempt: uint32(attempt), OK: !d.HasArg("failed"), Payload: []byte(`"ok"`), Credit: credit}
	case "not-started":
		return &wire.NotStarted{Task: scanTask(t, d), Attempt: uint32(attempt), Reason: wire.ReasonNoSlot, Credit: credit}
	case "query-reply":
		return &wire.QueryReply{Records: []wire.TaskRecord{scanRecord(t, d)}}
	case "fence":
		return &wire.Fence{ID: uint64(id), Partitions: []wire.PartitionEpoch{{Partition: scanTask(t, d).Job.Partition(), Epoch: uint64(epoch)}}}
	case "fence-reply":
		return scanFenceReply(t, d, id)
	case "witness":
		return &wire.Witness{ID: uint64(id), JobRecords: []wire.JobRecord{{Job: scanTask(t, d).Job, Epoch: uint64(epoch)}}}
	case "forward":
		s := scanSubmission(t, d, 0)
		return &wire.Forward{ID: uint64(id), Job: s.Job, Caller: "caller", Class: "c", Epoch: uint64(epoch), DeadlineMS: 5000, Payloads: s.Payloads}
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return nil
}

func scanFenceReply(t *testing.T, d *datadriven.TestData, id int) wire.Message {
	m := &wire.FenceReply{ID: uint64(id), Serial: 1, Last: true}
	if d.HasArg("state") {
		m.TaskRecords = []wire.TaskRecord{scanRecord(t, d)}
	} else if d.HasArg("job") {
		m.JobRecords = []wire.JobRecord{{Job: scanTask(t, d).Job, Epoch: 1, StillRunning: d.HasArg("held")}}
	}
	if d.HasArg("owned") {
		for p := range wire.PartitionCount {
			m.Owned = append(m.Owned, wire.PartitionEpoch{Partition: wire.Partition(p), Epoch: 1})
		}
	}
	return m
}

func (s *scenario) effects() string {
	effects := s.c.TakeEffects()
	// Only the order of the messages to one receiver is fixed.
	slices.SortStableFunc(effects, func(a, b Effect) int { return strings.Compare(receiverOf(a), receiverOf(b)) })
	var b strings.Builder
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			if text := describe(effect.Message); text != "" {
				fmt.Fprintf(&b, "to %s: %s\n", effect.To, text)
			}
		case Reply:
			fmt.Fprintf(&b, "answer %d: %s", effect.Token, effect.Answer.Body)
		case CommitMap:
			fmt.Fprintf(&b, "write map %d\n", effect.Next.Version)
		case ListAgents:
			if effect.Takeover != 0 {
				b.WriteString("list agents\n")
			}
		}
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

func receiverOf(effect Effect) string {
	if s, ok := effect.(Send); ok {
		return s.To
	}
	return ""
}

// describe returns the text of a message; it is empty for those that the golden
// files leave out.
func describe(m wire.Message) string {
	switch m := m.(type) {
	case *wire.Start:
		return fmt.Sprintf("start %d/%d attempt %d epoch %d", m.Task.Job[0], m.Task.Index, m.Attempt, m.Epoch)
	case *wire.Query:
		var b strings.Builder
		for _, ref := range m.Tasks {
			fmt.Fprintf(&b, " %d/%d attempt %d", ref.Task.Job[0], ref.Task.Index, ref.Attempt)
		}
		return "query" + b.String()
	case *wire.Fence:
		return fmt.Sprintf("fence id %d, %d partitions from epoch %d", m.ID, len(m.Partitions), m.Partitions[0].Epoch)
	case *wire.FenceReply:
		return fmt.Sprintf("fence reply last=%t, %d owned%s", m.Last, len(m.Owned), describeRecords(m.JobRecords))
	case *wire.Witness:
		return fmt.Sprintf("witness id %d%s", m.ID, describeRecords(m.JobRecords))
	case *wire.WitnessAck:
		return fmt.Sprintf("ack %d refused=%t", m.ID, m.Refused)
	case *wire.Forward:
		return fmt.Sprintf("forward id %d job %d epoch %d held=%t", m.ID, m.Job[0], m.Epoch, m.JoinOnly)
	case *wire.ForwardReply:
		if m.NotOwner {
			return fmt.Sprintf("reply %d not owner", m.ID)
		}
		return fmt.Sprintf("reply %d status %d %s", m.ID, m.Answer.Status, strings.TrimSpace(string(m.Answer.Body)))
	}
	return ""
}

func describeRecords(records []wire.JobRecord) string {
	var b strings.Builder
	for _, record := range records {
		fmt.Fprintf(&b, ", trace %d", record.Job[0])
		if record.StillRunning {
			b.WriteString(" held")
		}
		if record.Answer != nil {
			fmt.Fprintf(&b, " answer %d not_run=%t", record.Answer.Status, record.Answer.NotRun)
		}
	}
	return b.String()
}
