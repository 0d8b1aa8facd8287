package leasetest

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/locality"
)

// rackWorld describes the racks of a world and counts what entries decide for tasks that
// prefer one. A nil rackWorld has no racks.
type rackWorld struct {
	racks     int
	farFactor float64
	settings  locality.Settings

	starts, nearStarts         int
	near, far, held, regretted int
	holdTime                   time.Duration
	reasons                    map[string]int
	byQueue                    map[string]*rackStarts
}

// rackStarts counts the starts of a queue's tasks.
type rackStarts struct{ starts, near int }

func rackName(host, racks int) string { return fmt.Sprint("rack", host%racks) }

func (r *rackWorld) labels(host int) []string {
	if r == nil {
		return nil
	}
	return []string{rackName(host, r.racks)}
}

// start counts the start of a task and returns the factor on its run time.
func (r *rackWorld) start(host int, j *clientJob, s taskSpec) float64 {
	if r == nil || s.rack == "" {
		return 1
	}
	if r.byQueue == nil {
		r.byQueue = map[string]*rackStarts{}
	}
	q := r.byQueue[j.queue.Name]
	if q == nil {
		q = &rackStarts{}
		r.byQueue[j.queue.Name] = q
	}
	r.starts++
	q.starts++
	if s.rack == rackName(host, r.racks) {
		r.nearStarts++
		q.near++
		return 1
	}
	return r.farFactor
}

func (r *rackWorld) configure(s *broker.Settings) {
	if r != nil {
		s.FarRackFactor, s.Locality = r.farFactor, r.settings
	}
}

func (r *rackWorld) count(d broker.Decision) {
	if r == nil || d.Rack == nil {
		return
	}
	if r.reasons == nil {
		r.reasons = map[string]int{}
	}
	r.reasons[d.Action+" "+d.Reason]++
	switch {
	case d.Action == "hold":
		r.held++
		return
	case d.Rack.Near:
		r.near++
	default:
		r.far++
	}
	if d.Rack.Regretted {
		r.regretted++
	}
	r.holdTime += d.Rack.Held
}

// rackLoad is a load of jobs that name racks, on racks of four upstreams with eight slots.
type rackLoad struct {
	seed int64
	// load is the work on the preferred racks as a share of the capacity.
	load, farFactor float64
	// shares are the probabilities of the racks.
	shares   []float64
	policy   rackPolicy
	duration time.Duration
	// stretch is the queues' Stretch. A long one admits all jobs, so that policies are
	// compared by the same jobs.
	stretch float64
}

var (
	evenRacks   = []float64{0.25, 0.25, 0.25, 0.25}
	skewedRacks = []float64{0.31, 0.23, 0.23, 0.23}
	hotRack     = []float64{0.91, 0.03, 0.03, 0.03}
)

const (
	upstreamsPerRack = 4
	slotsPerUpstream = 8
	rackTaskCPU      = 2000
	rackWarmUp       = 2 * time.Second
)

// rackPolicy is the product's policy or a baseline.
type rackPolicy struct {
	name     string
	settings locality.Settings
}

var (
	adaptive = rackPolicy{"adaptive", locality.Settings{MaxWait: locality.DefaultMaxWait}}
	// penaltyOnly is the product without the part.
	penaltyOnly = rackPolicy{"penalty only", locality.Settings{}}
	neverWait   = rackPolicy{"never wait", locality.Settings{MaxWait: time.Minute, Decide: decideAtOnce}}
	fixedWait   = rackPolicy{"fixed wait", locality.Settings{MaxWait: time.Minute, Decide: decideAfter(fixedRackWait)}}
)

// fixedRackWait is the wait of the baseline with a fixed wait: half of the mean run time.
const fixedRackWait = 150 * time.Millisecond

// decideAtOnce takes free capacity wherever it is, and otherwise the earliest end.
func decideAtOnce(in locality.Input) locality.Decision {
	switch {
	case !in.Near.Usable && !in.Far.Usable:
		return locality.Decision{Action: locality.Unplaceable}
	case in.Near.Usable && in.Near.Wait == 0:
		return locality.Decision{Action: locality.NearNow}
	case in.Far.Usable && (in.Far.Wait == 0 || !in.Near.Usable || in.Far.Cost() < in.Near.Cost()):
		return locality.Decision{Action: locality.Far}
	}
	return locality.Decision{Action: locality.QueueNear}
}

// decideAfter holds each task for a fixed time unless its rack is free.
func decideAfter(wait time.Duration) func(locality.Input) locality.Decision {
	return func(in locality.Input) locality.Decision {
		until := in.HoldUntil
		if until == 0 {
			until = in.Now + wait
		}
		d := decideAtOnce(in)
		if in.Near.Usable && d.Action != locality.NearNow && in.Now < until {
			return locality.Decision{Action: locality.Hold, Until: until}
		}
		return d
	}
}

