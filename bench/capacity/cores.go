package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	seed = 1
	// payloadBytes is the size of a task's payload and of its answer.
	payloadBytes = 64
	serviceName  = "sample"
	siteName     = "north"
	coreSlots    = 64
)

// heapBytes returns the memory in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func nanoseconds(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / float64(n) }

// throughWire returns the message as the other end of a link decodes it, so that
// what it keeps alive is as in production.
func throughWire(m wire.Message) (wire.Message, error) {
	frame, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	return wire.Decode(frame[0], frame[5:])
}

func payload() []byte {
	p := make([]byte, payloadBytes)
	for i := range p {
		p[i] = '1'
	}
	return p
}

// member returns an entry with an incarnation and address of its own, so that
// the map compresses as in production.
func member(i int) membership.Member {
	id := "entry-" + strconv.Itoa(i)
	sum := sha256.Sum256([]byte(id))
	address := fmt.Sprintf("10.%d.%d.%d", sum[0], sum[1], sum[2])
	return membership.Member{
		ID: id + "-" + hex.EncodeToString(sum[:8]), Host: id, DataCentre: dataCentreName(i % configDataCentres),
		LinkAddress: address + ":7400", HTTPAddress: address + ":8080",
	}
}

func members(n int) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, member(i+1))
	}
	return list
}

// bench is an entry core with stand-ins for its agents that answer each start
// at once.
type bench struct {
	core *owner.Core
	now  time.Duration
	next int
	// starts, done and acks count messages: Start, Result and WitnessAck.
	starts int
	done   int
	acks   int
}

// newBench returns the core of the first of n members with linked agents.
func newBench(entryCount, agentCount int) *bench {
	b := &bench{now: time.Second}
	b.core = owner.New(member(1), owner.DefaultSettings(), dispatch.New(rand.NewPCG(seed, seed)), 0)
	first := membership.Next(nil, membership.Change{Add: members(entryCount)})
	b.core.MapRead(b.now, b.now, first)
	for i := range entryCount - 1 {
		b.core.LinkUp(b.now, wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: member(i + 2).ID})
	}
	for i := range agentCount {
		b.linkAgent(i)
	}
	b.core.TakeEffects()
	return b
}

func agentHost(i int) string { return "worker-" + strconv.Itoa(i+1) }

func (b *bench) linkAgent(i int) {
	host := agentHost(i)
	b.core.LinkUp(b.now, wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleAgent, ID: host, Incarnation: host, DataCentre: "kunda-hall"})
	b.core.Receive(b.now, host, &wire.UpstreamUp{
		Upstream: serviceName, Site: siteName, Classes: []string{workerClass}, Slots: coreSlots, Credit: fullCredit(0),
	})
}

func fullCredit(seen uint64) wire.Credit {
	return wire.Credit{Upstream: serviceName, Count: coreSlots, LastSeq: seen, TTLMS: 20000}
}

func (b *bench) submission(tasks int) owner.Submission {
	b.next++
	key := "key-" + strconv.Itoa(b.next)
	s := owner.Submission{
		Job: wire.NewJobID("workshop", key), Caller: "workshop", Class: workerClass,
		Digest: sha256.Sum256([]byte(key)), Deadline: b.now + 5*time.Second,
	}
	for range tasks {
		s.Payloads = append(s.Payloads, payload())
	}
	return s
}

