package leasetest

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/preemption"
)

// onTimeShare counts the jobs of a group and those that were on time.
type onTimeShare struct{ onTime, offered int }

func (s *onTimeShare) add(j *clientJob) {
	s.offered++
	if j.outcome == broker.Completed && j.responseTime <= j.target() {
		s.onTime++
	}
}

func (s onTimeShare) share() float64 { return float64(s.onTime) / float64(max(s.offered, 1)) }

// fairness holds the shares on time of the jobs of a queue: of all, of the widest tenth, of the
// fifth below it, and of those at each entry.
type fairness struct {
	all, widest, wide onTimeShare
	byEntry           [10]onTimeShare
}

func (f *fairness) add(r result, jobs []*clientJob) {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *clientJob) int { return cmp.Compare(len(b.tasks), len(a.tasks)) })
	for i, j := range jobs {
		f.all.add(j)
		switch {
		case i < len(jobs)/10:
			f.widest.add(j)
		case i < len(jobs)*3/10:
			f.wide.add(j)
		}
		f.byEntry[j.entry.index].add(j)
	}
}

// comparison holds what callers get of the same jobs with admission under scarcity off and on.
type comparison struct {
	off, on preemptionTotals
	fair    []fairness
}

func compareScarcity(t *testing.T, day func(int64) demand, seeds int64, load float64) (c comparison) {
	t.Helper()
	c.fair = make([]fairness, 3)
	for seed := range seeds {
		d := day(seed)
		d.scarcityOff = true
		c.off.add(d, d.playPaired(t, load, preemption.Settings{}))
		d.scarcityOff = false
		r := d.playPaired(t, load, preemption.Settings{})
		c.on.add(d, r)
		for i, jobs := range r.jobs {
			c.fair[d.types[i].queue.Priority].add(r, jobs)
		}
	}
	gain, sd := pairedGain(c.off.worths, c.on.worths)
	t.Logf("%.2f times the load, %d seeds: worth changes by %+.4f, standard error %.4f\noff: %v\non:  %v", load, seeds, gain, sd, &c.off, &c.on)
	return c
}

func (p *preemptionTotals) onTimeShare(priority int) float64 {
	return onTimeShare{p.onTime[priority], p.offered[priority]}.share()
}

// scarcitySeeds returns the number of seeds. DAMASKLB_SCARCITY_SEEDS sets it.
func scarcitySeeds(t *testing.T, usual int64) int64 {
	s := os.Getenv("DAMASKLB_SCARCITY_SEEDS")
	if s == "" {
		return usual
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Plays the burst of long work with the same jobs, with admission under scarcity off and on.
// Guards against urgent callers who pay for the burst, against a gain that costs more than it
// brings, and against a queue, wide jobs or the callers of an entry that are starved for it.
func TestScarcityInALongBurst(t *testing.T) {
	t.Parallel()
	c := compareScarcity(t, longBurst, scarcitySeeds(t, 4), 1)
	for p := range 2 {
		if off, on := c.off.onTimeShare(p), c.on.onTimeShare(p); on <= off {
			t.Errorf("priority %d: %.4f on time with the part, %.4f without it, want more", p, on, off)
		}
	}
	if c.on.worth <= c.off.worth {
		t.Errorf("worth %.4f with the part, %.4f without it, want more", c.on.worth/float64(c.on.seeds), c.off.worth/float64(c.off.seeds))
	}
	if off, on := c.off.onTimeShare(2), c.on.onTimeShare(2); on < off/2 {
		t.Errorf("priority 2: %.4f on time with the part, %.4f without it, want at least half", on, off)
	}
	for p, f := range c.fair {
		least := f.all.share() / 2
		t.Logf("priority %d: on time %.3f, widest tenth %.3f, fifth below %.3f", p, f.all.share(), f.widest.share(), f.wide.share())
		if f.widest.share() < least || f.wide.share() < least {
			t.Errorf("priority %d: want at least half of the queue's share", p)
		}
		for i, e := range f.byEntry {
			if e.share() < least {
				t.Errorf("priority %d: %.3f on time at entry %d, want at least %.3f", p, e.share(), i, least)
			}
		}
	}
}

// Plays the burst of long work. Guards against jobs that are refused while the upstreams have free
// capacity for all of their tasks.
func TestFittingJobsAreServedInALongBurst(t *testing.T) {
	t.Parallel()
	share, seeds := 0.0, scarcitySeeds(t, 4)
	for seed := range seeds {
		d := longBurst(seed)
		share += d.playPaired(t, 1, preemption.Settings{}).refusedFittingValue(d) / float64(seeds)
	}
	t.Logf("%.4f of the offered value is refused although it fits", share)
	if share >= 0.01 {
		t.Errorf("%.4f of the offered value is refused although it fits, want less than 0.01", share)
	}
}

// Plays the swinging demand in the same way. Guards against refusals that the demand does not
// call for.
func TestScarcityUnderASwingingDemand(t *testing.T) {
	t.Parallel()
	c := compareScarcity(t, swingingDemand, scarcitySeeds(t, 4), 1)
	if c.on.worth < c.off.worth {
		t.Errorf("worth %.4f with the part, %.4f without it, want no less", c.on.worth/float64(c.on.seeds), c.off.worth/float64(c.off.seeds))
	}
}
