package main

import (
	"context"
	"fmt"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/gate"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	configDataCentres = 11
	configSites       = 33
	configClasses     = 20
	configCallers     = 180
)

func dataCentreName(i int) string { return fmt.Sprintf("hall-%02d", i) }

// configuration returns a configuration of the size that a large installation has.
// Its content differs for each change number.
func configuration(callers, change int) *config.Config {
	c := config.Default()
	for i := range configDataCentres {
		distance := map[string]config.Duration{}
		for k := range i {
			distance[dataCentreName(k)] = config.Duration(1500 * time.Microsecond)
		}
		c.DataCentres[dataCentreName(i)] = config.DataCentre{Distance: distance}
	}
	for i := range configSites {
		c.Sites[fmt.Sprintf("site-%02d", i)] = config.Site{
			TimeZone: "Europe/Tallinn", DataCentre: dataCentreName(i % configDataCentres),
			QuietHours: []config.QuietSpan{{From: 23 * 60, To: 5*60 + 30}},
		}
	}
	for i := range configClasses {
		c.Classes[fmt.Sprintf("class-%02d", i)] = config.Class{Expected: config.Duration(200 * time.Millisecond)}
	}
	for i := range callers {
		token := config.HashToken(fmt.Sprintf("token-%d-%d", i, change))
		c.Callers[fmt.Sprintf("team-%03d", i)] = config.Caller{
			Weight: float64(1 + i%3), MaxSlots: 100 + i, Tokens: []config.TokenHash{token},
		}
	}
	c.Limits.MaxTasks = 140 - change%40
	return c
}

func applyConfig(table platform.Table, change int) error {
	content, err := configuration(configCallers, change).Encode()
	if err != nil {
		return err
	}
	_, err = configstore.New(table).Apply(context.Background(), configstore.Proposal{
		ChangeID: configstore.NewChangeID(), BaseVersion: uint64(change), Author: "capacity", Host: "capacity", Reason: "measurement", Content: content,
	})
	return err
}

// measureConfig measures what a configuration version costs in each process, and the
// table calls of a change.
func measureConfig(r *report) error {
	for _, callers := range []int{1, 20, 60, 180} {
		if err := configCost(r, callers); err != nil {
			return err
		}
	}
	return operatorCost(r)
}

// operatorCost counts the table reads and writes of an accepted change.
func operatorCost(r *report) error {
	table := standin.NewMemory()
	const changes = 10
	for i := range changes {
		if err := applyConfig(table, i); err != nil {
			return err
		}
	}
	counts := table.Counts()
	r.addPoint("configuration change: table reads by the operator", "changes", 1, "reads", float64(counts.Reads)/changes)
	r.addPoint("configuration change: table writes by the operator", "changes", 1, "writes", float64(counts.Writes)/changes)
	return nil
}

func configCost(r *report, callers int) error {
	const rounds = 50
	size := float64(callers)
	c := configuration(callers, 0)
	content, err := c.Encode()
	if err != nil {
		return err
	}
	frame, err := wire.Encode(&wire.ConfigNotice{Version: 1, Content: content})
	if err != nil {
		return err
	}
	r.addPoint("configuration: bytes of a ConfigNotice", "callers", size, "B", float64(len(frame)))
	begin := processorTime()
	for i := range rounds {
		f := configstore.NewFollower(nil)
		if _, err := f.UpdateIfNewer(uint64(i+1), content); err != nil {
			return err
		}
		s, _ := f.Current()
		if _, err := gate.New(s.Version, s.Config); err != nil {
			return err
		}
	}
	r.addPoint("configuration: time to put a version in force", "callers", size, "µs", nanoseconds(processorTime()-begin, rounds)/1000)
	f := configstore.NewFollower(nil)
	if _, err := f.UpdateIfNewer(1, content); err != nil {
		return err
	}
	const copies = 1000
	begin = processorTime()
	for range copies {
		if _, err := f.UpdateIfNewer(1, content); err != nil {
			return err
		}
	}
	r.addPoint("configuration: time for a copy of a known version", "callers", size, "µs", nanoseconds(processorTime()-begin, copies)/1000)
	return nil
}

// configWindow is longer than the interval at which entries poll the table.
const configWindow = 3 * time.Second

// configPoints changes the configuration and reports what its distribution costs
// beyond the traffic and processor time of the window before.
func (e *environment) configPoints(r *report, by string, size float64, entryCount, agentCount int) error {
	before, err := e.observe(time.Second)
	if err != nil {
		return err
	}
	var w window
	if w.from, err = e.snapshot(opStats); err != nil {
		return err
	}
	e.configChanges++
	if err := applyConfig(e.table, e.configChanges); err != nil {
		return err
	}
	time.Sleep(configWindow)
	if w.to, err = e.snapshot(opStats); err != nil {
		return err
	}
	extra := func(of func(window) float64) float64 { return of(w) - of(before)*w.seconds()/before.seconds() }
	name := "configuration change, by " + by + ": "
	if extra(window.agentReceived) <= 0 {
		return fault.Internal.New("configuration change did not reach the agents within %s", configWindow)
	}
	r.addPoint(name+"bytes received per agent", by, size, "B", extra(window.agentReceived)/float64(agentCount))
	r.addPoint(name+"bytes sent per entry", by, size, "B", extra(window.entrySent)/float64(entryCount))
	r.addPoint(name+"processor time per agent", by, size, "µs", extra(window.agentCPU)/float64(agentCount))
	r.addPoint(name+"processor time per entry", by, size, "µs", extra(window.entryCPU)/float64(entryCount))
	return nil
}
