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

// chaosResult is that of random faults, some of them at the same time.
type chaosResult struct {
	safety
	Seed   uint64         `json:"seed"`
	Faults map[string]int `json:"faults"`
	// Timeline tells what was broken and mended when.
	Timeline []string     `json:"timeline"`
	Load     *load.Report `json:"load"`
	// ServedAfter is the share of jobs served once the faults have ended, After
	// the report of that time.
	ServedAfter float64      `json:"share_served_after"`
	After       *load.Report `json:"after"`
}

const (
	chaosRate = 60
	// calmTime lets takeovers end before service is measured again.
	calmTime = 6 * time.Second
)

// chaos makes random faults, two at a time at most.
type chaos struct {
	rig    *rig.Rig
	rng    *rand.Rand
	faults map[string]int
	begin  time.Time
	// timeline has a line for each fault and mend.
	timeline []string
}

func (c *chaos) note(what string) {
	c.timeline = append(c.timeline, fmt.Sprintf("%.1f s %s", time.Since(c.begin).Seconds(), what))
}

// fault breaks something and returns what mends it.
type fault struct {
	name  string
	begin func(c *chaos) (mend func() error, err error)
}

var chaosFaults = []fault{
	{"kill_entry", func(c *chaos) (func() error, error) { return c.kill(c.rig.Entries) }},
	{"kill_agent", func(c *chaos) (func() error, error) { return c.kill(c.rig.Agents) }},
	{"pause_entry", func(c *chaos) (func() error, error) { return c.pause(c.rig.Entries) }},
	{"pause_agent", func(c *chaos) (func() error, error) { return c.pause(c.rig.Agents) }},
	{"leave_entry", func(c *chaos) (func() error, error) { return c.leave(c.rig.Entries) }},
	{"leave_agent", func(c *chaos) (func() error, error) { return c.leave(c.rig.Agents) }},
	{"table_down", func(c *chaos) (func() error, error) { return c.table(standin.Faults{Down: true}) }},
	{"table_slow", func(c *chaos) (func() error, error) { return c.table(standin.Faults{LatencyMS: 1500}) }},
	{"table_answers_lost", func(c *chaos) (func() error, error) { return c.table(standin.Faults{LoseAnswers: 5}) }},
	{"silent_links", silenceLinks},
}

func silenceLinks(c *chaos) (func() error, error) {
	i := c.rng.IntN(len(c.rig.Relays))
	c.rig.Relays[i].Silence(rig.Direction(c.rng.IntN(3)))
	c.note("links silent " + c.rig.Entries[i].Name)
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

func (c *chaos) leave(ps []*rig.Process) (func() error, error) {
	p := c.pick(ps)
	c.note("leave " + p.Name)
	return func() error { return p.WaitAndStart(shutdownLimit) }, p.Terminate()
}

func (c *chaos) table(f standin.Faults) (func() error, error) {
	c.note(fmt.Sprintf("table %+v", f))
	return func() error { return c.rig.SetTableFaults(standin.Faults{}) }, c.rig.SetTableFaults(f)
}

// run makes faults until stop ends, and mends the last ones.
func (c *chaos) run(stop context.Context) error {
	for stop.Err() == nil {
		var mends []func() error
		for range 1 + c.rng.IntN(2) {
			f := chaosFaults[c.rng.IntN(len(chaosFaults))]
			c.faults[f.name]++
			mend, err := f.begin(c)
			if err != nil {
				return err
			}
			mends = append(mends, mend)
			time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
		for _, mend := range mends {
			if err := mend(); err != nil {
				return err
			}
		}
		c.note("mended")
		time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
	}
	return nil
}

// measureChaos sends each job three times while random faults happen, then
// measures service once they have ended.
func measureChaos(r *rig.Rig, s settings) (any, error) {
	c := &chaos{rig: r, rng: rand.New(rand.NewPCG(s.seed, s.seed)), faults: map[string]int{}, begin: time.Now()}
	o := loadOf(r, s, chaosRate, s.chaos)
	o.Copies, o.CopyDelay, o.Retries = len(r.Entries), 300*time.Millisecond, 1
	report, jobs, err := loaded(o, c.run)
	if err != nil {
		return nil, err
	}
	result := chaosResult{Seed: s.seed, Faults: c.faults, Timeline: c.timeline, Load: report, safety: safetyOf(r, report, jobs)}
	time.Sleep(calmTime)
	after := loadOf(r, s, chaosRate, calmTime)
	after.KeyPrefix = "after"
	calm, err := load.Run(context.Background(), after)
	if err != nil {
		return nil, err
	}
	result.ServedAfter, result.After = calm.ShareServed(), calm
	return result, nil
}
