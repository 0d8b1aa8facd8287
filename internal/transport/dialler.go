package transport

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Timing of the links that this process dials.
const (
	busyPingAfter     = 500 * time.Millisecond
	idlePingAfter     = 8 * time.Second
	pongTimeout       = 250 * time.Millisecond
	checkInterval     = 50 * time.Millisecond
	idleCheckInterval = 250 * time.Millisecond
	redialPause       = 100 * time.Millisecond
	redialMax         = 2 * time.Second
)

// Dialler maintains a link to one address. It replaces a silent link by a new one
// and keeps the old one open until the new one is up.
type Dialler struct {
	endpoint *Endpoint
	id       string
	address  string
	busy     func() bool
	onIdle   func(l *Link)
	cancel   context.CancelFunc
	done     chan struct{}
}

// Maintain starts to maintain a link to the process with the given id at address.
// It opens no link to another process that has taken the address. busy reports
// whether tasks depend on the link now, so that silence has to be detected sooner.
// onIdle may be nil; otherwise it is called with each ping that is sent because
// nothing was received for a while.
func (e *Endpoint) Maintain(id, address string, busy func() bool, onIdle func(l *Link)) *Dialler {
	ctx, cancel := context.WithCancel(e.ctx)
	d := &Dialler{endpoint: e, id: id, address: address, busy: busy, onIdle: onIdle, cancel: cancel, done: make(chan struct{})}
	go d.loop(ctx)
	return d
}

// Stop closes the link and stops dialling.
func (d *Dialler) Stop() {
	d.cancel()
	<-d.done
}

func (d *Dialler) loop(ctx context.Context) {
	defer close(d.done)
	var links sync.WaitGroup
	defer links.Wait()
	var current *Link
	defer func() {
		if current != nil {
			current.Close()
		}
	}()
	wait := redialPause
	for ctx.Err() == nil {
		next, err := d.endpoint.dial(ctx, d.id, d.address)
		if err != nil {
			// The random wait keeps diallers that failed at the same time from
			// retrying at the same time.
			if !sleep(ctx, wait/2+rand.N(wait)) {
				return
			}
			wait = min(2*wait, redialMax)
			continue
		}
		wait = redialPause
		links.Add(1)
		go func() {
			defer links.Done()
			next.run()
		}()
		if current != nil {
			current.Close()
		}
		current = next
		if d.watch(ctx, current) {
			silentLinks.Inc()
		}
	}
}

// silentLinks counts the links that were replaced because they were silent.
var silentLinks = metrics.NewCounter("damasklb_silent_links_total")

// watch returns false when the link is closed, and true when it is silent. It
// determines silence by round trips, because received messages do not show that
// sent messages arrive.
func (d *Dialler) watch(ctx context.Context, l *Link) bool {
	var pinged time.Time
	for {
		limit, check := idlePingAfter, idleCheckInterval
		if d.busy() {
			limit, check = busyPingAfter, checkInterval
		}
		waiting := !pinged.IsZero() && l.ackedAt().Before(pinged)
		if waiting {
			check = checkInterval
		}
		select {
		case <-ctx.Done():
			return false
		case <-l.closed:
			return false
		case <-time.After(check):
		}
		if waiting {
			if l.ackedAt().Before(pinged) && time.Since(pinged) >= pongTimeout {
				return true
			}
			continue
		}
		silent := l.Silence() >= limit
		if !silent && !l.unacked(limit) {
			continue
		}
		pinged = time.Now()
		if l.Ping() != nil {
			return false
		}
		if silent && d.onIdle != nil {
			d.onIdle(l)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
