package leased

import (
	"context"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/evacuation"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// The agent maintains one link to each of the entries that package linkplan chooses from
// the hosts table.
const (
	// redialPause is the pause before the first retry after a failed dial.
	redialPause = 60 * time.Millisecond
	// minLinkTime is the life of a link below which the next dial follows a pause.
	minLinkTime = time.Second
	// redialMax bounds the pause, which doubles with each failure.
	redialMax = 250 * time.Millisecond
)

// dial is an address to which a link is maintained.
type dial struct {
	cancel context.CancelFunc
	// abort ends the attempt to open a link that is in progress, and retry has an
	// element if the next one is to follow without a pause.
	abort context.CancelFunc
	retry chan struct{}
	// releasing is set once the link is no longer wanted, since releasedAt. The entry
	// is told that it gets no more tasks, and the link closes when its tasks have ended.
	releasing  bool
	releasedAt time.Duration
}

// releaseDelay is the time from the notice that a link is no longer wanted until it may
// close. Tasks that the entry has sent before the notice arrive within it.
const releaseDelay = time.Second

func (a *Agent) hostsChanged(u tableUpdate) {
	rows, all := u.rows, u.all
	if len(rows) == 0 && !all {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.malformedHosts.retainUpdate(u)
	seen := map[string]bool{}
	for _, r := range rows {
		host, err := rowName(r.Key, hostsTable)
		if err != nil {
			a.malformedHosts.found(r.Key, r.Version, fault.Text(err))
			continue
		}
		seen[host] = true
		if r.Deleted {
			a.malformedHosts.valid(r.Key)
			a.removeEntry(host)
			continue
		}
		row, err := decodeHostRow(r.Value)
		if err != nil {
			// The entry that wrote the row before may still be there.
			a.malformedHosts.found(r.Key, r.Version, fault.Text(err))
			continue
		}
		a.malformedHosts.valid(r.Key)
		a.plan.Set(host, row.Address, row.DataCentre)
		if !all {
			a.redial(row.Address)
		}
		a.log.Info("entry found", "entry", host, "address", row.Address, "row_version", r.Version)
	}
	if all {
		for _, host := range a.plan.Hosts() {
			if !seen[host] {
				a.removeEntry(host)
			}
		}
	}
	a.applyPlan()
}

func (a *Agent) removeEntry(host string) {
	a.plan.Remove(host)
	a.log.Info("entry removed", "entry", host)
}

// applyPlan starts links to the planned addresses and releases the others.
func (a *Agent) applyPlan() {
	now := a.now()
	wanted := a.plan.Addresses(now)
	for _, address := range wanted {
		if d := a.dials[address]; d != nil {
			d.releasing = false
			continue
		}
		a.dial(address)
	}
	for address, d := range a.dials {
		if !d.releasing && !slices.Contains(wanted, address) {
			d.releasing, d.releasedAt = true, now
			a.log.Info("link is no longer wanted", "address", address)
		}
	}
}

// closeReleased closes the links that are no longer wanted and have no tasks left.
func (a *Agent) closeReleased(now time.Duration) {
	for address, d := range a.dials {
		if d.releasing && now-d.releasedAt >= releaseDelay && !a.hasTasksOf(address) {
			d.cancel()
			delete(a.dials, address)
		}
	}
}

// hasTasksOf reports whether tasks of the entry at the address wait or run.
func (a *Agent) hasTasksOf(address string) bool {
	for id, l := range a.links {
		if l.address == address && a.core.HasTasksOf(id) {
			return true
		}
	}
	return false
}

// dial starts to maintain a link to an address.
func (a *Agent) dial(address string) {
	ctx, cancel := context.WithCancel(a.ctx)
	d := &dial{cancel: cancel, abort: func() {}, retry: make(chan struct{}, 1)}
	a.dials[address] = d
	a.spawn(func() { a.maintainLink(ctx, address, d) })
}

// redial makes the agent dial an address at once if it has no link to it. An entry writes
// its row when it starts, so it listens by now, and an attempt that began before would
// have to wait for the retransmission of its first packet.
func (a *Agent) redial(address string) {
	d := a.dials[address]
	if d == nil {
		return
	}
	select {
	case d.retry <- struct{}{}:
	default:
	}
	d.abort()
}

// open opens a link to an address.
func (a *Agent) open(ctx context.Context, address string, d *dial) (*transport.TCPLink, error) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	a.mu.Lock()
	d.abort = cancel
	// The attempt begins now, so an earlier request for one is met.
	select {
	case <-d.retry:
	default:
	}
	a.mu.Unlock()
	return transport.DialTCP(attempt, address, a.options.Process.hello(wire.RoleAgent))
}

// pause waits before the next attempt, which may be requested sooner.
func (d *dial) pause(ctx context.Context, pause time.Duration) (requested bool) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.retry:
		return true
	}
	return false
}

