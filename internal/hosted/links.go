package hosted

import (
	"context"
	"encoding/json"
	"time"

	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// The agent's links: which entries there are, and one open link to each.
const (
	// redialPause is the pause before a lost or refused link is dialled again.
	redialPause = 60 * time.Millisecond
	// redialMax bounds the pause while an entry does not answer.
	redialMax = 250 * time.Millisecond
	// linkSilence is the age of the last answer from an entry at which its link
	// is replaced. A new link has to be up before the entry counts as silent.
	linkSilence = 300 * time.Millisecond
)

func (a *Agent) hostsChanged(rows []platform.Change, all bool) {
	seen := map[string]bool{}
	for _, r := range rows {
		host := r.Key[len(hostsTable)+1:]
		seen[host] = true
		if r.Deleted {
			a.forget(host)
			continue
		}
		var row hostRow
		if err := json.Unmarshal(r.Value, &row); err != nil || row.Address == "" {
			a.log.Warn("host row cannot be read", "key", r.Key, "row_version", r.Version)
			continue
		}
		a.mu.Lock()
		old := a.byHost[host]
		a.byHost[host] = row.Address
		a.mu.Unlock()
		if old != "" && old != row.Address {
			a.undial(old)
		}
		a.log.Info("entry found", "entry", host, "address", row.Address, "row_version", r.Version)
		a.dial(row.Address)
	}
	if !all {
		return
	}
	a.mu.Lock()
	var gone []string
	for host := range a.byHost {
		if !seen[host] {
			gone = append(gone, host)
		}
	}
	a.mu.Unlock()
	for _, host := range gone {
		a.forget(host)
	}
}

func (a *Agent) forget(host string) {
	a.mu.Lock()
	address := a.byHost[host]
	delete(a.byHost, host)
	a.mu.Unlock()
	a.log.Info("entry removed", "entry", host, "address", address)
	a.undial(address)
}

func (a *Agent) undial(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.dials[address]; cancel != nil {
		cancel()
		delete(a.dials, address)
	}
}

// dial keeps a link to an address open.
func (a *Agent) dial(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dials[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.dials[address] = cancel
	a.run(func() { a.keepLink(ctx, address) })
}

func (a *Agent) keepLink(ctx context.Context, address string) {
	pause := redialPause
	for ctx.Err() == nil {
		s, err := transport.DialStream(address, a.options.Process.hello(wire.RoleAgent))
		if err != nil || s.Peer.Role != wire.RoleEntry {
			if s != nil {
				s.Close()
			}
			sleep(ctx, pause)
			pause = min(2*pause, redialMax)
			continue
		}
		pause = redialPause
		a.serve(ctx, s)
	}
}

// serve reads the messages of one entry's link.
func (a *Agent) serve(ctx context.Context, s *transport.Stream) {
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	id := runner.EntryID{Host: s.Peer.ID, Incarnation: s.Peer.Incarnation}
	l := &link{stream: s}
	a.do(func(now time.Duration, core *runner.Runner) {
		if old := a.links[id]; old != nil {
			old.stream.Close()
		}
		l.answered = now
		a.links[id] = l
		core.Connected(now, id)
		a.send(id, l, &wire.AgentBeat{ClockMS: uint64(now / time.Millisecond), Load: core.Load(now, id)})
	})
	a.log.Info("entry connected", "entry", id.Host, "incarnation", id.Incarnation, "address", s.Remote())
	for {
		m, err := s.Read()
		if err != nil {
			a.lostLink(id, l, err)
			return
		}
		a.receive(id, l, m)
	}
}

func (a *Agent) lostLink(id runner.EntryID, l *link, cause error) {
	a.do(func(now time.Duration, core *runner.Runner) {
		if a.links[id] != l {
			return
		}
		delete(a.links, id)
		core.Disconnected(id)
		a.log.Warn("entry disconnected", "entry", id.Host, "incarnation", id.Incarnation, "error", cause.Error())
	})
}

func (a *Agent) receive(id runner.EntryID, l *link, m wire.Message) {
	a.do(func(now time.Duration, core *runner.Runner) {
		if a.links[id] != l {
			return
		}
		switch m := m.(type) {
		case *wire.EntryBeat:
			l.answered = now
			core.Confirm(id, time.Duration(m.EchoMS)*time.Millisecond)
		case *wire.Assign:
			core.Assign(now, id, *m)
		case *wire.Withdraw:
			core.Withdraw(now, id, *m)
		case *wire.Resume:
			core.Resume(now, id, *m)
		default:
			a.log.Warn("message not expected", "entry", id.Host, "type", typeName(m))
		}
	})
}
