package load

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/wire"
)

// UntilServed returns the time until new keys of all given partitions have been
// served by the entries in o.URLs, and fails after limit. Each partition is
// probed with one request at a time, and with a new key after each refusal.
func WaitUntilServed(ctx context.Context, o Options, partitions []wire.Partition, limit time.Duration) (time.Duration, error) {
	g := newGenerator(o)
	defer g.client.CloseIdleConnections()
	g.client.Timeout = limit
	begin := time.Now()
	ctx, cancel := context.WithDeadline(ctx, begin.Add(limit))
	defer cancel()
	var probes errgroup.Group
	for _, p := range partitions {
		probes.Go(func() error { return g.probe(ctx, p) })
	}
	err := probes.Wait()
	return time.Since(begin), err
}

const probePause = 20 * time.Millisecond

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
	return fault.NotReady.New("partition %d is not served: status %d %s %s", p, last.Status, last.Problem, last.Err)
}

// probeJob returns a job of one short task whose key belongs to the partition.
func (g *generator) probeJob(p wire.Partition, round int) *job {
	for i := 0; ; i++ {
		key := fmt.Sprintf("%s-probe-%d-%d-%d", g.opts.KeyPrefix, p, round, i)
		if wire.NewJobID(g.opts.Caller, key).Partition() != p {
			continue
		}
		return g.jobOf(key, []time.Duration{0})
	}
}