func (a *Agent) maintainLink(ctx context.Context, address string, d *dial) {
	pause := redialPause
	for ctx.Err() == nil {
		tcp, err := a.open(ctx, address, d)
		if err != nil || tcp.Peer.Role != wire.RoleEntry {
			if tcp != nil {
				tcp.Close()
			}
			a.dialFailed(address)
			if d.pause(ctx, pause) {
				pause = redialPause
			} else {
				pause = min(2*pause, redialMax)
			}
			continue
		}
		pause = redialPause
		opened := time.Now()
		a.serve(ctx, address, tcp)
		if time.Since(opened) < minLinkTime {
			// The entry has refused the link, or is ending.
			d.pause(ctx, pause)
		}
	}
}

func (a *Agent) dialFailed(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plan.DialFailed(a.now(), address)
	a.applyPlan()
}

// serve handles the messages of one entry's link until it closes.
func (a *Agent) serve(ctx context.Context, address string, tcp *transport.TCPLink) {
	defer tcp.Close()
	stop := context.AfterFunc(ctx, tcp.Close)
	defer stop()
	id := runner.EntryID{Host: tcp.Peer.ID, Incarnation: tcp.Peer.Incarnation}
	l := &link{tcp: tcp, address: address}
	a.withCore(func(now time.Duration, core *runner.Runner) {
		if old := a.links[id]; old != nil {
			old.tcp.Close()
		}
		l.lastAnswer, l.lastHeartbeat = now, now
		a.links[id] = l
		core.Connected(now, id)
		a.plan.Linked(address)
		a.applyPlan()
		a.sendHeartbeat(now, id, l, core.Load(now, id))
	})
	a.log.Info("entry connected", "entry", id.Host, "incarnation", id.Incarnation, "address", tcp.Remote())
	for {
		m, err := tcp.Read()
		if err != nil {
			a.disconnected(id, l, err)
			return
		}
		a.receive(id, l, m)
	}
}

func (a *Agent) disconnected(id runner.EntryID, l *link, cause error) {
	a.withCore(func(now time.Duration, core *runner.Runner) {
		if a.links[id] != l {
			return
		}
		delete(a.links, id)
		core.Disconnected(id)
		a.log.Warn("entry disconnected", "entry", id.Host, "incarnation", id.Incarnation, "error", cause.Error())
	})
}

func (a *Agent) receive(id runner.EntryID, l *link, m wire.Message) {
	a.withCore(func(now time.Duration, core *runner.Runner) {
		if a.links[id] != l {
			return
		}
		l.lastAnswer = now
		switch m := m.(type) {
		case *wire.EntryBeat:
			if m.Evacuations != nil {
				core.Evacuations(now, evacuation.FromView(min(now, time.Duration(m.EchoMS)*time.Millisecond), m.Evacuations))
			}
			core.Confirm(id, time.Duration(m.EchoMS)*time.Millisecond)
			if m.ReportNow {
				a.sendHeartbeat(now, id, l, core.Load(now, id))
			}
		case *wire.Assign:
			core.Assign(now, id, *m)
			if a.heartbeatDue(now, id, l) {
				a.sendHeartbeat(now, id, l, core.Load(now, id))
			}
		case *wire.Withdraw:
			core.Withdraw(now, id, *m)
		case *wire.Resume:
			core.Resume(now, id, *m)
		default:
			a.log.Warn("unexpected message", "entry", id.Host, "type", typeName(m))
		}
	})
}
