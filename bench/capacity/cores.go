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

// heapBytes returns the heap memory in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func nanoseconds(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / float64(n) }

// codecRoundTrip returns the message as the other end of a link decodes it, so that
// it retains the same memory as in production.
func codecRoundTrip(m wire.Message) (wire.Message, error) {
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

// member returns an entry with its own, random-looking incarnation and address, so that
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

// harness is an entry core with stand-ins for its agents that answer each Start at
// once.
type harness struct {
	core      *owner.Core
	now       time.Duration
	keySerial int
	// starts, results and witnessAcks count Start, Result and WitnessAck messages.
	starts      int
	results     int
	witnessAcks int
}

// newHarness returns the core of the first of entryCount members with agentCount
// linked agents.
func newHarness(entryCount, agentCount int) *harness {
	h := &harness{now: time.Second}
	h.core = owner.New(member(1), owner.DefaultSettings(), dispatch.New(rand.NewPCG(seed, seed)), 0)
	first := membership.Next(nil, membership.Change{Add: members(entryCount)})
	h.core.MapRead(h.now, h.now, first)
	for i := range entryCount - 1 {
		h.core.LinkUp(h.now, wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleEntry, ID: member(i + 2).ID})
	}
	for i := range agentCount {
		h.linkAgent(i)
	}
	h.core.TakeEffects()
	return h
}

func agentHost(i int) string { return "worker-" + strconv.Itoa(i+1) }

func (h *harness) linkAgent(i int) {
	host := agentHost(i)
	h.core.LinkUp(h.now, wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleAgent, ID: host, Incarnation: host, DataCentre: "kunda-hall"})
	h.core.Receive(h.now, host, &wire.UpstreamUp{
		Upstream: serviceName, Site: siteName, Classes: []string{className}, Slots: coreSlots, Credit: fullCredit(0),
	})
}

func fullCredit(lastSeq uint64) wire.Credit {
	return wire.Credit{Upstream: serviceName, Count: coreSlots, LastSeq: lastSeq, TTLMS: 20000}
}

func (h *harness) submission(tasks int) owner.Submission {
	h.keySerial++
	key := "key-" + strconv.Itoa(h.keySerial)
	s := owner.Submission{
		Job: wire.NewJobID("workshop", key), Caller: "workshop", Class: className,
		Digest: sha256.Sum256([]byte(key)), Deadline: h.now + 5*time.Second,
	}
	for range tasks {
		s.Payloads = append(s.Payloads, payload())
	}
	return s
}

// answerAll answers the messages of the core until it has no more effects.
func (h *harness) answerAll() error {
	for effects := h.core.TakeEffects(); len(effects) > 0; effects = h.core.TakeEffects() {
		for _, effect := range effects {
			send, ok := effect.(owner.Send)
			if !ok {
				continue
			}
			if err := h.answer(send); err != nil {
				return err
			}
		}
	}
	return nil
}

// answer answers a Witness with a WitnessAck and a Start with a Result. It ignores
// other messages.
func (h *harness) answer(send owner.Send) error {
	if witness, ok := send.Message.(*wire.Witness); ok {
		h.witnessAcks++
		h.core.Receive(h.now, send.To, &wire.WitnessAck{ID: witness.ID})
		return nil
	}
	start, ok := send.Message.(*wire.Start)
	if !ok {
		return nil
	}
	h.starts++
	m, err := codecRoundTrip(&wire.Result{
		Task: start.Task, Attempt: start.Attempt, OK: true, Payload: payload(), RunUS: 50000, Credit: fullCredit(start.Seq),
	})
	if err != nil {
		return err
	}
	h.core.Receive(h.now, send.To, m)
	h.results++
	return nil
}

func measureMemory(r *report) error {
	for _, n := range []int{1000, 4000, 16000} {
		if err := taskRecordMemory(r, n); err != nil {
			return err
		}
	}
	for _, tasks := range []int{1, 10, 140} {
		if err := jobMemory(r, tasks); err != nil {
			return err
		}
	}
	for _, n := range []int{1000, 4000, 16000} {
		if err := jobRecordMemory(r, n); err != nil {
			return err
		}
	}
	for _, tasks := range []int{1, 10, 140} {
		if err := answeredJobRecordMemory(r, tasks); err != nil {
			return err
		}
	}
	return nil
}

