package main

import (
	"strconv"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// measureTakeoverCores measures a takeover of half of the partitions with the cores
// alone: the successor lists the agents, fences them and reads their task records.
func measureTakeoverCores(r *report) error {
	for _, records := range []int{0, 1000, 4000, 16000} {
		if err := takeoverCoresCost(r, 10, records/10, "records", float64(records)); err != nil {
			return err
		}
	}
	for _, agentCount := range []int{10, 30, 100, 300, 1000} {
		if err := takeoverCoresCost(r, agentCount, 10, "agents", float64(agentCount)); err != nil {
			return err
		}
	}
	return nil
}

func takeoverCoresCost(r *report, agentCount, recordsPerAgent int, by string, size float64) error {
	h := newHarness(2, agentCount)
	ledgers := map[string]*ledger.Ledger{}
	var rows []owner.AgentRow
	for i := range agentCount {
		host := agentHost(i)
		l, err := fillLedger(recordsPerAgent, host+"-"+strconv.Itoa(i))
		if err != nil {
			return err
		}
		ledgers[host] = l
		rows = append(rows, owner.AgentRow{Host: host, Incarnation: host})
	}
	first := h.core.Map()
	next := membership.Next(first, membership.Change{Remove: []string{member(2).ID}})
	t := takeoverRun{harness: h, ledgers: ledgers, rows: rows}
	if err := t.run(next); err != nil {
		return err
	}
	if t.fenced != agentCount {
		return fault.Internal.New("%d of %d agents were fenced", t.fenced, agentCount)
	}
	r.addPoint("takeover: successor's time, by "+by, by, size, "ms", t.successorTime.Seconds()*1000)
	r.addPoint("takeover: all agents' time, by "+by, by, size, "ms", t.agentTime.Seconds()*1000)
	r.addPoint("takeover: bytes from agents, by "+by, by, size, "B", float64(t.agentBytes))
	return nil
}

// takeoverRun passes the messages of one takeover between the core of the successor
// and the ledgers of the agents.
type takeoverRun struct {
	harness    *harness
	ledgers    map[string]*ledger.Ledger
	rows       []owner.AgentRow
	fenced     int
	agentBytes int
	// successorTime and agentTime are processor time; agentTime is the sum over all
	// agents.
	successorTime time.Duration
	agentTime     time.Duration
}

func (t *takeoverRun) run(next *membership.Map) error {
	begin := processorTime()
	t.harness.core.MapRead(t.harness.now, t.harness.now, next)
	effects := t.harness.core.TakeEffects()
	t.successorTime += processorTime() - begin
	for ; len(effects) > 0; effects = t.takeEffects() {
		for _, effect := range effects {
			if err := t.handleEffect(effect); err != nil {
				return err
			}
		}
	}
	return nil
}

// takeEffects takes the effects of the successor and measures the time for it.
func (t *takeoverRun) takeEffects() []owner.Effect {
	begin := processorTime()
	defer func() { t.successorTime += processorTime() - begin }()
	return t.harness.core.TakeEffects()
}

func (t *takeoverRun) handleEffect(effect owner.Effect) error {
	switch effect := effect.(type) {
	case owner.ListAgents:
		begin := processorTime()
		t.harness.core.AgentsListed(t.harness.now, effect.Takeover, t.rows)
		t.successorTime += processorTime() - begin
	case owner.Send:
		if fence, ok := effect.Message.(*wire.Fence); ok && t.ledgers[effect.To] != nil {
			return t.fence(effect.To, fence)
		}
	}
	return nil
}

func (t *takeoverRun) fence(host string, m *wire.Fence) error {
	t.fenced++
	begin := processorTime()
	l := t.ledgers[host]
	l.Receive(ledger.Instant{Mono: 2 * time.Second}, member(1).ID, m)
	var frames [][]byte
	for _, effect := range l.TakeEffects() {
		frame, err := wire.Encode(effect.(ledger.Send).Message)
		if err != nil {
			return err
		}
		frames = append(frames, frame)
	}
	t.agentTime += processorTime() - begin
	begin = processorTime()
	for _, frame := range frames {
		t.agentBytes += len(frame)
		reply, err := wire.Decode(frame[0], frame[5:])
		if err != nil {
			return err
		}
		t.harness.core.Receive(t.harness.now, host, reply)
	}
	t.successorTime += processorTime() - begin
	return nil
}
