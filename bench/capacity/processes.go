package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	warmUpTime = time.Second
	// idleWindow is long enough for one ping on each idle link.
	idleWindow     = 8250 * time.Millisecond
	linkWindow     = 3 * time.Second
	busyLinkWindow = 2 * time.Second
	loadWindow     = 2 * time.Second
)

// loads have rates well below what the entries and agents can serve, so that no
// queue forms and the cost of a task is not hidden by batching. Each sends about 700
// tasks per second.
var loads = []load{
	{tasks: 1, perSecond: 300, duration: loadWindow},
	{tasks: 10, perSecond: 70, duration: loadWindow},
	{tasks: 140, perSecond: 5, duration: loadWindow},
}

// window is a period of measurement, between two snapshots.
type window struct{ from, to snapshot }

func (e *environment) observe(d time.Duration) (window, error) {
	var w window
	var err error
	if w.from, err = e.snapshot(opStats); err != nil {
		return w, err
	}
	time.Sleep(d)
	w.to, err = e.snapshot(opStats)
	return w, err
}

func (w window) seconds() float64 { return w.to.at.Sub(w.from.at).Seconds() }

// perSecond returns the increase of a counter per second.
func (w window) perSecond(from, to uint64) float64 { return float64(to-from) / w.seconds() }

// entryCPU and agentCPU return processor time in microseconds.
func (w window) entryCPU() float64 {
	return float64((w.to.entries.CPU - w.from.entries.CPU).Microseconds())
}
func (w window) agentCPU() float64 {
	return float64((w.to.agents.CPU - w.from.agents.CPU).Microseconds())
}

func (w window) entrySent() float64 {
	return float64(w.to.entries.Traffic.BytesSent - w.from.entries.Traffic.BytesSent)
}

func (w window) entryReceived() float64 {
	return float64(w.to.entries.Traffic.BytesReceived - w.from.entries.Traffic.BytesReceived)
}

func (w window) agentSent() float64 {
	return float64(w.to.agents.Traffic.BytesSent - w.from.agents.Traffic.BytesSent)
}

func (w window) agentReceived() float64 {
	return float64(w.to.agents.Traffic.BytesReceived - w.from.agents.Traffic.BytesReceived)
}

func (w window) entryMessages() float64 {
	return float64(w.to.entries.Traffic.MessagesSent - w.from.entries.Traffic.MessagesSent)
}

func (w window) agentMessages() float64 {
	return float64(w.to.agents.Traffic.MessagesSent - w.from.agents.Traffic.MessagesSent)
}

func (w window) packets() float64 {
	return float64(w.to.agents.Traffic.PacketsSent + w.to.entries.Traffic.PacketsSent -
		w.from.agents.Traffic.PacketsSent - w.from.entries.Traffic.PacketsSent)
}

// measureEntryLinks measures idle entries without agents.
func measureEntryLinks(r *report) error {
	for _, entryCount := range []int{1, 2, 3, 5} {
		e, err := startEnvironment(entryCount, 0)
		if err != nil {
			return err
		}
		time.Sleep(warmUpTime)
		w, err := e.observe(linkWindow)
		e.stop()
		if err != nil {
			return err
		}
		n, peers := float64(entryCount), float64(entryCount-1)
		r.addPoint("idle entry: processor time, by peers", "peers", peers, "µs/s", w.entryCPU()/w.seconds()/n)
		r.addPoint("idle entry: bytes sent, by peers", "peers", peers, "B/s", w.entrySent()/w.seconds()/n)
		r.addPoint("idle entry: bytes received, by peers", "peers", peers, "B/s", w.entryReceived()/w.seconds()/n)
		r.addPoint("idle entry: messages sent, by peers", "peers", peers, "messages/s", w.entryMessages()/w.seconds()/n)
		r.addPoint("table: reads by idle entries", "entries", n, "reads/s", w.perSecond(w.from.counts.Reads, w.to.counts.Reads))
		r.addPoint("table: writes by idle entries", "entries", n, "writes/s", w.perSecond(w.from.counts.Writes, w.to.counts.Writes))
	}
	return nil
}

// agentSizes are the numbers of agents that measureAgents uses.
var agentSizes []int

// measureAgents measures one entry with agents: their start, their memory, idle time,
// the time after tasks in which the links are pinged more often, and tasks.
func measureAgents(r *report) error {
	for _, agentCount := range agentSizes {
		if err := agentsCost(r, agentCount); err != nil {
			return err
		}
	}
	return nil
}

