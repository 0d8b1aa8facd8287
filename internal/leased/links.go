package leased

import (
	"context"
	"encoding/json"
	"time"

	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// The agent maintains one link to each entry in the hosts table, and to the seeds.
const (
	// redialPause is the pause before the first retry after a failed dial.
	redialPause = 60 * time.Millisecond
	// redialMax bounds the pause, which doubles with each failure.
	redialMax = 250 * time.Millisecond
	// maxLinkSilence is the age of the last answer from an entry above which its
	// link is replaced. The new link has to be up before the entry counts as silent.
	maxLinkSilence = 300 * time.Millisecond
)

func (a *Agent) hostsChanged(rows []platform.Change, all bool) {
	seen := map[string]bool{}
	for _, r := range rows {
		host := r.Key[len(hostsTable)+1:]
		seen[host] = true
		if r.Deleted {
			a.removeEntry(host)
			continue
		}
		var row hostRow
		if err := json.Unmarshal(r.Value, &row); err != nil || row.Address == "" {
			a.log.Warn("invalid host row", "key", r.Key, "row_version", r.Version)
			continue
		}
		a.mu.Lock()
		old := a.addressByHost[host]
		a.addressByHost[host] = row.Address
		a.mu.Unlock()
		if old != "" && old != row.Address {
			a.stopDialling(old)
		}
		a.log.Info("entry found", "entry", host, "address", row.Address, "row_version", r.Version)
		a.dial(row.Address)
	}
	if !all {
		return
	}
	a.mu.Lock()
	var removed []string
	for host := range a.addressByHost {
		if !seen[host] {
			removed = append(removed, host)
		}
	}
	a.mu.Unlock()
	for _, host := range removed {
		a.removeEntry(host)
	}
}

func (a *Agent) removeEntry(host string) {
	a.mu.Lock()
	address := a.addressByHost[host]
	delete(a.addressByHost, host)
	a.mu.Unlock()
	a.log.Info("entry removed", "entry", host, "address", address)
	a.stopDialling(address)
}

func (a *Agent) stopDialling(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.dials[address]; cancel != nil {
		cancel()
		delete(a.dials, address)
	}
}

// dial starts to maintain a link to an address.
func (a *Agent) dial(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dials[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.dials[address] = cancel
	a.spawn(func() { a.maintainLink(ctx, address) })
}

func (a *Agent) maintainLink(ctx context.Context, address string) {
	pause := redialPause
	for ctx.Err() == nil {
		tcp, err := transport.DialTCP(address, a.options.Process.hello(wire.RoleAgent))
		if err != nil || tcp.Peer.Role != wire.RoleEntry {
			if tcp != nil {
				tcp.Close()
			}
			sleep(ctx, pause)
			pause = min(2*pause, redialMax)
			continue
		}
		pause = redialPause
		a.serve(ctx, tcp)
	}
}

// serve handles the messages of one entry's link until it closes.
func (a *Agent) serve(ctx context.Context, tcp *transport.TCPLink) {
	defer tcp.Close()
	stop := context.AfterFunc(ctx, tcp.Close)
	defer stop()
	id := runner.EntryID{Host: tcp.Peer.ID, Incarnation: tcp.Peer.Incarnation}
	l := &link{tcp: tcp}
	a.withCore(func(now time.Duration, core *runner.Runner) {
		if old := a.links[id]; old != nil {
			old.tcp.Close()
		}
		l.lastAnswer = now
		a.links[id] = l
		core.Connected(now, id)
		a.send(id, l, &wire.AgentBeat{ClockMS: uint64(now / time.Millisecond), Load: core.Load(now, id)})
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
		switch m := m.(type) {
		case *wire.EntryBeat:
			l.lastAnswer = now
			core.Confirm(id, time.Duration(m.EchoMS)*time.Millisecond)
		case *wire.Assign:
			core.Assign(now, id, *m)
		case *wire.Withdraw:
			core.Withdraw(now, id, *m)
		case *wire.Resume:
			core.Resume(now, id, *m)
		default:
			a.log.Warn("unexpected message", "entry", id.Host, "type", typeName(m))
		}
	})
}
