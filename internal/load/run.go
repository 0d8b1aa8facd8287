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
	// answerGrace is the time after the deadline in which an answer must come.
	answerGrace = 5 * time.Second
	// idleConnection is below the time in which a leaving entry still accepts
	// requests, so that no request is sent on a connection that is being closed.
	idleConnection = time.Second
	maxConnections = 1 << 14
	// rttProbes is the number of health checks from which the round trip is taken.
	rttProbes = 21
)

// Job is one job of a run with all that was answered.
type JobResult struct {
	Key   string
	ID    string
	Tasks int
	// Copies are the outcomes of the copies, in the order in which they ended.
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

// Run sends the load and returns what was measured when the last answer has
// come.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
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
		MaxIdleConns: maxConnections, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: idleConnection,
		TLSClientConfig: o.TLS, DisableCompression: true,
	}
	client := &http.Client{Transport: transport, Timeout: o.Deadline + answerGrace}
	return &generator{opts: o, client: client, report: newCollector()}
}

// roundTrip returns the median time of a health check of the first entry that
// answers, which is the round trip of the ideal.
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

// send sends each job at its time and waits for all answers.
func (g *generator) send(ctx context.Context) {
	var open sync.WaitGroup
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
		open.Add(1)
		go func() {
			defer open.Done()
			g.runJob(ctx, j, intended)
		}()
	}
	open.Wait()
	g.report.elapsed = time.Since(g.start)
}

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
	runs := make([]time.Duration, g.opts.Tasks)
	for k := range runs {
		runs[k] = g.opts.Sleep.draw(random)
	}
	return g.jobOf(fmt.Sprintf("%s-%d", g.opts.KeyPrefix, i), runs)
}

// jobOf returns a job whose tasks have the given run times.
func (g *generator) jobOf(key string, runs []time.Duration) *job {
	j := &job{key: key, id: wire.NewJobID(g.opts.Caller, key).String()}
	request := entry.JobRequest{Class: g.opts.Class, DeadlineMS: g.opts.Deadline.Milliseconds()}
	for k, run := range runs {
		j.ideal = max(j.ideal, run)
		payload := mustEncode(taskPayload{SleepMS: run.Milliseconds(), Task: fmt.Sprintf("%s/%d", key, k)})
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

// runJob sends all copies of a job.
func (g *generator) runJob(ctx context.Context, j *job, intended time.Time) {
	first := g.takeURL()
	outcomes := make(chan Outcome, g.opts.Copies)
	for c := range g.opts.Copies {
		at := intended.Add(time.Duration(c) * g.opts.CopyDelay)
		go func() {
			sleepUntil(ctx, at)
			outcomes <- g.runCopy(ctx, j, first+c, at)
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

func (g *generator) takeURL() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	return g.next
}

// runCopy sends one copy, and again where the options say so. The response time
// counts from the intended time of the first attempt.
func (g *generator) runCopy(ctx context.Context, j *job, url int, intended time.Time) Outcome {
	moves, retries := 0, 0
	for {
		out := g.post(ctx, j, g.opts.URLs[(url+moves)%len(g.opts.URLs)])
		out.At = time.Now()
		out.Took = out.At.Sub(intended)
		out.Retries, out.Moves = retries, moves
		switch {
		case out.Err == ErrRefusedConnection && g.opts.Failover && moves < len(g.opts.URLs)-1:
			moves++
		case out.NotRun && retries < g.opts.Retries:
			retries++
			sleepUntil(ctx, time.Now().Add(out.RetryAfter))
		default:
			return out
		}
	}
}

// digest identifies an answer, to compare the answers of copies.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}

func logUniform(r *rand.Rand, low, high time.Duration) time.Duration {
	ratio := float64(high) / float64(low)
	return time.Duration(float64(low) * math.Pow(ratio, r.Float64()))
}
