package leased

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// extremeLoad returns a report with values that no correct process sends.
func extremeLoad(rng *rand.Rand) wire.Load {
	pick := func() int {
		return []int{0, -1, 1, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64}[rng.Intn(7)]
	}
	l := wire.Load{Ready: rng.Intn(2) == 0, Draining: rng.Intn(4) == 0, Service: []string{"", "s"}[rng.Intn(2)],
		CapacityCPU: pick(), CapacityMem: pick(), FreeCPU: pick(), FreeMem: pick(),
		Slowness: uint32(pick()), FailurePercent: uint32(pick()), LastSeq: uint64(pick()), Stuck: rng.Intn(2) == 0,
		StartMS: int64(pick()), Trial: wire.Trial(rng.Intn(256))}
	for i := range l.QueuedWork {
		l.QueuedWork[i] = uint32(pick())
		l.BusyPercent[i] = uint8(pick())
	}
	return l
}

func extremeAttempt(rng *rand.Rand) wire.LeasedAttempt {
	return wire.LeasedAttempt{Task: wire.LeasedTask{Job: []string{"", "j1"}[rng.Intn(2)], Index: uint16(rng.Intn(3) * math.MaxUint16 / 2)},
		Run: []uint64{0, 1, math.MaxUint64}[rng.Intn(3)]}
}

func extremeMessage(rng *rand.Rand) wire.Message {
	big := []uint64{0, 1, 1 << 40, math.MaxUint64}
	switch rng.Intn(7) {
	case 0:
		m := &wire.AgentBeat{ClockMS: big[rng.Intn(4)], Load: extremeLoad(rng)}
		for range rng.Intn(3) {
			m.Crashes = append(m.Crashes, wire.UpstreamCrash{StartMS: int64(big[rng.Intn(4)]), SinceMS: uint32(big[rng.Intn(4)]), Runs: []wire.CrashedRun{
				{Attempt: extremeAttempt(rng), Queue: []string{"", "q"}[rng.Intn(2)], AgeMS: uint32(big[rng.Intn(4)])}}})
		}
		return m
	case 1:
		return &wire.RunReport{Attempt: extremeAttempt(rng), State: wire.RunState(rng.Intn(256)), RanMS: uint32(big[rng.Intn(4)]), Load: extremeLoad(rng)}
	case 2:
		m := &wire.EntryBeat{EchoMS: big[rng.Intn(4)]}
		if rng.Intn(2) == 0 {
			m.Evacuations = &wire.Evacuations{Version: big[rng.Intn(4)], AgeMS: []uint32{0, 1, math.MaxUint32}[rng.Intn(3)]}
			for range rng.Intn(3) {
				m.Evacuations.Requests = append(m.Evacuations.Requests,
					wire.Evacuation{DataCentre: []string{"", "dc", "nowhere"}[rng.Intn(3)], Version: big[rng.Intn(4)]})
			}
		}
		return m
	case 3:
		return &wire.Assign{Attempt: extremeAttempt(rng), Service: "s", CPU: int(big[rng.Intn(4)]) * (1 - 2*rng.Intn(2)), MemMB: -rng.Intn(2),
			Priority: []int{-1, 0, math.MaxInt32, math.MinInt64}[rng.Intn(4)], ExpectedMS: uint32(big[rng.Intn(4)]),
			EchoMS: uint64(time.Hour/time.Millisecond) + uint64(rng.Intn(1000)), Seq: big[rng.Intn(4)], SlackMS: int(big[rng.Intn(4)]), OnlyIfFits: rng.Intn(2) == 0,
			Queue: "q", Trial: wire.Trial(rng.Intn(256)), TrialMS: uint32(big[rng.Intn(4)])}
	case 4:
		return &wire.Withdraw{Attempt: extremeAttempt(rng)}
	case 5:
		return &wire.Resume{Attempts: []wire.LeasedAttempt{extremeAttempt(rng), extremeAttempt(rng)}}
	}
	return &wire.Ping{Seq: big[rng.Intn(4)]}
}