// rackClass is a class of tasks with run times spread evenly on a logarithmic scale, as in
// docs/policy.md.
type rackClass struct {
	queue    catalog.Queue
	min, max time.Duration
	share    float64
}

func (c rackClass) mean() float64 {
	return (c.max - c.min).Seconds() / math.Log(float64(c.max)/float64(c.min))
}

func rackClasses(stretch float64) []rackClass {
	classes := []rackClass{
		{min: 50 * time.Millisecond, max: 200 * time.Millisecond, share: 0.40},
		{min: 100 * time.Millisecond, max: 500 * time.Millisecond, share: 0.34},
		{min: 200 * time.Millisecond, max: time.Second, share: 0.24},
		{min: 2 * time.Second, max: 8 * time.Second, share: 0.02},
	}
	for i := range classes {
		classes[i].queue = queueOf([]string{"stock", "price", "order", "batch"}[i], 1)
		classes[i].queue.Stretch = stretch
		if stretch > 2 {
			classes[i].queue.LatencyTarget = 10 * time.Second
		}
	}
	return classes
}

// draw returns an index with the probability of its share.
func (w *world) draw(n int, share func(int) float64) int {
	x := w.rng.Float64()
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func (w *world) logUniform(low, high float64) float64 {
	return low * math.Exp(w.rng.Float64()*math.Log(high/low))
}

// rackResult is what callers get under a load.
type rackResult struct {
	w       *world
	jobs    []*clientJob
	ratios  []float64
	refused int
	mean    float64
	p99     float64
}

// rackStragglers is the share of tasks that run ten times as long.
const rackStragglers = 0.005

func (l rackLoad) newJob(w *world, classes []rackClass, n int) *clientJob {
	c := &classes[w.draw(len(classes), func(i int) float64 { return classes[i].share })]
	j := &clientJob{id: fmt.Sprintf("job%d", n), queue: &c.queue, sentAt: w.now, done: map[int]bool{}}
	tasks := 1
	if w.rng.Float64() < 0.1 {
		tasks = int(w.logUniform(2, 9))
	}
	rack := fmt.Sprint("rack", w.draw(len(l.shares), func(i int) float64 { return l.shares[i] }))
	mean := time.Duration(c.mean() * float64(time.Second))
	for range tasks {
		lasts := time.Duration(w.logUniform(float64(c.min), float64(c.max)))
		if w.rng.Float64() < rackStragglers {
			lasts *= 10
		}
		j.tasks = append(j.tasks, taskSpec{cpu: rackTaskCPU, runTime: lasts, estimate: w.lognormal(mean, 0.4), rack: rack})
	}
	w.jobs[j.id] = j
	return j
}

// start returns a world with racks whose agents are linked.
func (l rackLoad) start() *world {
	w := newWorld(l.seed, 3, len(l.shares)*upstreamsPerRack)
	w.racks = &rackWorld{racks: len(l.shares), farFactor: l.farFactor, settings: l.policy.settings}
	w.noLog = true
	for _, u := range w.upstreams {
		u.capacity = rackTaskCPU * slotsPerUpstream
	}
	w.restartAll()
	w.run(1600 * time.Millisecond)
	return w
}

// rate returns the jobs per second.
func (l rackLoad) rate(classes []rackClass) float64 {
	work := 0.0
	for _, c := range classes {
		work += c.share * c.mean()
	}
	const tasksPerJob = 0.9 + 0.1*4.2
	slots := float64(len(l.shares) * upstreamsPerRack * slotsPerUpstream)
	return l.load * slots / (work * tasksPerJob * (1 + 9*rackStragglers))
}

func (l rackLoad) play(prepare func(*world)) rackResult {
	w := l.start()
	classes := rackClasses(l.stretch)
	if prepare != nil {
		prepare(w)
	}
	begin, rate := w.now, l.rate(classes)
	out := rackResult{w: w}
	// The jobs have a random source of their own, so that all policies get the same.
	rng, own := w.rng, rand.New(rand.NewSource(l.seed))
	for w.now < begin+l.duration && w.failure == "" {
		w.rng = own
		n := poisson(w, rate*step.Seconds())
		w.rng = rng
		for range n {
			w.rng = own
			j := l.newJob(w, classes, len(out.jobs))
			w.rng = rng
			out.jobs = append(out.jobs, j)
			w.submit(j, w.entries[w.rng.Intn(len(w.entries))])
		}
		w.run(step)
	}
	for end := w.now + 90*time.Second; w.now < end && w.failure == "" && slices.ContainsFunc(out.jobs, func(j *clientJob) bool { return !j.answered }); {
		w.run(500 * time.Millisecond)
	}
	for _, j := range out.jobs {
		if j.sentAt < begin+rackWarmUp {
			continue
		}
		if j.outcome != broker.Completed {
			out.refused++
			continue
		}
		out.ratios = append(out.ratios, j.overIdeal())
		out.mean += out.ratios[len(out.ratios)-1]
	}
	slices.Sort(out.ratios)
	out.mean /= float64(len(out.ratios))
	out.p99 = out.ratios[len(out.ratios)*99/100]
	return out
}

// overIdeal returns the job's time relative to the ideal one: the run time of its longest task
// on its rack, and the hops of the messages.
func (j *clientJob) overIdeal() float64 {
	longest := time.Duration(0)
	for _, s := range j.tasks {
		longest = max(longest, s.runTime)
	}
	return j.responseTime.Seconds() / (longest + 4*step).Seconds()
}

func (r rackResult) String() string {
	k := r.w.racks
	return fmt.Sprintf("mean %.3f p99 %.2f, %d jobs, %d refused; near %d far %d held %d (%.0f ms) regretted %d",
		r.mean, r.p99, len(r.jobs), r.refused, k.nearStarts, k.starts-k.nearStarts, k.held, float64(k.holdTime.Milliseconds())/float64(max(k.held, 1)), k.regretted)
}

// TestRackTable measures the table of docs/design/locality.md if DAMASKLB_RACK_TABLE is set: to
// "all", or to the names of rows, separated by commas. It checks the target: by mean and 99th
// percentile, as printed, no job takes longer than with the better of the two baselines.
func TestRackTable(t *testing.T) {
	t.Parallel()
	want := os.Getenv("DAMASKLB_RACK_TABLE")
	if want == "" {
		t.Skip("a measurement of minutes: set DAMASKLB_RACK_TABLE")
	}
	for _, kind := range []struct {
		name   string
		shares []float64
		loads  []float64
	}{{"even", evenRacks, allLoads}, {"skewed", skewedRacks, allLoads}, {"hot", hotRack, []float64{0.5}}} {
		for _, factor := range []float64{1.5, 2, 3} {
			for _, load := range kind.loads {
				name := fmt.Sprintf("%s-%.1f-%.2f", kind.name, factor, load)
				if want == "all" || slices.Contains(strings.Split(want, ","), name) {
					t.Run(name, func(t *testing.T) {
						compareRackPolicies(t, rackLoad{load: load, farFactor: factor, shares: kind.shares, duration: 12 * time.Second, stretch: 20})
					})
				}
			}
		}
	}
}

var allLoads = []float64{0.5, 0.6, 0.7, 0.8, 0.9, 0.95}

func compareRackPolicies(t *testing.T, l rackLoad) {
	row := "|"
	var rows []rackFigures
	for _, p := range []rackPolicy{penaltyOnly, neverWait, fixedWait, adaptive} {
		l.policy = p
		f := rackRow(l, 5)
		rows = append(rows, f)
		row += fmt.Sprintf(" %.3f / %.2f (%.0f%%, %d) |", f.mean, f.p99, 100*f.near, f.unserved)
	}
	t.Log(row)
	mean, p99 := min(rows[1].mean, rows[2].mean), min(rows[1].p99, rows[2].p99)
	if got := rows[3]; math.Round(1000*got.mean) > math.Round(1000*mean) || math.Round(100*got.p99) > math.Round(100*p99) {
		t.Errorf("mean %.3f p99 %.2f, want at most %.3f and %.2f", got.mean, got.p99, mean, p99)
	}
}

// rackFigures are the means over several seeds. near is the share of starts on the preferred
// rack, unserved the number of jobs that were not completed.
type rackFigures struct {
	mean, p99, near float64
	unserved        int
}

// rackRow plays a load with several seeds, three at a time.
func rackRow(l rackLoad, seeds int) rackFigures {
	results := make([]rackResult, seeds)
	var group sync.WaitGroup
	limit := make(chan struct{}, 3)
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			limit <- struct{}{}
			l := l
			l.seed = int64(i) + 1
			results[i] = l.play(nil)
			<-limit
		}()
	}
	group.Wait()
	var f rackFigures
	for _, r := range results {
		f.mean += r.mean / float64(seeds)
		f.p99 += r.p99 / float64(seeds)
		f.near += float64(r.w.racks.nearStarts) / float64(r.w.racks.starts) / float64(seeds)
		f.unserved += r.refused
	}
	return f
}
