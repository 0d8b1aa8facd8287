package load

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/wire"
)

// WaitUntilServed waits until the entries in o.URLs have served a new key of each of
// the partitions, and returns the time that this took. It returns an error after
// timeout. It sends one probe at a time to each partition, and uses a new key after
// each probe that was not served.
func WaitUntilServed(ctx context.Context, o Options, partitions []wire.Partition, timeout time.Duration) (time.Duration, error) {
	g := newGenerator(o)
	defer g.client.CloseIdleConnections()
	g.client.Timeout = timeout
	begin := time.Now()
	ctx, cancel := context.WithDeadline(ctx, begin.Add(timeout))
	defer cancel()
	var probes errgroup.Group
	for _, p := range partitions {
		probes.Go(func() error { return g.probe(ctx, p) })
	}
	err := probes.Wait()
	return time.Since(begin), err
}

const probePause = 20 * time.Millisecond

// probe sends jobs to a partition until one is served.
func (g *generator) probe(ctx context.Context, p wire.Partition) error {
	last := Outcome{}
	for i := 0; ctx.Err() == nil; i++ {
		j := g.probeJob(p, i)
		last = g.post(ctx, j, g.opts.URLs[(int(p)+i)%len(g.opts.URLs)])
		if last.Status == 200 {
			return nil
		}
		sleepUntil(ctx, time.Now().Add(probePause))
	}
	return fault.NotReady.New("partition %d is not served: last status %d %s %s", p, last.Status, last.Problem, last.Err)
}

// probeJob returns a job of one task without run time whose key belongs to the
// partition.
func (g *generator) probeJob(p wire.Partition, round int) *job {
	for i := 0; ; i++ {
		key := fmt.Sprintf("%s-probe-%d-%d-%d", g.opts.KeyPrefix, p, round, i)
		if wire.NewJobID(g.opts.Caller, key).Partition() != p {
			continue
		}
		return g.buildJob(key, []time.Duration{0})
	}
}
