package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/damasklb/damasklb/internal/load"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/rig"
)

// chaosResult is the result of a run with random faults, some at the same time.
type chaosResult struct {
	safetyViolations
	Seed   uint64         `json:"seed"`
	Faults map[string]int `json:"faults"`
	// Timeline has a line with the time for each fault, and a line "mended" each time
	// that the current faults have been undone.
	Timeline []string     `json:"timeline"`
	Load     *load.Report `json:"load"`
	// ShareServedAfter is the share of jobs served after the faults have ended, After
	// the load report of that time.
	ShareServedAfter float64      `json:"share_served_after"`
	After            *load.Report `json:"after"`
}

const (
	chaosRate = 60
	// recoveryTime is the time for takeovers to end after the last fault. Then service
	// is measured again for as long.
	recoveryTime = 6 * time.Second
)

// chaos injects random faults, at most two at a time.
type chaos struct {
	rig      *rig.Rig
	rng      *rand.Rand
	faults   map[string]int
	started  time.Time
	timeline []string
}

func (c *chaos) note(what string) {
	c.timeline = append(c.timeline, fmt.Sprintf("%.1f s %s", time.Since(c.started).Seconds(), what))
}

// fault is a kind of fault. inject causes it and returns the function that undoes it.
type fault struct {
	name   string
	inject func(c *chaos) (undo func() error, err error)
}

var chaosFaults = []fault{
	{"kill_entry", func(c *chaos) (func() error, error) { return c.kill(c.rig.Entries) }},
	{"kill_agent", func(c *chaos) (func() error, error) { return c.kill(c.rig.Agents) }},
	{"pause_entry", func(c *chaos) (func() error, error) { return c.pause(c.rig.Entries) }},
	{"pause_agent", func(c *chaos) (func() error, error) { return c.pause(c.rig.Agents) }},
	{"leave_entry", func(c *chaos) (func() error, error) { return c.drain(c.rig.Entries) }},
	{"leave_agent", func(c *chaos) (func() error, error) { return c.drain(c.rig.Agents) }},
	{"table_down", func(c *chaos) (func() error, error) { return c.setTableFaults(standin.Faults{Down: true}) }},
	{"table_slow", func(c *chaos) (func() error, error) { return c.setTableFaults(standin.Faults{LatencyMS: 1500}) }},
	{"table_answers_lost", func(c *chaos) (func() error, error) { return c.setTableFaults(standin.Faults{LoseAnswers: 5}) }},
	{"silent_links", silenceLinks},
}

func silenceLinks(c *chaos) (func() error, error) {
	i := c.rng.IntN(len(c.rig.Relays))
	c.rig.Relays[i].Silence(rig.Direction(c.rng.IntN(3)))
	c.note("links silent " + c.rig.Entries[i].Name)
	// Nothing is undone: only the present flows are dropped, and new links work.
	return func() error { return nil }, nil
}

func (c *chaos) pick(ps []*rig.Process) *rig.Process { return ps[c.rng.IntN(len(ps))] }

func (c *chaos) kill(ps []*rig.Process) (func() error, error) {
	p := c.pick(ps)
	c.note("kill " + p.Name)
	return p.Start, p.Kill()
}

func (c *chaos) pause(ps []*rig.Process) (func() error, error) {
	p := c.pick(ps)
	c.note("pause " + p.Name)
	return p.Resume, p.Pause()
}

func (c *chaos) drain(ps []*rig.Process) (func() error, error) {
	p := c.pick(ps)
	c.note("leave " + p.Name)
	return func() error { return p.WaitAndStart(shutdownTimeout) }, p.Terminate()
}

func (c *chaos) setTableFaults(f standin.Faults) (func() error, error) {
	c.note(fmt.Sprintf("table %+v", f))
	return func() error { return c.rig.SetTableFaults(standin.Faults{}) }, c.rig.SetTableFaults(f)
}

// run injects faults until stop ends, and undoes the last ones.
func (c *chaos) run(stop context.Context) error {
	for stop.Err() == nil {
		var undoFuncs []func() error
		for range 1 + c.rng.IntN(2) {
			f := chaosFaults[c.rng.IntN(len(chaosFaults))]
			c.faults[f.name]++
			undo, err := f.inject(c)
			if err != nil {
				return err
			}
			undoFuncs = append(undoFuncs, undo)
			time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
		for _, undo := range undoFuncs {
			if err := undo(); err != nil {
				return err
			}
		}
		c.note("mended")
		time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
	}
	return nil
}

// measureChaos sends each job three times while random faults are injected, then
// measures service once they have ended.
func measureChaos(r *rig.Rig, s settings) (any, error) {
	c := &chaos{rig: r, rng: rand.New(rand.NewPCG(s.seed, s.seed)), faults: map[string]int{}, started: time.Now()}
	o := loadOptions(r, s, chaosRate, s.chaosDuration)
	o.Copies, o.CopyDelay, o.Retries = len(r.Entries), 300*time.Millisecond, 1
	report, jobs, err := runLoadWith(o, c.run)
	if err != nil {
		return nil, err
	}
	result := chaosResult{Seed: s.seed, Faults: c.faults, Timeline: c.timeline, Load: report, safetyViolations: countViolations(r, report, jobs)}
	time.Sleep(recoveryTime)
	afterOptions := loadOptions(r, s, chaosRate, recoveryTime)
	afterOptions.KeyPrefix = "after"
	after, err := load.Run(context.Background(), afterOptions)
	if err != nil {
		return nil, err
	}
	result.ShareServedAfter, result.After = after.ShareServed(), after
	return result, nil
}