// fillLedger returns an agent core with n task records of ended tasks.
func fillLedger(n int, prefix string) (*ledger.Ledger, error) {
	l := ledger.New(ledger.DefaultSettings(), ledger.OpenGate{})
	now := ledger.Instant{Mono: time.Second, Wall: time.Unix(0, 0)}
	l.Announce(now, ledger.Upstream{Service: serviceName, Site: siteName, Classes: []string{className}, Address: "http://127.0.0.1:1/run", Slots: coreSlots})
	l.LinkUp(now, member(1).ID)
	l.TakeEffects()
	for i := range n {
		job := wire.NewJobID("workshop", prefix+strconv.Itoa(i))
		m, err := codecRoundTrip(&wire.Start{
			Task: wire.TaskID{Job: job}, Attempt: 1, Epoch: 1, Upstream: serviceName, Seq: uint64(i + 1), Class: className,
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
		return nil, fault.Internal.New("the ledger has %d task records, not %d", l.Records(), n)
	}
	return l, nil
}

func taskRecordMemory(r *report, n int) error {
	before := heapBytes()
	l, err := fillLedger(n, "key-")
	if err != nil {
		return err
	}
	r.addPoint("agent: memory of records", "records", float64(n), "B", heapBytes()-before)
	runtime.KeepAlive(l)
	return nil
}

func jobMemory(r *report, tasks int) error {
	const jobs = 1000
	before := heapBytes()
	h := newHarness(1, 10)
	for i := range jobs {
		h.core.Submit(h.now, uint64(i), h.submission(tasks))
		if err := h.answerAll(); err != nil {
			return err
		}
	}
	if n := h.core.Counters().Complete; n != jobs {
		return fault.Internal.New("%d jobs are complete, not %d", n, jobs)
	}
	h.core.Tick(h.now + 10*time.Second)
	h.core.TakeEffects()
	r.addPoint("entry: memory per ended job", "tasks", float64(tasks), "B", (heapBytes()-before)/jobs)
	runtime.KeepAlive(h)
	return nil
}

// jobRecordMemory measures the job records of another owner's jobs that the entry
// stores as their witness. The quantities in the CSV file call a job record a trace.
func jobRecordMemory(r *report, n int) error {
	before := heapBytes()
	h := newHarness(2, 0)
	message := &wire.Witness{ID: 1}
	for range n {
		s := h.submission(1)
		message.JobRecords = append(message.JobRecords, wire.JobRecord{Job: s.Job, Digest: s.Digest, Epoch: 1})
	}
	m, err := codecRoundTrip(message)
	if err != nil {
		return err
	}
	h.core.Receive(h.now, member(2).ID, m)
	h.core.TakeEffects()
	m, message = nil, nil
	r.addPoint("entry: memory of traces without answer", "traces", float64(n), "B", heapBytes()-before)
	runtime.KeepAlive(h)
	runtime.KeepAlive(m)
	runtime.KeepAlive(message)
	return nil
}

// answeredJobRecordMemory measures the memory that a request takes in the entry that
// received it, after the owner of its partition has answered. The quantities in the
// CSV file call a job record a trace.
func answeredJobRecordMemory(r *report, tasks int) error {
	const jobRecords = 1000
	before := heapBytes()
	h := newHarness(2, 0)
	answered := 0
	for token := uint64(1); answered < jobRecords; token++ {
		h.core.Submit(h.now, token, h.submission(tasks))
		n, err := h.answerForwards(tasks)
		if err != nil {
			return err
		}
		answered += n
	}
	// Requests in flight hold their payloads until their deadline.
	h.core.Tick(h.now + 10*time.Second)
	h.core.TakeEffects()
	r.addPoint("entry: memory per trace with answer", "tasks", float64(tasks), "B", (heapBytes()-before)/jobRecords)
	runtime.KeepAlive(h)
	return nil
}

// answerForwards answers as the other member would and returns the number of answers.
// The jobs of this member's own partitions are cancelled, because there is no agent,
// and are not counted.
func (h *harness) answerForwards(tasks int) (int, error) {
	n := 0
	for _, effect := range h.core.TakeEffects() {
		send, ok := effect.(owner.Send)
		if !ok {
			continue
		}
		forward, ok := send.Message.(*wire.Forward)
		if !ok {
			continue
		}
		m, err := codecRoundTrip(&wire.ForwardReply{ID: forward.ID, Answer: &wire.Answer{Status: 200, Body: make([]byte, answerBytes(tasks))}})
		if err != nil {
			return n, err
		}
		h.core.Receive(h.now, send.To, m)
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
			ID: dispatch.UpstreamID{Host: agentHost(i), Service: serviceName}, Site: siteName, Classes: []string{className},
			Slots: policySlots, Credits: policySlots, Expires: time.Hour,
		})
	}
	serial := 0
	enqueue := func() {
		serial++
		id := wire.TaskID{Job: wire.JobID{byte(serial), byte(serial >> 8), byte(serial >> 16), byte(serial >> 24)}}
		s.Enqueue(now, dispatch.Task{ID: id, Caller: names[serial%callers], Class: className, Deadline: time.Hour, TaskCount: 1})
	}
	for range policyWaiting {
		enqueue()
	}
	running := make([]dispatch.Assignment, 0, policyUpstreams*policySlots)
	for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
		running = append(running, a)
	}
	r.addPoint("policy: memory with 4,000 waiting tasks", "callers", float64(callers), "B", heapBytes()-before)
	begin := processorTime()
	for i := range policyRounds {
		slot := i % len(running)
		now += 60 * time.Microsecond
		a := running[slot]
		s.Finished(now, dispatch.Outcome{Task: a.Task.ID, Upstream: a.Upstream, Kind: dispatch.Succeeded, RunTime: 48 * time.Millisecond})
		s.UpdateUpstream(now, dispatch.Upstream{
			ID: a.Upstream, Site: siteName, Classes: []string{className}, Slots: policySlots, Credits: 1, Expires: time.Hour,
		})
		enqueue()
		if next, ok := s.Next(now); ok {
			running[slot] = next
		}
	}
	r.addPoint("policy: Finished, credit, Enqueue, Next per task", "callers", float64(callers), "ns", nanoseconds(processorTime()-begin, policyRounds))
	begin = processorTime()
	for i := range policyRounds {
		s.Admit(now, dispatch.AdmitRequest{Caller: names[i%callers], Class: className, Tasks: 10, Deadline: now + 5*time.Second})
	}
	r.addPoint("policy: Admit per job", "callers", float64(callers), "ns", nanoseconds(processorTime()-begin, policyRounds))
}