// malformedFrame returns a frame whose body is not a message, or whose length is wrong.
func malformedFrame(rng *rand.Rand) []byte {
	frame := make([]byte, 5+rng.Intn(40))
	rng.Read(frame)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(frame)-5))
	if rng.Intn(4) == 0 {
		binary.BigEndian.PutUint32(frame[1:], math.MaxUint32)
	}
	return frame
}

// sendExtremes sends messages that no correct process sends, and then a malformed frame.
func sendExtremes(t *testing.T, rng *rand.Rand, conn net.Conn, role wire.Role, host string) {
	t.Helper()
	messages := []wire.Message{&wire.Hello{Version: wire.ProtocolVersion, Role: role, ID: host, Incarnation: "1"}, &wire.AgentBeat{Load: extremeLoad(rng)}}
	for range rng.Intn(30) {
		messages = append(messages, extremeMessage(rng))
	}
	for _, m := range messages {
		frame, err := wire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(frame); err != nil {
			return
		}
	}
	// The connection may have been closed already.
	_, _ = conn.Write(malformedFrame(rng))
}

// Guards against an entry that ends, or serves no job any more, after messages with values
// that no agent sends, and frames that are not messages.
func TestEntrySurvivesMalformedMessages(t *testing.T) {
	const address = "127.0.0.1:24731"
	f := &feed{}
	f.put("op/config", "1")
	e, err := StartEntry(EntryOptions{
		Process: ProcessInfo{Host: "e1", Incarnation: "1", DataCentre: "dc", LinkAddress: address},
		Broker:  broker.DefaultSettings("dc", time.Second), Store: f, ConfigKey: "op/config", ConfigTable: "op",
		Decode: func([]byte) (*catalog.Catalog, error) { return catalog.New(1, nil, catalog.Limits{}), nil },
		Log:    slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	rng := rand.New(rand.NewSource(1))
	q := &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, LatencyTarget: 100 * time.Millisecond}
	for i := range 300 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		sendExtremes(t, rng, conn, wire.RoleAgent, "bad")
		if i%10 == 0 {
			e.Run(context.Background(), broker.Submission{ID: "j1", Queue: q, Tasks: []broker.TaskSpec{{CPU: 4000}}, Timeout: 20 * time.Millisecond})
		}
		conn.Close()
	}
	a := newTestAgent(t, &feed{}, address)
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	eventually(t, "no job is served after malformed messages", func() bool {
		o := e.Run(context.Background(), broker.Submission{ID: "j2", Queue: q, Tasks: []broker.TaskSpec{{CPU: 4000}}, Timeout: time.Second})
		return o.Kind == broker.Completed
	})
}

// Guards against an agent that ends after messages with values that no entry sends, and
// frames that are not messages.
func TestAgentSurvivesMalformedMessages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	run := runner.DefaultSettings(1300*time.Millisecond, time.Second)
	run.DataCentre, run.EvacuateWithin = "dc", 5*time.Second
	a := StartAgent(AgentOptions{
		Process: ProcessInfo{Host: "a1", Incarnation: "1", DataCentre: "dc"}, Runner: run, Store: &feed{}, Seeds: []string{listener.Addr().String()},
		Evacuations: testEvacuations, Upstream: &instantUpstream{}, Token: 1, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(a.Stop)
	a.Announce(runner.Announcement{UpstreamID: runner.UpstreamID{ID: "u", StartMS: 7}, Service: "s", CPU: 10_000, MemMB: 100, Seq: 1}, 1000)
	rng := rand.New(rand.NewSource(2))
	for range 40 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		sendExtremes(t, rng, conn, wire.RoleEntry, "bad")
		time.Sleep(2 * time.Millisecond)
		conn.Close()
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l, err := transport.AcceptTCP(conn, wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: "e2", Incarnation: "1"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m, err := l.Read()
	beat, ok := m.(*wire.AgentBeat)
	if err != nil || !ok || beat.Load.FreeCPU > 10_000 {
		t.Errorf("after malformed messages: %+v, %v", m, err)
	}
}
