package load

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	// answerGrace is the time after the job's deadline in which the answer must
	// arrive.
	answerGrace = 5 * time.Second
	// idleConnectionTimeout is shorter than the time for which a draining entry still
	// accepts requests, so that no request is sent on a connection that is being
	// closed.
	idleConnectionTimeout = time.Second
	maxConnections        = 1 << 14
	// rttProbes is the number of health checks that measure the round-trip time.
	rttProbes = 21
)

// JobResult is a job of the run with the outcomes of its copies.
type JobResult struct {
	Key   string
	ID    string
	Tasks int
	// Copies are the outcomes, in the order in which they arrived.
	Copies []Outcome
}

// generator is a run in progress.
type generator struct {
	opts   Options
	client *http.Client
	start  time.Time
	rtt    time.Duration

	mu     sync.Mutex
	report *collector
	next   int
}

// job is one job before it is sent.
type job struct {
	key      string
	id       string
	body     []byte
	payloads []json.RawMessage
	ideal    time.Duration
}

// Run sends the load, waits for the last answer and returns the measurements.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	g := newGenerator(o)
	defer g.client.CloseIdleConnections()
	g.rtt = g.roundTrip(ctx)
	g.send(ctx)
	return g.report.summary(g), nil
}

func newGenerator(o Options) *generator {
	transport := &http.Transport{
		MaxIdleConns: maxConnections, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: idleConnectionTimeout,
		TLSClientConfig: o.TLS, DisableCompression: true,
	}
	client := &http.Client{Transport: transport, Timeout: o.Deadline + answerGrace}
	return &generator{opts: o, client: client, report: newCollector()}
}

// roundTrip returns the median round-trip time of health checks sent to the entries
// in turn, or 0 if none was answered. It is part of the ideal response time.
func (g *generator) roundTrip(ctx context.Context) time.Duration {
	var times []time.Duration
	for i := range rttProbes {
		begin := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.opts.URLs[i%len(g.opts.URLs)]+"/healthz", nil)
		if err != nil {
			return 0
		}
		resp, err := g.client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		times = append(times, time.Since(begin))
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}

// send sends each job at its intended time and waits for all answers.
func (g *generator) send(ctx context.Context) {
	var pending sync.WaitGroup
	random := rand.New(rand.NewPCG(g.opts.Seed, 1))
	interval := time.Duration(float64(time.Second) / g.opts.Rate)
	count := max(1, int(math.Round(g.opts.Rate*g.opts.Duration.Seconds())))
	g.start = time.Now()
	for i := range count {
		intended := g.start.Add(time.Duration(i) * interval)
		j := g.newJob(i, random)
		if !sleepUntil(ctx, intended) {
			break
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			g.sendJob(ctx, j, intended)
		}()
	}
	pending.Wait()
	g.report.elapsed = time.Since(g.start)
}

// sleepUntil returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

type taskPayload struct {
	SleepMS int64  `json:"sleep_ms"`
	Task    string `json:"task"`
}

func (g *generator) newJob(i int, random *rand.Rand) *job {
	runTimes := make([]time.Duration, g.opts.Tasks)
	for k := range runTimes {
		runTimes[k] = g.opts.Sleep.draw(random)
	}
	return g.buildJob(fmt.Sprintf("%s-%d", g.opts.KeyPrefix, i), runTimes)
}

// buildJob returns a job whose tasks have the given run times.
func (g *generator) buildJob(key string, runTimes []time.Duration) *job {
	j := &job{key: key, id: wire.NewJobID(g.opts.Caller, key).String()}
	request := entry.JobRequest{Class: g.opts.Class, DeadlineMS: g.opts.Deadline.Milliseconds()}
	for k, runTime := range runTimes {
		j.ideal = max(j.ideal, runTime)
		payload := mustEncode(taskPayload{SleepMS: runTime.Milliseconds(), Task: fmt.Sprintf("%s/%d", key, k)})
		j.payloads = append(j.payloads, payload)
		request.Tasks = append(request.Tasks, entry.TaskRequest{Payload: payload})
	}
	j.body = mustEncode(request)
	return j
}

func mustEncode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can always be encoded
	}
	return body
}

// sendJob sends all copies of a job and collects their outcomes.
func (g *generator) sendJob(ctx context.Context, j *job, intended time.Time) {
	first := g.nextURLIndex()
	outcomes := make(chan Outcome, g.opts.Copies)
	for c := range g.opts.Copies {
		at := intended.Add(time.Duration(c) * g.opts.CopyDelay)
		go func() {
			sleepUntil(ctx, at)
			outcomes <- g.sendCopy(ctx, j, first+c, at)
		}()
	}
	done := JobResult{Key: j.key, ID: j.id, Tasks: len(j.payloads)}
	for range g.opts.Copies {
		done.Copies = append(done.Copies, <-outcomes)
	}
	g.mu.Lock()
	g.report.addJob(done, j.ideal+g.rtt)
	g.mu.Unlock()
	if g.opts.OnJobDone != nil {
		g.opts.OnJobDone(done)
	}
}

// nextURLIndex returns a number that grows by one with each job; modulo the number of
// URLs it is the index of the job's first entry.
func (g *generator) nextURLIndex() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	return g.next
}

// sendCopy sends one copy, and sends it again according to Options.Failover and
// Options.Retries. The response time is measured from the intended time of the first
// attempt.
func (g *generator) sendCopy(ctx context.Context, j *job, urlIndex int, intended time.Time) Outcome {
	moves, retries := 0, 0
	for {
		out := g.post(ctx, j, g.opts.URLs[(urlIndex+moves)%len(g.opts.URLs)])
		out.At = time.Now()
		out.Took = out.At.Sub(intended)
		out.Retries, out.Moves = retries, moves
		switch {
		case out.Err == ConnectionRefused && g.opts.Failover && moves < len(g.opts.URLs)-1:
			moves++
		case out.NotRun && retries < g.opts.Retries:
			retries++
			sleepUntil(ctx, time.Now().Add(out.RetryAfter))
		default:
			return out
		}
	}
}

// digest returns the hash of an answer.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}

// logUniform returns a random duration that is uniform on a logarithmic scale.
func logUniform(r *rand.Rand, low, high time.Duration) time.Duration {
	ratio := float64(high) / float64(low)
	return time.Duration(float64(low) * math.Pow(ratio, r.Float64()))
}