func agentsCost(r *report, agentCount int) error {
	e, err := startEnvironment(1, agentCount)
	if err != nil {
		return err
	}
	defer e.stop()
	time.Sleep(warmUpTime)
	n := float64(agentCount)
	first, err := e.snapshot(opMemory)
	if err != nil {
		return err
	}
	r.addPoint("start: processor time of entry", "agents", n, "µs", float64(first.entries.CPU.Microseconds()))
	r.addPoint("start: processor time of agents", "agents", n, "µs", float64(first.agents.CPU.Microseconds()))
	r.addPoint("start: bytes sent and received by entry", "agents", n, "B", float64(first.entries.Traffic.BytesSent+first.entries.Traffic.BytesReceived))
	r.addPoint("start: table reads", "agents", n, "reads", float64(first.counts.Reads))
	r.addPoint("start: table writes", "agents", n, "writes", float64(first.counts.Writes))
	r.addPoint("memory of entry by linked agents", "agents", n, "B", float64(first.entries.HeapBytes+first.entries.StackBytes))
	r.addPoint("memory of agents", "agents", n, "B", float64(first.agents.HeapBytes+first.agents.StackBytes))
	idle, err := e.observe(idleWindow)
	if err != nil {
		return err
	}
	noLoadPoints(r, "idle", n, idle)
	r.addPoint("table: reads with idle agents", "agents", n, "reads/s", idle.perSecond(idle.from.counts.Reads, idle.to.counts.Reads))
	r.addPoint("table: writes with idle agents", "agents", n, "writes/s", idle.perSecond(idle.from.counts.Writes, idle.to.counts.Writes))
	e.run(load{tasks: 10, perSecond: 70, duration: time.Second})
	busy, err := e.observe(busyLinkWindow)
	if err != nil {
		return err
	}
	noLoadPoints(r, "watched", n, busy)
	if err := e.taskPoints(r, busy, fmt.Sprintf("1 entry, %d agents", agentCount), "agents", n); err != nil {
		return err
	}
	return e.configPoints(r, "agents", n, 1, agentCount)
}

// noLoadPoints reports processor time and traffic while no tasks run. state is "idle",
// or "watched" while links are pinged more often after tasks.
func noLoadPoints(r *report, state string, n float64, w window) {
	r.addPoint(state+": processor time of entry", "agents", n, "µs/s", w.entryCPU()/w.seconds())
	r.addPoint(state+": processor time of agents", "agents", n, "µs/s", w.agentCPU()/w.seconds())
	r.addPoint(state+": bytes sent by entry", "agents", n, "B/s", w.entrySent()/w.seconds())
	r.addPoint(state+": bytes sent by agents", "agents", n, "B/s", w.agentSent()/w.seconds())
	r.addPoint(state+": messages sent by entry", "agents", n, "messages/s", w.entryMessages()/w.seconds())
	r.addPoint(state+": messages sent by agents", "agents", n, "messages/s", w.agentMessages()/w.seconds())
}

// taskPoints runs the loads and reports the cost of a job beyond that of the
// baseline, in which links are pinged as often but no tasks run.
func (e *environment) taskPoints(r *report, baseline window, where, by string, size float64) error {
	for _, l := range loads {
		var w window
		var err error
		if w.from, err = e.snapshot(opStats); err != nil {
			return err
		}
		result := e.run(l)
		if w.to, err = e.snapshot(opStats); err != nil {
			return err
		}
		if n := result.incomplete.Load(); n > 0 {
			fmt.Fprintf(r.out, "  %d jobs of %d tasks were not complete, %d were\n", n, l.tasks, result.complete.Load())
		}
		jobs := float64(result.complete.Load())
		tasks := float64(l.tasks)
		extraPerJob := func(of func(window) float64) float64 {
			return (of(w) - of(baseline)*w.seconds()/baseline.seconds()) / jobs
		}
		costs := []struct {
			name, unit string
			value      float64
		}{
			{"processor time of entries", "µs", extraPerJob(window.entryCPU)},
			{"processor time of agents", "µs", extraPerJob(window.agentCPU)},
			{"bytes from entries", "B", extraPerJob(window.entrySent)},
			{"bytes from agents", "B", extraPerJob(window.agentSent)},
			{"messages from entries", "messages", float64(extraPerJob(window.entryMessages))},
			{"messages from agents", "messages", float64(extraPerJob(window.agentMessages))},
			{"packets", "packets", extraPerJob(window.packets)},
		}
		for _, c := range costs {
			r.addPoint("job: "+c.name+", "+where, "tasks", tasks, c.unit, c.value)
		}
		r.addPoint(fmt.Sprintf("task: processor time of entries, jobs of %d, by %s", l.tasks, by), by, size, "µs", costs[0].value/tasks)
		r.addPoint(fmt.Sprintf("task: processor time of agents, jobs of %d, by %s", l.tasks, by), by, size, "µs", costs[1].value/tasks)
	}
	return nil
}