// settle answers starts until nothing is left to do.
func (b *bench) settle() error {
	for effects := b.core.TakeEffects(); len(effects) > 0; effects = b.core.TakeEffects() {
		for _, effect := range effects {
			send, ok := effect.(owner.Send)
			if !ok {
				continue
			}
			if err := b.answer(send); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *bench) answer(send owner.Send) error {
	if witness, ok := send.Message.(*wire.Witness); ok {
		b.acks++
		b.core.Receive(b.now, send.To, &wire.WitnessAck{ID: witness.ID})
		return nil
	}
	start, ok := send.Message.(*wire.Start)
	if !ok {
		return nil
	}
	b.starts++
	m, err := throughWire(&wire.Result{
		Task: start.Task, Attempt: start.Attempt, OK: true, Payload: payload(), RunUS: 50000, Credit: fullCredit(start.Seq),
	})
	if err != nil {
		return err
	}
	b.core.Receive(b.now, send.To, m)
	b.done++
	return nil
}

func measureMemory(r *report) error {
	for _, n := range []int{1000, 4000, 16000} {
		if err := recordMemory(r, n); err != nil {
			return err
		}
	}
	for _, tasks := range []int{1, 10, 140} {
		if err := jobMemory(r, tasks); err != nil {
			return err
		}
	}
	for _, n := range []int{1000, 4000, 16000} {
		if err := traceMemory(r, n); err != nil {
			return err
		}
	}
	for _, tasks := range []int{1, 10, 140} {
		if err := answeredTraceMemory(r, tasks); err != nil {
			return err
		}
	}
	return nil
}

// fillLedger makes an agent core with n records of ended tasks.
func fillLedger(n int, prefix string) (*ledger.Ledger, error) {
	l := ledger.New(ledger.DefaultSettings(), ledger.OpenGate{})
	now := ledger.Instant{Mono: time.Second, Wall: time.Unix(0, 0)}
	l.Announce(now, ledger.Upstream{Service: serviceName, Site: siteName, Classes: []string{workerClass}, Address: "http://127.0.0.1:1/run", Slots: coreSlots})
	l.LinkUp(now, member(1).ID)
	l.TakeEffects()
	for i := range n {
		job := wire.NewJobID("workshop", prefix+strconv.Itoa(i))
		m, err := throughWire(&wire.Start{
			Task: wire.TaskID{Job: job}, Attempt: 1, Epoch: 1, Upstream: serviceName, Seq: uint64(i + 1), Class: workerClass,
			Caller: "workshop", TaskCount: 1, DeadlineMS: 5000, Payload: payload(),
		})
		if err != nil {
			return nil, err
		}
		l.Receive(now, member(1).ID, m)
		l.Ended(now, wire.TaskID{Job: job}, true, payload(), 50*time.Millisecond)
		l.TakeEffects()
	}
	if l.Records() != n {
		return nil, fault.Internal.New("the ledger has %d records, not %d", l.Records(), n)
	}
	return l, nil
}

func recordMemory(r *report, n int) error {
	before := heapBytes()
	l, err := fillLedger(n, "key-")
	if err != nil {
		return err
	}
	r.point("agent: memory of records", "records", float64(n), "B", heapBytes()-before)
	runtime.KeepAlive(l)
	return nil
}

func jobMemory(r *report, tasks int) error {
	const jobs = 1000
	before := heapBytes()
	b := newBench(1, 10)
	for i := range jobs {
		b.core.Submit(b.now, uint64(i), b.submission(tasks))
		if err := b.settle(); err != nil {
			return err
		}
	}
	if n := b.core.Counters().Complete; n != jobs {
		return fault.Internal.New("%d jobs are complete, not %d", n, jobs)
	}
	b.core.Tick(b.now + 10*time.Second)
	b.core.TakeEffects()
	r.point("entry: memory per ended job", "tasks", float64(tasks), "B", (heapBytes()-before)/jobs)
	runtime.KeepAlive(b)
	return nil
}

func traceMemory(r *report, n int) error {
	before := heapBytes()
	b := newBench(2, 0)
	message := &wire.Witness{ID: 1}
	for range n {
		s := b.submission(1)
		message.JobRecords = append(message.JobRecords, wire.JobRecord{Job: s.Job, Digest: s.Digest, Epoch: 1})
	}
	m, err := throughWire(message)
	if err != nil {
		return err
	}
	b.core.Receive(b.now, member(2).ID, m)
	b.core.TakeEffects()
	m, message = nil, nil
	r.point("entry: memory of traces without answer", "traces", float64(n), "B", heapBytes()-before)
	runtime.KeepAlive(b)
	runtime.KeepAlive(m)
	runtime.KeepAlive(message)
	return nil
}

// answeredTraceMemory measures what the entry that received a request keeps
// after its owner has answered.
func answeredTraceMemory(r *report, tasks int) error {
	const traces = 1000
	before := heapBytes()
	b := newBench(2, 0)
	kept := 0
	for token := uint64(1); kept < traces; token++ {
		b.core.Submit(b.now, token, b.submission(tasks))
		n, err := b.answerForwards(tasks)
		if err != nil {
			return err
		}
		kept += n
	}
	// Requests in flight keep their payloads until their deadline.
	b.core.Tick(b.now + 10*time.Second)
	b.core.TakeEffects()
	r.point("entry: memory per trace with answer", "tasks", float64(tasks), "B", (heapBytes()-before)/traces)
	runtime.KeepAlive(b)
	return nil
}

// answerForwards answers as the other member would. The jobs of this member's
// own partitions are cancelled, because there is no agent; they take no part.
func (b *bench) answerForwards(tasks int) (int, error) {
	n := 0
	for _, effect := range b.core.TakeEffects() {
		send, ok := effect.(owner.Send)
		if !ok {
			continue
		}
		forward, ok := send.Message.(*wire.Forward)
		if !ok {
			continue
		}
		m, err := throughWire(&wire.ForwardReply{ID: forward.ID, Answer: &wire.Answer{Status: 200, Body: make([]byte, answerBytes(tasks))}})
		if err != nil {
			return n, err
		}
		b.core.Receive(b.now, send.To, m)
		n++
	}
	return n, nil
}

// answerBytes is the size of the JSON answer of a job.
func answerBytes(tasks int) int { return 80 + tasks*(payloadBytes+28) }

func measurePolicy(r *report) error {
	for _, callers := range []int{1, 20, 60, 180} {
		policyCost(r, callers)
	}
	return nil
}

const (
	policyUpstreams = 100
	policySlots     = 8
	policyWaiting   = 4000
	policyRounds    = 100000
)

func policyCost(r *report, callers int) {
	before := heapBytes()
	s := dispatch.New(rand.NewPCG(seed, seed))
	settings := dispatch.Settings{Callers: map[string]dispatch.CallerSettings{}, Owners: 1}
	names := make([]string, callers)
	for i := range names {
		names[i] = "team-" + strconv.Itoa(i)
		settings.Callers[names[i]] = dispatch.CallerSettings{Weight: float64(1 + i%3)}
	}
	s.Configure(0, settings)
	now := time.Second
	for i := range policyUpstreams {
		s.UpdateUpstream(now, dispatch.Upstream{
			ID: dispatch.UpstreamID{Host: agentHost(i), Service: serviceName}, Site: siteName, Classes: []string{workerClass},
			Slots: policySlots, Credits: policySlots, Expires: time.Hour,
		})
	}
	serial := 0
	enqueue := func() {
		serial++
		id := wire.TaskID{Job: wire.JobID{byte(serial), byte(serial >> 8), byte(serial >> 16), byte(serial >> 24)}}
		s.Enqueue(now, dispatch.Task{ID: id, Caller: names[serial%callers], Class: workerClass, Deadline: time.Hour, TaskCount: 1})
	}
	for range policyWaiting {
		enqueue()
	}
	running := make([]dispatch.Assignment, 0, policyUpstreams*policySlots)
	for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
		running = append(running, a)
	}
	r.point("policy: memory with 4,000 waiting tasks", "callers", float64(callers), "B", heapBytes()-before)
	begin := processorTime()
	for i := range policyRounds {
		at := i % len(running)
		now += 60 * time.Microsecond
		a := running[at]
		s.Finished(now, dispatch.Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: dispatch.Succeeded, RunTime: 48 * time.Millisecond})
		s.UpdateUpstream(now, dispatch.Upstream{
			ID: a.Upstream, Site: siteName, Classes: []string{workerClass}, Slots: policySlots, Credits: 1, Expires: time.Hour,
		})
		enqueue()
		if next, ok := s.Next(now); ok {
			running[at] = next
		}
	}
	r.point("policy: Finished, credit, Enqueue, Next per task", "callers", float64(callers), "ns", nanoseconds(processorTime()-begin, policyRounds))
	begin = processorTime()
	for i := range policyRounds {
		s.Admit(now, dispatch.AdmitRequest{Caller: names[i%callers], Class: workerClass, Tasks: 10, Deadline: now + 5*time.Second})
	}
	r.point("policy: Admit per job", "callers", float64(callers), "ns", nanoseconds(processorTime()-begin, policyRounds))
}

