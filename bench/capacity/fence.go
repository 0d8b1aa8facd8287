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

// measureFence measures a takeover of half of the partitions: the successor
// lists the agents, fences them and reads their records.
func measureFence(r *report) error {
	for _, records := range []int{0, 1000, 4000, 16000} {
		if err := fenceCost(r, 10, records/10, "records", float64(records)); err != nil {
			return err
		}
	}
	for _, agentCount := range []int{10, 30, 100, 300, 1000} {
		if err := fenceCost(r, agentCount, 10, "agents", float64(agentCount)); err != nil {
			return err
		}
	}
	return nil
}

func fenceCost(r *report, agentCount, recordsEach int, by string, size float64) error {
	b := newBench(2, agentCount)
	ledgers := map[string]*ledger.Ledger{}
	var rows []owner.AgentRow
	for i := range agentCount {
		host := agentHost(i)
		l, err := fillLedger(recordsEach, host+"-"+strconv.Itoa(i))
		if err != nil {
			return err
		}
		ledgers[host] = l
		rows = append(rows, owner.AgentRow{Host: host, Incarnation: host})
	}
	first := b.core.Map()
	next := membership.Next(first, membership.Change{Remove: []string{member(2).ID}})
	f := fencing{b: b, ledgers: ledgers, rows: rows}
	if err := f.run(next); err != nil {
		return err
	}
	if f.fenced != agentCount {
		return fault.Internal.New("%d of %d agents were fenced", f.fenced, agentCount)
	}
	r.point("takeover: successor's time, by "+by, by, size, "ms", f.successor.Seconds()*1000)
	r.point("takeover: all agents' time, by "+by, by, size, "ms", f.agents.Seconds()*1000)
	r.point("takeover: bytes from agents, by "+by, by, size, "B", float64(f.bytes))
	return nil
}

type fencing struct {
	b         *bench
	ledgers   map[string]*ledger.Ledger
	rows      []owner.AgentRow
	fenced    int
	bytes     int
	successor time.Duration
	agents    time.Duration
}

func (f *fencing) run(next *membership.Map) error {
	begin := processorTime()
	f.b.core.MapRead(f.b.now, f.b.now, next)
	effects := f.b.core.TakeEffects()
	f.successor += processorTime() - begin
	for ; len(effects) > 0; effects = f.takeEffects() {
		for _, effect := range effects {
			if err := f.carryOut(effect); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fencing) takeEffects() []owner.Effect {
	begin := processorTime()
	defer func() { f.successor += processorTime() - begin }()
	return f.b.core.TakeEffects()
}

func (f *fencing) carryOut(effect owner.Effect) error {
	switch effect := effect.(type) {
	case owner.ListAgents:
		begin := processorTime()
		f.b.core.AgentsListed(f.b.now, effect.Takeover, f.rows)
		f.successor += processorTime() - begin
	case owner.Send:
		if fence, ok := effect.Message.(*wire.Fence); ok && f.ledgers[effect.To] != nil {
			return f.fence(effect.To, fence)
		}
	}
	return nil
}

func (f *fencing) fence(host string, m *wire.Fence) error {
	f.fenced++
	begin := processorTime()
	l := f.ledgers[host]
	l.Receive(ledger.Instant{Mono: 2 * time.Second}, member(1).ID, m)
	var frames [][]byte
	for _, effect := range l.TakeEffects() {
		frame, err := wire.Encode(effect.(ledger.Send).Message)
		if err != nil {
			return err
		}
		frames = append(frames, frame)
	}
	f.agents += processorTime() - begin
	begin = processorTime()
	for _, frame := range frames {
		f.bytes += len(frame)
		reply, err := wire.Decode(frame[0], frame[5:])
		if err != nil {
			return err
		}
		f.b.core.Receive(f.b.now, host, reply)
	}
	f.successor += processorTime() - begin
	return nil
}