// measureForward measures tasks by the number of entries. With several entries, an
// entry forwards most requests to their owners.
func measureForward(r *report) error {
	const agentCount = 10
	for _, entryCount := range []int{1, 3, 5} {
		e, err := startEnvironment(entryCount, agentCount)
		if err != nil {
			return err
		}
		time.Sleep(warmUpTime)
		if err := e.agentLinkPoints(r, float64(entryCount), agentCount); err != nil {
			e.stop()
			return err
		}
		e.run(load{tasks: 10, perSecond: 70, duration: time.Second})
		busy, err := e.observe(busyLinkWindow)
		if err == nil {
			n := float64(agentCount)
			r.addPoint("watched agent: processor time, by entries", "entries", float64(entryCount), "µs/s", busy.agentCPU()/busy.seconds()/n)
			r.addPoint("watched agent: bytes sent, by entries", "entries", float64(entryCount), "B/s", busy.agentSent()/busy.seconds()/n)
			r.addPoint("watched agent: bytes received, by entries", "entries", float64(entryCount), "B/s", busy.agentReceived()/busy.seconds()/n)
			err = e.taskPoints(r, busy, fmt.Sprintf("%d entries, %d agents", entryCount, agentCount), "entries", float64(entryCount))
		}
		if err == nil {
			err = e.configPoints(r, "entries", float64(entryCount), entryCount, agentCount)
		}
		e.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// agentLinkPoints reports what one idle agent costs by the number of entries.
func (e *environment) agentLinkPoints(r *report, entryCount float64, agentCount int) error {
	w, err := e.observe(idleWindow)
	if err != nil {
		return err
	}
	memory, err := e.agents.call(command{Op: opMemory})
	if err != nil {
		return err
	}
	n := float64(agentCount)
	r.addPoint("idle agent: processor time, by entries", "entries", entryCount, "µs/s", w.agentCPU()/w.seconds()/n)
	r.addPoint("idle agent: bytes sent, by entries", "entries", entryCount, "B/s", w.agentSent()/w.seconds()/n)
	r.addPoint("idle agent: bytes received, by entries", "entries", entryCount, "B/s", w.agentReceived()/w.seconds()/n)
	r.addPoint("idle agent: memory, by entries", "entries", entryCount, "B", float64(memory.HeapBytes+memory.StackBytes)/n)
	return nil
}

// takeoverWindow is longer than the 3 s of the failure detector and the writes of
// the new bases together.
const takeoverWindow = 6 * time.Second

// probeDeadline is the deadline of the jobs that test whether keys are served. It
// is far above their run time also while the machine is busy.
const probeDeadline = time.Second

func measureTakeover(r *report) error {
	sizes := []struct {
		entries, agents int
		by              []string
	}{
		{3, 30, []string{"entries", "agents"}}, {5, 30, []string{"entries"}}, {8, 30, []string{"entries"}},
		// With more agents the one core of their process is the limit.
		{3, 100, []string{"agents"}}, {3, 200, []string{"agents"}},
	}
	for _, s := range sizes {
		if err := takeoverCost(r, s.entries, s.agents, s.by); err != nil {
			return err
		}
	}
	for _, killedEntries := range []int{1, 2} {
		if err := dataCentreLossCost(r, killedEntries); err != nil {
			return err
		}
	}
	return nil
}

// dataCentreLossCost kills one or two of five entries and three of 30 agents
// together, as when a data centre is lost.
func dataCentreLossCost(r *report, killedEntries int) error {
	const entryCount, agentCount, killedAgents = 5, 30, 3
	e, err := startEnvironment(entryCount, agentCount)
	if err != nil {
		return err
	}
	defer e.stop()
	time.Sleep(2 * warmUpTime)
	for i := range killedAgents {
		if _, err := e.agents.call(command{Op: opKill, Index: i}); err != nil {
			return err
		}
	}
	for i := range killedEntries {
		if _, err := e.entries.call(command{Op: opKill, Index: i}); err != nil {
			return err
		}
	}
	e.killed = killedEntries
	p := e.probePartitions(takeoverWindow)
	name := "entries and three of 30 agents killed: "
	r.addPoint(name+"partitions not served after 6 s", "killed", float64(killedEntries), "partitions", float64(p.unserved))
	return nil
}

func takeoverCost(r *report, entryCount, agentCount int, names []string) error {
	e, err := startEnvironment(entryCount, agentCount)
	if err != nil {
		return err
	}
	defer e.stop()
	time.Sleep(2 * warmUpTime)
	idle, err := e.observe(2 * time.Second)
	if err != nil {
		return err
	}
	mapVersionBefore := e.mapVersion()
	var w window
	if w.from, err = e.snapshot(opStats); err != nil {
		return err
	}
	if _, err := e.entries.call(command{Op: opKill}); err != nil {
		return err
	}
	e.killed = 1
	p := e.probePartitions(takeoverWindow)
	if w.to, err = e.snapshot(opStats); err != nil {
		return err
	}
	survivors := float64(entryCount-1) / float64(entryCount)
	reads := w.perSecond(w.from.counts.Reads, w.to.counts.Reads) - survivors*idle.perSecond(idle.from.counts.Reads, idle.to.counts.Reads)
	writes := w.perSecond(w.from.counts.Writes, w.to.counts.Writes) - survivors*idle.perSecond(idle.from.counts.Writes, idle.to.counts.Writes)
	sizes := map[string]float64{"entries": float64(entryCount), "agents": float64(agentCount)}
	for _, by := range names {
		point := func(what, unit string, value float64) {
			r.addPoint("entry killed, by "+by+": "+what, by, sizes[by], unit, value)
		}
		point("until all keys are served", "s", p.allServed.Seconds())
		point("partitions not served after 6 s", "partitions", float64(p.unserved))
		point("refused probes", "probes", float64(p.failed))
		point("map versions written", "versions", float64(e.mapVersion()-mapVersionBefore))
		point("table reads beyond those of idle survivors", "reads", reads*w.seconds())
		point("table writes beyond those of idle survivors", "writes", writes*w.seconds())
		point("bytes received per agent", "B", w.agentReceived()/float64(agentCount))
		point("bytes sent per surviving entry", "B", w.entrySent()/float64(entryCount-1))
		point("processor time of entries", "ms", w.entryCPU()/1000)
		point("processor time of agents", "ms", w.agentCPU()/1000)
	}
	return nil
}

func (e *environment) mapVersion() uint64 {
	row, err := e.table.Get(context.Background(), membership.MapKey)
	if err != nil {
		return 0
	}
	m, err := membership.Decode(row.Value)
	if err != nil {
		return 0
	}
	return m.Version
}

// probeResult is the result of probing all partitions.
type probeResult struct {
	// allServed is the time from the start until each partition that was served had
	// its first answer.
	allServed time.Duration
	// failed counts probes without a 200 response, unserved partitions without any.
	failed   int
	unserved int
}

// probePartitions submits jobs for each partition to the surviving entries for a
// duration of d.
func (e *environment) probePartitions(d time.Duration) probeResult {
	const pause = 250 * time.Millisecond
	begin := time.Now()
	var p probeResult
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	keys := make([][wire.PartitionCount]string, d/pause+1)
	source := newProbeKeys()
	for i := range keys {
		keys[i] = source.next()
	}
	for partition := range wire.PartitionCount {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			served, failed := e.probePartition(begin.Add(d), pause, partition, keys)
			mu.Lock()
			defer mu.Unlock()
			p.failed += failed
			if served.IsZero() {
				p.unserved++
				return
			}
			p.allServed = max(p.allServed, served.Sub(begin))
		}()
	}
	inFlight.Wait()
	return p
}

// probePartition submits jobs for partition p until end. It returns the time of the
// first 200 response, zero if there was none, and the number of other outcomes.
func (e *environment) probePartition(end time.Time, pause time.Duration, p int, keys [][wire.PartitionCount]string) (served time.Time, failed int) {
	address := e.entryAddresses[e.killed+p%(len(e.entryAddresses)-e.killed)]
	for i := 0; i < len(keys) && time.Now().Before(end); i++ {
		status, err := e.submitTo(address, keys[i][p], probeBody())
		switch {
		case err != nil || status != http.StatusOK:
			failed++
		case served.IsZero():
			served = time.Now()
		}
		time.Sleep(pause)
	}
	return served, failed
}