// measurePump measures the entry core alone: each message is handled and its
// effects are taken, as in the shell.
func measurePump(r *report) error {
	for _, n := range []int{10, 30, 100, 300, 1000} {
		if err := pumpCost(r, n); err != nil {
			return err
		}
	}
	return nil
}

func pumpCost(r *report, agentCount int) error {
	const tasks, limit = 10, 700 * time.Millisecond
	b := newBench(1, agentCount)
	begin := processorTime()
	for token := uint64(1); processorTime()-begin < limit; token++ {
		b.now += time.Millisecond
		b.core.Submit(b.now, token, b.submission(tasks))
		if err := b.settle(); err != nil {
			return err
		}
	}
	r.point("entry core: time per task, jobs of 10", "agents", float64(agentCount), "ns", nanoseconds(processorTime()-begin, b.done))
	if err := refusalCost(r, b, agentCount); err != nil {
		return err
	}
	begin = processorTime()
	ticks := 0
	for ; processorTime()-begin < limit/4; ticks++ {
		b.core.Tick(b.now)
		b.core.TakeEffects()
	}
	r.point("entry core: time per tick", "agents", float64(agentCount), "ns", nanoseconds(processorTime()-begin, ticks))
	return nil
}

// refusalCost measures jobs of a class that no upstream serves. Each refusal has
// to be kept by an agent before it may say not_run.
func refusalCost(r *report, b *bench, agentCount int) error {
	const jobs = 2000
	before := b.core.Counters().Refused
	begin := processorTime()
	for token := range uint64(jobs) {
		s := b.submission(1)
		s.Class = "not-served"
		b.core.Submit(b.now, token, s)
		if err := b.settle(); err != nil {
			return err
		}
	}
	took := processorTime() - begin
	if n := b.core.Counters().Refused - before; n != jobs {
		return fault.Internal.New("%d jobs were refused, not %d", n, jobs)
	}
	r.point("entry core: time per refused job", "agents", float64(agentCount), "ns", nanoseconds(took, jobs))
	r.point("entry core: refusals kept by agents per refused job", "agents", float64(agentCount), "messages", float64(b.acks)/jobs)
	return nil
}