// measureEntryCore measures the entry core alone: it handles each message and takes
// the effects, as the I/O layer does.
func measureEntryCore(r *report) error {
	for _, n := range []int{10, 30, 100, 300, 1000} {
		if err := entryCoreCost(r, n); err != nil {
			return err
		}
	}
	return nil
}

func entryCoreCost(r *report, agentCount int) error {
	const tasks, limit = 10, 700 * time.Millisecond
	h := newHarness(1, agentCount)
	begin := processorTime()
	for token := uint64(1); processorTime()-begin < limit; token++ {
		h.now += time.Millisecond
		h.core.Submit(h.now, token, h.submission(tasks))
		if err := h.answerAll(); err != nil {
			return err
		}
	}
	r.addPoint("entry core: time per task, jobs of 10", "agents", float64(agentCount), "ns", nanoseconds(processorTime()-begin, h.results))
	if err := refusalCost(r, h, agentCount); err != nil {
		return err
	}
	begin = processorTime()
	ticks := 0
	for ; processorTime()-begin < limit/4; ticks++ {
		h.core.Tick(h.now)
		h.core.TakeEffects()
	}
	r.addPoint("entry core: time per tick", "agents", float64(agentCount), "ns", nanoseconds(processorTime()-begin, ticks))
	return nil
}

// refusalCost measures jobs of a class that no upstream serves. Each refusal
// has to be stored by an agent before it may say not_run.
func refusalCost(r *report, h *harness, agentCount int) error {
	const jobs = 2000
	before := h.core.Counters().Refused
	begin := processorTime()
	for token := range uint64(jobs) {
		s := h.submission(1)
		s.Class = "not-served"
		h.core.Submit(h.now, token, s)
		if err := h.answerAll(); err != nil {
			return err
		}
	}
	took := processorTime() - begin
	if n := h.core.Counters().Refused - before; n != jobs {
		return fault.Internal.New("%d jobs were refused, not %d", n, jobs)
	}
	r.addPoint("entry core: time per refused job", "agents", float64(agentCount), "ns", nanoseconds(took, jobs))
	r.addPoint("entry core: refusals kept by agents per refused job", "agents", float64(agentCount), "messages", float64(h.witnessAcks)/jobs)
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
	r.addPoint("map: bytes of a MapNotice", "entries", float64(n), "B", float64(len(frame)))
	begin := processorTime()
	for range rounds {
		if _, err := membership.Decode(row); err != nil {
			return err
		}
	}
	r.addPoint("map: time to decode", "entries", float64(n), "µs", nanoseconds(processorTime()-begin, rounds)/1000)
	begin = processorTime()
	for range rounds {
		m.Encode()
	}
	r.addPoint("map: time to encode", "entries", float64(n), "µs", nanoseconds(processorTime()-begin, rounds)/1000)
	h := newHarness(n+1, agentCount)
	h.core.MapRead(h.now, h.now, m)
	notices := 0
	for _, effect := range h.core.TakeEffects() {
		if send, ok := effect.(owner.Send); ok {
			if _, ok := send.Message.(*wire.MapNotice); ok {
				notices++
			}
		}
	}
	r.addPoint("map: notices that one entry with 100 agents sends", "entries", float64(n), "messages", float64(notices))
	return nil
}