func measureMap(r *report) error {
	for _, n := range []int{1, 3, 5, 10, 20, 30} {
		if err := mapCost(r, n); err != nil {
			return err
		}
	}
	return nil
}

func mapCost(r *report, n int) error {
	const rounds, agentCount = 200, 100
	before := membership.Next(nil, membership.Change{Add: members(n + 1)})
	m := membership.Next(before, membership.Change{Remove: []string{member(n + 1).ID}})
	row := m.Encode()
	frame, err := wire.Encode(&wire.MapNotice{Version: m.Version, Row: row})
	if err != nil {
		return err
	}
	r.point("map: bytes of a MapNotice", "entries", float64(n), "B", float64(len(frame)))
	begin := processorTime()
	for range rounds {
		if _, err := membership.Decode(row); err != nil {
			return err
		}
	}
	r.point("map: time to decode", "entries", float64(n), "µs", nanoseconds(processorTime()-begin, rounds)/1000)
	begin = processorTime()
	for range rounds {
		m.Encode()
	}
	r.point("map: time to encode", "entries", float64(n), "µs", nanoseconds(processorTime()-begin, rounds)/1000)
	b := newBench(n+1, agentCount)
	b.core.MapRead(b.now, b.now, m)
	notices := 0
	for _, effect := range b.core.TakeEffects() {
		if send, ok := effect.(owner.Send); ok {
			if _, ok := send.Message.(*wire.MapNotice); ok {
				notices++
			}
		}
	}
	r.point("map: notices that one entry with 100 agents sends", "entries", float64(n), "messages", float64(notices))
	return nil
}
